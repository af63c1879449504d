// Package stopping decides which calls a node that is about to stop still takes. Until callers had the time
// to leave, these are the calls that are expected to end before it does, and later only those whose deadline
// lies before its end: how long other calls lasted is no promise to the caller of this one.
//
// Load pattern: nodes that restart one after the other under load, while some calls last for a
// considerable part of the time that each node has for its stop.
package stopping

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is how long calls count at least; they count for twice as long at most.
	window = 15 * time.Second
	// minCalls is how many calls of a route have to be known to judge others by them.
	minCalls = 10
	// usualQuantile is the share of a route's calls, in percent, that has to end in time for a call
	// that may be sent again.
	usualQuantile = 90
	// lateHeadroom is how many times the longest of the recent calls has to fit for a call of a running
	// one that comes once callers had the time to leave. If durations are exponential, a call lasts longer
	// than the longest of n others in 1 of n+1 cases, and longer than twice that in 2 of (n+1)(n+2).
	lateHeadroom = 2
	// maxRoutes bounds the routes whose calls are measured.
	maxRoutes = 256
	// maxDuration bounds the measured durations, and digits is their precision.
	maxDuration = 10 * time.Minute
	digits      = 1
)

// Call is a call that arrives.
type Call struct {
	Route string
	// Deadline is when it ends at the latest.
	Deadline time.Time
	// Cautious demands that the longest of the route's recent calls would end in time, in place of
	// nine in ten: for calls that may not be sent again, and those that another node can take. It
	// makes no difference once callers had the time to leave.
	Cautious bool
	// Strict lets only the deadline decide from the begin of the stop on: for a call that may not be sent
	// again, which another node can take and whose caller does not learn of the stop.
	Strict bool
	// OfRunning is set for a call that a running call makes: its refusal breaks off that one. The recent
	// calls also decide about it once callers had the time to leave.
	OfRunning bool
	// Repeated is set for a further attempt of a call that was passed on before. It is judged by what was
	// enough for the first attempt.
	Repeated bool
}

// Machine measures how long calls last, by route, and decides about calls once the node is about to
// stop. It is not safe for concurrent use.
type Machine struct {
	// leave is when callers had the time to leave, and end when the node gives up the calls that it
	// still has; zero if it is not about to stop.
	leave, end time.Time
	routes     map[string]*durations
}

// Basis is what a decision about a call rests on.
type Basis string

const (
	// NotStopping: the node is not about to stop.
	NotStopping Basis = "not-stopping"
	// EndsByDeadline: the call's deadline lies before the node's end.
	EndsByDeadline Basis = "ends-by-deadline"
	// MayOutlastNode: callers had the time to leave, or the call is judged strictly, and the deadline lies
	// behind the node's end.
	MayOutlastNode Basis = "may-outlast-node"
	// RecentCalls: how long recent calls of the route lasted.
	RecentCalls Basis = "recent-calls"
	// TooFewCalls: the deadline lies behind the node's end, and too few calls of the route are known.
	TooFewCalls Basis = "too-few-calls"
)

// Verdict is the decision about a call.
type Verdict struct {
	Take  bool
	Basis Basis
	// Left is the time until the node gives up its calls; 0 if it is not about to stop.
	Left time.Duration
	// Expected is how long the call may last by the recent ones, with Basis RecentCalls.
	Expected time.Duration
}

// New returns a machine of a node that is not about to stop.
func New() *Machine { return &Machine{routes: make(map[string]*durations)} }

// Stop says that the node is about to stop: callers have had the time to leave it by leave, and it
// gives up the calls that it has at the end.
func (m *Machine) Stop(leave, end time.Time) { m.leave, m.end = leave, end }

// Observe notes how long a call took.
func (m *Machine) Observe(now time.Time, route string, took time.Duration) {
	d := m.routes[route]
	if d == nil {
		if len(m.routes) >= maxRoutes {
			m.forget(now)
		}
		if len(m.routes) >= maxRoutes {
			return
		}
		d = newDurations(now)
		m.routes[route] = d
	}
	d.observe(now, took)
}

// forget drops the routes without recent calls.
func (m *Machine) forget(now time.Time) {
	for route, d := range m.routes {
		if now.Sub(d.began) >= 2*window {
			delete(m.routes, route)
		}
	}
}

// Judge decides whether the call is taken. It is if its deadline lies before the node's end. Until callers
// had the time to leave, a refusal would reach all of them, and another call is taken too if recent ones of
// its route would have ended in time. Later, only one that belongs to work begun before is: one that is cut
// off costs its caller more than a refusal at once, after which another node serves it. That is so at any time
// for a call that is judged strictly.
func (m *Machine) Judge(now time.Time, c Call) Verdict {
	if m.end.IsZero() {
		return Verdict{Take: true, Basis: NotStopping}
	}
	left := m.end.Sub(now)
	if !c.Deadline.After(m.end) {
		return Verdict{Take: true, Basis: EndsByDeadline, Left: left}
	}
	late := !now.Before(m.leave) && !c.Repeated
	if c.Strict || late && !c.OfRunning {
		return Verdict{Basis: MayOutlastNode, Left: left}
	}
	expected, known := m.expected(now, c.Route, c.Cautious || late)
	if !known {
		return Verdict{Basis: TooFewCalls, Left: left}
	}
	if late {
		expected *= lateHeadroom
	}
	return Verdict{Take: expected <= left, Basis: RecentCalls, Left: left, Expected: expected}
}

// expected returns how long a call of the route is expected to last, and false if too few are known.
func (m *Machine) expected(now time.Time, route string, cautious bool) (time.Duration, bool) {
	d := m.routes[route]
	if d == nil {
		return 0, false
	}
	return d.expected(now, cautious)
}

// durations are those of the recent calls of one route, in milliseconds.
type durations struct {
	// began is when current began. previous has those of the window before it.
	began             time.Time
	current, previous *hdrhistogram.Histogram
}

func newDurations(now time.Time) *durations {
	return &durations{began: now, current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDuration.Milliseconds(), digits)
}

func (d *durations) observe(now time.Time, took time.Duration) {
	d.advance(now)
	// A value within the bounds of the histogram is always recorded.
	_ = d.current.RecordValue(min(max(1, took.Milliseconds()), maxDuration.Milliseconds()))
}

// advance begins a new window if the current one is over.
func (d *durations) advance(now time.Time) {
	age := now.Sub(d.began)
	if age < window {
		return
	}
	d.current, d.previous = d.previous, d.current
	d.current.Reset()
	if age >= 2*window {
		d.previous.Reset()
	}
	d.began = now
}

// expected returns how long a call is expected to last, and false if too few are known.
func (d *durations) expected(now time.Time, cautious bool) (time.Duration, bool) {
	d.advance(now)
	if d.current.TotalCount()+d.previous.TotalCount() < minCalls {
		return 0, false
	}
	if cautious {
		return time.Duration(max(d.current.Max(), d.previous.Max())) * time.Millisecond, true
	}
	all := newHistogram()
	all.Merge(d.current)
	all.Merge(d.previous)
	return time.Duration(all.ValueAtQuantile(usualQuantile)) * time.Millisecond, true
}
