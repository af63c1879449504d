package membership_test

import (
	"fmt"
	"testing"
	"time"

	"jasminegate/internal/coordination/membership"
)

// tableError says how a node's table is not what the fleet is; empty when it is
// right.
func (n *network) tableError(node *fakeNode) string {
	view := node.machine.View()
	held := make(map[string]membership.Member)
	for _, member := range view.Members {
		held[member.ID] = member
	}
	for _, other := range n.nodes {
		if other.superseded {
			continue
		}
		member, known := held[other.self.ID]
		live := member.State == membership.Alive
		if other.running && !(known && live && member.Incarnation == other.self.Incarnation) {
			return fmt.Sprintf("%s holds %s as %d of %d", node.self.ID, other.self.ID, member.State, member.Incarnation)
		}
		if other.running && member.Service != other.self.Service {
			return fmt.Sprintf("%s holds a former target of %s", node.self.ID, other.self.ID)
		}
		if !other.running && known && (live || member.State == membership.Suspect) {
			return fmt.Sprintf("%s holds the stopped %s as running", node.self.ID, other.self.ID)
		}
	}
	return ""
}

func (n *network) firstTableError() string {
	for _, node := range n.nodes {
		if !node.running || node.superseded {
			continue
		}
		if d := n.tableError(node); d != "" {
			return d
		}
	}
	return ""
}

// waitForTables runs until every table is right, and fails after the bound.
func (n *network) waitForTables(t interface{ Fatalf(string, ...any) }, bound time.Duration) time.Duration {
	begun := n.now
	for n.firstTableError() != "" {
		if n.now.Sub(begun) > bound {
			t.Fatalf("tables not right after %v: %s", bound, n.firstTableError())
		}
		n.run(100 * time.Millisecond)
	}
	return n.now.Sub(begun)
}

func TestTablesConvergeAfterSingleFaults(t *testing.T) {
	inDomain := func(d string) func(*fakeNode) bool {
		return func(node *fakeNode) bool { return node.self.Domain == d }
	}
	separate := func(in func(*fakeNode) bool) func(a, b *fakeNode) bool {
		return func(a, b *fakeNode) bool { return in(a) != in(b) }
	}
	cases := []struct {
		name  string
		fault func(n *network)
	}{
		{"nothing", func(n *network) {}},
		{"a node dies", func(n *network) { n.kill(n.nodes[2]) }},
		{"a node restarts at once", func(n *network) { n.start(n.nodes[2]) }},
		{"a node is paused and wakes", func(n *network) {
			n.pause(n.nodes[2])
			n.run(20 * time.Second)
			n.resume(n.nodes[2])
		}},
		{"a paused node was replaced", func(n *network) {
			n.pause(n.nodes[2])
			n.run(20 * time.Second)
			n.start(n.nodes[2])
		}},
		{"a whole domain dies", func(n *network) {
			for _, node := range n.nodes[:4] {
				n.kill(node)
			}
			n.run(30 * time.Second)
			for _, node := range n.nodes[:4] {
				n.start(node)
			}
		}},
		{"the fleet dies and returns", func(n *network) {
			for _, node := range n.nodes {
				n.kill(node)
			}
			n.run(10 * time.Second)
			for _, node := range n.nodes {
				n.start(node)
			}
		}},
		{"a domain is cut off and heals", func(n *network) {
			n.blocked = separate(inDomain("domain-00"))
			n.run(60 * time.Second)
			n.blocked = func(a, b *fakeNode) bool { return false }
		}},
		{"a domain splits and heals", func(n *network) {
			first := map[*fakeNode]bool{n.nodes[0]: true, n.nodes[1]: true}
			n.blocked = separate(func(node *fakeNode) bool { return first[node] })
			n.run(60 * time.Second)
			n.blocked = func(a, b *fakeNode) bool { return false }
		}},
		{"half of the messages are lost for a while", func(n *network) {
			n.loss, n.duplication = 0.5, 0.3
			n.run(30 * time.Second)
			n.loss = 0
		}},
		{"a cut domain's relays die on both sides", func(n *network) {
			n.blocked = separate(inDomain("domain-00"))
			n.run(5 * time.Second)
			for _, i := range []int{0, 1, 2, 4, 5, 6} {
				n.kill(n.nodes[i])
			}
			n.run(10 * time.Second)
			n.blocked = func(a, b *fakeNode) bool { return false }
			for _, i := range []int{0, 1, 2, 4, 5, 6} {
				n.start(n.nodes[i])
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			n := newNetwork(7)
			n.addDomains(3, 4)
			for _, node := range n.nodes {
				n.start(node)
			}
			n.waitForTables(t, 30*time.Second)
			test.fault(n)
			took := n.waitForTables(t, 30*time.Second)
			t.Logf("tables right after %v", took)
			n.run(10 * time.Second)
			if d := n.firstTableError(); d != "" {
				t.Fatalf("tables went wrong again: %s", d)
			}
			for _, node := range n.nodes {
				if node.running && !node.machine.Serving(n.now) {
					t.Fatalf("%s does not serve", node.self.ID)
				}
			}
		})
	}
}

func TestPausedNodeSuspectsNobody(t *testing.T) {
	n := newNetwork(3)
	n.addDomains(1, 5)
	for _, node := range n.nodes {
		n.start(node)
	}
	n.waitForTables(t, 30*time.Second)
	n.run(10 * time.Second)
	paused := n.nodes[0]
	for range 10 {
		n.pause(paused)
		n.run(20 * time.Second)
		n.resume(paused)
		for range 100 {
			n.run(tickInterval)
			for _, member := range paused.machine.View().Members {
				if member.State != membership.Alive {
					t.Fatalf("%s is held in state %d after a pause of %s", member.ID, member.State, paused.self.ID)
				}
			}
		}
		n.run(10 * time.Second)
	}
}
