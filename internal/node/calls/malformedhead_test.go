package calls

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/protocol/headers"
)

// TestMalformedHeadOfTarget lets a target send heads that net/http accepts and HTTP does not have.
// No caller may get such a response.
func TestMalformedHeadOfTarget(t *testing.T) {
	for name, response := range map[string]string{
		"blank in a name":                   "HTTP/1.1 200 OK\r\nX a: b\r\nContent-Length: 2\r\n\r\nok",
		"blank before the colon":            "HTTP/1.1 200 OK\r\nX-A : b\r\nContent-Length: 2\r\n\r\nok",
		"blank before the length's colon":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nokmore",
		"blank before the encoding's colon": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"tab in a name":                     "HTTP/1.1 200 OK\r\nX\ta: b\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a name":            "HTTP/1.1 200 OK\r\nX\x01a: b\r\nContent-Length: 2\r\n\r\nok",
		"bracket in a name":                 "HTTP/1.1 200 OK\r\nX(a): b\r\nContent-Length: 2\r\n\r\nok",
		"blank in a trailer's name":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX a: b\r\n\r\n",
		"status 000":                        "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
		"status 600":                        "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok",
		"other version":                     "HTTP/3.7 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"blank in the name of a failure":    "HTTP/1.1 500 X\r\nX a: b\r\nContent-Length: 2\r\n\r\nok",
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %t", name, remote), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote, settings: shortSilenceTimeout}, echo)
				for _, n := range f.nodes {
					newRawTarget(t, func(conn net.Conn, _ *http.Request) bool {
						_, _ = io.WriteString(conn, response)
						return false
					}).useAsTarget(n, 8)
				}
				got := f.call(0, "POST", "/file", "b", headers.Timeout, "1500")
				is.NoErr(got.err)
				is.True(got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout)
				is.Equal(got.header.Get(headers.Outcome), "outcome-unknown")
			})
		}
	}
}
