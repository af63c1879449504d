package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminegate/internal/state"
)

func serviceTicket(number uint64, name string, slots int) state.Ticket {
	return state.Ticket{
		Number: number,
		Services: []state.Service{{
			Name: name, Slots: slots, Connections: 120, QueueLength: 12, QueueTimeout: state.Duration(time.Second),
		}},
		Routes: []state.Route{{
			Name: "to-" + name, PathPrefix: "/" + name, Service: name, Class: state.ClassInteractive,
			Timeout: state.Duration(time.Second), MaxAttempts: 1,
		}},
	}
}

// drawTicket returns a valid ticket, or one that reuses the highest number or leaves
// a route without its service.
func drawTicket(t *rapid.T, highest uint64) state.Ticket {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "service")
	number := highest + rapid.Uint64Range(0, 2).Draw(t, "step")
	ticket := serviceTicket(max(number, 1), name, rapid.IntRange(1, 9).Draw(t, "slots"))
	if rapid.IntRange(0, 3).Draw(t, "dangling") == 0 {
		ticket.Services, ticket.RemoveServices = nil, []string{name}
	}
	return ticket
}

// No node installs an older version than before or a state that was not accepted,
// and all nodes reach the newest version once the faults end. The faults are lost,
// duplicated, reordered and corrupted messages, crashes, pauses, partitions,
// incomplete member tables and trimmed logs.
func TestFleetNeverGoesBackAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 5).Draw(t, "per domain"), t.Fatalf)
		f.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss rate")
		f.corruptionRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "corruption rate")
		f.run(time.Second)
		for range rapid.IntRange(5, 40).Draw(t, "operations") {
			f.runRandomOperation(t)
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		f.heal()
		f.run(40 * time.Second)
		f.requireConverged()
		if f.currentReports == 0 && f.reference.Version().Position > 0 {
			f.fail("no reader has found its configuration to be the newest")
		}
	})
}

func (f *fleet) runRandomOperation(t *rapid.T) {
	switch rapid.IntRange(0, 12).Draw(t, "operation") {
	case 0, 1, 2, 3, 4, 5, 6, 7, 8:
		f.runRandomNodeOperation(t)
	case 9:
		f.trim()
	default:
		f.publish(drawTicket(t, f.reference.HighestNumber()))
	}
}

// runRandomNodeOperation crashes, starts, pauses or resumes a node, changes a
// partition, restarts the fleet, or gives a node an incomplete member table.
func (f *fleet) runRandomNodeOperation(t *rapid.T) {
	n := rapid.SampledFrom(f.nodes).Draw(t, "node")
	switch rapid.IntRange(0, 8).Draw(t, "operation on nodes") {
	case 0:
		f.crash(n)
	case 1:
		if !n.up {
			f.start(n)
		}
	case 2:
		n.paused = n.up
	case 3:
		if n.paused && n.up {
			f.resume(n)
		}
	case 4:
		f.platformDown = !f.platformDown
	case 5:
		f.platformPartitioned[n.member.Domain] = !f.platformPartitioned[n.member.Domain]
	case 6:
		f.domainsPartitioned = !f.domainsPartitioned
	case 7: // restart the whole fleet
		for _, n := range f.nodes {
			f.start(n)
		}
	default:
		f.showIncompleteView(n)
	}
}

// newConvergedFleet returns a fleet without faults whose nodes serve with the first
// ticket.
func newConvergedFleet(t *testing.T, domains, perDomain int) *fleet {
	f := newFleet(7, domains, perDomain, t.Fatalf)
	f.publish(serviceTicket(1, "a", 1))
	f.run(10 * time.Second)
	f.requireConverged()
	return f
}

// readsPerMinute returns the number of log reads of a converged fleet in one minute
// with ten tickets.
func readsPerMinute(t *testing.T, perDomain int) int {
	f := newConvergedFleet(t, 2, perDomain)
	f.ticketReads = 0
	for i := range 10 {
		f.publish(serviceTicket(uint64(i)+2, "a", i+1))
		f.run(6 * time.Second)
	}
	f.requireConverged()
	return f.ticketReads
}

func TestPlatformReadsDoNotGrowWithTheDomain(t *testing.T) {
	small, large := readsPerMinute(t, 4), readsPerMinute(t, 60)
	if large > small+small/10 {
		t.Fatalf("%d reads a minute with 4 nodes in a domain, %d with 60", small, large)
	}
}

// Without faults each ticket, including the first one, is pushed exactly once to
// each node except the roots, and no node pulls.
func TestPushTreePushesOncePerNode(t *testing.T) {
	f := emptyFleet(7, t.Fatalf)
	f.maxLatency, f.pollEvery = time.Millisecond, time.Millisecond
	f.fill(2, 40)
	f.run(10 * time.Second)
	for number := range 3 {
		clear(f.pushedTo)
		f.pulls = 0
		f.publish(serviceTicket(uint64(number)+1, "a", number+1))
		f.run(50 * time.Millisecond)
		f.requireConverged()
		f.run(time.Second)
		total := 0
		for _, pushes := range f.pushedTo {
			total += pushes
		}
		if want := 2 * (40 - 1); total != want || f.pulls > 0 {
			t.Fatalf("%d pushes and %d pulls for 80 nodes, want %d and none", total, f.pulls, want)
		}
	}
}

// A failed push is repeated once to the peer, and the update is also pushed to the
// peer's children in its place.
func TestFailedPush(t *testing.T) {
	f := newConvergedFleet(t, 1, 7)
	root := newTopology(f.nodes[0].member, f.view(f.nodes[0])).tree[0]
	machine := f.find(root.ID).machine
	order := newTopology(root, f.view(f.find(root.ID))).tree
	data, err := serviceTicket(2, "a", 2).Encode()
	if err != nil {
		t.Fatal(err)
	}
	pushes := func(event Event) (peers []string) {
		for _, action := range machine.Step(f.now, event) {
			if push, ok := action.(PushUpdate); ok {
				peers = append(peers, push.Peer.ID)
			}
		}
		return peers
	}
	failed := PushDone{PeerID: order[1].ID, Failed: true}
	steps := []struct {
		event Event
		want  []string
	}{
		{TicketsRead{[]Record{{Offset: 1, Data: data}}}, []string{order[1].ID, order[2].ID}},
		{failed, []string{order[1].ID, order[3].ID, order[4].ID}},
		{failed, nil},
		{PushDone{PeerID: order[2].ID, Version: machine.Fold().Version()}, []string{order[2].ID}}, // peer is behind: push again
	}
	for i, step := range steps {
		if got := pushes(step.event); !slices.Equal(got, step.want) {
			t.Fatalf("step %d pushes to %v, want %v", i, got, step.want)
		}
	}
}

// A domain without access to the platform gets updates from other domains. A node
// that restarts there installs nothing until the platform has responded, because
// it cannot know how far the log reaches.
func TestDomainWithoutPlatformFollowsPeers(t *testing.T) {
	f := newConvergedFleet(t, 3, 6)
	f.platformPartitioned["d0"] = true
	f.publish(serviceTicket(2, "a", 2))
	f.run(4 * time.Second)
	f.requireConverged()
	f.crash(f.nodes[0])
	f.start(f.nodes[0])
	f.run(20 * time.Second)
	if f.nodes[0].installed != nil {
		t.Fatal("a restarted node installed a configuration before the platform responded")
	}
	f.platformPartitioned["d0"] = false
	f.run(15 * time.Second)
	f.requireConverged()
}

// The second reader pushes in place of the first one if the first is paused but
// still counts as alive in the member table.
func TestBackupReaderPushes(t *testing.T) {
	f := emptyFleet(7, t.Fatalf)
	f.maxLatency, f.pollEvery = time.Millisecond, time.Millisecond
	f.fill(1, 20)
	f.run(10 * time.Second)
	first := f.find(newTopology(f.nodes[0].member, f.view(f.nodes[0])).tree[0].ID)
	first.paused = true
	f.publish(serviceTicket(2, "a", 2))
	f.run(backupPushDelay + 50*time.Millisecond)
	behind := 0
	for _, n := range f.nodes {
		if n != first && installedVersion(n) != f.reference.Version() {
			behind++
		}
	}
	if behind > 0 {
		t.Fatalf("%d nodes miss the newest version while the first reader is paused", behind)
	}
}

// A fleet whose nodes all restart recovers from a checkpoint and a trimmed log. If
// the log is trimmed and no checkpoint exists, the nodes install nothing rather than
// an empty configuration.
func TestColdStartFromCheckpoint(t *testing.T) {
	f := newConvergedFleet(t, 2, 8)
	f.run(time.Minute)
	if len(f.checkpoints) == 0 {
		t.Fatal("no checkpoint was written in a minute")
	}
	f.publish(serviceTicket(2, "b", 2))
	f.run(time.Minute)
	f.trim()
	restart := func() {
		for _, n := range f.nodes {
			f.crash(n)
		}
		for _, n := range f.nodes {
			f.start(n)
		}
		f.run(30 * time.Second)
	}
	restart()
	f.requireConverged()
	f.checkpoints = nil
	restart()
	for _, n := range f.nodes {
		if n.installed != nil {
			t.Fatalf("%s installed %v although the first tickets are trimmed and no checkpoint exists", n.member.ID, installedVersion(n))
		}
	}
}

// Checkpoints are written about once per interval, normally by one reader, and
// frequent restarts of all nodes do not increase their number much.
func TestCheckpointBudget(t *testing.T) {
	f := newConvergedFleet(t, 3, 8)
	const minutes = 10
	for i := range minutes {
		f.publish(serviceTicket(uint64(i)+2, "a", i+1))
		f.run(time.Minute)
		if i%2 == 0 {
			for _, n := range f.nodes {
				f.crash(n)
				f.start(n)
			}
		}
	}
	// The interval is 20 s, so 3 are due per minute; two simultaneous writers are
	// allowed.
	if count := len(f.checkpoints); count < minutes || count > minutes*3*2 {
		t.Fatalf("%d checkpoints in %d minutes, want between 1 and 6 per minute", count, minutes)
	}
}

// When nearly all nodes of a domain start together, all join in time although each
// node limits the rate of full states, and few of them read the log.
func TestSimultaneousJoinsReadLogRarely(t *testing.T) {
	f := newConvergedFleet(t, 1, 80)
	for _, n := range f.nodes[1:] {
		f.crash(n)
	}
	f.ticketReads = 0
	for _, n := range f.nodes[1:] {
		f.start(n)
	}
	f.run(15 * time.Second)
	f.requireConverged()
	if f.ticketReads > 80/2 {
		t.Fatalf("%d log reads for 79 joining nodes, want at most 40", f.ticketReads)
	}
}

// A domain that was partitioned from the platform and from the other domains for
// 30 tickets catches up with incremental updates, on average at most one pull and
// four pushes per node, and few log reads.
func TestHealedPartitionCatchesUpIncrementally(t *testing.T) {
	f := newConvergedFleet(t, 3, 20)
	f.platformPartitioned["d0"] = true
	f.domainsPartitioned = true
	for i := range 30 {
		f.publish(serviceTicket(uint64(i)+2, "a", i+1))
		f.run(2 * time.Second)
	}
	clear(f.pushedTo)
	f.pulls, f.fullStates, f.ticketReads = 0, 0, 0
	f.heal()
	f.run(4 * time.Second)
	f.requireConverged()
	pushes := 0
	for _, n := range f.pushedTo {
		pushes += n
	}
	// The 30 tickets arrive in four reads, and each read is pushed at most once to
	// each node.
	if f.fullStates > 0 || f.pulls > 20 || pushes > 4*20 || f.ticketReads > 20 {
		t.Fatalf("%d full states, %d pulls, %d pushes, %d log reads after healing, want at most 0, 20, 80, 20", f.fullStates, f.pulls, pushes, f.ticketReads)
	}
}

// The rate of full states is limited, and a refused pull gets a retry delay.
// Incremental updates are not limited.
func TestFullStatesAreLimited(t *testing.T) {
	f := newConvergedFleet(t, 1, 2)
	machine := f.nodes[0].machine
	sendFullStates := func() (sent int) {
		for range 100 {
			for _, action := range machine.Step(f.now, PullReceived{}) {
				response, ok := action.(RespondToPull)
				if ok && response.Response.RetryAfter == 0 {
					sent++
				}
			}
		}
		return sent
	}
	if first, second := sendFullStates(), sendFullStates(); first != 20 || second != 0 {
		t.Fatalf("sent %d full states, then %d, want 20 and 0", first, second)
	}
	f.now = f.now.Add(500 * time.Millisecond)
	if later := sendFullStates(); later != 10 {
		t.Fatalf("sent %d full states half a second later, want 10", later)
	}
	for range 100 {
		actions := machine.Step(f.now, PullReceived{From: machine.Fold().Version()})
		if response, ok := actions[0].(RespondToPull); !ok || response.Response.RetryAfter != 0 {
			t.Fatal("an incremental pull was refused")
		}
	}
}

// Two runs with the same seed have the same numbers of scheduled deliveries, log
// reads and pushes.
func TestSameSeedGivesSameRun(t *testing.T) {
	trace := func() string {
		f := newFleet(3, 2, 5, t.Fatalf)
		f.lossRate = 0.2
		for i := range 10 {
			f.publish(serviceTicket(uint64(i)+1, "a", i+1))
			f.run(time.Second)
		}
		return fmt.Sprint(f.scheduled, f.ticketReads, f.pushedTo)
	}
	if first, second := trace(), trace(); first != second {
		t.Fatalf("first run %s, second run %s", first, second)
	}
}
