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
	// interactiveMean and backgroundMean are the means of the exponentially
	// distributed service times.
	interactiveMean = 10 * time.Millisecond
	backgroundMean  = 50 * time.Millisecond
	// backgroundShare is the background calls' share of the offered load.
	backgroundShare = 0.3
)

// policy is an admission policy under test.
type policy struct {
	name string
	// classes is false if background calls are treated as interactive.
	classes bool
	queue   int
	timeout time.Duration
}

// overloadResult is the result of one run.
type overloadResult struct {
	// goodput is the share of the slot time spent on calls that were answered before
	// their deadline.
	goodput float64
	// p99 is the 99th percentile of the time from arrival to response of the
	// interactive calls that were not refused.
	p99 time.Duration
	// interactiveRefused and backgroundRefused are the share of each class that was
	// refused or answered after the deadline.
	interactiveRefused float64
	backgroundRefused  float64
}

type completion struct {
	at time.Time
	id call.ID
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// offeredCall is one call of the offered load.
type offeredCall struct {
	background bool
	arrived    time.Time
	service    time.Duration
}

// overloadRun simulates an open-loop load in virtual time.
type overloadRun struct {
	machine     *Machine
	now         time.Time
	completions completionHeap
	offers      map[call.ID]offeredCall
	usefulTime  time.Duration
	latency     []time.Duration
	offered     [2]int
	inTime      [2]int
}

// overloadDeadline is the time from the arrival of a call to its deadline.
const overloadDeadline = time.Second

func (o *overloadRun) step(event Event) {
	for _, action := range o.machine.Step(o.now, event) {
		if start, ok := action.(Start); ok {
			heap.Push(&o.completions, completion{o.now.Add(o.offers[start.ID].service), start.ID})
		}
	}
}

// runUntil advances the time and processes the calls that complete until then.
func (o *overloadRun) runUntil(at time.Time) {
	for len(o.completions) > 0 && !o.completions[0].at.After(at) {
		end := heap.Pop(&o.completions).(completion)
		o.now = end.at
		o.count(o.offers[end.id])
		o.step(Finished{ID: end.id, Result: Completed})
	}
	o.now = at
	o.step(Tick{})
}

func (o *overloadRun) count(done offeredCall) {
	took := o.now.Sub(done.arrived)
	if !done.background {
		o.latency = append(o.latency, took)
	}
	if took <= overloadDeadline {
		o.usefulTime += done.service
		o.inTime[classIndex(done.background)]++
	}
}

func runOverload(p policy, load float64) overloadResult {
	random := rand.New(rand.NewPCG(7, uint64(load*10)))
	o := &overloadRun{machine: New(testOptions()), now: epoch, offers: make(map[call.ID]offeredCall)}
	o.step(SetTarget{Slots: overloadSlots, QueueLength: p.queue, QueueTimeout: p.timeout, Ready: true})
	work := load * overloadSlots
	rates := [2]float64{work * (1 - backgroundShare) / interactiveMean.Seconds(), work * backgroundShare / backgroundMean.Seconds()}
	total := rates[0] + rates[1]
	at := epoch
	for counter := uint64(1); at.Before(epoch.Add(overloadSeconds * time.Second)); counter++ {
		at = at.Add(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
		o.runUntil(at)
		background := random.Float64()*total >= rates[0]
		mean := interactiveMean
		if background {
			mean = backgroundMean
		}
		id := call.ID{Entry: "a", Counter: counter}
		o.offers[id] = offeredCall{background, at, time.Duration(random.ExpFloat64() * float64(mean))}
		o.offered[classIndex(background)]++
		o.step(Arrive{ID: id, GateIncarnation: 3, Background: background && p.classes, Idempotent: true, Deadline: at.Add(overloadDeadline)})
	}
	slices.Sort(o.latency)
	return overloadResult{
		goodput:            o.usefulTime.Seconds() / (overloadSeconds * overloadSlots),
		p99:                o.latency[len(o.latency)*99/100],
		interactiveRefused: 1 - float64(o.inTime[0])/float64(o.offered[0]),
		backgroundRefused:  1 - float64(o.inTime[1])/float64(o.offered[1]),
	}
}

// TestOverloadPolicy offers half to four times the capacity of the target. It
// checks that overload neither lowers the goodput nor raises the latency of
// interactive calls beyond a limit, and that background calls are refused first.
// Two simpler policies run for comparison and are only logged.
func TestOverloadPolicy(t *testing.T) {
	is := is.New(t)
	policies := []policy{
		{"classes", true, 40, 50 * time.Millisecond},
		{"one class", false, 40, 50 * time.Millisecond},
		{"unbounded queue", false, 1 << 30, time.Hour},
	}
	withClasses := make(map[float64]overloadResult)
	for _, p := range policies {
		for _, load := range []float64{0.5, 1, 2, 4} {
			if p.queue > 1000 && load > 1 && load != 2 {
				continue
			}
			got := runOverload(p, load)
			t.Logf("%-16s load %.1f goodput %.3f p99 %v refused or late: interactive %.3f background %.3f",
				p.name, load, got.goodput, got.p99.Round(time.Millisecond), got.interactiveRefused, got.backgroundRefused)
			if p.classes {
				withClasses[load] = got
			}
		}
	}
	is.True(withClasses[4].goodput >= 0.95*withClasses[1].goodput)
	is.True(withClasses[4].p99 <= 2*withClasses[0.5].p99)
	is.True(withClasses[2].backgroundRefused > withClasses[2].interactiveRefused)
}
