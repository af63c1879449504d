package spread

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// newestTicketRead returns the newest ticket, as a compacted log does.
func (f *fleet) newestTicketRead() Event {
	f.newestReads++
	response := NewestTicketRead{Next: f.logEnd()}
	if last := len(f.tickets) - 1; last >= 0 {
		response.Records = []Record{{Offset: f.logEnd() - 1, Data: f.tickets[last]}}
	}
	return response
}

// replacingTicket returns a ticket that replaces the configuration by the named
// services and a route to each.
func replacingTicket(number uint64, names []string, slots int) state.Ticket {
	ticket := state.Ticket{Number: number, Replace: true}
	for _, name := range names {
		single := serviceTicket(number, name, slots)
		ticket.Services = append(ticket.Services, single.Services...)
		ticket.Routes = append(ticket.Routes, single.Routes...)
	}
	return ticket
}

func newCompactedLogFleet(t interface{ Fatalf(string, ...any) }, seed uint64, domains, perDomain int) *fleet {
	f := emptyFleet(seed, t.Fatalf)
	f.compactedLog = true
	f.fill(domains, perDomain)
	return f
}

// TestCompactedLogFleetNeverGoesBackAndConverges checks the same properties as
// TestFleetNeverGoesBackAndConverges on a log that keeps the newest ticket and may
// drop all others at any time. It also checks that no checkpoints are written.
func TestCompactedLogFleetNeverGoesBackAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCompactedLogFleet(t, rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 4).Draw(t, "per domain"))
		f.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss rate")
		f.corruptionRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "corruption rate")
		f.run(time.Second)
		for range rapid.IntRange(5, 40).Draw(t, "operations") {
			f.runRandomCompactedLogOperation(t)
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		f.publish(replacingTicket(f.reference.HighestNumber()+1, []string{"a"}, 1))
		f.heal()
		f.run(40 * time.Second)
		f.requireConverged()
		if len(f.checkpoints) > 0 {
			t.Fatalf("%d checkpoints were written with a compacted log, want none", len(f.checkpoints))
		}
	})
}

func (f *fleet) runRandomCompactedLogOperation(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "operation on compacted log") {
	case 0:
		f.firstOffset = int64(len(f.tickets)) // only ReadNewestTicket still returns the newest ticket
	case 1, 2:
		names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID[string]).Draw(t, "services")
		number := f.reference.HighestNumber() + rapid.Uint64Range(1, 7).Draw(t, "step")
		f.publish(replacingTicket(number, names, rapid.IntRange(1, 9).Draw(t, "slots")))
	default:
		f.runRandomNodeOperation(t)
	}
}

// TestCompactedLogFleetStartsFromNewestTicket checks that a fleet installs nothing
// before the first ticket, and that it restarts from the one ticket that is kept.
func TestCompactedLogFleetStartsFromNewestTicket(t *testing.T) {
	f := newCompactedLogFleet(t, 7, 2, 3)
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		if n.installed != nil {
			t.Fatalf("%s installed a configuration before the first ticket", n.member.ID)
		}
	}
	f.publish(replacingTicket(3, []string{"a", "b"}, 1))
	f.publish(replacingTicket(9, []string{"b"}, 2))
	f.firstOffset = int64(len(f.tickets))
	f.run(time.Second)
	f.requireConverged()
	for _, n := range f.nodes {
		f.start(n)
	}
	f.run(time.Second)
	f.requireConverged()
}

// TestCompactedLogJoinReadsWithinShortJitter checks that a starting node reads the end
// of a compacted log within compactedLogJoinJitter. The longer joinJitter spreads the
// longer reads that other logs need.
func TestCompactedLogJoinReadsWithinShortJitter(t *testing.T) {
	now := time.Unix(1e9, 0)
	for seed := range uint64(100) {
		machine := New(Options{Self: memberOf("a"), Readers: 2, FanOut: 8, PullsPerSecond: 20, CompactedLog: true, Seed: seed})
		machine.Step(now, Tick{})
		actions := machine.Step(now.Add(compactedLogJoinJitter), Tick{})
		if len(actions) != 1 || actions[0] != (ReadBounds{Stream: StreamTickets}) {
			t.Fatalf("seed %d: actions %s after the start are %v, want one ReadBounds for the join", seed, compactedLogJoinJitter, actions)
		}
	}
}

func memberOf(id string) membership.Member {
	return membership.Member{ID: id, Domain: "casa-port", Incarnation: 1, State: membership.Alive}
}
