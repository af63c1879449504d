package adminapi

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/protocol/problem"
)

var jsonBlock = regexp.MustCompile("(?s)```json\n(.*?)```")

// TestReferencePage compares docs/operators/admin-api.md with the code: the page
// must list each path, and its examples must decode as the messages.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/operators/admin-api.md")
	is.NoErr(err)
	for _, path := range []string{PathTickets, PathTicket, PathStatus, PathTarget, PathTenants, PathHealth, PathReady, PathMetrics, PathProfile} {
		is.True(strings.Contains(string(page), " "+path+"`")) // the path has a row
	}
	blocks := jsonBlock.FindAllSubmatch(page, -1)
	messages := []any{&problem.Problem{}, &PublishResponse{}, &TicketStatus{}, &Announcement{}}
	is.Equal(len(blocks), len(messages))
	for i, block := range blocks {
		decoder := json.NewDecoder(bytes.NewReader(block[1]))
		decoder.DisallowUnknownFields()
		is.NoErr(decoder.Decode(messages[i]))
	}
	_, err = DecodeAnnouncement(blocks[3][1])
	is.NoErr(err)
}
