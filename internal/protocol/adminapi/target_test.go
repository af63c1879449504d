package adminapi

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

const announcement = `{"service":"order-desk","slots":6,"connections":120,"address":"10.21.1.12:9000","state":"ready","ttl_ms":3000}`

func TestDecodeAnnouncement(t *testing.T) {
	cases := map[string]struct{ old, new, wantErr string }{
		"valid":               {},
		"draining":            {old: "ready", new: "draining"},
		"unknown key":         {"slots", "slot", "not an announcement"},
		"not JSON":            {announcement, "GET /", "not an announcement"},
		"two announcements":   {announcement, announcement + announcement, "bytes follow"},
		"no service":          {"order-desk", "", "service is missing"},
		"separator in a name": {"order-desk", `order\u0000desk`, "service is"},
		"no slots":            {`"slots":6`, `"slots":0`, "slots is 0"},
		"too many slots":      {`"slots":6`, `"slots":600000000`, "slots is 600000000"},
		"negative slots":      {`"slots":6`, `"slots":-6`, "not an announcement"},
		"no connections":      {`"connections":120`, `"connections":0`, "connections is 0"},
		"host name":           {"10.21.1.12", "target", "address is"},
		"no port":             {":9000", "", "address is"},
		"unspecified":         {"10.21.1.12", "0.0.0.0", "address is"},
		"unknown state":       {"ready", "busy", "state is"},
		"bad instance":        {`"state":"ready"`, `"instance":"a\nb","state":"ready"`, "instance"},
		"short lifetime":      {"3000", "1", "ttl_ms is 1"},
		"lifetime too long":   {"3000", "9223372036854775807", "ttl_ms is"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeAnnouncement([]byte(strings.Replace(announcement, tc.old, tc.new, 1)))
			if tc.wantErr == "" {
				is.NoErr(err)
				return
			}
			is.True(errorx.IsOfType(err, ErrAnnouncement))
			is.True(strings.Contains(err.Error(), tc.wantErr))
		})
	}
}
