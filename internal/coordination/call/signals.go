package call

import "time"

// TargetProcess identifies one process of a target. A target may start again under
// the same instance ID.
type TargetProcess struct {
	// Instance is the ID of the process, or empty if the target reports none.
	Instance string
	// StartedMS is the start time of the process in Unix milliseconds, 0 if unknown.
	StartedMS int64
}

// Same reports whether both may be the same process: the instance IDs are equal and
// no known start time contradicts that.
func (p TargetProcess) Same(other TargetProcess) bool {
	if p.Instance != other.Instance {
		return false
	}
	return p.StartedMS == other.StartedMS || p.StartedMS == 0 || other.StartedMS == 0
}

// TargetSignals is what a target states about itself in its responses.
type TargetSignals struct {
	// RateLimited is set while the target names a limit. RateLimit is that limit: the
	// calls per second that the target takes from all callers together.
	RateLimited bool
	RateLimit   float64
	// Leaving is set once the target has stated that it is about to stop: it takes no
	// new work.
	Leaving bool
}

// TargetReport is what a process of a target stated last.
type TargetReport struct {
	Process TargetProcess
	Signals TargetSignals
	// At is when the signals were received from the target.
	At time.Time
}
