package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/membership"
)

func TestSuspicionTimeoutRestartsAfterPause(t *testing.T) {
	is := is.New(t)
	self := membership.Member{ID: "a", Domain: "east", ControlAddress: "10.0.0.1:1", Incarnation: 1}
	suspect := membership.Member{ID: "b", Domain: "east", ControlAddress: "10.0.0.2:1", Incarnation: 1, State: membership.Suspect}
	machine := membership.New(settings, self, nil, rand.NewPCG(1, 2))
	machine.Step(epoch, membership.ProbeReceived{Probe: membership.Probe{From: "b", Members: []membership.Member{suspect}}})
	state := func() membership.State { return machine.View().Members[1].State }

	woken := epoch.Add(10 * time.Second)
	machine.Step(woken, membership.Tick{})
	is.Equal(state(), membership.Suspect) // the refutation may be among what came in the pause
	for now := woken; !now.After(woken.Add(settings.SuspicionTimeout)); now = now.Add(tickInterval) {
		machine.Step(now, membership.Tick{})
	}
	is.Equal(state(), membership.Dead)
}

// A smaller part of a domain that follows the platform must not call a version
// in force while the larger part, cut off, serves an older one.
func TestMinorityPartitionDoesNotConfirmVersion(t *testing.T) {
	is := is.New(t)
	n := newNetwork(5)
	n.newest = 1
	n.addDomains(1, 5)
	for _, node := range n.nodes {
		n.start(node)
	}
	n.run(20 * time.Second)
	larger := map[string]bool{}
	for _, node := range n.nodes[:3] {
		larger[node.self.ID] = true
		node.platformReachable = false
	}
	n.blocked = func(a, b *fakeNode) bool { return larger[a.self.ID] != larger[b.self.ID] }
	n.newest++
	for range 300 {
		n.run(100 * time.Millisecond)
		is.Equal(n.checkInForce(), "")
	}
	is.True(n.nodes[0].machine.Serving(n.now)) // the larger part goes on
}
