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

	resumed := epoch.Add(10 * time.Second)
	machine.Step(resumed, membership.Tick{})
	is.Equal(state(), membership.Suspect) // a refutation may have arrived during the pause
	for now := resumed; !now.After(resumed.Add(settings.SuspicionTimeout)); now = now.Add(tickInterval) {
		machine.Step(now, membership.Tick{})
	}
	is.Equal(state(), membership.Dead)
}

// A minority partition of a domain that reads the platform must not report a
// version as in force while the majority, without the platform, serves an older
// one.
func TestMinorityPartitionDoesNotConfirmVersion(t *testing.T) {
	is := is.New(t)
	n := newNetwork(5)
	n.newest = 1
	n.addDomains(1, 5)
	for _, node := range n.nodes {
		n.start(node)
	}
	n.run(20 * time.Second)
	majority := map[string]bool{}
	for _, node := range n.nodes[:3] {
		majority[node.self.ID] = true
		node.platformReachable = false
	}
	n.blocked = func(a, b *fakeNode) bool { return majority[a.self.ID] != majority[b.self.ID] }
	n.newest++
	for range 300 {
		n.run(100 * time.Millisecond)
		is.Equal(n.checkInForce(), "")
	}
	is.True(n.nodes[0].machine.Serving(n.now)) // the majority keeps serving
}
