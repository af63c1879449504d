package gate

import (
	"math"
	"slices"
	"time"

	"jasminegate/internal/coordination/call"
)

const (
	// backgroundWeight bounds the reordering: while calls of both classes are
	// queued, background calls get one part in backgroundWeight of the service time.
	backgroundWeight = 8
	// maxServiceRatio limits the ratio of background to interactive service time
	// that setBound uses, and so how often a background call is overtaken.
	maxServiceRatio = 16
)

// waiting is a queued call.
type waiting struct {
	id         call.ID
	background bool
	idempotent bool
	rank       rank
	// work is the expected service time.
	work time.Duration
	// latest is the latest time at which the call may start.
	latest time.Time
}

// rank orders the queued calls of one class. Nested calls go first, because their
// parent occupies a slot while it waits for them. Within a priority, calls with an
// earlier soft deadline go first: they tend to be shorter, so that more calls are
// answered in time.
type rank struct {
	nested   bool
	priority int
	// aim is the time left to the soft deadline, in steps of aimStep. It is noAim
	// without a soft deadline or after it has passed, so that such calls go last.
	aim int
}

const (
	// aimStep is the resolution at which soft deadlines are compared; within one
	// step, calls start in order of arrival.
	aimStep = 100 * time.Millisecond
	noAim   = math.MaxInt
)

func rankOf(now time.Time, e Arrive) rank {
	r := rank{nested: e.Nested, priority: e.Priority, aim: noAim}
	if left := e.Aim.Sub(now); !e.Aim.IsZero() && left > 0 {
		r.aim = int((left + aimStep/2) / aimStep)
	}
	return r
}

// before reports whether a call of rank r starts before a call of rank other.
func (r rank) before(other rank) bool {
	if r.nested != other.nested {
		return r.nested
	}
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	return r.aim < other.aim
}

// queue holds the queued calls of both classes, each class ordered by rank and
// first in, first out within a rank. Interactive calls overtake background calls,
// but a background call behind n others of its class is overtaken at most
// (n+1)*bound times.
//
// This is the bounded reordering with weighted shares of the Pelican scheduler
// (Balakrishnan et al., "Pelican: A Building Block for Exascale Cold Data
// Storage", OSDI 2014, section 2.2.3), with traffic classes in place of disk
// groups. As in Pelican, the bound and the shares are in service time, not in
// calls.
type queue struct {
	interactive []waiting
	background  []waiting
	// bound is how many interactive calls may start before the first background
	// call.
	bound int
	// passed counts the interactive calls started since the last background start,
	// or since the first background call was queued.
	passed int
}

// setBound computes the bound from the mean service times of the classes.
func (q *queue) setBound(interactive, background time.Duration) {
	ratio := min(maxServiceRatio, max(1, background/max(1, interactive)))
	q.bound = (backgroundWeight - 1) * int(ratio)
}

func (q *queue) len() int { return len(q.interactive) + len(q.background) }

func (q *queue) push(item waiting) {
	if item.background {
		if len(q.background) == 0 {
			q.passed = 0
		}
		q.background = insert(q.background, item)
		return
	}
	q.interactive = insert(q.interactive, item)
}

// insert inserts the item in rank order, behind items of equal rank.
func insert(list []waiting, item waiting) []waiting {
	at := len(list)
	for at > 0 && item.rank.before(list[at-1].rank) {
		at--
	}
	return slices.Insert(list, at, item)
}

// ahead returns the number of interactive calls that would start before a new call
// of the given rank, and the sum of their expected service times.
func (q *queue) ahead(of rank) (calls int, work time.Duration) {
	for _, item := range q.interactive {
		if of.before(item.rank) {
			break
		}
		calls++
		work += item.work
	}
	return calls, work
}

// yields reports whether a full queue can drop a call that ranks behind the item.
// The last background call is never dropped for an interactive one, so that the
// background class keeps its share.
func (q *queue) yields(item waiting) bool {
	return !item.background && len(q.background) > 1 || lastBehind(*q.listOf(item), item)
}

// takeBehind removes and returns the last call that ranks behind the item. yields
// must have reported true.
func (q *queue) takeBehind(item waiting) waiting {
	list := &q.background
	if item.background || len(q.background) <= 1 {
		list = q.listOf(item)
	}
	last := len(*list) - 1
	taken := (*list)[last]
	*list = (*list)[:last]
	return taken
}

func (q *queue) listOf(item waiting) *[]waiting {
	if item.background {
		return &q.background
	}
	return &q.interactive
}

// lastBehind reports whether the last call of the list ranks behind the item.
func lastBehind(list []waiting, item waiting) bool {
	return len(list) > 0 && item.rank.before(list[len(list)-1].rank)
}

// takeLate removes and returns the interactive calls that are expected to start too
// late, given the number of slots and the time until the first of them is free.
func (q *queue) takeLate(now time.Time, slots int, first time.Duration) []waiting {
	var late []waiting
	start := now.Add(first)
	kept := q.interactive[:0]
	for _, item := range q.interactive {
		if start.After(item.latest) {
			late = append(late, item)
			continue
		}
		kept = append(kept, item)
		start = start.Add(item.work / time.Duration(slots))
	}
	q.interactive = kept
	return late
}

// pop removes and returns the next call to start, and false if the queue is empty.
func (q *queue) pop() (waiting, bool) {
	if len(q.background) > 0 && q.backgroundDue() {
		q.passed = 0
		return shift(&q.background), true
	}
	if len(q.interactive) == 0 {
		return waiting{}, false
	}
	if len(q.background) > 0 {
		q.passed++
	}
	return shift(&q.interactive), true
}

// backgroundDue reports whether the next call to start is a background call, if one
// is queued.
func (q *queue) backgroundDue() bool {
	return len(q.interactive) == 0 || q.passed >= q.bound
}

// remove removes the call and reports whether it was queued.
func (q *queue) remove(id call.ID) bool {
	return removeFrom(&q.interactive, id) || removeFrom(&q.background, id)
}

// expire removes and returns the calls whose latest start time has passed.
func (q *queue) expire(now time.Time) []waiting {
	expired := expireFrom(&q.interactive, now, nil)
	return expireFrom(&q.background, now, expired)
}

// earliest returns the earliest of the latest start times of the queued calls, and
// false if the queue is empty.
func (q *queue) earliest() (time.Time, bool) {
	var first time.Time
	for _, list := range [2][]waiting{q.interactive, q.background} {
		for _, item := range list {
			if first.IsZero() || item.latest.Before(first) {
				first = item.latest
			}
		}
	}
	return first, !first.IsZero()
}

// takeAll empties the queue and returns its calls, interactive ones first.
func (q *queue) takeAll() []waiting {
	all := append(q.interactive, q.background...)
	q.interactive = nil
	q.background = nil
	return all
}

func shift(list *[]waiting) waiting {
	first := (*list)[0]
	*list = (*list)[1:]
	return first
}

func removeFrom(list *[]waiting, id call.ID) bool {
	for i, item := range *list {
		if item.id == id {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

func expireFrom(list *[]waiting, now time.Time, expired []waiting) []waiting {
	if !slices.ContainsFunc(*list, func(item waiting) bool { return now.After(item.latest) }) {
		return expired
	}
	kept := (*list)[:0]
	for _, item := range *list {
		if now.After(item.latest) {
			expired = append(expired, item)
			continue
		}
		kept = append(kept, item)
	}
	*list = kept
	return expired
}
