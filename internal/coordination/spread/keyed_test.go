package spread

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// newest answers with the newest ticket, as a keyed log does.
func (f *fleet) newest(read ReadNewestTicket) Event {
	answer := NewestTicketRead{ForJoin: read.ForJoin, Next: int64(len(f.tickets))}
	if last := len(f.tickets) - 1; last >= 0 {
		answer.Records = []Record{{Offset: int64(last), Data: f.tickets[last]}}
	}
	return answer
}

// wholeTicket is a whole configuration of some services.
func wholeTicket(number uint64, names []string, slots int) state.Ticket {
	whole := state.Ticket{Number: number, Replace: true}
	for _, name := range names {
		one := serviceTicket(number, name, slots)
		whole.Services = append(whole.Services, one.Services...)
		whole.Routes = append(whole.Routes, one.Routes...)
	}
	return whole
}

func newKeyedFleet(t interface{ Fatalf(string, ...any) }, seed uint64, domains, perDomain int) *fleet {
	f := emptyFleet(seed, t.Fatalf)
	f.keyed = true
	f.fill(domains, perDomain)
	return f
}

// TestKeyedFleetKeepsVersionsAndConverges is the property of the fleet on a log
// that keeps the newest ticket, and may drop all others at any time.
func TestKeyedFleetKeepsVersionsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newKeyedFleet(t, rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 4).Draw(t, "per domain"))
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		f.damage = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "damage")
		f.run(time.Second)
		for range rapid.IntRange(5, 40).Draw(t, "operations") {
			f.operateKeyed(t)
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		f.publish(wholeTicket(f.reference.HighestNumber()+1, []string{"a"}, 1))
		f.heal()
		f.run(40 * time.Second)
		f.requireConverged()
		if len(f.checkpoints) > 0 {
			t.Fatalf("%d checkpoints were written to a log that needs none", len(f.checkpoints))
		}
	})
}

func (f *fleet) operateKeyed(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "keyed operation") {
	case 0:
		f.first = int64(len(f.tickets)) // also the newest is only kept by its key
	case 1, 2:
		names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID[string]).Draw(t, "services")
		number := f.reference.HighestNumber() + rapid.Uint64Range(1, 7).Draw(t, "step")
		f.publish(wholeTicket(number, names, rapid.IntRange(1, 9).Draw(t, "slots")))
	default:
		f.operateNodes(t)
	}
}

// TestKeyedFleetStartsFromNewest holds that a fleet starts from the one kept
// ticket, and serves nothing before there is one.
func TestKeyedFleetStartsFromNewest(t *testing.T) {
	f := newKeyedFleet(t, 7, 2, 3)
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		if n.installed != nil {
			t.Fatalf("%s serves without a configuration", n.member.ID)
		}
	}
	f.publish(wholeTicket(3, []string{"a", "b"}, 1))
	f.publish(wholeTicket(9, []string{"b"}, 2))
	f.first = int64(len(f.tickets))
	f.run(time.Second)
	f.requireConverged()
	for _, n := range f.nodes {
		f.start(n)
	}
	f.run(time.Second)
	f.requireConverged()
}

// TestKeyedJoinAsksAtOnce holds that a starting node asks a log that gives it the
// whole configuration without the delay that spreads a herd's long reads.
func TestKeyedJoinAsksAtOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	for seed := range uint64(100) {
		machine := New(Options{Self: memberOf("a"), Readers: 2, FanOut: 8, PullsPerSecond: 20, CompactedLog: true, Seed: seed})
		machine.Step(now, Tick{})
		actions := machine.Step(now.Add(keyedJoinJitter), Tick{})
		if len(actions) != 1 || actions[0] != (ReadNewestTicket{ForJoin: true}) {
			t.Fatalf("seed %d: after %s the node does %v", seed, keyedJoinJitter, actions)
		}
	}
}

func memberOf(id string) membership.Member {
	return membership.Member{ID: id, Domain: "casa-port", Incarnation: 1, State: membership.Alive}
}
