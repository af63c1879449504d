package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminegate/internal/coordination/membership"
)

const (
	// freshAge is the age up to which a summary confirms a version.
	freshAge = 3 * time.Second
	// checkInterval is the virtual time between two checks of the invariants.
	checkInterval = 100 * time.Millisecond
	// settleBound is how long healed tables may take.
	settleBound = 60 * time.Second
)

// confirmed is the position up to which the node would call tickets in force.
func confirmed(view *membership.View, summaries []membership.Summary) uint64 {
	least := ^uint64(0)
	heard := make(map[string]bool)
	for _, s := range summaries {
		heard[s.Domain] = heard[s.Domain] || s.Age <= freshAge
		if s.Age <= freshAge {
			least = min(least, s.LeastPosition)
		}
	}
	for _, member := range view.Members {
		if !heard[member.Domain] {
			return 0
		}
	}
	for _, fresh := range heard {
		if !fresh {
			return 0
		}
	}
	return least
}

// checkInForce finds a node that serves an older version than one that another
// node would call in force.
func (n *network) checkInForce() string {
	for _, reader := range n.nodes {
		if !reader.running || reader.paused || reader.superseded {
			continue
		}
		position := confirmed(reader.machine.View(), reader.machine.Summaries(n.now))
		if position == ^uint64(0) {
			continue
		}
		for _, node := range n.nodes {
			serves := node.running && node.joined && node.machine.Serving(n.now)
			if serves && node.position < position {
				return fmt.Sprintf("at %v %s calls %d in force, %s (paused %v, superseded %v) serves %d",
					n.now.Sub(epoch), reader.self.ID, position, node.self.ID, node.paused, node.superseded, node.position)
			}
		}
	}
	return ""
}

// orderCheck remembers what each process held of each member.
type orderCheck map[orderKey]membership.Member

type orderKey struct {
	node    *fakeNode
	process int
	member  string
}

// check finds a record that was overridden by an older one.
func (c orderCheck) check(n *network) string {
	for _, node := range n.nodes {
		if !node.running {
			continue
		}
		for _, member := range node.machine.View().Members {
			key := orderKey{node: node, process: node.process, member: member.ID}
			former := c[key]
			if member.Incarnation < former.Incarnation ||
				member.Incarnation == former.Incarnation && member.Revision < former.Revision {
				return fmt.Sprintf("%s went back on %s from %+v to %+v", node.self.ID, member.ID, former, member)
			}
			c[key] = member
		}
	}
	return ""
}

func drawNode(t *rapid.T, n *network) *fakeNode {
	return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")]
}

// drawCut draws which nodes cannot hear each other.
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
	n.cut = func(a, b *fakeNode) bool {
		return side[a.self.ID] != side[b.self.ID]
	}
}

// drawFault brings about one fault or change.
func drawFault(t *rapid.T, n *network) {
	node := drawNode(t, n)
	switch rapid.SampledFrom([]string{
		"kill", "start", "pause", "resume", "replace", "cut", "platform", "publish", "publish", "loss", "target",
	}).Draw(t, "fault") {
	case "kill":
		n.kill(node)
	case "start":
		if !node.superseded {
			n.start(node)
		}
	case "pause":
		n.pause(node)
	case "resume":
		n.resume(node)
	case "replace":
		if !node.superseded && len(n.nodes) < 20 {
			n.replace(node, len(n.nodes))
		}
	case "cut":
		drawCut(t, n)
	case "platform":
		node.platform = !node.platform
	case "publish":
		n.newest++
	case "loss":
		n.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		n.twice = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "twice")
		n.latency = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 150 * time.Millisecond}).Draw(t, "latency")
	case "target":
		if node.running && !node.superseded {
			node.self.Service = rapid.SampledFrom([]string{"service", "other", ""}).Draw(t, "service")
			n.feed(node, membership.TargetChanged{Service: node.self.Service, Slots: 20, State: membership.TargetReady})
		}
	}
}

// heal ends every fault.
func (n *network) heal() {
	n.loss, n.twice, n.latency = 0, 0, 2*time.Millisecond
	n.cut = func(a, b *fakeNode) bool { return false }
	for _, node := range n.nodes {
		node.platform = true
		n.resume(node)
		if !node.running && !node.superseded {
			n.start(node)
		}
	}
}

func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		n.newest = 1
		// A fleet of one node knows nobody whom it could hear, and has no fence.
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		n.addDomains(domains, rapid.IntRange(max(1, 3-domains), 5).Draw(t, "nodes"))
		for _, node := range n.nodes {
			n.start(node)
		}
		order := make(orderCheck)
		watch := func(period time.Duration) {
			for end := n.now.Add(period); n.now.Before(end); {
				n.run(checkInterval)
				if broken := n.checkInForce(); broken != "" {
					t.Fatal(broken)
				}
				if broken := order.check(n); broken != "" {
					t.Fatal(broken)
				}
			}
		}
		watch(10 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			drawFault(t, n)
			watch(time.Duration(rapid.IntRange(0, 12000).Draw(t, "wait ms")) * time.Millisecond)
		}
		n.heal()
		n.settle(t, settleBound)
		watch(20 * time.Second)
		n.checkHealed(t)
	})
}

// checkHealed checks that tables are right and stay so, that every node serves,
// and that the newest version is confirmed everywhere.
func (n *network) checkHealed(t *rapid.T) {
	if d := n.differences(); d != "" {
		t.Fatalf("tables went wrong again: %s", d)
	}
	for _, node := range n.nodes {
		if node.superseded {
			if node.running && node.machine.Serving(n.now) {
				t.Fatalf("%s serves though another instance has its ID", node.self.ID)
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
		if node.superseded {
			continue
		}
		if got := confirmed(node.machine.View(), node.machine.Summaries(n.now)); got != n.newest {
			t.Fatalf("%s confirms %d of %d: %+v", node.self.ID, got, n.newest, node.machine.Summaries(n.now))
		}
	}
}
