package entry_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/repeats"
)

// The bound of the fleet: in any window, arrivals at a service beyond the first of each request are
// at most allowedRatio of the requests for it, and allowedSlack more.
const (
	allowedRatio  = 0.2
	allowedSlack  = 198
	allowedWindow = 10 * time.Second
	usedRatio     = 0.9 * allowedRatio
	usedSlack     = 0.9 * allowedSlack
)

const (
	repeatFleetTime = 30 * time.Second
	lossBegin       = 5 * time.Second
	lossEnd         = 25 * time.Second
	messageTime     = time.Millisecond
	serviceTime     = 100 * time.Millisecond
	gatesPerService = 40
	nestedShare     = 0.7
)

var fleetStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// repeatFleet is a simulated fleet of entry machines and of the budgets of gates, whose targets lose responses. Runs at the
// service "front" call the service "back", whose targets lose none, at the entry beside them.
//
// Load pattern: targets run calls and reset the connection in place of a part of the responses,
// for longer than a window.
type repeatFleet struct {
	random  *rand.Rand
	now     time.Time
	tasks   taskHeap
	order   int
	entries []*repeatEntry
	list    []entry.Endpoint
	budgets map[string]*repeats.Budget
	handles uint64
	loss    float64
	// chainLoses says that the targets of back lose responses too, and fallAt when the load falls to
	// a tenth, if it is not 0.
	chainLoses bool
	fallAt     time.Duration
	// requests and repeats hold the times of the requests for each service and of the
	// arrivals at it that count as repeats.
	requests, repeats map[string][]time.Duration
}

type repeatEntry struct {
	machine     *entry.Machine
	incarnation uint64
}

// repeatCall is a request for a service, of a caller or nested.
type repeatCall struct {
	at          *repeatEntry
	incarnation uint64
	handle      uint64
	service     string
	arrivals    int
	repeated    bool
	done        func()
}

func newRepeatFleet(seed uint64, entries int, loss float64) *repeatFleet {
	f := &repeatFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: fleetStart, loss: loss, budgets: make(map[string]*repeats.Budget),
		requests: make(map[string][]time.Duration), repeats: make(map[string][]time.Duration),
	}
	for _, service := range []string{"front", "back"} {
		for i := range min(entries/2, gatesPerService) {
			f.list = append(f.list, entry.Endpoint{ID: fmt.Sprintf("%s-%d", service, i), Incarnation: 1, Service: service, Domain: "d", Slots: 1000})
		}
	}
	for range entries {
		f.entries = append(f.entries, &repeatEntry{})
	}
	f.restart()
	return f
}

// restart starts all nodes anew.
func (f *repeatFleet) restart() {
	for _, gate := range f.list {
		budget := repeats.New(f.now, gate.ID, repeats.Limits{Ratio: usedRatio, Slack: usedSlack, Window: allowedWindow})
		budget.SetGates(f.now, len(f.list)/2)
		f.budgets[gate.ID] = budget
	}
	for i, e := range f.entries {
		e.incarnation++
		e.machine = entry.New(entry.Options{
			Node: fmt.Sprintf("n-%d", i), Incarnation: e.incarnation, Domain: "d", RetryRatio: usedRatio,
			OverloadTries: 3, Seed: uint64(i),
		})
		e.machine.Step(f.now, entry.SetEndpoints{Endpoints: f.list})
	}
}

func (f *repeatFleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.tasks, task{at: f.now.Add(d), order: f.order, do: do})
}

func (f *repeatFleet) elapsed() time.Duration { return f.now.Sub(fleetStart) }

// play runs the fleet at a rate of callers' requests per second; restarts is the time between
// restarts of all entries, 0 for none.
func (f *repeatFleet) play(rate float64, restarts time.Duration) {
	var arrive, again func()
	arrive = func() {
		f.begin(f.entries[f.random.IntN(len(f.entries))], "front", false, func() {})
		pause := f.random.ExpFloat64() / rate
		if f.fallAt > 0 && f.elapsed() > f.fallAt {
			pause *= 10
		}
		f.after(time.Duration(pause*float64(time.Second)), arrive)
	}
	again = func() { f.restart(); f.after(restarts, again) }
	arrive()
	if restarts > 0 {
		f.after(restarts, again)
	}
	for f.elapsed() < repeatFleetTime {
		next := heap.Pop(&f.tasks).(task)
		f.now = next.at
		next.do()
	}
}

func (f *repeatFleet) begin(at *repeatEntry, service string, repeated bool, done func()) {
	f.handles++
	c := &repeatCall{at: at, incarnation: at.incarnation, handle: f.handles, service: service, repeated: repeated, done: done}
	f.requests[service] = append(f.requests[service], f.elapsed())
	f.step(c, entry.Begin{
		Handle: c.handle, Service: service, Route: service, Idempotent: true, Deadline: f.now.Add(5 * time.Second),
		MaxAttempts: 3, Repeated: repeated, Nested: service == "back",
	})
}

// step passes the event to the call's entry unless that has restarted.
func (f *repeatFleet) step(c *repeatCall, event entry.Event) {
	if c.at.incarnation != c.incarnation {
		return
	}
	for _, action := range c.at.machine.Step(f.now, event) {
		switch a := action.(type) {
		case entry.Send:
			f.after(messageTime, func() { f.arrive(c, a) })
		case entry.Wait:
			f.after(a.For, func() { f.step(c, entry.Resume{Handle: c.handle}) })
		case entry.Fail:
			f.end(c)
		}
	}
}

func (f *repeatFleet) end(c *repeatCall) {
	c.at.machine.Step(f.now, entry.End{Handle: c.handle})
	c.done()
}

// arrive hands the attempt to the target.
func (f *repeatFleet) arrive(c *repeatCall, send entry.Send) {
	budget := f.budgets[send.Endpoint.ID]
	if !budget.Take(f.now, send.Repeat) {
		f.after(messageTime, func() {
			f.step(c, entry.Refused{Handle: c.handle, Outcome: call.NotRun, Reason: call.ReasonRetryBudgetSpent})
		})
		return
	}
	if send.Repeat == call.First {
		budget.CountFirst(f.now)
	}
	c.arrivals++
	if c.arrivals > 1 || c.repeated {
		f.repeats[c.service] = append(f.repeats[c.service], f.elapsed())
	}
	lossy := (c.service == "front" || f.chainLoses) && f.elapsed() > lossBegin && f.elapsed() < lossEnd
	respond := func() {
		f.after(messageTime, func() {
			f.step(c, entry.ResponseReceived{Handle: c.handle})
			f.step(c, entry.End{Handle: c.handle})
			c.done()
		})
	}
	switch {
	case lossy && f.random.Float64() < f.loss:
		f.after(messageTime, func() {
			f.step(c, entry.Refused{Handle: c.handle, Outcome: call.Unknown, Reason: call.ReasonTargetConnectionLost})
		})
	case c.service == "front" && f.random.Float64() < nestedShare:
		beside := slices.IndexFunc(f.list, func(e entry.Endpoint) bool { return e.ID == send.Endpoint.ID })
		f.begin(f.entries[beside%len(f.entries)], "back", send.Repeat != call.First, respond)
	default:
		f.after(serviceTime, respond)
	}
}

// excess returns by how much the worst window of a service is over what is allowed.
func (f *repeatFleet) excess(service string) float64 {
	requests, repeats := f.requests[service], f.repeats[service]
	slices.Sort(repeats)
	within := func(times []time.Duration, from time.Duration) float64 {
		low, _ := slices.BinarySearch(times, from)
		high, _ := slices.BinarySearch(times, from+allowedWindow)
		return float64(high - low)
	}
	worst := math.Inf(-1)
	for _, from := range repeats {
		most := max(within(requests, from), within(requests, from-allowedWindow/2), within(requests, from-allowedWindow))
		worst = max(worst, within(repeats, from)-allowedRatio*most-allowedSlack)
	}
	return worst
}

// TestRepeatsOfFleetExceedBudget verifies that the repeats of all entries together stay within the
// bound, whatever the number of entries and restarts, and that the retries allowed are used.
func TestRepeatsOfFleetExceedBudget(t *testing.T) {
	for _, row := range []struct {
		entries  int
		rate     float64
		loss     float64
		restarts time.Duration
		chain    bool
		fallAt   time.Duration
	}{
		{12, 300, 0.5, 0, false, 0},
		{12, 300, 0.9, 0, false, 0},
		{12, 300, 0.5, 0, true, 15 * time.Second},
		{79, 160, 0.5, 0, false, 0},
		{79, 160, 0.9, 5 * time.Second, false, 0},
		{79, 1550, 0.5, 0, false, 0},
		{79, 1550, 0.5, 0, true, 0},
		{79, 1550, 0.9, 0, false, 15 * time.Second},
		{79, 1550, 0.9, 2 * time.Second, false, 0},
		{1500, 3000, 0.5, 0, true, 0},
		{1500, 3000, 0.9, 0, false, 0},
		{1500, 3000, 0.9, 5 * time.Second, true, 0},
	} {
		t.Run(fmt.Sprintf("%d entries, %.0f per second, %.1f lost, restarts %v, chain loses %v, load falls at %v", row.entries, row.rate, row.loss, row.restarts, row.chain, row.fallAt), func(t *testing.T) {
			t.Parallel()
			f := newRepeatFleet(64, row.entries, row.loss)
			f.chainLoses, f.fallAt = row.chain, row.fallAt
			f.play(row.rate, row.restarts)
			for _, service := range []string{"front", "back"} {
				if excess := f.excess(service); excess > 0 {
					t.Errorf("%s: %.0f repeats more than allowed in a window", service, excess)
				}
			}
			lossTime := (lossEnd - lossBegin).Seconds()
			if used, least := float64(len(f.repeats["front"])), usedRatio*row.rate*lossTime/2; row.restarts == 0 && row.fallAt == 0 && used < least {
				t.Errorf("%.0f retries, want %.0f: the budget is not used", used, least)
			}
		})
	}
}
