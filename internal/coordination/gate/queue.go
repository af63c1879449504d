package gate

import (
	"math"
	"slices"
	"time"

	"jasminegate/internal/coordination/call"
)

const (
	// backgroundShareDivisor bounds the reordering: while calls of both classes are
	// queued, background calls get 1/backgroundShareDivisor of the service time.
	backgroundShareDivisor = 8
	// maxServiceRatio limits the ratio of background to interactive service time
	// that setOvertakeLimit uses, and so how often a background call is overtaken.
	maxServiceRatio = 16
)

// queuedCall is a call in the queue.
type queuedCall struct {
	id         call.ID
	background bool
	idempotent bool
	rank       rank
	// serviceTime is the expected service time.
	serviceTime time.Duration
	// latestStart is the latest time at which the call may start.
	latestStart time.Time
	// left is the time left until the hard deadline at arrival, and keptFrom is from when the
	// call is no longer refused for others. Both are set with shedding only.
	left time.Duration
	// tag is the start tag of fair queueing, with shedding only.
	tag      float64
	keptFrom time.Time
}

// rank orders the queued calls of one class. Nested calls go first, because their
// parent occupies a slot while it waits for them. Within a priority, calls with an
// earlier soft deadline go first: they tend to be shorter, so that more calls are
// answered in time.
type rank struct {
	nested   bool
	priority int
	// softDeadlineSteps is the time left to the soft deadline, in units of
	// softDeadlineStep. It is noSoftDeadline without a soft deadline or after it has
	// passed, so that such calls go last.
	softDeadlineSteps int
	// With shedding, first says that the call's route or tenant is served too rarely, late that
	// the soft deadline cannot be met, tag is the start tag of fair queueing and startBy, in Unix
	// nanoseconds, the latest start for the soft deadline; softDeadlineSteps is then 0.
	first, late bool
	// kept says that the call was held for too long to be refused for others.
	kept    bool
	tag     float64
	startBy int64
}

const (
	// softDeadlineStep is the resolution at which soft deadlines are compared; calls
	// within one step start in order of arrival.
	softDeadlineStep = 100 * time.Millisecond
	noSoftDeadline   = math.MaxInt
)

func rankOf(now time.Time, e Arrive) rank {
	r := rank{nested: e.Nested, priority: e.Priority, softDeadlineSteps: noSoftDeadline}
	if left := e.SoftDeadline.Sub(now); !e.SoftDeadline.IsZero() && left > 0 {
		r.softDeadlineSteps = int((left + softDeadlineStep/2) / softDeadlineStep)
	}
	return r
}

// before reports whether a call of rank r starts before a call of rank other.
func (r rank) before(other rank) bool {
	if r.nested != other.nested {
		return r.nested
	}
	if r.first != other.first {
		return r.first
	}
	if r.kept != other.kept {
		return r.kept
	}
	if r.late != other.late {
		return other.late
	}
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	if c := r.compareShedding(other); c != 0 {
		return c < 0
	}
	return r.softDeadlineSteps < other.softDeadlineSteps
}

// queue holds the queued calls of both classes, each class ordered by rank and
// first in, first out within a rank. Interactive calls overtake background calls,
// but a background call behind n others of its class is overtaken at most
// (n+1)*overtakeLimit times.
//
// This is the bounded reordering with weighted shares of the Pelican scheduler
// (Balakrishnan et al., "Pelican: A Building Block for Exascale Cold Data
// Storage", OSDI 2014, section 2.2.3), with traffic classes in place of disk
// groups. As in Pelican, the limit and the shares are based on service time, not on
// numbers of calls.
type queue struct {
	interactive []queuedCall
	background  []queuedCall
	// overtakeLimit is how many interactive calls may start before the first
	// background call.
	overtakeLimit int
	// overtakes counts the interactive calls started since the last background
	// start, or since the first background call was queued.
	overtakes int
}

// setOvertakeLimit computes the limit from the mean service times of the classes.
func (q *queue) setOvertakeLimit(interactive, background time.Duration) {
	ratio := min(maxServiceRatio, max(1, background/max(1, interactive)))
	q.overtakeLimit = (backgroundShareDivisor - 1) * int(ratio)
}

func (q *queue) len() int { return len(q.interactive) + len(q.background) }

func (q *queue) push(item queuedCall) {
	if item.background {
		if len(q.background) == 0 {
			q.overtakes = 0
		}
		q.background = insert(q.background, item)
		return
	}
	q.interactive = insert(q.interactive, item)
}

// insert inserts the item in rank order, behind items of equal rank.
func insert(list []queuedCall, item queuedCall) []queuedCall {
	at := len(list)
	for at > 0 && item.rank.before(list[at-1].rank) {
		at--
	}
	return slices.Insert(list, at, item)
}

// ahead returns the number of interactive calls that would start before a new call
// of rank arriving, and the sum of their expected service times.
func (q *queue) ahead(arriving rank) (calls int, work time.Duration) {
	for _, item := range q.interactive {
		if arriving.before(item.rank) {
			break
		}
		calls++
		work += item.serviceTime
	}
	return calls, work
}

// canDisplace reports whether a full queue holds a call that may be dropped for the
// item. The last background call is never dropped for an interactive one, so that the
// background class keeps its share.
func (q *queue) canDisplace(item queuedCall) bool {
	return !item.background && len(q.background) > 1 || lastBehind(*q.listOf(item), item)
}

// displace removes and returns the call that is dropped for the item: for an
// interactive item the last background call, if more than one is queued, else the
// last call of the item's class. It must only be called if canDisplace reported true.
func (q *queue) displace(item queuedCall) queuedCall {
	list := &q.background
	if item.background || len(q.background) <= 1 {
		list = q.listOf(item)
	}
	last := len(*list) - 1
	displaced := (*list)[last]
	*list = (*list)[:last]
	return displaced
}

func (q *queue) listOf(item queuedCall) *[]queuedCall {
	if item.background {
		return &q.background
	}
	return &q.interactive
}

// lastBehind reports whether the last call of the list ranks behind the item.
func lastBehind(list []queuedCall, item queuedCall) bool {
	return len(list) > 0 && item.rank.before(list[len(list)-1].rank)
}

// removeLate removes and returns the interactive calls that are expected to start
// too late, given the concurrency limit, the time until a slot is free and the time
// rateWait(n) until the rate limit allows the n-th call.
func (q *queue) removeLate(now time.Time, limit int, untilFree time.Duration, rateWait func(n int) time.Duration) []queuedCall {
	var late []queuedCall
	start := now.Add(untilFree)
	remaining := q.interactive[:0]
	for _, item := range q.interactive {
		byRate := now.Add(rateWait(len(remaining) + 1))
		if start.After(item.latestStart) || byRate.After(item.latestStart) {
			late = append(late, item)
			continue
		}
		remaining = append(remaining, item)
		start = start.Add(item.serviceTime / time.Duration(limit))
	}
	q.interactive = remaining
	return late
}

// pop removes and returns the next call to start, and false if the queue is empty.
func (q *queue) pop() (queuedCall, bool) {
	if len(q.background) > 0 && q.backgroundDue() {
		q.overtakes = 0
		return popFront(&q.background), true
	}
	if len(q.interactive) == 0 {
		return queuedCall{}, false
	}
	if len(q.background) > 0 {
		q.overtakes++
	}
	return popFront(&q.interactive), true
}

// backgroundDue reports whether the next call to start is a background call, if one
// is queued.
func (q *queue) backgroundDue() bool {
	return len(q.interactive) == 0 || q.overtakes >= q.overtakeLimit
}

// remove removes the call and reports whether it was queued.
func (q *queue) remove(id call.ID) bool {
	return removeFrom(&q.interactive, id) || removeFrom(&q.background, id)
}

// removeExpired removes and returns the calls whose latest start time has passed.
func (q *queue) removeExpired(now time.Time) []queuedCall {
	expired := removeExpiredFrom(&q.interactive, now, nil)
	return removeExpiredFrom(&q.background, now, expired)
}

// earliestExpiry returns the first time at which a queued call expires, and false if
// the queue is empty.
func (q *queue) earliestExpiry() (time.Time, bool) {
	var first time.Time
	for _, list := range [2][]queuedCall{q.interactive, q.background} {
		for _, item := range list {
			if first.IsZero() || item.latestStart.Before(first) {
				first = item.latestStart
			}
		}
	}
	return first, !first.IsZero()
}

// removeAll empties the queue and returns its calls, interactive ones first.
func (q *queue) removeAll() []queuedCall {
	all := append(q.interactive, q.background...)
	q.interactive = nil
	q.background = nil
	return all
}

func popFront(list *[]queuedCall) queuedCall {
	first := (*list)[0]
	*list = (*list)[1:]
	return first
}

func removeFrom(list *[]queuedCall, id call.ID) bool {
	for i, item := range *list {
		if item.id == id {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

func removeExpiredFrom(list *[]queuedCall, now time.Time, expired []queuedCall) []queuedCall {
	if !slices.ContainsFunc(*list, func(item queuedCall) bool { return now.After(item.latestStart) }) {
		return expired
	}
	remaining := (*list)[:0]
	for _, item := range *list {
		if now.After(item.latestStart) {
			expired = append(expired, item)
			continue
		}
		remaining = append(remaining, item)
	}
	*list = remaining
	return expired
}
