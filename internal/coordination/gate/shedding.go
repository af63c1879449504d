package gate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jasminegate/internal/coordination/call"
)

// Constants of load shedding.
const (
	// shareTime is the time constant of the moving averages by which flows are compared. It is
	// some times the usual service time, and short against the seconds that a burst lasts.
	shareTime = 2 * time.Second
	// usualTime is the time constant of a tenant's usual use.
	usualTime = 30 * time.Second
	// floorShare is the share of the overall service ratio below which a flow goes first. No
	// kind of request and no tenant may be served less than a quarter as often as all; the
	// difference is for the delay of the averages.
	floorShare = 0.5
	// floorPrior is how many calls of the overall service ratio are added to each flow, so that
	// a few refusals are no evidence; floorTime is the time constant of these averages, within
	// which a flow of one call a second is noticed.
	floorPrior = 4.0
	floorTime  = 6 * time.Second
	// holdShare is the part of the time to the soft deadline within which a queued call may still
	// be refused for others: callers lose more by a refusal that comes later.
	holdShare = 1.0 / 8
	// minSpareShare is the lowest share of the capacity that refused calls are promised.
	minSpareShare = 0.1
	// lateReserve is the part of the time until its latest start that a late call must have left
	// when it is expected to start, since calls in time that arrive later go first.
	lateReserve = 0.35
	// minShare keeps a division by a share of the capacity finite.
	minShare = 1e-3
	// maxFlows bounds the routes and the tenants that are tracked; beyond it the unused are
	// dropped.
	maxFlows = 4096
	// minUsualShare bounds the weight of a tenant from below.
	minUsualShare = 1e-3
	// retryShare is the largest part of the time left that a retry delay may take.
	retryShare = 1.0 / 3
	// keptReserve is the part of its time that a call that is kept must have left when a new
	// call goes before it, since service times vary.
	keptReserve = 0.1
	// agePrior is how many calls of the mean service time are added to the running ones, so that
	// a single long call does not make a target count as slow.
	agePrior = 4.0
	// probeInterval is how long a route's service time stays unmeasured until a call is started
	// to measure it, and probeWeight the weight of its result.
	probeInterval = time.Second
	probeWeight   = 1.0 / 2
	// maxBands is how many priorities are told apart when demand is measured.
	maxBands = 32
	// backgroundPriority is added to the priority of background calls.
	backgroundPriority = 1 << 16
)

// shedding orders and refuses calls when the capacity is insufficient.
//
// Load pattern: for seconds, arrivals need more than twice the capacity, some are retries and one
// tenant sends several times its usual load. The calls that are delayed or refused are those
// that cost callers least: first those that cannot meet their soft deadline, then those of lower
// priority, then those of tenants above their usual share of the work (start-time fair queueing:
// Goyal, Vin, Cheng, SIGCOMM 1996). What will not be started in time is refused at arrival.
type shedding struct {
	routes  map[string]*flow
	tenants map[string]*flow
	all     flow
	// virtualTime is the greatest start tag of the calls that were started.
	virtualTime float64
	// usual is the sum of the tenants' usual work.
	usual decaying
	// inTime is the service time, in seconds, that was asked for by calls that could be in time.
	// Refused ones count: otherwise late calls would displace those in time and find the capacity
	// spare that they take.
	inTime decaying
	// bands is the service time that was asked for by priority, in the order of priorities.
	// Priorities beyond maxBands count to the next one that is tracked.
	bands []band
	// since is the time of the first call.
	since time.Time
	// promisedUntil is when the work of the refused calls will have been done, if they return
	// as told and only spare capacity is used.
	promisedUntil time.Time
	refusals      uint64
}

func newShedding() *shedding {
	return &shedding{routes: make(map[string]*flow), tenants: make(map[string]*flow)}
}

// decaying is a sum whose terms decay exponentially.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) value(now time.Time, constant time.Duration) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		if d.sum != 0 {
			d.sum *= math.Exp(-float64(elapsed) / float64(constant))
		}
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(now time.Time, constant time.Duration, x float64) {
	d.value(now, constant)
	d.sum += x
}

// flow counts the calls of one route, of one tenant or of all.
type flow struct {
	offered, started decaying
	// usual is a tenant's usual work in seconds, finishTag the end of its last call in virtual
	// time.
	usual     decaying
	finishTag float64
	// running counts a route's running calls, and startSum the seconds from shedding.since to
	// their starts.
	running  int
	startSum float64
	// endedAt is when the last of a route's calls ended.
	endedAt time.Time
}

func flowOf(flows map[string]*flow, now time.Time, name string) *flow {
	f := flows[name]
	if f == nil {
		if len(flows) >= maxFlows {
			for other, unused := range flows {
				if unused.running == 0 && unused.offered.value(now, floorTime) < 1 {
					delete(flows, other)
				}
			}
		}
		f = &flow{}
		flows[name] = f
	}
	return f
}

// offered counts an arrival.
func (s *shedding) offered(now time.Time, e Arrive, work time.Duration) {
	if s.since.IsZero() {
		s.since = now
	}
	tenant := flowOf(s.tenants, now, e.Tenant)
	for _, f := range [3]*flow{&s.all, flowOf(s.routes, now, e.Route), tenant} {
		f.offered.add(now, floorTime, 1)
	}
	if !now.Add(work).After(softEnd(e)) {
		s.inTime.add(now, shareTime, work.Seconds())
	}
	s.bandOf(e).add(now, shareTime, work.Seconds())
	if !e.Nested {
		tenant.usual.add(now, usualTime, work.Seconds())
		s.usual.add(now, usualTime, work.Seconds())
	}
}

// started counts a call that starts.
func (s *shedding) started(now time.Time, e Arrive, tag float64) {
	for _, f := range [3]*flow{&s.all, flowOf(s.routes, now, e.Route), flowOf(s.tenants, now, e.Tenant)} {
		f.started.add(now, floorTime, 1)
	}
	s.virtualTime = max(s.virtualTime, tag)
	route := flowOf(s.routes, now, e.Route)
	route.running++
	route.startSum += now.Sub(s.since).Seconds()
}

// ended removes a running call. It reports whether the route's service time was not measured for
// probeInterval before.
func (s *shedding) ended(now time.Time, name string, started time.Time) (stale bool) {
	route := s.routes[name]
	if route == nil || route.running == 0 {
		return false
	}
	route.running--
	route.startSum -= started.Sub(s.since).Seconds()
	stale = started.Sub(route.endedAt) >= probeInterval
	route.endedAt = now
	return stale
}

// probeDue reports whether a call may be started although it is expected to be too late, since the
// route's service time was not measured for some time: the target may have recovered.
func (s *shedding) probeDue(now time.Time, name string) bool {
	route := s.routes[name]
	return route != nil && route.running == 0 && now.Sub(route.endedAt) >= probeInterval
}

// remeasure gives the result of a probe the weight of many calls.
func (l *limiter) remeasure(name string, serviceTime time.Duration) {
	if mean, known := l.routes[name]; known {
		l.routes[name] = mean + (float64(serviceTime)-mean)*probeWeight
	}
}

// ServiceTime returns the time that the target takes at present for calls of the route: the mean
// of recent calls, or of the time that running ones have taken so far if that is more, so that a
// target that became slow is noticed before its first response. It is 0 if nothing is known or
// Options.Shedding is not set.
func (m *Machine) ServiceTime(now time.Time, name string) time.Duration {
	if m.shed == nil {
		return 0
	}
	mean := time.Duration(m.limit.routes[name])
	if route := m.shed.routes[name]; route != nil && route.running > 0 {
		ages := now.Sub(m.shed.since).Seconds()*float64(route.running) - route.startSum
		withPrior := (ages + agePrior*mean.Seconds()) / (float64(route.running) + agePrior)
		mean = max(mean, time.Duration(withPrior*float64(time.Second)))
	}
	return mean
}

// softEnd returns the time by which a response is wanted.
func softEnd(e Arrive) time.Time {
	if e.SoftDeadline.IsZero() {
		return e.Deadline
	}
	return e.SoftDeadline
}

// underserved reports whether the call's route or tenant is served too rarely.
func (s *shedding) underserved(now time.Time, e Arrive) bool {
	offered := s.all.offered.value(now, floorTime)
	if offered == 0 {
		return false
	}
	ratio := s.all.started.value(now, floorTime) / offered
	for _, f := range [2]*flow{flowOf(s.routes, now, e.Route), flowOf(s.tenants, now, e.Tenant)} {
		own := (f.started.value(now, floorTime) + floorPrior*ratio) / (f.offered.value(now, floorTime) + floorPrior)
		if own < floorShare*ratio {
			return true
		}
	}
	return false
}

// tag returns the start tag of a call of the given work, and counts the work for its tenant. A
// tenant's weight is its usual share of the work, so that all are served as often while each
// sends its usual part, and what one sends beyond that waits.
func (s *shedding) tag(now time.Time, e Arrive, work time.Duration) float64 {
	f := flowOf(s.tenants, now, e.Tenant)
	start := max(s.virtualTime, f.finishTag)
	f.finishTag = start + s.virtualWork(now, f, work)
	return start
}

// startTag is shedding.tag for a call that starts at once; 0 without shedding.
func (m *Machine) startTag(now time.Time, e Arrive) float64 {
	if m.shed == nil {
		return 0
	}
	return m.shed.tag(now, e, m.limit.expectedServiceTime(now, e))
}

// reachedTag returns the virtual time that the start of the call reaches: its start tag, unless
// queued calls with earlier ones were overtaken.
func (m *Machine) reachedTag(started queuedCall) float64 {
	tag := started.tag
	for _, item := range m.queue.interactive {
		tag = min(tag, item.tag)
	}
	return tag
}

// untag takes back the work of a call that was not started.
func (s *shedding) untag(now time.Time, e Arrive, work time.Duration) {
	f := flowOf(s.tenants, now, e.Tenant)
	f.finishTag = max(0, f.finishTag-s.virtualWork(now, f, work))
}

func (s *shedding) virtualWork(now time.Time, f *flow, work time.Duration) float64 {
	share := 1.0
	if total := s.usual.value(now, usualTime); total > 0 {
		share = max(minUsualShare, f.usual.value(now, usualTime)/total)
	}
	return work.Seconds() / share
}

func priorityOf(e Arrive) int {
	if e.Background {
		return e.Priority + backgroundPriority
	}
	return e.Priority
}

// band is the service time that calls of one priority asked for.
type band struct {
	priority int
	work     decaying
}

// bandOf returns the demand of the call's priority. Nested calls count as the most urgent.
func (s *shedding) bandOf(e Arrive) *decaying {
	priority := priorityOf(e)
	if e.Nested {
		priority = 0
	}
	i, known := slices.BinarySearchFunc(s.bands, priority, func(b band, p int) int { return cmp.Compare(b.priority, p) })
	if !known && len(s.bands) < maxBands {
		s.bands = slices.Insert(s.bands, i, band{priority: priority})
	}
	return &s.bands[min(i, len(s.bands)-1)].work
}

// capacityShare returns the share of the capacity that calls of more urgent priorities leave to
// those of the rank: they arrive while these wait, and go first.
func (s *shedding) capacityShare(now time.Time, r rank, limit int) float64 {
	if r.nested || r.first {
		return 1
	}
	urgent := 0.0
	for i := range s.bands {
		if s.bands[i].priority < r.priority {
			urgent += s.bands[i].work.value(now, shareTime)
		}
	}
	return max(0, 1-urgent/s.capacity(now, limit))
}

// spareShare returns the share of the capacity that calls in time do not ask for.
func (s *shedding) spareShare(now time.Time, limit int) float64 {
	return max(0, 1-s.inTime.value(now, shareTime)/s.capacity(now, limit))
}

// capacity returns the work, in seconds, that a decaying sum over shareTime reaches at capacity.
// Until shareTime has passed since the first call the sum is of a shorter time.
func (s *shedding) capacity(now time.Time, limit int) float64 {
	window := shareTime.Seconds() * -math.Expm1(-float64(max(now.Sub(s.since), shareTime/8))/float64(shareTime))
	return window * float64(limit)
}

// retryAfter returns the retry delay of a refused call: when the work that was promised to the
// calls refused before it will be done with spare capacity. left is the call's time left.
func (s *shedding) retryAfter(now time.Time, work, left time.Duration, limit int, soonest time.Duration) time.Duration {
	longest := max(minRetryAfter, min(maxRetryAfter, time.Duration(float64(left)*retryShare)))
	spare := max(minSpareShare, s.spareShare(now, limit))
	start := now.Add(max(minRetryAfter, min(soonest, longest)))
	if s.promisedUntil.After(start) {
		start = s.promisedUntil
	}
	s.promisedUntil = start.Add(time.Duration(float64(work) / spare / float64(limit)))
	if latest := now.Add(maxRetryAfter); s.promisedUntil.After(latest) {
		s.promisedUntil = latest
	}
	wait := start.Sub(now)
	if wait < longest {
		return wait
	}
	// The promised work does not end within the caller's time: callers are spread evenly over
	// the second half of it (multiples of the golden ratio).
	s.refusals++
	_, part := math.Modf(float64(s.refusals) * math.Phi)
	return time.Duration(float64(longest) * (1 + part) / 2)
}

// rank returns the rank of a call that is queued now.
func (s *shedding) rank(now time.Time, e Arrive, startBy time.Time) rank {
	return rank{nested: e.Nested, first: s.underserved(now, e), late: now.After(startBy), priority: priorityOf(e), startBy: startBy.UnixNano()}
}

// enqueueShedding queues the call, or refuses it at once if it is not expected to start in time.
// It also refuses queued calls that the new one makes too late.
func (m *Machine) enqueueShedding(now time.Time, e Arrive) []Action {
	work := m.limit.expectedServiceTime(now, e)
	startBy := softEnd(e).Add(-work)
	item := queuedCall{
		id: e.ID, background: e.Background, idempotent: e.Idempotent, serviceTime: work,
		rank: m.shed.rank(now, e, startBy), latestStart: e.Deadline.Add(-work), left: e.Deadline.Sub(now),
		keptFrom: now.Add(time.Duration(float64(softEnd(e).Sub(now)) * holdShare)),
	}
	if byQueue := now.Add(m.target.QueueTimeout); byQueue.Before(item.latestStart) {
		item.latestStart = byQueue
	}
	item.tag = m.shed.tag(now, e, work)
	item.rank.tag = item.tag
	m.sortQueue(now)
	if !m.fits(now, e, &item) || m.endangersKept(now, item) {
		m.shed.untag(now, e, work)
		return []Action{m.refusal(item, m.overloadReason(item, call.ReasonTooLate))}
	}
	var actions []Action
	if m.queue.len() >= m.target.QueueLength {
		last := len(m.queue.interactive) - 1
		if last < 0 || !item.rank.before(m.queue.interactive[last].rank) || !now.Before(m.queue.interactive[last].keptFrom) {
			m.shed.untag(now, e, work)
			return []Action{m.refusal(item, m.overloadReason(item, call.ReasonQueueFull))}
		}
		dropped := m.queue.interactive[last]
		m.queue.interactive = m.queue.interactive[:last]
		actions = append(actions, m.refuseQueuedCall(now, dropped, call.ReasonQueueFull))
	}
	m.queuedArrivals[e.ID] = e
	if e.Key != "" {
		m.queuedKeys[e.Key] = e.ID
	}
	m.queue.interactive = insert(m.queue.interactive, item)
	return append(actions, m.refuseOvertaken(now)...)
}

// fits reports whether the call is expected to start in time. A call that is not expected to meet
// its soft deadline may use what calls in time leave over until its hard deadline.
func (m *Machine) fits(now time.Time, e Arrive, item *queuedCall) bool {
	limit := max(1, m.limit.current())
	ahead, work := m.queue.ahead(item.rank)
	byRate := m.rate.wait(ahead + 1)
	share := max(minShare, m.shed.capacityShare(now, item.rank, limit))
	wait := max(byRate, time.Duration(float64(work+m.limit.meanServiceTime(false))/share/float64(limit)))
	startBy := softEnd(e).Add(-item.serviceTime)
	slack := startBy.Sub(now)
	if !e.Nested {
		slack = time.Duration(float64(slack) * queueSlackShare)
	}
	if !item.rank.late && wait <= slack && !now.Add(wait).After(item.latestStart) {
		return true
	}
	if e.RequireSoftDeadline {
		return false
	}
	item.rank.late = true
	_, work = m.queue.ahead(item.rank)
	work += m.limit.meanServiceTime(false)
	spare := min(m.shed.spareShare(now, limit), m.shed.capacityShare(now, item.rank, limit))
	if item.rank.nested || item.rank.first {
		spare = 1
	}
	wait = max(byRate, time.Duration(float64(work)/max(spare, minShare)/float64(limit)))
	return float64(wait) <= float64(item.latestStart.Sub(now))*(1-lateReserve)
}

// endangersKept reports whether a call that is kept would be expected to start too late if the
// new call went before it.
func (m *Machine) endangersKept(now time.Time, arriving queuedCall) bool {
	if arriving.rank.nested {
		return false
	}
	limit := time.Duration(max(1, m.limit.current()))
	start := now.Add((m.limit.meanServiceTime(false) + arriving.serviceTime) / limit)
	for _, item := range m.queue.interactive {
		if item.rank.kept && arriving.rank.before(item.rank) && start.After(item.latestStart.Add(-time.Duration(keptReserve*float64(item.left)))) {
			return true
		}
		start = start.Add(item.serviceTime / limit)
	}
	return false
}

// sortQueue updates what changes in the rank of queued calls with time. A call that was held for
// holdShare is not refused any more and has to be run: it goes first, among others like it by the
// latest start, since that order keeps the most latest starts.
func (m *Machine) sortQueue(now time.Time) {
	changed := false
	for i := range m.queue.interactive {
		item := &m.queue.interactive[i]
		if now.Before(item.keptFrom) || item.rank.kept {
			continue
		}
		startBy := item.latestStart.UnixNano()
		if !item.rank.late {
			startBy = min(startBy, item.rank.startBy)
		}
		changed = true
		item.rank = rank{nested: item.rank.nested, first: item.rank.first, kept: true, startBy: startBy}
	}
	if changed {
		slices.SortStableFunc(m.queue.interactive, func(a, b queuedCall) int {
			switch {
			case a.rank.before(b.rank):
				return -1
			case b.rank.before(a.rank):
				return 1
			}
			return 0
		})
	}
}

// refuseOvertaken refuses the queued calls that are now expected to start too late, unless they
// were held for so long that they are kept while they can still be run.
func (m *Machine) refuseOvertaken(now time.Time) []Action {
	var actions []Action
	limit := time.Duration(max(1, m.limit.current()))
	start := now.Add(m.limit.meanServiceTime(false) / limit)
	spare := max(minShare, m.shed.spareShare(now, int(limit)))
	kept := m.queue.interactive[:0]
	for _, item := range m.queue.interactive {
		latest := item.latestStart
		if startBy := time.Unix(0, item.rank.startBy); !item.rank.late && !item.rank.kept && startBy.Before(latest) {
			latest = startBy
		}
		expected := start
		if item.rank.late && !item.rank.first {
			expected = now.Add(time.Duration(float64(start.Sub(now)) / spare))
		}
		if expected.After(latest) || now.Add(m.rate.wait(len(kept)+1)).After(latest) {
			actions = append(actions, m.refuseQueuedCall(now, item, call.ReasonTooLate))
			continue
		}
		kept = append(kept, item)
		start = start.Add(item.serviceTime / limit)
	}
	m.queue.interactive = kept
	return actions
}

// refuseQueuedCall refuses a call that was removed from the queue.
func (m *Machine) refuseQueuedCall(now time.Time, item queuedCall, reason call.Reason) Action {
	m.shed.untag(now, m.forgetQueued(item.id), item.serviceTime)
	return m.refusal(item, m.overloadReason(item, reason))
}

// compareShedding compares what only shedding sets; it is 0 without shedding.
func (r rank) compareShedding(other rank) int {
	if c := cmp.Compare(r.tag, other.tag); c != 0 {
		return c
	}
	return cmp.Compare(r.startBy, other.startBy)
}
