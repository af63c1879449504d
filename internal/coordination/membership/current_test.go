package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// TestCurrentConfigurationIsKnownInTime replays a fleet in which two nodes of each domain
// read the log, tickets are accepted every 2 s, acks are late or lost, and one domain is
// cut off, and one node gets no ticket. It guards against a node that takes its configuration for newer than it is, so
// that it would accept a key that was removed, and against nodes in contact that do not
// know within the bound that theirs is the newest, so that they would refuse valid keys.
func TestCurrentConfigurationIsKnownInTime(t *testing.T) {
	const (
		bound     = 5 * time.Second
		readDelay = 700 * time.Millisecond
		perDomain = 40
	)
	is := is.New(t)
	defer func(previous membership.Settings) { settings = previous }(settings)
	settings.CurrentBound = bound
	n := newNetwork(11)
	n.addDomains(3, perDomain)
	n.loss, n.duplication, n.latency = 0.02, 0.05, 40*time.Millisecond
	for _, node := range n.nodes {
		n.start(node)
	}
	n.waitForTables(t, 30*time.Second)
	var acceptedAt []time.Time // by position-1
	for _, node := range n.nodes {
		node.platformReachable = false
	}
	behind := n.nodes[perDomain-1] // gets no ticket
	behind.hasJoined = false
	n.onStep = func(node *fakeNode) {
		for position := int(node.position); position < len(acceptedAt); position++ {
			if !acceptedAt[position].After(node.machine.CurrentAt()) {
				t.Fatalf("%s knows its position %d to be the newest at %v, after a ticket at %v", node.self.ID, node.position, node.machine.CurrentAt().Sub(epoch), acceptedAt[position].Sub(epoch))
			}
		}
	}
	cut := false
	n.blocked = func(a, b *fakeNode) bool {
		return cut && (a.self.Domain == "domain-02") != (b.self.Domain == "domain-02")
	}
	step := func(i int) {
		if i%8 == 0 {
			n.newest++
			acceptedAt = append(acceptedAt, n.now)
			for _, node := range n.nodes {
				if node != behind {
					n.pushed(node, cut)
				}
			}
		}
		for j, node := range n.nodes {
			node.platformReachable = j%perDomain < 2 && !(cut && node.self.Domain == "domain-02")
			if node.platformReachable && i%3 == 0 {
				requestedAt, position := n.now, n.newest
				n.after(readDelay, func() {
					node.position = max(node.position, position)
					n.feed(node, membership.ConfigurationCurrent{At: requestedAt, Version: state.Version{Position: node.position}})
				})
			}
		}
		n.run(250 * time.Millisecond)
	}
	var oldest time.Duration
	for i := range 160 {
		step(i)
		for _, node := range n.nodes {
			if i > 40 && node != behind {
				oldest = max(oldest, n.now.Sub(node.machine.CurrentAt()))
			}
		}
	}
	t.Logf("oldest knowledge in contact: %v", oldest)
	is.True(oldest <= bound)
	cut = true
	cutAt := n.now
	for i := range 40 {
		step(i)
	}
	for _, node := range n.nodes {
		is.Equal(node.machine.CurrentAt().After(cutAt), node.self.Domain != "domain-02" && node != behind)
	}
}

// TestAckStatesNoEarlierVersion guards against an ack that states the instant of a report
// beside the version before it: the receiver would take that version for the newest.
func TestAckStatesNoEarlierVersion(t *testing.T) {
	is := is.New(t)
	machine := membership.New(settings, membership.Member{ID: "a", Incarnation: 1, Domain: "d", ControlAddress: "a:1"}, nil, rand.NewPCG(1, 2))
	machine.Step(epoch, membership.LocalStatusChanged{Version: state.Version{Position: 5}})
	machine.Step(epoch, membership.ConfigurationCurrent{At: epoch, Version: state.Version{Position: 6}})
	for _, action := range machine.Step(epoch.Add(time.Second), membership.ProbeReceived{Token: 1, Probe: membership.Probe{From: "b", To: "a"}}) {
		if respond, ok := action.(membership.RespondToProbe); ok {
			is.Equal(respond.Ack.CurrentAge, time.Second)
			is.Equal(respond.Ack.Version.Position, uint64(6))
			return
		}
	}
	t.Fatal("no ack")
}

// pushed simulates the push of the newest ticket from the readers to the node.
func (n *network) pushed(node *fakeNode, cut bool) {
	if cut && node.self.Domain == "domain-02" {
		return
	}
	position := n.newest
	n.after(300*time.Millisecond+time.Duration(n.random.Int64N(int64(700*time.Millisecond))), func() {
		node.position = max(node.position, position)
	})
}
