package keyed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminegate/internal/coordination/call"
)

const (
	testRetention     = time.Minute
	testStartupPeriod = time.Second
	testClaimTimeout  = 2 * time.Second
	// maxTableLag bounds how long a gate's member table may differ from the actual
	// state of the gates.
	maxTableLag = 10 * time.Second
	// maxQueueTime bounds how long an admitted call waits before it starts.
	maxQueueTime = 5 * time.Second
	// simulationSteps is the number of random events in one simulation.
	simulationSteps = 6000
	gateCount       = 6
	keyCount        = 3
)

// message is a request in transit, or its response if response is set.
type message struct {
	from, to *simulatedGate
	// fromIncarnation is the incarnation that sent the request.
	fromIncarnation uint64
	sent            SendRequest
	response        *Response
}

// queuedCall is an admitted call in the queue of its gate.
type queuedCall struct {
	Admitted
	since time.Time
}

// simulatedGate is a gate process with its member table.
type simulatedGate struct {
	id          string
	incarnation uint64
	up          bool
	started     time.Time
	machine     *Machine
	table       map[string]Gate
	// wrongSince is when the table entry of another gate became wrong.
	wrongSince map[string]time.Time
	pending    []queuedCall
	// keys holds the idempotency key of each call by its token.
	keys     map[uint64]string
	draining bool
}

// simulation runs gates with a virtual clock, over a network that loses, reorders
// and delays messages, while gates crash, restart, drain, are partitioned and are
// falsely taken for dead.
type simulation struct {
	t           *rapid.T
	random      *rand.Rand
	now         time.Time
	gates       []*simulatedGate
	network     []message
	partitioned map[[2]string]bool
	runs        map[string][]time.Time
	token       uint64
	admitted    int
	replays     int
	handovers   int
	refused     call.Reason
}

func newSimulation(t *rapid.T) *simulation {
	return simulationWithSeed(t, rapid.Uint64().Draw(t, "seed"))
}

func simulationWithSeed(t *rapid.T, seed uint64) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0),
		partitioned: make(map[[2]string]bool), runs: make(map[string][]time.Time),
	}
	for i := range gateCount {
		s.gates = append(s.gates, &simulatedGate{id: fmt.Sprintf("gate-%d", i), incarnation: 1, up: true})
	}
	for _, g := range s.gates {
		s.boot(g)
	}
	s.completeStartup()
	return s
}

// completeStartup advances the clock by the startup period and completes the
// history sync of all gates without faults.
func (s *simulation) completeStartup() {
	s.now = s.now.Add(testStartupPeriod)
	for _, g := range s.gates {
		s.step(g, Tick{})
	}
	for len(s.network) > 0 {
		s.deliver(0)
	}
}

func (s *simulation) boot(g *simulatedGate) {
	g.up, g.started = true, s.now
	g.table, g.wrongSince = make(map[string]Gate), make(map[string]time.Time)
	g.pending, g.keys, g.draining = nil, make(map[uint64]string), false
	for _, other := range s.gates {
		g.table[other.id] = other.actual()
	}
	g.machine = New(s.now, Options{Self: g.actual(), Retention: testRetention, StartupPeriod: testStartupPeriod, ClaimTimeout: testClaimTimeout})
	s.updateTable(g)
}

// actual returns the gate's actual state, which tables may not show yet.
func (g *simulatedGate) actual() Gate {
	return Gate{ID: g.id, Incarnation: g.incarnation, Running: g.up}
}

// updateTable passes the gate's table to its machine.
func (s *simulation) updateTable(g *simulatedGate) {
	var gates []Gate
	for _, other := range s.gates {
		gates = append(gates, g.table[other.id])
	}
	s.step(g, SetGates{Gates: gates})
}

func (s *simulation) step(g *simulatedGate, event Event) {
	for _, action := range g.machine.Step(s.now, event) {
		switch a := action.(type) {
		case SendRequest:
			s.network = append(s.network, message{from: g, to: s.gateByID(a.To), fromIncarnation: g.incarnation, sent: a})
		case Refused:
			s.refused = a.Reason
		case Admitted:
			if a.ReplayOnly {
				s.replays++
				continue
			}
			if g.draining {
				continue // a draining gate refuses the call itself
			}
			s.admitted++
			g.pending = append(g.pending, queuedCall{Admitted: a, since: s.now})
		case HandedOver:
			s.handovers++
		case SendResponse:
			// deliver appended the request last; this assumes that the step has sent no
			// request before its SendResponse.
			s.network[len(s.network)-1].response = &a.Response
		}
	}
}

func (s *simulation) gateByID(id string) *simulatedGate {
	for _, g := range s.gates {
		if g.id == id {
			return g
		}
	}
	panic("unknown gate " + id)
}

// deliver delivers one message. A request is replaced by its response in transit.
func (s *simulation) deliver(index int) {
	m := s.network[index]
	s.network = append(s.network[:index], s.network[index+1:]...)
	if m.response != nil {
		s.notifySender(m, ResponseReceived{Serial: m.sent.Serial, From: m.to.id, Kind: m.sent.Request.Kind, Response: *m.response})
		return
	}
	if !m.to.up || s.partitioned[pair(m.from, m.to)] {
		s.notifySender(m, RequestFailed{Serial: m.sent.Serial, From: m.to.id, Kind: m.sent.Request.Kind})
		return
	}
	s.network = append(s.network, m)
	s.step(m.to, RequestReceived{Request: m.sent.Request})
}

func (s *simulation) notifySender(m message, event Event) {
	if m.from.up && m.from.incarnation == m.fromIncarnation && m.sent.Request.Kind != Withdraw {
		s.step(m.from, event)
	}
}

// lose drops a message and reports the failed request to its sender.
func (s *simulation) lose(index int) {
	m := s.network[index]
	s.network = append(s.network[:index], s.network[index+1:]...)
	s.notifySender(m, RequestFailed{Serial: m.sent.Serial, From: m.to.id, Kind: m.sent.Request.Kind})
}

func pair(a, b *simulatedGate) [2]string { return [2]string{min(a.id, b.id), max(a.id, b.id)} }

// runNext runs the oldest admitted call of the gate, or releases its claim. It fails
// the test if a call with the key has run within the retention, less the time that a
// call may wait in the queue.
func (s *simulation) runNext(g *simulatedGate) {
	if len(g.pending) == 0 || !g.up {
		return
	}
	a := g.pending[0]
	g.pending = g.pending[1:]
	key := g.keys[a.Token]
	if s.random.IntN(4) == 0 || s.now.Sub(a.since) > maxQueueTime {
		s.step(g, Release{Key: key, Serial: a.Serial})
		return
	}
	for _, at := range s.runs[key] {
		if s.now.Sub(at) <= testRetention-maxQueueTime {
			s.t.Fatalf("a second call with %s ran at %s, %s after the first", key, g.id, s.now.Sub(at))
		}
	}
	s.runs[key] = append(s.runs[key], s.now)
}

// advance advances the clock and corrects the table entries that have been wrong for
// maxTableLag.
func (s *simulation) advance(by time.Duration) {
	s.now = s.now.Add(by)
	for _, g := range s.gates {
		if !g.up {
			continue
		}
		for _, other := range s.gates {
			if g.table[other.id] == other.actual() {
				delete(g.wrongSince, other.id)
				continue
			}
			if _, known := g.wrongSince[other.id]; !known {
				g.wrongSince[other.id] = s.now
			}
			if s.now.Sub(g.wrongSince[other.id]) >= maxTableLag {
				g.table[other.id] = other.actual()
			}
		}
		s.updateTable(g)
	}
}

// mayStop reports whether the gate may be stopped. The guarantee requires that some
// other running process has been up for the whole retention, or since the start of
// the simulation.
func (s *simulation) mayStop(g *simulatedGate) bool {
	for _, other := range s.gates {
		old := other.started.Equal(time.Unix(1e9, 0)) || s.now.Sub(other.started) > testRetention+maxTableLag
		if other != g && other.up && old {
			return g.up
		}
	}
	return false
}

func (s *simulation) randomEvent() {
	g := s.gates[s.random.IntN(len(s.gates))]
	other := s.gates[s.random.IntN(len(s.gates))]
	switch roll := s.random.IntN(1000); {
	case roll < 40:
		s.call(g)
	case roll < 760:
		if len(s.network) > 0 {
			s.deliver(s.random.IntN(len(s.network)))
		}
	case roll < 780:
		if len(s.network) > 0 {
			s.lose(s.random.IntN(len(s.network)))
		}
	case roll < 850:
		s.runNext(g)
	case roll < 970:
		s.advance(time.Duration(s.random.IntN(int(time.Second))))
	case roll < 973:
		s.stopOrStart(g)
	case roll < 983:
		if g != other {
			s.partitioned[pair(g, other)] = !s.partitioned[pair(g, other)]
		}
	case roll < 996:
		clear(s.partitioned)
	default:
		s.declareDead(g, other)
	}
}

// stopOrStart stops the gate, starts it, or makes it drain. A draining gate is stopped
// when stopOrStart next gets it, whether or not its handover has completed.
func (s *simulation) stopOrStart(g *simulatedGate) {
	if g.up && s.mayStop(g) {
		if s.random.IntN(3) > 0 && !g.draining && len(g.pending) == 0 && len(g.machine.attempts) == 0 {
			g.draining = true
			s.step(g, Leave{})
			return
		}
		g.up = false
		return
	}
	if !g.up {
		g.incarnation++
		s.boot(g)
	}
}

// declareDead makes a gate that has been up for maxTableLag take another one for
// dead.
func (s *simulation) declareDead(g, other *simulatedGate) {
	if g == other || !g.up || s.now.Sub(g.started) < maxTableLag || s.random.IntN(4) > 0 {
		return
	}
	seen := g.table[other.id]
	seen.Running = false
	g.table[other.id] = seen
	s.updateTable(g)
}

func (s *simulation) call(g *simulatedGate) {
	if !g.up {
		return
	}
	s.token++
	key := fmt.Sprintf("key-%d", s.random.IntN(keyCount))
	g.keys[s.token] = key
	s.step(g, Admit{Token: s.token, Key: key})
}

// TestKeyRunsOnce checks that no two calls with the same key run within the retention
// less maxQueueTime, whichever messages are lost, delayed or reordered and whichever
// gates start, stop, drain, are partitioned or falsely taken for dead.
func TestKeyRunsOnce(t *testing.T) {
	admitted, replays, handovers := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range simulationSteps {
			s.randomEvent()
		}
		admitted += s.admitted
		replays += s.replays
		handovers += s.handovers
	})
	if admitted == 0 || replays == 0 || handovers == 0 {
		t.Fatalf("%d calls admitted, %d replays recognised, %d handovers: each must be above 0 for the test to prove anything", admitted, replays, handovers)
	}
	t.Logf("%d calls admitted, %d replays recognised", admitted, replays)
}

// failedSeeds are seeds with which two calls with the same key ran. 0x1d1: a claim
// expired one retention after it was recorded, although its call was admitted later.
// 0x33e2afac: a contested claim expired with the older of the two claims. 0x7c1491:
// a gate responded NotHeld to a Confirm of its own claim after a handover had made
// the claim contested.
var failedSeeds = []uint64{0x1d1, 0x33e2afac, 0x7c1491}

// TestFailedSeeds runs the simulation with each of failedSeeds. rapid.Check only
// supplies the *rapid.T; its further iterations do nothing.
func TestFailedSeeds(t *testing.T) {
	next := 0
	rapid.Check(t, func(t *rapid.T) {
		if next == len(failedSeeds) {
			return
		}
		s := simulationWithSeed(t, failedSeeds[next])
		next++
		for range simulationSteps {
			s.randomEvent()
		}
	})
}
