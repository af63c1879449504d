package membership_test

import (
	"fmt"
	"testing"
	"time"

	"jasminegate/internal/coordination/membership"
)

// tableError describes how a node's table deviates from the fleet; empty if it
// is right.
func (n *network) tableError(node *fakeNode) string {
	view := node.machine.View()
	records := make(map[string]membership.Member)
	for _, member := range view.Members {
		records[member.ID] = member
	}
	for _, other := range n.nodes {
		if other.hasSuccessor {
			continue
		}
		member, known := records[other.self.ID]
		live := member.State == membership.Alive
		if other.running && !(known && live && member.Incarnation == other.self.Incarnation) {
			return fmt.Sprintf("%s has %s in state %d, incarnation %d", node.self.ID, other.self.ID, member.State, member.Incarnation)
		}
		if other.running && member.Service != other.self.Service {
			return fmt.Sprintf("%s has an outdated target of %s", node.self.ID, other.self.ID)
		}
		if !other.running && known && (live || member.State == membership.Suspect) {
			return fmt.Sprintf("%s has the stopped %s as running", node.self.ID, other.self.ID)
		}
	}
	return ""
}

// firstTableError returns the first table error of a running node; empty if all
// tables are right.
func (n *network) firstTableError() string {
	for _, node := range n.nodes {
		if !node.running || node.hasSuccessor {
			continue
		}
		if d := n.tableError(node); d != "" {
			return d
		}
	}
	return ""
}

// waitForTables runs until every table is right, and returns the virtual time that
// it took. It fails the test after the bound.
func (n *network) waitForTables(t interface{ Fatalf(string, ...any) }, bound time.Duration) time.Duration {
	start := n.now
	for n.firstTableError() != "" {
		if n.now.Sub(start) > bound {
			t.Fatalf("tables not right after %v: %s", bound, n.firstTableError())
		}
		n.run(100 * time.Millisecond)
	}
	return n.now.Sub(start)
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
		{"no fault", func(n *network) {}},
		{"a node stops", func(n *network) { n.kill(n.nodes[2]) }},
		{"a node restarts at once", func(n *network) { n.start(n.nodes[2]) }},
		{"a node is paused and resumes", func(n *network) {
			n.pause(n.nodes[2])
			n.run(20 * time.Second)
			n.resume(n.nodes[2])
		}},
		{"a paused node is replaced", func(n *network) {
			n.pause(n.nodes[2])
			n.run(20 * time.Second)
			n.start(n.nodes[2])
		}},
		{"a whole domain stops and restarts", func(n *network) {
			for _, node := range n.nodes[:4] {
				n.kill(node)
			}
			n.run(30 * time.Second)
			for _, node := range n.nodes[:4] {
				n.start(node)
			}
		}},
		{"the whole fleet stops and restarts", func(n *network) {
			for _, node := range n.nodes {
				n.kill(node)
			}
			n.run(10 * time.Second)
			for _, node := range n.nodes {
				n.start(node)
			}
		}},
		{"a domain is isolated and reconnected", func(n *network) {
			n.blocked = separate(inDomain("domain-00"))
			n.run(60 * time.Second)
			n.blocked = func(a, b *fakeNode) bool { return false }
		}},
		{"a domain is split and reconnected", func(n *network) {
			first := map[*fakeNode]bool{n.nodes[0]: true, n.nodes[1]: true}
			n.blocked = separate(func(node *fakeNode) bool { return first[node] })
			n.run(60 * time.Second)
			n.blocked = func(a, b *fakeNode) bool { return false }
		}},
		{"half of the messages are lost for 30 seconds", func(n *network) {
			n.loss, n.duplication = 0.5, 0.3
			n.run(30 * time.Second)
			n.loss = 0
		}},
		{"relays on both sides of an isolated domain restart", func(n *network) {
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
				t.Fatalf("tables deviate again: %s", d)
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
					t.Fatalf("%s is in state %d after a pause of %s", member.ID, member.State, paused.self.ID)
				}
			}
		}
		n.run(10 * time.Second)
	}
}
