// Package leaving decides whether a node may take a target's ready report for news. A report may
// arrive late: after its process announced its leaving to the node, and after the node
// itself has restarted.
package leaving

import (
	"time"

	"jasminegate/internal/coordination/call"
)

const (
	// maxReportDelay is the longest time that a report is taken to be on its way. The users'
	// pages say that one may be seconds late.
	maxReportDelay = 10 * time.Second
	// maxHistoryAge bounds the time from the end of an incarnation to the start of the next one
	// for which its History holds. An incarnation in between may have run without contact
	// with the platform, and may have left no record.
	maxHistoryAge = 10 * time.Second
)

// History is what an incarnation of a node hands to the next one at its planned stop, after it
// has acknowledged the last report. One that is killed hands over nothing.
type History struct {
	// Newest is the newest process that the target's reports named; zero if there was none.
	Newest call.TargetProcess
	// Left says that this process announced its leaving.
	Left bool
	// At is when the incarnation ended.
	At time.Time
}

// Machine decides for one incarnation of a node. It is not safe for concurrent use.
//
// Load pattern: rolling restarts of nodes while targets are released. A target announces its
// leaving, its node acknowledges that and restarts, and a ready report sent before arrives.
type Machine struct {
	startedAt time.Time
	previous  *History
	// newest is the newest process that reported to this incarnation, and left whether it
	// announced its leaving.
	newest call.TargetProcess
	left   bool
	known  bool
}

// New returns a machine for an incarnation that started at startedAt. previous is what the
// previous one handed over; nil if that is not known.
func New(startedAt time.Time, previous *History) *Machine {
	if previous != nil && startedAt.Sub(previous.At).Abs() > maxHistoryAge {
		previous = nil
	}
	return &Machine{startedAt: startedAt, previous: previous}
}

// MayTake reports whether a ready report of the process that arrives now is news: the process
// cannot have announced its leaving to an earlier incarnation before it sent the report. If
// not, Confirm tells once the target itself says that it is ready.
func (m *Machine) MayTake(now time.Time, process call.TargetProcess) bool {
	switch {
	case process.Instance == "" || process.StartedMS == 0:
		return true // such targets announce themselves in order
	case m.known && m.newest.Same(process):
		return true
	case process.StartedMS > m.startedAt.UnixMilli():
		return true
	case m.previous != nil && m.previous.allows(process):
		return true
	}
	return now.Sub(m.startedAt) >= maxReportDelay
}

// allows reports whether no leaving that the incarnation acknowledged covers the process.
func (h *History) allows(process call.TargetProcess) bool {
	newestStartedMS := h.Newest.StartedMS
	if newestStartedMS == 0 {
		newestStartedMS = h.At.UnixMilli() // it named no start, so it started before the end of the incarnation
	}
	switch {
	case h.Newest == (call.TargetProcess{}), process.StartedMS > newestStartedMS:
		return true
	}
	return h.Newest.Same(process) && !h.Left
}

// Confirm records that the process is ready: its report was taken, or the target itself said so.
func (m *Machine) Confirm(process call.TargetProcess) {
	m.newest, m.left, m.known = process, false, true
}

// Leave records that the process announced its leaving.
func (m *Machine) Leave(process call.TargetProcess) {
	m.newest, m.left, m.known = process, true, true
}

// History returns what the next incarnation needs to know if this one ends now, and false if
// that is not known.
func (m *Machine) History(now time.Time) (History, bool) {
	switch {
	case m.known:
		return History{Newest: m.newest, Left: m.left, At: now}, true
	case m.previous != nil:
		return History{Newest: m.previous.Newest, Left: m.previous.Left, At: now}, true
	}
	return History{}, false
}
