package entry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
)

// limitedFleet simulates one service in virtual time: failure domains with one entry
// and some targets each, whose callers retry as the refusals tell them.
type limitedFleet struct {
	now     time.Time
	random  *rand.Rand
	entries []*Machine
	gates   []*gate.Machine
	// timers holds what is due later.
	timers   timerQueue
	attempts map[call.ID]*fleetRequest
	handles  uint64
	// served counts the requests that got a response, inTime those within the target
	// latency, failed those that got none.
	served int
	inTime int
	failed int
	// refusalTimes holds the times from the arrival of a refused try to its refusal.
	refusalTimes []time.Duration
	// starts counts the calls that each target started.
	starts []int
	// slowness multiplies the service times of the targets that it holds.
	slowness map[int]float64
	// frozen is the gate that responds to nothing, or -1.
	frozen int
}

// fleetRequest is a caller's request, over all its tries.
type fleetRequest struct {
	entry  int
	handle uint64
	begun  time.Time
	tries  int
	// triedAt is when the last try began.
	triedAt time.Time
}

const (
	fleetServiceTime   = 160 * time.Millisecond // mean; half to one and a half times that
	fleetTargetLatency = 500 * time.Millisecond
	fleetTimeout       = 3 * time.Second
	fleetSlots         = 6
	fleetCallerTries   = 3
	fleetHop           = time.Millisecond
	fleetSilence       = 500 * time.Millisecond // until an attempt counts as lost
	fleetLoadInterval  = 500 * time.Millisecond
	// fleetRetryDivisor bounds the retry delay that callers accept: a third of the time
	// left.
	fleetRetryDivisor = 3
)

type fleetTimer struct {
	at     time.Time
	action func()
}

type timerQueue []fleetTimer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)        { *q = append(*q, x.(fleetTimer)) }
func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newLimitedFleet(domains, targetsPerDomain int) *limitedFleet {
	return newSheddingFleet(domains, targetsPerDomain, false)
}

// newSheddingFleet returns a fleet whose entries and gates shed load if overload is set.
func newSheddingFleet(domains, targetsPerDomain int, overload bool) *limitedFleet {
	targets := domains * targetsPerDomain
	f := &limitedFleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)),
		attempts: make(map[call.ID]*fleetRequest), frozen: -1, starts: make([]int, targets),
	}
	var endpoints []Endpoint
	for i := range targets {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprint(i), Incarnation: 1, Service: "rider-view", Domain: fmt.Sprint("d", i%domains), Slots: fleetSlots})
		f.gates = append(f.gates, gate.New(gate.Options{Incarnation: 1, MaxRecords: 1000, MaxRetainedBytes: 1 << 20, Retention: time.Minute, Shedding: overload}))
	}
	for i := range domains {
		entry := New(Options{Node: fmt.Sprint("e", i), Incarnation: 1, Domain: fmt.Sprint("d", i), RetryRatio: 0.15, OverloadTries: 3, ExpectedTime: overload, Seed: uint64(i)})
		entry.Step(f.now, SetEndpoints{Endpoints: endpoints})
		f.entries = append(f.entries, entry)
	}
	for i := range targets {
		f.gateStep(i, gate.SetTarget{Slots: fleetSlots, QueueLength: 1000, QueueTimeout: time.Minute, FixedLimit: true, Ready: true})
	}
	f.now = f.now.Add(time.Minute) // past the slow start
	f.exchangeLoads()
	return f
}

func (f *limitedFleet) after(d time.Duration, action func()) {
	heap.Push(&f.timers, fleetTimer{f.now.Add(d), action})
}

func (f *limitedFleet) exchangeLoads() {
	for _, entry := range f.entries {
		for i, g := range f.gates {
			entry.Step(f.now, PeerLoadReceived{Endpoint: fmt.Sprint(i), Load: g.ReportedLoad(), At: f.now})
		}
	}
	f.after(fleetLoadInterval, f.exchangeLoads)
}

// run lets the domains' callers send at the rates, in calls per second, at random
// times.
func (f *limitedFleet) run(duration time.Duration, rates []float64) {
	end := f.now.Add(duration)
	for i, rate := range rates {
		f.scheduleArrival(i, rate, end)
	}
	const step = time.Millisecond
	for ; f.now.Before(end); f.now = f.now.Add(step) {
		for len(f.timers) > 0 && !f.timers[0].at.After(f.now) {
			heap.Pop(&f.timers).(fleetTimer).action()
		}
		for i, g := range f.gates {
			if wake, ok := g.NextWake(); ok && !wake.After(f.now) {
				f.gateStep(i, gate.Tick{})
			}
		}
	}
}

func (f *limitedFleet) scheduleArrival(domain int, rate float64, end time.Time) {
	gap := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	if f.now.Add(gap).After(end.Add(-fleetTimeout)) {
		return
	}
	f.after(gap, func() {
		f.begin(&fleetRequest{entry: domain, begun: f.now})
		f.scheduleArrival(domain, rate, end)
	})
}

func (f *limitedFleet) begin(r *fleetRequest) {
	f.handles++
	r.handle = f.handles
	r.tries++
	r.triedAt = f.now
	f.entryStep(r, Begin{Handle: r.handle, Service: "rider-view", Idempotent: true, Deadline: r.begun.Add(fleetTimeout), MaxAttempts: 2, SoftDeadline: r.begun.Add(fleetTargetLatency)})
}

func (f *limitedFleet) entryStep(r *fleetRequest, event Event) {
	for _, action := range f.entries[r.entry].Step(f.now, event) {
		switch a := action.(type) {
		case Send:
			f.after(fleetHop, func() { f.arrive(r, a) })
		case Resolve:
			f.after(fleetSilence, func() { f.entryStep(r, ConnectionLost{Handle: r.handle}) })
		case Wait:
			f.after(a.For, func() { f.entryStep(r, Resume{Handle: r.handle}) })
		case Fail:
			f.entryStep(r, End{Handle: r.handle})
			f.retryOrGiveUp(r, a)
		}
	}
}

func (f *limitedFleet) retryOrGiveUp(r *fleetRequest, fail Fail) {
	f.refusalTimes = append(f.refusalTimes, f.now.Sub(r.triedAt))
	left := r.begun.Add(fleetTimeout).Sub(f.now)
	after := min(fail.RetryAfter, left/fleetRetryDivisor)
	if r.tries >= fleetCallerTries || left <= 0 {
		f.failed++
		return
	}
	f.after(after, func() { f.begin(r) })
}

func (f *limitedFleet) arrive(r *fleetRequest, a Send) {
	var index int
	fmt.Sscan(a.Endpoint.ID, &index)
	f.attempts[a.ID] = r
	if index == f.frozen {
		f.starts[index]++
		f.after(fleetSilence, func() { f.entryStep(r, ConnectionLost{Handle: r.handle}) })
		return
	}
	f.gateStep(index, gate.Arrive{
		ID: a.ID, GateIncarnation: 1, Route: "read", Idempotent: true, Deadline: r.begun.Add(fleetTimeout),
		SoftDeadline: r.begun.Add(fleetTargetLatency), RequireSoftDeadline: a.RequireSoftDeadline,
	})
}

func (f *limitedFleet) gateStep(index int, event gate.Event) {
	g := f.gates[index]
	for _, action := range g.Step(f.now, event) {
		switch a := action.(type) {
		case gate.Start:
			f.starts[index]++
			r := f.attempts[a.ID]
			serviceTime := time.Duration((0.5 + f.random.Float64()) * float64(fleetServiceTime))
			if slowness := f.slowness[index]; slowness > 0 {
				serviceTime = time.Duration(slowness * float64(serviceTime))
			}
			reported := g.ServiceTime(f.now, "read")
			f.after(serviceTime, func() {
				f.gateStep(index, gate.Finished{ID: a.ID, Result: gate.Completed})
				f.entryStep(r, ResponseReceived{Handle: r.handle, Load: g.ReportedLoad(), ServiceTime: reported})
				f.entryStep(r, End{Handle: r.handle})
				f.countServed(r)
			})
		case gate.Refuse:
			r := f.attempts[a.ID]
			load, reported := g.ReportedLoad(), g.ServiceTime(f.now, "read")
			f.after(fleetHop, func() {
				f.entryStep(r, Refused{Handle: r.handle, Outcome: a.Outcome, Reason: a.Reason, RetryAfter: a.RetryAfter, Load: load, ServiceTime: reported})
			})
		}
	}
}

func (f *limitedFleet) countServed(r *fleetRequest) {
	f.served++
	if f.now.Sub(r.begun) <= fleetTargetLatency {
		f.inTime++
	}
}

// TestCallsAreRefusedThoughOtherTargetsHaveRoom limits the rates of two of four
// targets. The callers of their domains get the other domains' targets, which have room
// for all calls, and no target gets more than its limit.
func TestCallsAreRefusedThoughOtherTargetsHaveRoom(t *testing.T) {
	const measured = 40 * time.Second
	limits := []float64{9.3, 4.5}
	for rate, least := range map[float64]float64{12: 0.995, 16: 0.98} { // of 37 per target
		f := newLimitedFleet(4, 1)
		rates := []float64{rate, rate, rate, rate}
		f.run(10*time.Second, rates)
		for i, limit := range limits {
			f.gateStep(i, gate.SetRateLimit{Limited: true, PerSecond: limit})
		}
		f.served, f.inTime, f.failed, f.starts = 0, 0, 0, make([]int, 4)
		f.run(measured, rates)
		total := float64(f.served + f.failed)
		t.Logf("%v calls/s a domain: served %.3f, in time %.3f, started %v", rate, float64(f.served)/total, float64(f.inTime)/total, f.starts)
		if served := float64(f.served) / total; served < least {
			t.Errorf("%v calls/s a domain: %.3f served, at least %v expected", rate, served, least)
		}
		for i, limit := range limits {
			if allowed := limit*measured.Seconds() + 5; float64(f.starts[i]) > allowed {
				t.Errorf("%d calls started at a limit of %v, allowed %v", f.starts[i], limit, allowed)
			}
		}
	}
}

// TestEveryTargetOfServiceNamesRateLimit limits all targets of a fleet far below the
// load. The callers over the limit are refused within the time that a call may queue,
// most of them at once, and every target gets what it takes: no more, hardly less.
func TestEveryTargetOfServiceNamesRateLimit(t *testing.T) {
	const domains, perDomain = 5, 6
	const limit, load = 5.0, 2.0
	const measured = 30 * time.Second
	f := newLimitedFleet(domains, perDomain)
	rates := make([]float64, domains)
	for i := range rates {
		rates[i] = load * limit * perDomain
	}
	for i := range domains * perDomain {
		f.gateStep(i, gate.SetRateLimit{Limited: true, PerSecond: limit})
	}
	f.run(10*time.Second, rates)
	f.starts, f.refusalTimes = make([]int, domains*perDomain), nil
	f.run(measured, rates)
	period := (measured - fleetTimeout).Seconds() // no calls arrive in the last seconds
	for i, started := range f.starts {
		if allowed := limit*measured.Seconds() + 5; float64(started) > allowed {
			t.Errorf("target %d started %d calls, allowed %v", i, started, allowed)
		}
		if least := 0.85 * limit * period; float64(started) < least {
			t.Errorf("target %d started %d calls, at least %v expected", i, started, least)
		}
	}
	slices.Sort(f.refusalTimes)
	median, last := f.refusalTimes[len(f.refusalTimes)/2], f.refusalTimes[len(f.refusalTimes)-1]
	t.Logf("%d refusals, after %v (median), %v (latest); started %v", len(f.refusalTimes), median, last, f.starts)
	// A gate queues a call for at most a fifth of its slack: four of them up to the
	// target latency, the last one up to the deadline.
	if queued := (4*fleetTargetLatency + fleetTimeout) / 5; median > 20*time.Millisecond || last > queued {
		t.Errorf("refused after %v (median), %v (latest); allowed %v", median, last, queued)
	}
}
