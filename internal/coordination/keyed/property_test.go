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
	testRetention = time.Minute
	testSettle    = time.Second
	testPatience  = 2 * time.Second
	// viewLag bounds how long a gate's table may be wrong.
	viewLag = 10 * time.Second
	// queueBound bounds how long an admitted call waits before it starts.
	queueBound = 5 * time.Second
	// worldSteps is how many things happen in one world.
	worldSteps = 6000
	worldGates = 6
	worldKeys  = 3
)

// message is a question on its way, or its answer on the way back.
type message struct {
	from, to *worldGate
	// fromIncarnation is the process that asked.
	fromIncarnation uint64
	ask             SendRequest
	answer          *Response
}

// waitingCall is an admitted call in the queue of its gate.
type waitingCall struct {
	Admitted
	since time.Time
}

// worldGate is a gate process with what it believes of the others.
type worldGate struct {
	id          string
	incarnation uint64
	up          bool
	started     time.Time
	machine     *Machine
	view        map[string]Gate
	// wrongSince is when the view of another last began to differ.
	wrongSince map[string]time.Time
	pending    []waitingCall
	keys       map[uint64]string
	leaving    bool
}

// world runs gates over a network that loses, reorders and delays, while gates
// crash, restart, pause and are cut off, under a virtual clock.
type world struct {
	t        *rapid.T
	random   *rand.Rand
	now      time.Time
	gates    []*worldGate
	network  []message
	cut      map[[2]string]bool
	runs     map[string][]time.Time
	token    uint64
	admitted int
	answered int
	handed   int
	refused  call.Reason
}

func newWorld(t *rapid.T) *world {
	return worldOf(t, rapid.Uint64().Draw(t, "seed"))
}

func worldOf(t *rapid.T, seed uint64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0),
		cut: make(map[[2]string]bool), runs: make(map[string][]time.Time),
	}
	for i := range worldGates {
		w.gates = append(w.gates, &worldGate{id: fmt.Sprintf("gate-%d", i), incarnation: 1, up: true})
	}
	for _, g := range w.gates {
		w.boot(g)
	}
	w.settle()
	return w
}

// settle lets the first introductions pass undisturbed.
func (w *world) settle() {
	w.now = w.now.Add(testSettle)
	for _, g := range w.gates {
		w.step(g, Tick{})
	}
	for len(w.network) > 0 {
		w.deliver(0)
	}
}

func (w *world) boot(g *worldGate) {
	g.up, g.started = true, w.now
	g.view, g.wrongSince = make(map[string]Gate), make(map[string]time.Time)
	g.pending, g.keys, g.leaving = nil, make(map[uint64]string), false
	for _, other := range w.gates {
		g.view[other.id] = other.truth()
	}
	g.machine = New(w.now, Options{Self: g.truth(), Retention: testRetention, StartupPeriod: testSettle, ClaimTimeout: testPatience})
	w.share(g)
}

func (g *worldGate) truth() Gate {
	return Gate{ID: g.id, Incarnation: g.incarnation, Running: g.up}
}

// share hands the gate's table to its machine.
func (w *world) share(g *worldGate) {
	var gates []Gate
	for _, other := range w.gates {
		gates = append(gates, g.view[other.id])
	}
	w.step(g, SetGates{Gates: gates})
}

func (w *world) step(g *worldGate, event Event) {
	for _, action := range g.machine.Step(w.now, event) {
		switch a := action.(type) {
		case SendRequest:
			w.network = append(w.network, message{from: g, to: w.named(a.To), fromIncarnation: g.incarnation, ask: a})
		case Refused:
			w.refused = a.Reason
		case Admitted:
			if a.ReplayOnly {
				w.answered++
				continue
			}
			if g.leaving {
				continue // the gate's own machine refuses it
			}
			w.admitted++
			g.pending = append(g.pending, waitingCall{Admitted: a, since: w.now})
		case HandedOver:
			w.handed++
		case SendResponse:
			w.network[len(w.network)-1].answer = &a.Response
		}
	}
}

func (w *world) named(id string) *worldGate {
	for _, g := range w.gates {
		if g.id == id {
			return g
		}
	}
	panic("no gate " + id)
}

// deliver passes on one message; a question becomes an answer on its way back.
func (w *world) deliver(index int) {
	m := w.network[index]
	w.network = append(w.network[:index], w.network[index+1:]...)
	if m.answer != nil {
		w.toAsker(m, ResponseReceived{Serial: m.ask.Serial, From: m.to.id, Kind: m.ask.Request.Kind, Response: *m.answer})
		return
	}
	if !m.to.up || w.cut[pair(m.from, m.to)] {
		w.toAsker(m, RequestFailed{Serial: m.ask.Serial, From: m.to.id, Kind: m.ask.Request.Kind})
		return
	}
	w.network = append(w.network, m)
	w.step(m.to, RequestReceived{Request: m.ask.Request})
}

func (w *world) toAsker(m message, event Event) {
	if m.from.up && m.from.incarnation == m.fromIncarnation && m.ask.Request.Kind != Withdraw {
		w.step(m.from, event)
	}
}

// lose drops a message; the asker hears that it was lost.
func (w *world) lose(index int) {
	m := w.network[index]
	w.network = append(w.network[:index], w.network[index+1:]...)
	w.toAsker(m, RequestFailed{Serial: m.ask.Serial, From: m.to.id, Kind: m.ask.Request.Kind})
}

func pair(a, b *worldGate) [2]string { return [2]string{min(a.id, b.id), max(a.id, b.id)} }

// run starts the oldest call that the keyed machine admitted, or gives it up.
func (w *world) run(g *worldGate) {
	if len(g.pending) == 0 || !g.up {
		return
	}
	a := g.pending[0]
	g.pending = g.pending[1:]
	key := g.keys[a.Token]
	if w.random.IntN(4) == 0 || w.now.Sub(a.since) > queueBound {
		w.step(g, Release{Key: key, Serial: a.Serial})
		return
	}
	for _, at := range w.runs[key] {
		if w.now.Sub(at) <= testRetention-queueBound {
			w.t.Fatalf("%s ran a second time, at %s, %s after the first", key, g.id, w.now.Sub(at))
		}
	}
	w.runs[key] = append(w.runs[key], w.now)
}

// advance lets time pass; tables that are wrong for viewLag are put right.
func (w *world) advance(by time.Duration) {
	w.now = w.now.Add(by)
	for _, g := range w.gates {
		if !g.up {
			continue
		}
		for _, other := range w.gates {
			if g.view[other.id] == other.truth() {
				delete(g.wrongSince, other.id)
				continue
			}
			if _, known := g.wrongSince[other.id]; !known {
				g.wrongSince[other.id] = w.now
			}
			if w.now.Sub(g.wrongSince[other.id]) >= viewLag {
				g.view[other.id] = other.truth()
			}
		}
		w.share(g)
	}
}

// mayEnd holds to what is promised: some process always remembers the last
// retention.
func (w *world) mayEnd(g *worldGate) bool {
	for _, other := range w.gates {
		old := other.started.Equal(time.Unix(1e9, 0)) || w.now.Sub(other.started) > testRetention+viewLag
		if other != g && other.up && old {
			return g.up
		}
	}
	return false
}

func (w *world) happen() {
	g := w.gates[w.random.IntN(len(w.gates))]
	other := w.gates[w.random.IntN(len(w.gates))]
	switch dice := w.random.IntN(1000); {
	case dice < 40:
		w.call(g)
	case dice < 760:
		if len(w.network) > 0 {
			w.deliver(w.random.IntN(len(w.network)))
		}
	case dice < 780:
		if len(w.network) > 0 {
			w.lose(w.random.IntN(len(w.network)))
		}
	case dice < 850:
		w.run(g)
	case dice < 970:
		w.advance(time.Duration(w.random.IntN(int(time.Second))))
	case dice < 973:
		w.endOrStart(g)
	case dice < 983:
		if g != other {
			w.cut[pair(g, other)] = !w.cut[pair(g, other)]
		}
	case dice < 996:
		clear(w.cut)
	default:
		w.misjudge(g, other)
	}
}

// endOrStart ends the gate, starts it, or lets it leave: it then ends the next
// time, whether its claims have arrived by then or not.
func (w *world) endOrStart(g *worldGate) {
	if g.up && w.mayEnd(g) {
		if w.random.IntN(3) > 0 && !g.leaving && len(g.pending) == 0 && len(g.machine.attempts) == 0 {
			g.leaving = true
			w.step(g, Leave{})
			return
		}
		g.up = false
		return
	}
	if !g.up {
		g.incarnation++
		w.boot(g)
	}
}

// misjudge makes a settled gate hold a running one for dead.
func (w *world) misjudge(g, other *worldGate) {
	if g == other || !g.up || w.now.Sub(g.started) < viewLag || w.random.IntN(4) > 0 {
		return
	}
	seen := g.view[other.id]
	seen.Running = false
	g.view[other.id] = seen
	w.share(g)
}

func (w *world) call(g *worldGate) {
	if !g.up {
		return
	}
	w.token++
	key := fmt.Sprintf("key-%d", w.random.IntN(worldKeys))
	g.keys[w.token] = key
	w.step(g, Admit{Token: w.token, Key: key})
}

// TestKeyRunsOnce holds that no key runs twice, whatever the network loses and
// reorders and whichever gates end, start, pause, are cut off or misjudged.
func TestKeyRunsOnce(t *testing.T) {
	admitted, repeats, handed := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range worldSteps {
			w.happen()
		}
		admitted += w.admitted
		repeats += w.answered
		handed += w.handed
	})
	if admitted == 0 || repeats == 0 || handed == 0 {
		t.Fatalf("%d calls were admitted, %d repeats met them and %d gates handed over: nothing was proved", admitted, repeats, handed)
	}
	t.Logf("%d calls admitted, %d repeats met them", admitted, repeats)
}

// failedSeeds are worlds in which a key ran twice: 0x1d1 by a claim that was
// forgotten a retention after it was recorded, though its call was admitted
// later; 0x33e2afac by a contested claim that expired with the older of the two;
// 0x7c1491 by a gate that denied its own claim, which a hand-over had made
// contested.
var failedSeeds = []uint64{0x1d1, 0x33e2afac, 0x7c1491}

func TestFailedSeeds(t *testing.T) {
	next := 0
	rapid.Check(t, func(t *rapid.T) {
		if next == len(failedSeeds) {
			return
		}
		w := worldOf(t, failedSeeds[next])
		next++
		for range worldSteps {
			w.happen()
		}
	})
}
