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

// withReliableNetwork runs use once on a simulation. Its network neither loses nor
// reorders messages as long as use delivers them by deliverAll. rapid.Check only
// supplies the *rapid.T; its further iterations do nothing.
func withReliableNetwork(t *testing.T, use func(s *simulation)) {
	done := false
	rapid.Check(t, func(t *rapid.T) {
		if !done {
			use(newSimulation(t))
		}
		done = true
	})
}

// deliverAll delivers all messages in transit, in order.
func (s *simulation) deliverAll() {
	for len(s.network) > 0 {
		s.deliver(0)
	}
}

// restart stops the gates' processes, starts later incarnations of them and waits
// until these have joined.
func (s *simulation) restart(gates ...*simulatedGate) {
	for _, g := range gates {
		g.up = false
	}
	for _, g := range gates {
		g.incarnation++
		g.up = true
	}
	for _, g := range gates {
		s.boot(g)
	}
	s.now = s.now.Add(testStartupPeriod)
	for _, g := range gates {
		s.step(g, Tick{})
	}
	s.deliverAll()
}

// passRetention advances the clock until every gate is established.
func (s *simulation) passRetention() {
	s.now = s.now.Add(testRetention + testClaimTimeout + testStartupPeriod)
	for _, g := range s.gates {
		s.step(g, Tick{})
	}
}

// nonCandidate returns a gate that is not in ranked.
func (s *simulation) nonCandidate(ranked []*simulatedGate) *simulatedGate {
	for _, g := range s.gates {
		if !slices.Contains(ranked, g) {
			return g
		}
	}
	return nil
}

// rankedCandidates returns the key's candidates, its primary first.
func (s *simulation) rankedCandidates(key string) []*simulatedGate {
	var ranked []*simulatedGate
	for _, g := range s.gates[0].machine.candidates(key) {
		ranked = append(ranked, s.gateByID(g.ID))
	}
	return ranked
}

// TestRetryIsNotRunAgain admits a call with a key at the key's primary, stops or
// restarts gates, and sends the call again: it must be refused, or admitted as
// ReplayOnly.
func TestRetryIsNotRunAgain(t *testing.T) {
	cases := map[string]struct {
		// disrupt changes the gates and returns the one that gets the retry.
		disrupt func(s *simulation, ranked []*simulatedGate) *simulatedGate
		reason  call.Reason
	}{
		"same gate":         {disrupt: func(_ *simulation, ranked []*simulatedGate) *simulatedGate { return ranked[0] }},
		"another gate":      {disrupt: func(_ *simulation, ranked []*simulatedGate) *simulatedGate { return ranked[1] }, reason: call.ReasonKeyClaimed},
		"primary restarted": {disrupt: func(s *simulation, ranked []*simulatedGate) *simulatedGate { s.restart(ranked[0]); return ranked[0] }, reason: call.ReasonKeyClaimed},
		"primary stopped": {disrupt: func(s *simulation, ranked []*simulatedGate) *simulatedGate {
			ranked[0].up = false
			return s.nonCandidate(ranked)
		}, reason: call.ReasonKeyClaimed},
		"three restarted": {disrupt: func(s *simulation, ranked []*simulatedGate) *simulatedGate {
			s.restart(ranked[:3]...)
			return ranked[0]
		}, reason: call.ReasonKeyUncertain},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withReliableNetwork(t, func(s *simulation) {
				is := is.New(t)
				s.passRetention()
				ranked := s.rankedCandidates("key")
				s.step(ranked[0], Admit{Token: 1, Key: "key"})
				s.deliverAll()
				is.Equal(s.admitted, 1)
				at := tc.disrupt(s, ranked)
				s.refused = ""
				s.step(at, Admit{Token: 2, Key: "key"})
				s.deliverAll()
				is.Equal(s.admitted, 1)
				is.Equal(s.refused, tc.reason)
			})
		})
	}
}

// TestNewKeysWithOneGateDown checks that new keys are admitted while one gate is
// down.
func TestNewKeysWithOneGateDown(t *testing.T) {
	withReliableNetwork(t, func(s *simulation) {
		is := is.New(t)
		s.passRetention()
		s.gates[0].up = false
		for i := range 100 {
			s.step(s.gates[1+i%5], Admit{Token: uint64(i), Key: fmt.Sprint("new-", i)})
			s.deliverAll()
		}
		is.Equal(s.admitted, 100)
	})
}

// withRecentGates runs use on a reliable simulation in which every gate saw all
// others join within the retention, so none is established.
func withRecentGates(t *testing.T, use func(s *simulation)) {
	withReliableNetwork(t, func(s *simulation) {
		for _, g := range s.gates {
			for _, known := range g.machine.members {
				known.changedAt = s.now
			}
		}
		use(s)
	})
}

// TestPlannedStopWithRecentGates checks that, after a gate has left a service
// without established gates, new keys are admitted and no call runs with the key of a
// call that the gate admitted.
func TestPlannedStopWithRecentGates(t *testing.T) {
	withRecentGates(t, func(s *simulation) {
		is := is.New(t)
		draining := s.gates[0]
		s.step(draining, Admit{Token: 1, Key: "ran"})
		s.deliverAll()
		s.step(draining, Leave{})
		s.deliverAll()
		is.Equal(s.handovers, 1)
		draining.up = false
		for _, g := range s.gates[1:] {
			g.table[draining.id] = draining.actual()
			s.updateTable(g)
		}
		for i, g := range s.gates[1:] {
			s.refused = ""
			s.step(g, Admit{Token: uint64(100 + i), Key: "ran"})
			s.deliverAll()
			is.Equal(s.refused, call.ReasonKeyClaimed)
		}
		is.Equal(s.admitted, 1)
		for i := range 100 {
			s.step(s.gates[1+i%5], Admit{Token: uint64(200 + i), Key: fmt.Sprint("new-", i)})
			s.deliverAll()
		}
		is.Equal(s.admitted, 101)
	})
}

// TestLostRequestWithRecentGates checks that a request without a response is sent
// once more. With no established gate, every candidate must respond, so a single
// lost message would otherwise refuse the key.
func TestLostRequestWithRecentGates(t *testing.T) {
	withRecentGates(t, func(s *simulation) {
		is := is.New(t)
		for i := range 20 {
			s.step(s.gates[i%gateCount], Admit{Token: uint64(i), Key: fmt.Sprint("new-", i)})
			s.lose(i % (gateCount - 1))
			s.deliverAll()
			is.Equal(s.admitted, i+1)
		}
	})
}

// TestFalselyDeadGateWithRecentGates checks that new keys are admitted after the
// other gates took a running gate for dead for a moment: the process is the same, so
// it still has the claims that it recorded.
func TestFalselyDeadGateWithRecentGates(t *testing.T) {
	withRecentGates(t, func(s *simulation) {
		is := is.New(t)
		falselyDead := s.gates[0]
		for _, g := range s.gates[1:] {
			g.table[falselyDead.id] = Gate{ID: falselyDead.id, Incarnation: falselyDead.incarnation}
			s.updateTable(g)
			g.table[falselyDead.id] = falselyDead.actual()
			s.updateTable(g)
		}
		for i := range 20 {
			s.step(s.gates[i%gateCount], Admit{Token: uint64(i), Key: fmt.Sprint("new-", i)})
			s.deliverAll()
			is.Equal(s.admitted, i+1)
		}
	})
}

// TestEarlierIncarnationInHistory checks that a gate which learns of an earlier
// incarnation of another gate takes that gate as restarted, so without the earlier
// incarnation's claims.
func TestEarlierIncarnationInHistory(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	self, other := Gate{ID: "gate-a", Incarnation: 1, Running: true}, Gate{ID: "gate-b", Incarnation: 2, Running: true}
	m := New(now, Options{Self: self, Retention: testRetention, StartupPeriod: testStartupPeriod, ClaimTimeout: testClaimTimeout})
	m.Step(now, SetGates{Gates: []Gate{self, other}})
	is.True(!m.withinRetention(m.members["gate-b"].restartedAt))
	m.mergeHistory([]GateHistory{{Gate: Gate{ID: "gate-b", Incarnation: 1}, SinceMembershipChange: time.Second}})
	is.True(m.withinRetention(m.members["gate-b"].restartedAt))
}

// TestHandOverInBatches checks that all claims arrive when they do not fit into one
// message.
func TestHandOverInBatches(t *testing.T) {
	withReliableNetwork(t, func(s *simulation) {
		is := is.New(t)
		draining := s.gates[0]
		for i := range handOverBatch + 1 {
			draining.machine.recordClaim(fmt.Sprint("key-", i), ClaimID{Gate: draining.id, Incarnation: 1, Serial: uint64(i + 1)})
		}
		s.step(draining, Leave{})
		s.deliverAll()
		is.Equal(s.handovers, 1)
		for _, g := range s.gates[1:] {
			is.Equal(g.machine.ClaimCount(), handOverBatch+1)
			is.True(g.machine.members[draining.id].handedOver())
		}
	})
}

// BenchmarkClaim measures the work for one admitted key in a service of 500 gates:
// one claim at the gate that makes it, and one claim recorded for another gate.
func BenchmarkClaim(b *testing.B) {
	now := time.Unix(1e9, 0)
	var gates []Gate
	for i := range 500 {
		gates = append(gates, Gate{ID: fmt.Sprintf("gate-%d", i), Incarnation: 1, Running: true})
	}
	machine := New(now, Options{Self: gates[0], Retention: testRetention, StartupPeriod: testStartupPeriod, ClaimTimeout: testClaimTimeout})
	machine.Step(now, SetGates{Gates: gates})
	machine.historySynced = true
	now = now.Add(testRetention + testClaimTimeout + testStartupPeriod + 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := fmt.Sprint("key-", i)
		for _, action := range machine.Step(now, Admit{Token: uint64(i), Key: key}) {
			request := action.(SendRequest)
			machine.Step(now, ResponseReceived{Serial: request.Serial, From: request.To, Kind: request.Request.Kind, Response: Response{State: Recorded}})
		}
		other := ClaimID{Gate: "gate-1", Incarnation: 1, Serial: uint64(i)}
		machine.Step(now, RequestReceived{Request: Request{Kind: Record, Key: "other-" + key, ClaimID: other, ToIncarnation: 1}})
	}
}
