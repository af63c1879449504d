package calls

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/state"
)

// TestCallerLimits verifies that limits on bodies are exact to the byte and
// that a refused request was not run.
func TestCallerLimits(t *testing.T) {
	table := []struct {
		name   string
		body   string
		header []string
		status int
	}{
		{"within", strings.Repeat("x", 1000), nil, http.StatusOK},
		{"body over", strings.Repeat("x", 1001), nil, http.StatusRequestEntityTooLarge},
		{"headers over", "x", []string{"X-Long", strings.Repeat("y", 600)}, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			f.limit(state.CallerLimits{HeaderBytes: 600, BodyBytes: 1000})
			got := f.call(0, "POST", "/file", row.body, row.header...)
			is.Equal(got.status, row.status)
			is.Equal(runs.Load() == 1, row.status == http.StatusOK)
		})
	}
}

// limit publishes a snapshot with the caller limits to all nodes.
func (f *fleet) limit(limits state.CallerLimits) {
	changes, err := state.Ticket{Number: 2, CallerLimits: &limits}.Changes()
	f.is.NoErr(err)
	snapshot, err := f.snapshot.Load().With(2, changes)
	f.is.NoErr(err)
	f.snapshot.Store(snapshot)
}
