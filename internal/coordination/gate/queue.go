package gate

import (
	"math"
	"slices"
	"time"

	"jasminegate/internal/coordination/call"
)

const (
	// backgroundWeight is the bound of reordering: while both classes wait,
	// background calls get one part in this many of the work.
	backgroundWeight = 8
	// maxServiceRatio bounds how much longer than interactive calls background
	// ones are taken to run, and with it how often one is overtaken.
	maxServiceRatio = 16
)

// waiting is a queued call.
type waiting struct {
	id         call.ID
	background bool
	idempotent bool
	rank       rank
	// work is how long the call is expected to run.
	work time.Duration
	// latest is the last time at which the call may start.
	latest time.Time
}

// rank orders the calls of one class. Calls of running requests go first: a
// parent that waits holds a slot for nothing. Of equal priority those go first
// whose answers are wanted sooner: they are the shorter ones, and more of them are
// answered in time.
type rank struct {
	nested   bool
	priority int
	// aim is the time left to the aim in steps of aimStep; calls without an aim, or
	// past it, come last.
	aim int
}

const (
	// aimStep is up to which difference in the time left calls keep their order of
	// arrival.
	aimStep = 100 * time.Millisecond
	noAim   = math.MaxInt
)

func rankOf(now time.Time, e Arrive) rank {
	r := rank{nested: e.Nested, priority: e.Priority, aim: noAim}
	if left := e.SoftDeadline.Sub(now); !e.SoftDeadline.IsZero() && left > 0 {
		r.aim = int((left + aimStep/2) / aimStep)
	}
	return r
}

// before reports whether a call of the rank starts before one of the other.
func (r rank) before(other rank) bool {
	if r.nested != other.nested {
		return r.nested
	}
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	return r.aim < other.aim
}

// queue holds the waiting calls of both classes, each in the order of their
// ranks, and first in, first out within one.
// Interactive calls overtake background ones, but a background call with n of
// its class before it is overtaken at most (n+1)*bound times.
//
// This is the bounded reordering with weighted shares of the Pelican scheduler
// (Balakrishnan et al., "Pelican: A Building Block for Exascale Cold Data
// Storage", OSDI 2014, section 2.2.3), with the class in place of the disk
// group: calls are reordered, and none is passed over beyond a bound. As there,
// the bound and the shares are in service time, not in calls.
type queue struct {
	interactive []waiting
	background  []waiting
	// bound is how many interactive calls may start before a background one.
	bound int
	// passed counts interactive starts since the last background start or
	// since background calls began to wait.
	passed int
}

// setBound takes in the classes' mean service times.
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

// insert puts the item behind all that do not come after it.
func insert(list []waiting, item waiting) []waiting {
	at := len(list)
	for at > 0 && item.rank.before(list[at-1].rank) {
		at--
	}
	return slices.Insert(list, at, item)
}

// ahead returns how many interactive calls start before one of the rank that
// arrives now, and the work that they are.
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

// yields reports whether a call that ranks behind the item waits, so that it can
// make room. One background call is left to have its share.
func (q *queue) yields(item waiting) bool {
	return !item.background && len(q.background) > 1 || lastBehind(*q.listOf(item), item)
}

// takeBehind takes out the last call that ranks behind the item.
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

func lastBehind(list []waiting, item waiting) bool {
	return len(list) > 0 && item.rank.before(list[len(list)-1].rank)
}

// takeLate takes out the interactive calls that, with the given slots and so much
// time until the first of them is free, would start too late.
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

// pop takes the next call.
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

func (q *queue) backgroundDue() bool {
	return len(q.interactive) == 0 || q.passed >= q.bound
}

// remove takes the call out and reports whether it waited.
func (q *queue) remove(id call.ID) bool {
	return removeFrom(&q.interactive, id) || removeFrom(&q.background, id)
}

// expire takes out the calls that can no longer start in time.
func (q *queue) expire(now time.Time) []waiting {
	expired := expireFrom(&q.interactive, now, nil)
	return expireFrom(&q.background, now, expired)
}

// earliest returns the first time at which a waiting call expires.
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

// takeAll empties the queue.
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
