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

// drawTicket returns a good ticket, or one that dangles, repeats or is stale.
func drawTicket(t *rapid.T, highest uint64) state.Ticket {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "service")
	number := highest + rapid.Uint64Range(0, 2).Draw(t, "step")
	ticket := serviceTicket(max(number, 1), name, rapid.IntRange(1, 9).Draw(t, "slots"))
	if rapid.IntRange(0, 3).Draw(t, "dangling") == 0 {
		ticket.Services, ticket.RemoveServices = nil, []string{name}
	}
	return ticket
}

// Under losses, repeats, crossed and damaged messages, crashes, pauses, cuts,
// wrong member tables and trimmed logs no node goes back or installs anything but an accepted state, and
// after healing all reach the newest.
func TestFleetKeepsVersionsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 5).Draw(t, "per domain"), t.Fatalf)
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		f.damage = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "damage")
		f.run(time.Second)
		for range rapid.IntRange(5, 40).Draw(t, "operations") {
			f.operate(t)
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		f.heal()
		f.run(40 * time.Second)
		f.requireConverged()
	})
}

func (f *fleet) operate(t *rapid.T) {
	switch rapid.IntRange(0, 12).Draw(t, "operation") {
	case 0, 1, 2, 3, 4, 5, 6, 7, 8:
		f.operateNodes(t)
	case 9:
		f.trim()
	default:
		f.publish(drawTicket(t, f.reference.HighestNumber()))
	}
}

// operateNodes changes what nodes run and reach.
func (f *fleet) operateNodes(t *rapid.T) {
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
		f.platformCut[n.member.Domain] = !f.platformCut[n.member.Domain]
	case 6:
		f.domainsCut = !f.domainsCut
	case 7: // the whole fleet restarts
		for _, n := range f.nodes {
			f.start(n)
		}
	default:
		f.misinform(n)
	}
}

// settled returns a fleet without faults that has joined.
func settled(t *testing.T, domains, perDomain int) *fleet {
	f := newFleet(7, domains, perDomain, t.Fatalf)
	f.publish(serviceTicket(1, "a", 1))
	f.run(10 * time.Second)
	f.requireConverged()
	return f
}

// readsPerMinute returns the reads of a joined fleet with ten tickets a minute.
func readsPerMinute(t *testing.T, perDomain int) int {
	f := settled(t, 2, perDomain)
	f.reads = 0
	for i := range 10 {
		f.publish(serviceTicket(uint64(i)+2, "a", i+1))
		f.run(6 * time.Second)
	}
	f.requireConverged()
	return f.reads
}

func TestPlatformReadsDoNotGrowWithTheDomain(t *testing.T) {
	small, large := readsPerMinute(t, 4), readsPerMinute(t, 60)
	if large > small+small/10 {
		t.Fatalf("%d reads a minute with 4 nodes in a domain, %d with 60", small, large)
	}
}

// Without faults each ticket, the very first included, is pushed once to each
// node but the roots, and nobody has to pull.
func TestPushTreeSendsOnce(t *testing.T) {
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

// A failed push goes to the peer once more and to its children in its place.
func TestFailedPush(t *testing.T) {
	f := settled(t, 1, 7)
	root := newRoster(f.nodes[0].member, f.view(f.nodes[0])).order[0]
	machine := f.find(root.ID).machine
	order := newRoster(root, f.view(f.find(root.ID))).order
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
		{PushDone{PeerID: order[2].ID, Version: machine.Fold().Version()}, []string{order[2].ID}}, // behind: sent again
	}
	for i, step := range steps {
		if got := pushes(step.event); !slices.Equal(got, step.want) {
			t.Fatalf("step %d pushes to %v, want %v", i, got, step.want)
		}
	}
}

// A domain that is cut from the platform follows its peers, and a restarted
// node does not serve until it has heard the platform.
func TestDomainWithoutPlatformFollowsPeers(t *testing.T) {
	f := settled(t, 3, 6)
	f.platformCut["d0"] = true
	f.publish(serviceTicket(2, "a", 2))
	f.run(4 * time.Second)
	f.requireConverged()
	f.crash(f.nodes[0])
	f.start(f.nodes[0])
	f.run(20 * time.Second)
	if f.nodes[0].installed != nil {
		t.Fatal("a node that restarted serves before it has heard the platform")
	}
	f.platformCut["d0"] = false
	f.run(15 * time.Second)
	f.requireConverged()
}

// The first reader is paused while it still counts as alive: the second pushes.
func TestBackupReaderPushes(t *testing.T) {
	f := emptyFleet(7, t.Fatalf)
	f.maxLatency, f.pollEvery = time.Millisecond, time.Millisecond
	f.fill(1, 20)
	f.run(10 * time.Second)
	first := f.find(newRoster(f.nodes[0].member, f.view(f.nodes[0])).order[0].ID)
	first.paused = true
	f.publish(serviceTicket(2, "a", 2))
	f.run(backupDelay + 50*time.Millisecond)
	behind := 0
	for _, n := range f.nodes {
		if n != first && applied(n) != f.reference.Version() {
			behind++
		}
	}
	if behind > 0 {
		t.Fatalf("%d nodes are behind while the first reader is paused", behind)
	}
}

// A cold fleet comes back from a checkpoint and a trimmed log alone, and without
// the checkpoint the trimmed log is not an empty configuration.
func TestColdFleet(t *testing.T) {
	f := settled(t, 2, 8)
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
			t.Fatalf("%s serves %v without the tickets before the trimmed log", n.member.ID, applied(n))
		}
	}
}

// Checkpoints are refreshed, by one writer, and a storm of restarts does not
// make more.
func TestCheckpointBudget(t *testing.T) {
	f := settled(t, 3, 8)
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
	// The interval is 20 s; two writers at once are allowed for.
	if count := len(f.checkpoints); count < minutes || count > minutes*3*2 {
		t.Fatalf("%d checkpoints in %d minutes", count, minutes)
	}
}

// A herd that joins is admitted by the token limit and reads the platform
// little.
func TestHerdJoins(t *testing.T) {
	f := settled(t, 1, 80)
	for _, n := range f.nodes[1:] {
		f.crash(n)
	}
	f.reads = 0
	for _, n := range f.nodes[1:] {
		f.start(n)
	}
	f.run(15 * time.Second)
	f.requireConverged()
	if f.reads > 80/2 {
		t.Fatalf("%d reads for 79 joining nodes", f.reads)
	}
}

// A domain that was cut off from everything for long catches up by differences,
// with about one pull or push for each node, and without reading more.
func TestHealingMakesNoStorm(t *testing.T) {
	f := settled(t, 3, 20)
	f.platformCut["d0"] = true
	f.domainsCut = true
	for i := range 30 {
		f.publish(serviceTicket(uint64(i)+2, "a", i+1))
		f.run(2 * time.Second)
	}
	clear(f.pushedTo)
	f.pulls, f.wholes, f.reads = 0, 0, 0
	f.heal()
	f.run(4 * time.Second)
	f.requireConverged()
	pushes := 0
	for _, n := range f.pushedTo {
		pushes += n
	}
	// The 30 tickets come in four reads, and each is pushed at most once a node.
	if f.wholes > 0 || f.pulls > 20 || pushes > 4*20 || f.reads > 20 {
		t.Fatalf("%d whole states, %d pulls, %d pushes, %d reads after healing", f.wholes, f.pulls, pushes, f.reads)
	}
}

// Whole states are limited per second; a refused node is told when to come back.
// Updates that the kept history gives are not limited.
func TestWholeStatesAreLimited(t *testing.T) {
	f := settled(t, 1, 2)
	machine := f.nodes[0].machine
	whole := func() (given int) {
		for range 100 {
			for _, action := range machine.Step(f.now, PullReceived{}) {
				answer, ok := action.(RespondToPull)
				if ok && answer.Answer.RetryAfter == 0 {
					given++
				}
			}
		}
		return given
	}
	if first, second := whole(), whole(); first != 20 || second != 0 {
		t.Fatalf("gave %d whole states, then %d, want 20 and 0", first, second)
	}
	f.now = f.now.Add(500 * time.Millisecond)
	if later := whole(); later != 10 {
		t.Fatalf("gave %d whole states half a second later, want 10", later)
	}
	for range 100 {
		actions := machine.Step(f.now, PullReceived{From: machine.Fold().Version()})
		if answer, ok := actions[0].(RespondToPull); !ok || answer.Answer.RetryAfter != 0 {
			t.Fatal("a node that lacks nothing was refused")
		}
	}
}

// The same seed gives the same run.
func TestRunsReplay(t *testing.T) {
	trace := func() string {
		f := newFleet(3, 2, 5, t.Fatalf)
		f.loss = 0.2
		for i := range 10 {
			f.publish(serviceTicket(uint64(i)+1, "a", i+1))
			f.run(time.Second)
		}
		return fmt.Sprint(f.count, f.reads, f.pushedTo)
	}
	if first, second := trace(), trace(); first != second {
		t.Fatalf("first %s, second %s", first, second)
	}
}
