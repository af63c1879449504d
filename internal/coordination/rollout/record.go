package rollout

import "time"

// Phase is the phase of a rollout. Later phases have greater values.
type Phase uint8

// The phases. Values go over the wire.
const (
	// Pending: no target of the new version is ready.
	Pending Phase = iota
	// Canary: a small share of the calls goes to one new target.
	Canary
	// Expanding: a small share of the calls goes to several new targets.
	Expanding
	// Shifting: all calls go to the new version, and gates of old targets refuse new calls.
	Shifting
	// RolledBack is a result: the new version gets no calls.
	RolledBack
	// Completed is a result: the new version is the current one. It has the greatest value
	// because it is announced only after it was written, so that it supersedes a rollback
	// that was decided but not written.
	Completed
)

var phaseNames = [...]string{"pending", "canary", "expanding", "shifting", "rolled_back", "completed"}

// String returns the name of the phase that operators see.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Final reports whether the phase is a result.
func (p Phase) Final() bool { return p >= RolledBack }

// Record is what is known about the rollout of a new version of one service.
type Record struct {
	Service string
	// Order identifies the operator's order; a later order has a greater number.
	Order uint64
	// TargetVersion is the new version, PreviousVersion the one that served when the order
	// was accepted.
	TargetVersion, PreviousVersion string
	// Duration is the time limit, counted from AcceptedAt.
	Duration time.Duration
	// AcceptedAt is when the order was accepted, by this node's clock.
	AcceptedAt time.Time
	Phase      Phase
	// Reason says why the phase was entered.
	Reason string
}

// Limit is the time by which the rollout must have a result.
func (r Record) Limit() time.Time { return r.AcceptedAt.Add(r.Duration) }

// Elapsed returns the time since the order was accepted, never negative.
func (r Record) Elapsed(now time.Time) time.Duration { return max(0, now.Sub(r.AcceptedAt)) }
