package ticketfile

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/state"
)

var yamlBlock = regexp.MustCompile("(?s)```yaml\n(.*?)```")

// TestReferencePage compares docs/ticket-reference.md with the code: each example
// must be a valid ticket, and each key and each rejection must have a row.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/ticket-reference.md")
	is.NoErr(err)
	blocks := yamlBlock.FindAllSubmatch(page, -1)
	is.True(len(blocks) >= 5)
	for _, block := range blocks {
		_, err := Parse("docs/ticket-reference.md", block[1])
		is.NoErr(err)
	}
	for _, resource := range []any{state.Ticket{}, state.Service{}, state.Route{}, state.CallerLimits{}, state.Tenant{}} {
		fields := reflect.TypeOf(resource)
		for i := range fields.NumField() {
			key, _, _ := strings.Cut(fields.Field(i).Tag.Get("yaml"), ",")
			is.True(strings.Contains(string(page), "\n| `"+key+"` | ")) // each key has a row
		}
	}
	for outcome := acceptance.Stale; outcome <= acceptance.Oversized; outcome++ {
		is.True(strings.Contains(string(page), "\n| `"+outcome.String()+"` | ")) // each rejection has a row
	}
}
