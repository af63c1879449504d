package keyed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminegate/internal/coordination/call"
)

// newQuietWorld returns a world in which everything is delivered at once.
func newQuietWorld(t *testing.T, use func(w *world)) {
	done := false
	rapid.Check(t, func(t *rapid.T) {
		if !done {
			use(newWorld(t))
		}
		done = true
	})
}

// flush delivers all that is on its way.
func (w *world) flush() {
	for len(w.network) > 0 {
		w.deliver(0)
	}
}

// restart ends the gates' processes and starts new ones that have joined.
func (w *world) restart(gates ...*worldGate) {
	for _, g := range gates {
		g.up = false
	}
	for _, g := range gates {
		g.incarnation++
		g.up = true
	}
	for _, g := range gates {
		w.boot(g)
	}
	w.now = w.now.Add(testSettle)
	for _, g := range gates {
		w.step(g, Tick{})
	}
	w.flush()
}

// age lets the gates' first retention pass.
func (w *world) age() {
	w.now = w.now.Add(testRetention + testPatience + testSettle)
	for _, g := range w.gates {
		w.step(g, Tick{})
	}
}

// outsider returns a gate that is no candidate.
func (w *world) outsider(ranked []*worldGate) *worldGate {
	for _, g := range w.gates {
		if !slices.Contains(ranked, g) {
			return g
		}
	}
	return nil
}

// ranking returns the key's candidates, its home first.
func (w *world) ranking(key string) []*worldGate {
	var ranked []*worldGate
	for _, g := range w.gates[0].machine.candidates(key) {
		ranked = append(ranked, w.named(g.ID))
	}
	return ranked
}

// TestAfterTheKeyRan lets a key run at its home, breaks something, and sends it
// to a gate again: it is admitted only as a repeat that starts nothing.
func TestAfterTheKeyRan(t *testing.T) {
	cases := map[string]struct {
		// breaks returns the gate that the repeat goes to.
		breaks func(w *world, ranked []*worldGate) *worldGate
		reason call.Reason
	}{
		"nothing":         {breaks: func(_ *world, ranked []*worldGate) *worldGate { return ranked[0] }},
		"another gate":    {breaks: func(_ *world, ranked []*worldGate) *worldGate { return ranked[1] }, reason: call.ReasonKeyClaimed},
		"home restarted":  {breaks: func(w *world, ranked []*worldGate) *worldGate { w.restart(ranked[0]); return ranked[0] }, reason: call.ReasonKeyClaimed},
		"home gone":       {breaks: func(w *world, ranked []*worldGate) *worldGate { ranked[0].up = false; return w.outsider(ranked) }, reason: call.ReasonKeyClaimed},
		"three restarted": {breaks: func(w *world, ranked []*worldGate) *worldGate { w.restart(ranked[:3]...); return ranked[0] }, reason: call.ReasonKeyUncertain},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			newQuietWorld(t, func(w *world) {
				is := is.New(t)
				w.age()
				ranked := w.ranking("key")
				w.step(ranked[0], Admit{Token: 1, Key: "key"})
				w.flush()
				is.Equal(w.admitted, 1)
				at := tc.breaks(w, ranked)
				w.refused = ""
				w.step(at, Admit{Token: 2, Key: "key"})
				w.flush()
				is.Equal(w.admitted, 1)
				is.Equal(w.refused, tc.reason)
			})
		})
	}
}

// TestOneDeathBlocksNoKey holds that new keys go on with any one gate gone.
func TestOneDeathBlocksNoKey(t *testing.T) {
	newQuietWorld(t, func(w *world) {
		is := is.New(t)
		w.age()
		w.gates[0].up = false
		for i := range 100 {
			w.step(w.gates[1+i%5], Admit{Token: uint64(i), Key: fmt.Sprint("new-", i)})
			w.flush()
		}
		is.Equal(w.admitted, 100)
	})
}

// youngWorld returns a world whose gates all saw each other come within the
// retention, so that none counts as settled.
func youngWorld(t *testing.T, use func(w *world)) {
	newQuietWorld(t, func(w *world) {
		for _, g := range w.gates {
			for _, held := range g.machine.members {
				held.changed = w.now
			}
		}
		use(w)
	})
}

// TestPlannedStopInYoungFleet holds that new keys go on after a gate of a young
// fleet left, and that a key which the gate ran is not run again.
func TestPlannedStopInYoungFleet(t *testing.T) {
	youngWorld(t, func(w *world) {
		is := is.New(t)
		leaver := w.gates[0]
		w.step(leaver, Admit{Token: 1, Key: "ran"})
		w.flush()
		w.step(leaver, Leave{})
		w.flush()
		is.Equal(w.handed, 1)
		leaver.up = false
		for _, g := range w.gates[1:] {
			g.view[leaver.id] = leaver.truth()
			w.share(g)
		}
		for i, g := range w.gates[1:] {
			w.refused = ""
			w.step(g, Admit{Token: uint64(100 + i), Key: "ran"})
			w.flush()
			is.Equal(w.refused, call.ReasonKeyClaimed)
		}
		is.Equal(w.admitted, 1)
		for i := range 100 {
			w.step(w.gates[1+i%5], Admit{Token: uint64(200 + i), Key: fmt.Sprint("new-", i)})
			w.flush()
		}
		is.Equal(w.admitted, 101)
	})
}

// TestLostQuestionInYoungFleet holds that a question which got no answer is asked
// once more: where no gate is settled, every one must answer.
func TestLostQuestionInYoungFleet(t *testing.T) {
	youngWorld(t, func(w *world) {
		is := is.New(t)
		for i := range 20 {
			w.step(w.gates[i%worldGates], Admit{Token: uint64(i), Key: fmt.Sprint("new-", i)})
			w.lose(i % (worldGates - 1))
			w.flush()
			is.Equal(w.admitted, i+1)
		}
	})
}

// TestMisjudgedGateInYoungFleet holds that new keys go on after a gate was held
// for dead: the process that came back remembers what it recorded.
func TestMisjudgedGateInYoungFleet(t *testing.T) {
	youngWorld(t, func(w *world) {
		is := is.New(t)
		misjudged := w.gates[0]
		for _, g := range w.gates[1:] {
			g.view[misjudged.id] = Gate{ID: misjudged.id, Incarnation: misjudged.incarnation}
			w.share(g)
			g.view[misjudged.id] = misjudged.truth()
			w.share(g)
		}
		for i := range 20 {
			w.step(w.gates[i%worldGates], Admit{Token: uint64(i), Key: fmt.Sprint("new-", i)})
			w.flush()
			is.Equal(w.admitted, i+1)
		}
	})
}

// TestFormerProcessInNotes holds that a gate which is told of an earlier process
// of another one does not count on the memory of the later.
func TestFormerProcessInNotes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	self, other := Gate{ID: "gate-a", Incarnation: 1, Running: true}, Gate{ID: "gate-b", Incarnation: 2, Running: true}
	m := New(now, Options{Self: self, Retention: testRetention, StartupPeriod: testSettle, ClaimTimeout: testPatience})
	m.Step(now, SetGates{Gates: []Gate{self, other}})
	is.True(!m.recent(m.members["gate-b"].lost))
	m.takeNotes([]GateHistory{{Gate: Gate{ID: "gate-b", Incarnation: 1}, SinceMembershipChange: time.Second}})
	is.True(m.recent(m.members["gate-b"].lost))
}

// TestHandOverInParts holds that more claims than fit into one message all
// arrive.
func TestHandOverInParts(t *testing.T) {
	newQuietWorld(t, func(w *world) {
		is := is.New(t)
		leaver := w.gates[0]
		for i := range handOverBatch + 1 {
			leaver.machine.hold(fmt.Sprint("key-", i), ClaimID{Gate: leaver.id, Incarnation: 1, Serial: uint64(i + 1)})
		}
		w.step(leaver, Leave{})
		w.flush()
		is.Equal(w.handed, 1)
		for _, g := range w.gates[1:] {
			is.Equal(g.machine.ClaimCount(), handOverBatch+1)
			is.True(g.machine.members[leaver.id].handedOver())
		}
	})
}

// BenchmarkClaim is the work for one admitted key in a service of 500 gates: at
// the gate that claims it, and at one that records another's claim.
func BenchmarkClaim(b *testing.B) {
	now := time.Unix(1e9, 0)
	var gates []Gate
	for i := range 500 {
		gates = append(gates, Gate{ID: fmt.Sprintf("gate-%d", i), Incarnation: 1, Running: true})
	}
	machine := New(now, Options{Self: gates[0], Retention: testRetention, StartupPeriod: testSettle, ClaimTimeout: testPatience})
	machine.Step(now, SetGates{Gates: gates})
	machine.introduced = true
	now = now.Add(testRetention + testPatience + testSettle + 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := fmt.Sprint("key-", i)
		for _, action := range machine.Step(now, Admit{Token: uint64(i), Key: key}) {
			ask := action.(SendRequest)
			machine.Step(now, ResponseReceived{Serial: ask.Serial, From: ask.To, Kind: ask.Request.Kind, Response: Response{State: Recorded}})
		}
		other := ClaimID{Gate: "gate-1", Incarnation: 1, Serial: uint64(i)}
		machine.Step(now, RequestReceived{Request: Request{Kind: Record, Key: "other-" + key, ClaimID: other, ToIncarnation: 1}})
	}
}
