package quarantine

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The fleet: each node has a target; all targets are of one service. Messages between nodes take
// messageDelay at most, and some are lost.
const (
	simulatedSeeds = 5
	simulated      = 40 * time.Second
	messageDelay   = 20 * time.Millisecond
	messageLoss    = 0.05
	compareEvery   = time.Second
	// compareAtStart is the time from a node's start to its first comparison.
	compareAtStart = 100 * time.Millisecond
	targetAway     = 4 * time.Second // plus up to as much
	otherWork      = 400 * time.Millisecond
	slotsPerTarget = 6
	usersSettle    = 3 * time.Second
	// settledAt is when the crashing requests have come for 13 s, and all targets have had the
	// time to return.
	settledAt    = 20 * time.Second
	usersAllowed = 3
	// maxEntryCrashes is the entry's bound for one attempt of a caller.
	maxEntryCrashes = 2
)

type simEvent struct {
	at   time.Time
	seq  int
	play func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simNode is a node with its target. generation changes with each crash.
type simNode struct {
	machine    *Machine
	down       bool
	cut        bool
	generation int
	running    map[uint64]*simCall
}

// simCall is one attempt of a caller.
type simCall struct {
	fingerprint uint64
	crashing    bool
	crashes     int
	// retriesLeft are the caller's own.
	retriesLeft int
	counted     bool
}

type simFleet struct {
	random  *rand.Rand
	now     time.Time
	queue   simQueue
	seq     int
	nodes   []*simNode
	nextRun uint64
	// crashTimes are those of each crashing request, and reachedLate counts its runs that began
	// usersSettle after the third one.
	crashTimes  map[uint64][]time.Time
	reachedLate map[uint64]int
	crashes     int
	// others counts the calls that crash nothing, and othersRefused those of them in quarantine.
	// sent and served count those that were sent from settledAt on.
	others, othersRefused        int
	served, sent                 int
	popularRefused, popularCalls int
}

func (f *simFleet) after(delay time.Duration, play func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{f.now.Add(delay), f.seq, play})
}

func (f *simFleet) upTo(bound time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(bound)))
}

func newSimFleet(seed uint64, size int) *simFleet {
	f := &simFleet{
		random: rand.New(rand.NewPCG(seed, 41)), now: testStart,
		crashTimes: make(map[uint64][]time.Time), reachedLate: make(map[uint64]int),
	}
	for range size {
		f.nodes = append(f.nodes, &simNode{machine: New(testLifetime), running: make(map[uint64]*simCall)})
	}
	for i := range f.nodes {
		f.after(f.upTo(compareEvery), func() { f.compareForever(i) })
	}
	return f
}

// perform passes an event to the node's machine and sends what it shares.
func (f *simFleet) perform(n *simNode, event Event) {
	for _, action := range n.machine.Step(f.now, event) {
		share, ok := action.(Share)
		if !ok || n.cut {
			continue
		}
		for _, other := range f.nodes {
			if other == n || f.random.Float64() < messageLoss {
				continue
			}
			f.after(f.upTo(messageDelay), func() {
				if !other.cut {
					f.perform(other, Learned(share))
				}
			})
		}
	}
}

// compare exchanges the records of the node with a random one.
func (f *simFleet) compare(i int) {
	n, other := f.nodes[i], f.nodes[f.random.IntN(len(f.nodes))]
	if !n.cut && !other.cut && n.machine.Digest() != other.machine.Digest() {
		mine, theirs := n.machine.Records(f.now), other.machine.Records(f.now)
		f.perform(n, Learned{Records: theirs})
		f.perform(other, Learned{Records: mine})
	}
}

func (f *simFleet) compareForever(i int) {
	f.compare(i)
	f.after(compareEvery, func() { f.compareForever(i) })
}

// send sends a call through a random node to a random target with a free slot.
func (f *simFleet) send(c *simCall) {
	entry := f.nodes[f.random.IntN(len(f.nodes))]
	if _, refused := entry.machine.Refused(f.now, c.fingerprint); refused {
		f.noteRefused(c)
		return
	}
	var free []*simNode
	for _, n := range f.nodes {
		if !n.down && len(n.running) < slotsPerTarget && n.cut == entry.cut {
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		f.retryByCaller(c)
		return
	}
	gate := free[f.random.IntN(len(free))]
	f.after(f.upTo(2*time.Millisecond), func() { f.run(entry, gate, c) })
}

func (f *simFleet) run(entry, gate *simNode, c *simCall) {
	if _, refused := gate.machine.Refused(f.now, c.fingerprint); refused {
		f.noteRefused(c)
		return
	}
	if gate.down {
		f.after(5*time.Millisecond, func() { f.send(c) })
		return
	}
	f.nextRun++
	run, generation := f.nextRun, gate.generation
	gate.running[run] = c
	f.perform(gate, Started{Run: run, Fingerprint: c.fingerprint, Known: max(c.crashes, entry.machine.Known(c.fingerprint))})
	if c.crashing {
		f.noteReached(c.fingerprint)
		f.after(70*time.Millisecond+f.upTo(40*time.Millisecond), func() {
			if gate.generation == generation {
				f.crash(gate, c.fingerprint)
			}
		})
		return
	}
	f.after(otherWork/2+f.upTo(otherWork), func() {
		if gate.generation != generation {
			return
		}
		delete(gate.running, run)
		f.perform(gate, Ended{Run: run, Answered: true})
		if c.counted {
			f.served++
		}
	})
}

func (f *simFleet) noteRefused(c *simCall) {
	if !c.crashing && c.fingerprint != popularRead {
		f.othersRefused++
	}
}

func (f *simFleet) noteReached(fingerprint uint64) {
	times := f.crashTimes[fingerprint]
	if len(times) >= 3 && f.now.Sub(times[2]) > usersSettle {
		f.reachedLate[fingerprint]++
	}
}

func (f *simFleet) crash(gate *simNode, fingerprint uint64) {
	f.crashes++
	f.crashTimes[fingerprint] = append(f.crashTimes[fingerprint], f.now)
	ended := gate.running
	gate.down, gate.running = true, make(map[uint64]*simCall)
	gate.generation++
	f.perform(gate, TargetCrashed{Crash: f.random.Uint64()})
	for _, run := range slices.Sorted(maps.Keys(ended)) {
		c := ended[run]
		c.crashes++
		if c.crashes < maxEntryCrashes {
			f.after(5*time.Millisecond, func() { f.send(c) })
		} else {
			f.retryByCaller(c)
		}
	}
	f.after(targetAway+f.upTo(targetAway), func() { gate.down = false })
}

// retryByCaller sends the call again as a new attempt of its caller.
func (f *simFleet) retryByCaller(c *simCall) {
	if c.retriesLeft == 0 {
		return
	}
	next := *c
	next.retriesLeft--
	next.crashes = 0
	f.after(50*time.Millisecond+f.upTo(100*time.Millisecond), func() { f.send(&next) })
}

// every plays repeatedly at random intervals with this mean, until the end.
func (f *simFleet) every(mean time.Duration, play func()) {
	f.after(f.upTo(2*mean), func() {
		play()
		f.every(mean, play)
	})
}

func (f *simFleet) runUntil(end time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		event := heap.Pop(&f.queue).(simEvent)
		f.now = event.at
		event.play()
	}
}

const popularRead = 1_000_000

// play sends crashing requests, each every 200 ms, among others at two thirds of the capacity;
// one of them is a read that comes again and again.
func (f *simFleet) play(crashing int, restarts bool) {
	capacity := float64(len(f.nodes)*slotsPerTarget) / otherWork.Seconds()
	f.every(time.Duration(float64(time.Second)*1.5/capacity), func() {
		f.others++
		counted := f.now.Sub(testStart) > settledAt && f.now.Sub(testStart) < simulated-2*time.Second
		c := &simCall{fingerprint: f.random.Uint64(), retriesLeft: 2, counted: counted}
		if counted {
			f.sent++
		}
		f.send(c)
	})
	f.every(50*time.Millisecond, func() {
		f.popularCalls++
		if _, refused := f.nodes[f.random.IntN(len(f.nodes))].machine.Refused(f.now, popularRead); refused {
			f.popularRefused++
		}
		f.send(&simCall{fingerprint: popularRead, retriesLeft: 2})
	})
	for i := range crashing {
		fingerprint := uint64(i + 1)
		f.after(2*time.Second+f.upTo(5*time.Second), func() {
			f.every(200*time.Millisecond, func() {
				f.send(&simCall{fingerprint: fingerprint, crashing: true, retriesLeft: 2})
			})
		})
	}
	if restarts {
		f.every(time.Second, func() { // a node forgets all it knows
			i := f.random.IntN(len(f.nodes))
			f.nodes[i].machine = New(testLifetime)
			f.after(compareAtStart, func() { f.compare(i) })
		})
		f.every(6*time.Second, func() { // a third of the nodes is cut off from the rest
			for i := range f.nodes {
				f.nodes[i].cut = i%3 == 0
			}
			f.after(2*time.Second, func() {
				for _, n := range f.nodes {
					n.cut = false
				}
			})
		})
	}
	f.runUntil(testStart.Add(simulated))
}

// TestCrashingRequestsReachFewTargets plays fleets of 12 and 95 nodes.
func TestCrashingRequestsReachFewTargets(t *testing.T) {
	for _, row := range []struct {
		name     string
		size     int
		crashing int
		restarts bool
		served   float64
	}{
		{"12 nodes, one request", 12, 1, false, 0.99},
		{"12 nodes, three requests", 12, 3, false, 0.99},
		{"95 nodes, six requests", 95, 6, false, 0.99},
		{"12 nodes, restarts and cuts", 12, 2, true, 0.95},
		{"95 nodes, restarts and cuts", 95, 4, true, 0.95},
	} {
		t.Run(row.name, func(t *testing.T) {
			worstServed, worstCrashes, late, popular, wronged := 1.0, 0, 0, 0.0, 0.0
			for seed := range uint64(simulatedSeeds) {
				f := newSimFleet(seed, row.size)
				f.play(row.crashing, row.restarts)
				share := float64(f.served) / float64(f.sent)
				refused := float64(f.othersRefused) / float64(f.others)
				if share < row.served || refused > 0.01 {
					t.Errorf("seed %d: %.3f of %d other calls served, %.4f of %d refused, %d crashes", seed, share, f.sent, refused, f.others, f.crashes)
				}
				for fingerprint, reached := range f.reachedLate {
					if reached > usersAllowed {
						t.Errorf("seed %d: request %d reached %d targets more", seed, fingerprint, reached)
					}
					late = max(late, reached)
				}
				worstServed, worstCrashes = min(worstServed, share), max(worstCrashes, f.crashes)
				wronged = max(wronged, refused)
				popular = max(popular, float64(f.popularRefused)/float64(f.popularCalls))
			}
			t.Logf("worst of %d seeds: %d crashes for %d requests, %d late, %.4f of the others served, %.4f refused, %.4f of a popular read refused", simulatedSeeds, worstCrashes, row.crashing, late, worstServed, wronged, popular)
		})
	}
}
