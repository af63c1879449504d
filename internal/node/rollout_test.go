package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/membership"
)

// TestStartingNodesCoordinate guards against nodes that take themselves for the coordinator before
// they have joined the fleet: 66 new nodes did, and competed for conditional writes to the store.
func TestStartingNodesCoordinate(t *testing.T) {
	const bound = 2 * time.Second
	started := time.Now()
	self := membership.Member{ID: "n1", State: membership.Alive}
	for name, tc := range map[string]struct {
		others []membership.Member
		after  time.Duration
		want   bool
	}{
		"knows only itself":             {nil, bound / 2, false},
		"knows only a dead node":        {[]membership.Member{{ID: "n2", State: membership.Dead}}, bound / 2, false},
		"knows another node":            {[]membership.Member{{ID: "n2", State: membership.Alive}}, bound / 2, true},
		"is alone for the change bound": {nil, bound, true},
	} {
		t.Run(name, func(t *testing.T) {
			view := &membership.View{Members: append(tc.others, self)}
			is.New(t).Equal(mayCoordinate(started.Add(tc.after), started, bound, self.ID, view), tc.want)
		})
	}
}
