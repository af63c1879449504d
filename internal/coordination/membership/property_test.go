package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminegate/internal/coordination/membership"
)

const (
	// freshAge is the greatest age at which a summary confirms a version.
	freshAge = 3 * time.Second
	// checkInterval is the virtual time between two checks of the invariants.
	checkInterval = 100 * time.Millisecond
	// convergeTimeout is how long the tables may take to converge after all faults
	// have ended.
	convergeTimeout = 60 * time.Second
)

// inForcePosition returns the position up to which the node would report
// tickets as in force.
func inForcePosition(view *membership.View, summaries []membership.Summary) uint64 {
	least := ^uint64(0)
	domainFresh := make(map[string]bool)
	for _, s := range summaries {
		domainFresh[s.Domain] = domainFresh[s.Domain] || s.Age <= freshAge
		if s.Age <= freshAge {
			least = min(least, s.LeastPosition)
		}
	}
	for _, member := range view.Members {
		if !domainFresh[member.Domain] {
			return 0
		}
	}
	for _, fresh := range domainFresh {
		if !fresh {
			return 0
		}
	}
	return least
}

// checkInForce returns an error text if a node serves an older version than one
// that another node would report as in force.
func (n *network) checkInForce() string {
	for _, reader := range n.nodes {
		if !reader.running || reader.paused || reader.hasSuccessor {
			continue
		}
		position := inForcePosition(reader.machine.View(), reader.machine.Summaries(n.now))
		if position == ^uint64(0) {
			continue
		}
		for _, node := range n.nodes {
			serves := node.running && node.hasJoined && node.machine.Serving(n.now)
			if serves && node.position < position {
				return fmt.Sprintf("at %v %s reports %d in force, %s (paused %v, has successor %v) serves %d",
					n.now.Sub(epoch), reader.self.ID, position, node.self.ID, node.paused, node.hasSuccessor, node.position)
			}
		}
	}
	return ""
}

// recordOrderCheck stores the latest record that each process had of each member.
type recordOrderCheck map[recordKey]membership.Member

type recordKey struct {
	node    *fakeNode
	process int
	member  string
}

// check returns an error text if an older record replaced a later one.
func (c recordOrderCheck) check(n *network) string {
	for _, node := range n.nodes {
		if !node.running {
			continue
		}
		for _, member := range node.machine.View().Members {
			key := recordKey{node: node, process: node.process, member: member.ID}
			previous := c[key]
			if member.Incarnation < previous.Incarnation ||
				member.Incarnation == previous.Incarnation && member.Revision < previous.Revision {
				return fmt.Sprintf("%s reverted %s from %+v to %+v", node.self.ID, member.ID, previous, member)
			}
			c[key] = member
		}
	}
	return ""
}

func drawNode(t *rapid.T, n *network) *fakeNode {
	return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")]
}

// drawCut draws which nodes cannot reach each other.
func drawCut(t *rapid.T, n *network) {
	kind := rapid.SampledFrom([]string{"none", "domain", "halves", "single"}).Draw(t, "cut")
	side := make(map[string]bool)
	switch kind {
	case "domain":
		domain := drawNode(t, n).self.Domain
		for _, node := range n.nodes {
			side[node.self.ID] = node.self.Domain == domain
		}
	case "halves":
		for _, node := range n.nodes {
			side[node.self.ID] = rapid.Bool().Draw(t, "side")
		}
	case "single":
		side[drawNode(t, n).self.ID] = true
	}
	n.blocked = func(a, b *fakeNode) bool {
		return side[a.self.ID] != side[b.self.ID]
	}
}

// drawFault applies a random fault or change to a random node or to the network.
func drawFault(t *rapid.T, n *network) {
	node := drawNode(t, n)
	switch rapid.SampledFrom([]string{
		"kill", "start", "pause", "resume", "replace", "cut", "platform", "publish", "publish", "loss", "target",
	}).Draw(t, "fault") {
	case "kill":
		n.kill(node)
	case "start":
		if !node.hasSuccessor {
			n.start(node)
		}
	case "pause":
		n.pause(node)
	case "resume":
		n.resume(node)
	case "replace":
		if !node.hasSuccessor && len(n.nodes) < 20 {
			n.replace(node, len(n.nodes))
		}
	case "cut":
		drawCut(t, n)
	case "platform":
		node.platformReachable = !node.platformReachable
	case "publish":
		n.newest++
	case "loss":
		n.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		n.duplication = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "twice")
		n.latency = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 150 * time.Millisecond}).Draw(t, "latency")
	case "target":
		if node.running && !node.hasSuccessor {
			node.self.Service = rapid.SampledFrom([]string{"service", "other", ""}).Draw(t, "service")
			n.feed(node, membership.TargetChanged{Service: node.self.Service, Slots: 20, State: membership.TargetReady})
		}
	}
}

// clearFaults ends all faults and starts all stopped nodes except those with a
// successor.
func (n *network) clearFaults() {
	n.loss, n.duplication, n.latency = 0, 0, 2*time.Millisecond
	n.blocked = func(a, b *fakeNode) bool { return false }
	for _, node := range n.nodes {
		node.platformReachable = true
		n.resume(node)
		if !node.running && !node.hasSuccessor {
			n.start(node)
		}
	}
}

// TestInvariantsUnderFaults checks under random faults that no node reports a version
// as in force while another serves an older one, and that no record goes back to an
// earlier incarnation or revision. Once the faults have ended, every table must list
// exactly the running nodes as live, and all nodes that were not replaced must serve
// and confirm the newest version.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		n.newest = 1
		// A fleet of one node has no peer to contact, and has no fence.
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		n.addDomains(domains, rapid.IntRange(max(1, 3-domains), 5).Draw(t, "nodes"))
		for _, node := range n.nodes {
			n.start(node)
		}
		order := make(recordOrderCheck)
		runChecked := func(period time.Duration) {
			for end := n.now.Add(period); n.now.Before(end); {
				n.run(checkInterval)
				if violation := n.checkInForce(); violation != "" {
					t.Fatal(violation)
				}
				if violation := order.check(n); violation != "" {
					t.Fatal(violation)
				}
			}
		}
		runChecked(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			drawFault(t, n)
			runChecked(time.Duration(rapid.IntRange(0, 12000).Draw(t, "wait ms")) * time.Millisecond)
		}
		n.clearFaults()
		n.waitForTables(t, convergeTimeout)
		runChecked(20 * time.Second)
		n.checkRecovered(t)
	})
}

// checkRecovered checks that the tables are still right, that exactly the nodes
// without a successor serve, and that each of these confirms the newest version.
func (n *network) checkRecovered(t *rapid.T) {
	if d := n.firstTableError(); d != "" {
		t.Fatalf("tables deviate again: %s", d)
	}
	for _, node := range n.nodes {
		if node.hasSuccessor {
			if node.running && node.machine.Serving(n.now) {
				t.Fatalf("%s serves although another instance uses its ID", node.self.ID)
			}
			continue
		}
		if !node.machine.Serving(n.now) {
			t.Fatalf("%s does not serve", node.self.ID)
		}
	}
	for range 10 {
		for _, node := range n.nodes {
			n.feed(node, membership.SummariesRequested{})
		}
		n.run(time.Second)
	}
	for _, node := range n.nodes {
		if node.hasSuccessor {
			continue
		}
		if got := inForcePosition(node.machine.View(), node.machine.Summaries(n.now)); got != n.newest {
			t.Fatalf("%s confirms %d of %d: %+v", node.self.ID, got, n.newest, node.machine.Summaries(n.now))
		}
	}
}
