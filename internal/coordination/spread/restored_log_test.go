package spread

import (
	"testing"
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/state"
)

// restoredFleet is a fleet on a log that can be restored from a copy.
type restoredFleet struct {
	*fleet
	number uint64
}

func newRestoredFleet(t *testing.T, seed uint64, domains, perDomain int) *restoredFleet {
	f := &restoredFleet{fleet: emptyFleet(seed, t.Fatalf)}
	f.compactedLog, f.era = true, 1
	f.fill(domains, perDomain)
	f.reference.SkipTo(f.logEnd())
	f.publishNext()
	f.run(5 * time.Second)
	f.requireConverged()
	return f
}

// publishNext publishes a new configuration.
func (f *restoredFleet) publishNext() {
	f.number += 2
	f.publish(replacingTicket(f.number, []string{"a", "b"}, int(f.number)))
}

// publishAgain publishes the newest configuration again.
func (f *restoredFleet) publishAgain() {
	f.publish(replacingTicket(f.number, []string{"a", "b"}, int(f.number)))
}

// restore takes away the last tickets of the log, as a log does that comes back from a
// copy, and begins its next era.
func (f *restoredFleet) restore(lost int) {
	f.tickets = f.tickets[:len(f.tickets)-lost]
	f.appendedAt = f.appendedAt[:len(f.tickets)]
	f.era++
	f.restoredAt = f.now
	f.reference.SkipTo(f.logEnd())
	if last := len(f.tickets) - 1; last >= 0 {
		restored := acceptance.New()
		if _, _, err := restored.ApplyReplacement(f.logEnd()-1, f.tickets[last]); err != nil {
			f.fail("restored ticket: %v", err)
		}
		f.digests[restored.Version().Position] = restored.Version().Digest
	}
}

// requireInForce fails unless all nodes run the newest configuration, wherever in the log
// it was accepted.
func (f *restoredFleet) requireInForce() {
	for _, n := range f.nodes {
		if got := installedVersion(n); got.Number != f.number || got.Digest != f.reference.Version().Digest {
			f.fail("%s is at %v, number %d, want number %d", n.member.ID, got, got.Number, f.number)
		}
	}
}

// requireFewReads fails if the nodes read the log more often than long polls and the
// retries of a failing reader do.
func (f *restoredFleet) requireFewReads(span time.Duration) {
	before := f.ticketReads + f.newestReads
	f.run(span)
	reads := f.ticketReads + f.newestReads - before
	if limit := len(f.nodes) * 4 * int(span/time.Second); reads > limit {
		f.fail("%d reads of the log in %v, want %d at most", reads, span, limit)
	}
}

// TestTicketsAfterRestoreStayOutOfForce guards against nodes that order tickets by offsets
// alone: the log gives them out again after it was restored, and nodes ignored all tickets
// up to the offset that they had reached before, at 10,000 reads a second.
func TestTicketsAfterRestoreStayOutOfForce(t *testing.T) {
	for seed := range uint64(20) {
		for _, again := range []bool{true, false} {
			f := newRestoredFleet(t, seed, 2, 3)
			for range 3 {
				f.publishNext()
				f.run(time.Second)
			}
			f.restore(3)
			if again {
				f.publishAgain()
			}
			f.requireFewReads(6 * time.Second)
			f.requireInForce()
			f.publishNext()
			f.requireFewReads(2 * time.Second)
			f.requireInForce()
		}
	}
}

// TestRestoreUnseenByDomainKeepsTicketsOutOfForce guards against a domain that the log turns
// away: it hears of the new era from its peers only.
func TestRestoreUnseenByDomainKeepsTicketsOutOfForce(t *testing.T) {
	for seed := range uint64(20) {
		f := newRestoredFleet(t, seed, 3, 3)
		f.platformPartitioned["d1"] = true
		for range 4 {
			f.publishNext()
			f.run(2 * time.Second)
		}
		f.restore(4)
		f.publishAgain()
		f.run(6 * time.Second)
		f.requireInForce()
		f.publishNext()
		f.run(2 * time.Second)
		f.requireInForce()
	}
}

// TestNodeStartedAfterRestoresNeverJoins guards against a node that starts after two
// restores and waits for an offset of an earlier era.
func TestNodeStartedAfterRestoresNeverJoins(t *testing.T) {
	for seed := range uint64(20) {
		f := newRestoredFleet(t, seed, 2, 3)
		for range 2 {
			f.publishNext()
			f.publishNext()
			f.run(time.Second)
			f.restore(2)
			f.publishAgain()
			f.run(8 * time.Second)
		}
		f.crash(f.nodes[int(seed)%len(f.nodes)])
		f.run(time.Second)
		f.start(f.nodes[int(seed)%len(f.nodes)])
		f.requireFewReads(2 * time.Second)
		f.requireInForce()
		f.publishNext()
		f.run(2 * time.Second)
		f.requireInForce()
	}
}

// TestFleetKilledAfterRestoreNeverJoins guards against a fleet that starts as a whole on a
// restored log and gets no configuration.
func TestFleetKilledAfterRestoreNeverJoins(t *testing.T) {
	f := newRestoredFleet(t, 1, 2, 3)
	for range 3 {
		f.publishNext()
		f.run(time.Second)
	}
	f.restore(3)
	f.publishAgain()
	f.run(time.Second)
	for _, n := range f.nodes {
		f.crash(n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.run(2 * time.Second)
	f.requireInForce()
}

// TestNodeStartedOnRestoredLogServesOlderTicket guards against a node that starts before the
// newest ticket was written again, and serves with the one in the copy.
func TestNodeStartedOnRestoredLogServesOlderTicket(t *testing.T) {
	for seed := range uint64(20) {
		f := newRestoredFleet(t, seed, 2, 3)
		for range 3 {
			f.publishNext()
			f.run(time.Second)
		}
		f.restore(3)
		f.acceptedNumber = f.number
		f.run(time.Second)
		for _, n := range f.nodes[:2] {
			f.crash(n)
			f.start(n)
		}
		f.requireFewReads(3 * time.Second)
		f.requireInForce()
		f.publishNext()
		f.run(2 * time.Second)
		f.requireInForce()
	}
}

// TestFleetStartedOnRestoredLogWaitsForLostTicket guards against nodes that start together on
// a log without the newest ticket, which none of them has, and never serve.
func TestFleetStartedOnRestoredLogWaitsForLostTicket(t *testing.T) {
	f := newRestoredFleet(t, 1, 2, 3)
	f.publishNext()
	f.run(time.Second)
	f.restore(1)
	f.acceptedNumber = f.number
	for _, n := range f.nodes {
		f.crash(n)
		n.highest = state.Version{}
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.run(maxJoinPeerWait)
	for _, n := range f.nodes {
		if n.installed == nil {
			t.Fatalf("%s serves nothing", n.member.ID)
		}
	}
	f.publishNext()
	f.run(2 * time.Second)
	f.requireInForce()
}

// TestEarlierReleaseStatesNoEra guards against nodes that take the versions of peers of an
// earlier release, which state no era, for ones of another era.
func TestEarlierReleaseStatesNoEra(t *testing.T) {
	now := time.Unix(1e9, 0)
	machine := New(Options{Self: memberOf("a"), Readers: 2, FanOut: 8, PullsPerSecond: 20, CompactedLog: true})
	machine.Step(now, Tick{})
	machine.Step(now, BoundsRead{Stream: StreamTickets, Next: state.LogPosition(4, 1)})
	data, err := replacingTicket(2, []string{"a"}, 1).Encode()
	if err != nil {
		t.Fatal(err)
	}
	machine.Step(now, NewestTicketRead{Records: []Record{{Offset: state.LogPosition(4, 0), Data: data}}, Next: state.LogPosition(4, 1)})
	peer := acceptance.New()
	for offset, slots := range []int{1, 2} {
		next, err := replacingTicket(uint64(2+offset), []string{"a"}, slots).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := peer.Apply(int64(offset), next); err != nil {
			t.Fatal(err)
		}
	}
	update := peer.FullUpdate()
	update.To.Number = 0
	machine.Step(now, PushReceived{Token: 1, Update: update})
	want := state.Version{Position: uint64(state.LogPosition(4, 2)), Number: 3, Digest: update.To.Digest}
	if got := machine.Fold().Version(); got != want {
		t.Fatalf("after a push of an earlier release the version is %v, want %v", got, want)
	}
}
