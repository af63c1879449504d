package gate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

// Insufficient capacity for seconds: one gate's part of the first load pattern of
// docs/design/overview.md.
const (
	burstSlots      = 20
	burstServiceMin = 380 * time.Millisecond
	burstServiceMax = 500 * time.Millisecond
	burstNormal     = 0.6 // share of the slots in normal load
	burstFactor     = 2.4
	burstStart      = 30 * time.Second
	burstEnd        = 38 * time.Second
	burstTotal      = 48 * time.Second
	burstTenants    = 12
	burstTries      = 3
)

// burstRoute is one kind of request.
type burstRoute struct {
	name          string
	share         float64
	priority      int
	target, limit time.Duration
	late          float64 // worth of a late response
}

var burstRoutes = []burstRoute{
	{"booking", 0.3, 0, 1500 * time.Millisecond, 10 * time.Second, 0.45},
	{"lookup", 0.5, 1, 1200 * time.Millisecond, 6 * time.Second, 0.125},
	{"report", 0.2, 2, 1800 * time.Millisecond, 8 * time.Second, 0.125},
}

// burstRequest is a caller's request over its tries.
type burstRequest struct {
	route   burstRoute
	tenant  string
	begun   time.Time
	triedAt time.Time
	tries   int
}

// burstResult counts the requests begun during the burst.
type burstResult struct {
	offered, inTime, late, refused, held int
	worth                                float64
	// flows holds the requests offered and served by the name of their route and of their tenant.
	flows map[string][2]int
}

func (r *burstResult) count(request *burstRequest, offered, served int) {
	for _, name := range [2]string{request.route.name, request.tenant} {
		n := r.flows[name]
		r.flows[name] = [2]int{n[0] + offered, n[1] + served}
	}
}

type burstRun struct {
	burstLoad
	machine  *Machine
	now      time.Time
	random   *rand.Rand
	timers   []burstTimer
	requests map[call.ID]*burstRequest
	counter  uint64
	result   *burstResult
}

// burstLoad is the load during the burst.
type burstLoad struct {
	routes []burstRoute
	// factor multiplies the usual use of all tenants, hotFactor that of one.
	factor, hotFactor float64
	// slowness multiplies the service times.
	slowness time.Duration
}

type burstTimer struct {
	at     time.Time
	action func()
}

func (b *burstRun) after(d time.Duration, action func()) {
	at := b.now.Add(d)
	index, _ := slices.BinarySearchFunc(b.timers, at, func(t burstTimer, at time.Time) int { return t.at.Compare(at) })
	b.timers = slices.Insert(b.timers, index, burstTimer{at, action})
}

func (b *burstRun) counted(r *burstRequest) bool {
	at := r.begun.Sub(epoch)
	return at >= burstStart && at < burstEnd
}

func (b *burstRun) step(event Event) {
	for _, action := range b.machine.Step(b.now, event) {
		switch a := action.(type) {
		case Start:
			service := b.slowness*burstServiceMin + b.slowness*time.Duration(b.random.Int64N(int64(burstServiceMax-burstServiceMin)))
			b.after(service, func() {
				b.served(b.requests[a.ID])
				b.step(Finished{ID: a.ID, Result: Completed, RetainedBytes: -1})
			})
		case Refuse:
			b.refused(b.requests[a.ID], a.RetryAfter)
		}
	}
}

func (b *burstRun) served(r *burstRequest) {
	if !b.counted(r) {
		return
	}
	b.result.count(r, 0, 1)
	if b.now.Sub(r.triedAt) <= r.route.target {
		b.result.inTime++
		b.result.worth++
		return
	}
	b.result.late++
	b.result.worth += r.route.late
}

// refused retries as callers do: after the delay that they were told, up to a third of the time
// that they have left.
func (b *burstRun) refused(r *burstRequest, after time.Duration) {
	if b.counted(r) && b.now.Sub(r.triedAt) > r.route.target/8 {
		b.result.held++
	}
	left := r.begun.Add(r.route.limit).Sub(b.now)
	if r.tries >= burstTries || left <= 0 {
		if b.counted(r) {
			b.result.refused++
		}
		return
	}
	b.after(min(after, left/3), func() { b.try(r) })
}

func (b *burstRun) try(r *burstRequest) {
	r.tries++
	r.triedAt = b.now
	b.counter++
	id := call.ID{Entry: "a", Counter: b.counter}
	b.requests[id] = r
	b.step(Arrive{
		ID: id, GateIncarnation: 3, Idempotent: true, Route: r.route.name, Tenant: r.tenant, Priority: r.route.priority,
		Deadline: r.begun.Add(r.route.limit), SoftDeadline: b.now.Add(r.route.target),
	})
}

func (b *burstRun) arrive(tenant string) {
	at, route := b.random.Float64(), b.routes[0]
	for _, route = range b.routes {
		if at -= route.share; at < 0 {
			break
		}
	}
	r := &burstRequest{route: route, tenant: tenant, begun: b.now}
	if b.counted(r) {
		b.result.offered++
		b.result.count(r, 1, 0)
	}
	b.try(r)
}

// arrivals sends the tenant's requests at random times. The burst multiplies all of them, and
// the hot tenant's by more.
func (b *burstRun) arrivals(tenant string, usual float64, hot bool) {
	rate := usual
	if at := b.now.Sub(epoch); at >= burstStart && at < burstEnd {
		rate = usual * b.factor
		if hot {
			rate = usual * b.hotFactor
		}
	}
	b.after(time.Duration(b.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if b.now.Sub(epoch) < burstTotal {
			b.arrive(tenant)
			b.arrivals(tenant, usual, hot)
		}
	})
}

// runBurst replays the load with several seeds and sums the results.
func runBurst(load burstLoad, shedding bool, seeds uint64) burstResult {
	result := burstResult{flows: make(map[string][2]int)}
	for seed := range seeds {
		runBurstOnce(load, shedding, seed, &result)
	}
	return result
}

func runBurstOnce(load burstLoad, shedding bool, seed uint64, result *burstResult) {
	options := testOptions()
	options.Shedding = shedding
	b := &burstRun{burstLoad: load, machine: New(options), now: epoch, random: rand.New(rand.NewPCG(seed, 1)), requests: make(map[call.ID]*burstRequest), result: result}
	b.step(SetTarget{Slots: burstSlots, QueueLength: 1000, QueueTimeout: time.Minute, FixedLimit: true, Ready: true})
	total := 0.0
	for i := range burstTenants {
		total += 1 / float64(i+1)
	}
	rate := burstNormal * burstSlots / ((burstServiceMin + burstServiceMax) / 2).Seconds()
	for i := range burstTenants {
		b.arrivals(fmt.Sprint("tenant-", i), rate/float64(i+1)/total, i == 3)
	}
	for len(b.timers) > 0 {
		timer := b.timers[0]
		b.timers = b.timers[1:]
		for {
			at, ok := b.machine.NextWake()
			if !ok || !at.Before(timer.at) {
				break
			}
			b.now = at.Add(time.Millisecond)
			b.step(Tick{})
		}
		if timer.at.After(b.now) {
			b.now = timer.at
		}
		timer.action()
	}
}

// TestBurstIsShed guards against a burst in which calls that cost callers much are refused or late
// while others run, calls are held and then refused, or a tenant or route is starved. It replays
// the same load with and without shedding.
func TestBurstIsShed(t *testing.T) {
	is := is.New(t)
	load := burstLoad{routes: burstRoutes, factor: burstFactor, hotFactor: 6, slowness: 1}
	before, got := runBurst(load, false, 10), runBurst(load, true, 10)
	t.Logf("before: %+v", before)
	t.Logf("with:   %+v", got)
	is.True(got.worth >= before.worth)
	is.True(got.held <= before.held/4)
	got.checkFloor(is)
	all := float64(got.inTime+got.late) / float64(got.offered)
	for name, n := range got.flows {
		if strings.HasPrefix(name, "tenant-") && name != "tenant-3" { // the hot one
			is.True(float64(n[1])/float64(n[0]) >= 0.9*all)
		}
	}
}

// checkFloor checks that no route and no tenant is served less than a quarter as often as all.
func (r *burstResult) checkFloor(is *is.I) {
	all := float64(r.inTime+r.late) / float64(r.offered)
	for _, n := range r.flows {
		is.True(float64(n[1])/float64(n[0]) >= all/4)
	}
}

// TestHotTenantTakesShareOfOthers guards against a tenant that sends many times its usual load and
// displaces the calls of tenants that do not.
func TestHotTenantTakesShareOfOthers(t *testing.T) {
	is := is.New(t)
	got := runBurst(burstLoad{routes: burstRoutes[1:2], factor: 1, hotFactor: 20, slowness: 1}, true, 5)
	t.Logf("%+v", got)
	var others [2]int
	for name, n := range got.flows {
		if strings.HasPrefix(name, "tenant-") && name != "tenant-3" {
			others = [2]int{others[0] + n[0], others[1] + n[1]}
		}
	}
	is.True(float64(others[1]) >= 0.9*float64(others[0]))
	got.checkFloor(is)
}

// TestUrgentCallsStarveOthers guards against routes and tenants that get nothing while urgent
// calls alone need three times the capacity.
func TestUrgentCallsStarveOthers(t *testing.T) {
	is := is.New(t)
	routes := []burstRoute{
		{"urgent", 0.8, 0, 1200 * time.Millisecond, 1300 * time.Millisecond, 0},
		{"usual", 0.15, 3, 1200 * time.Millisecond, 1300 * time.Millisecond, 0},
		{"rare", 0.05, 9, 1200 * time.Millisecond, 1300 * time.Millisecond, 0},
	}
	got := runBurst(burstLoad{routes: routes, factor: 6, hotFactor: 6, slowness: 1}, true, 5)
	t.Logf("%+v", got)
	got.checkFloor(is)
}

// TestSlowTargetHoldsLateCalls guards against calls that a target, which has become too slow for
// every soft deadline, holds for most of their time and then does not run.
func TestSlowTargetHoldsLateCalls(t *testing.T) {
	is := is.New(t)
	load := burstLoad{routes: burstRoutes, factor: 1, hotFactor: 6, slowness: 6}
	before, got := runBurst(load, false, 10), runBurst(load, true, 10)
	t.Logf("before: %+v", before)
	t.Logf("with:   %+v", got)
	is.True(got.held*100 <= got.offered)
	is.True(got.inTime+got.late >= (before.inTime+before.late)*95/100)
	got.checkFloor(is)
}

// BenchmarkShedding measures an arrival and an end at a gate with short queues, at 1.5 times its
// capacity.
func BenchmarkShedding(b *testing.B) {
	for _, shedding := range []bool{false, true} {
		b.Run(fmt.Sprint("shedding=", shedding), func(b *testing.B) {
			options := testOptions()
			options.Shedding = shedding
			m, now := New(options), epoch
			m.Step(now, SetTarget{Slots: burstSlots, QueueLength: 1000, QueueTimeout: time.Minute, FixedLimit: true, Ready: true})
			var running []call.ID
			step := func(event Event) {
				for _, action := range m.Step(now, event) {
					if start, ok := action.(Start); ok {
						running = append(running, start.ID)
					}
				}
			}
			for i := range b.N {
				now = now.Add(burstServiceMin / burstSlots * 2 / 3)
				route := burstRoutes[i%len(burstRoutes)]
				step(Arrive{
					ID: call.ID{Entry: "a", Counter: uint64(i + 1)}, GateIncarnation: 3, Idempotent: true, Route: route.name, Tenant: route.name,
					Priority: route.priority, Deadline: now.Add(route.limit), SoftDeadline: now.Add(route.target),
				})
				if i%3 != 0 && len(running) > 0 {
					ended := running[0]
					running = running[1:]
					step(Finished{ID: ended, Result: Completed, RetainedBytes: -1})
				}
			}
		})
	}
}
