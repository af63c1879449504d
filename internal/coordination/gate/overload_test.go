package gate

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

const (
	overloadSlots   = 20
	overloadSeconds = 20
	// interactiveMean and backgroundMean are the mean service times, exponential.
	interactiveMean = 10 * time.Millisecond
	backgroundMean  = 50 * time.Millisecond
	// backgroundShare is the background calls' share of the work.
	backgroundShare = 0.3
)

// policy is a way to treat calls at a gate.
type policy struct {
	name    string
	classes bool
	queue   int
	timeout time.Duration
}

// figures are what a run gave.
type figures struct {
	// goodput is the share of the slots that did calls answered in time.
	goodput float64
	// p99 is from arrival to answer of interactive calls, refused ones left out.
	p99 time.Duration
	// refused is each class's share that was refused or late.
	interactiveRefused float64
	backgroundRefused  float64
}

type ending struct {
	at time.Time
	id call.ID
}

type endings []ending

func (h endings) Len() int           { return len(h) }
func (h endings) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endings) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// offer is one call of an overload run.
type offer struct {
	background bool
	arrived    time.Time
	service    time.Duration
}

// overload is an open-loop run in virtual time.
type overload struct {
	machine *Machine
	now     time.Time
	ends    endings
	offers  map[call.ID]offer
	useful  time.Duration
	latency []time.Duration
	offered [2]int
	good    [2]int
}

// deadline is how long callers wait.
const overloadDeadline = time.Second

func (o *overload) step(event Event) {
	for _, action := range o.machine.Step(o.now, event) {
		if start, ok := action.(Start); ok {
			heap.Push(&o.ends, ending{o.now.Add(o.offers[start.ID].service), start.ID})
		}
	}
}

// until runs the ends before the time.
func (o *overload) until(at time.Time) {
	for len(o.ends) > 0 && !o.ends[0].at.After(at) {
		end := heap.Pop(&o.ends).(ending)
		o.now = end.at
		o.count(o.offers[end.id])
		o.step(Finished{ID: end.id, Result: Completed})
	}
	o.now = at
	o.step(Tick{})
}

func (o *overload) count(done offer) {
	took := o.now.Sub(done.arrived)
	if !done.background {
		o.latency = append(o.latency, took)
	}
	if took <= overloadDeadline {
		o.useful += done.service
		o.good[classIndex(done.background)]++
	}
}

func runOverload(p policy, load float64) figures {
	random := rand.New(rand.NewPCG(7, uint64(load*10)))
	o := &overload{machine: New(testOptions()), now: epoch, offers: make(map[call.ID]offer)}
	o.step(SetTarget{Slots: overloadSlots, QueueLength: p.queue, QueueTimeout: p.timeout, Ready: true})
	work := load * overloadSlots
	rates := [2]float64{work * (1 - backgroundShare) / interactiveMean.Seconds(), work * backgroundShare / backgroundMean.Seconds()}
	total := rates[0] + rates[1]
	at := epoch
	for counter := uint64(1); at.Before(epoch.Add(overloadSeconds * time.Second)); counter++ {
		at = at.Add(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
		o.until(at)
		background := random.Float64()*total >= rates[0]
		mean := interactiveMean
		if background {
			mean = backgroundMean
		}
		id := call.ID{Entry: "a", Counter: counter}
		o.offers[id] = offer{background, at, time.Duration(random.ExpFloat64() * float64(mean))}
		o.offered[classIndex(background)]++
		o.step(Arrive{ID: id, GateIncarnation: 3, Background: background && p.classes, Idempotent: true, Deadline: at.Add(overloadDeadline)})
	}
	slices.Sort(o.latency)
	return figures{
		goodput:            o.useful.Seconds() / (overloadSeconds * overloadSlots),
		p99:                o.latency[len(o.latency)*99/100],
		interactiveRefused: 1 - float64(o.good[0])/float64(o.offered[0]),
		backgroundRefused:  1 - float64(o.good[1])/float64(o.offered[1]),
	}
}

// TestOverloadPolicy offers half to four times what the target can do and holds
// the goodput, the latency of interactive calls, and that background calls are
// refused first. Plain policies are run beside it for the figures.
func TestOverloadPolicy(t *testing.T) {
	is := is.New(t)
	policies := []policy{
		{"classes", true, 40, 50 * time.Millisecond},
		{"one class", false, 40, 50 * time.Millisecond},
		{"unbounded queue", false, 1 << 30, time.Hour},
	}
	chosen := make(map[float64]figures)
	for _, p := range policies {
		for _, load := range []float64{0.5, 1, 2, 4} {
			if p.queue > 1000 && load > 1 && load != 2 {
				continue
			}
			got := runOverload(p, load)
			t.Logf("%-16s load %.1f goodput %.3f p99 %v refused or late: interactive %.3f background %.3f",
				p.name, load, got.goodput, got.p99.Round(time.Millisecond), got.interactiveRefused, got.backgroundRefused)
			if p.classes {
				chosen[load] = got
			}
		}
	}
	is.True(chosen[4].goodput >= 0.95*chosen[1].goodput)
	is.True(chosen[4].p99 <= 2*chosen[0.5].p99)
	is.True(chosen[2].backgroundRefused > chosen[2].interactiveRefused)
}
