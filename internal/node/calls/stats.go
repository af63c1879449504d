package calls

import (
	"sync/atomic"

	"jasminegate/internal/coordination/call"
)

// counters are the totals since the start. started and refused count decisions
// on calls at this node's gate; the others count what this node does as entry.
type counters struct {
	requests        atomic.Uint64
	answered        atomic.Uint64
	notRun          atomic.Uint64
	outcomeUnknown  atomic.Uint64
	ran             atomic.Uint64
	aborted         atomic.Uint64
	connectionsLost atomic.Uint64
	started         atomic.Uint64
	refused         atomic.Uint64
}

// Stats holds totals since the start and current values.
type Stats struct {
	// Requests is the number of callers' requests. The outcomes below do not count
	// those that end without a response because the caller disconnected.
	Requests uint64
	// Answered is the number of requests that got a target's whole response.
	Answered uint64
	// NotRun, OutcomeUnknown and Ran count requests that ended with that
	// outcome.
	NotRun         uint64
	OutcomeUnknown uint64
	Ran            uint64
	// Aborted is the number of responses that broke off after their start.
	Aborted uint64
	// Retries is the number of attempts after the first of each request.
	Retries uint64
	// ConnectionsLost is the number of connections to gates that were lost or did
	// not respond within the silence timeout.
	ConnectionsLost uint64
	// Started and Refused count decisions on calls at this node's gate. Malformed
	// calls, and calls refused because an event ring was full, are in neither.
	Started uint64
	Refused uint64
	// Queued is how many calls are queued at this node's gate.
	Queued int
	// ConcurrencyLimit is how many calls may run at the target at present.
	ConcurrencyLimit int
	// TargetSignals are the newest ones of the local target.
	TargetSignals call.TargetSignals
	// InFlight is the number of callers' requests being served.
	InFlight int
}

// Stats returns the current counts.
func (r *Runner) Stats() Stats {
	return Stats{
		Requests:         r.counters.requests.Load(),
		Answered:         r.counters.answered.Load(),
		NotRun:           r.counters.notRun.Load(),
		OutcomeUnknown:   r.counters.outcomeUnknown.Load(),
		Ran:              r.counters.ran.Load(),
		Aborted:          r.counters.aborted.Load(),
		Retries:          r.entry.retries.Load(),
		ConnectionsLost:  r.counters.connectionsLost.Load(),
		Started:          r.counters.started.Load(),
		Refused:          r.counters.refused.Load(),
		Queued:           int(r.gate.queued.Load()),
		ConcurrencyLimit: int(r.gate.limit.Load()),
		TargetSignals:    r.signals.get(),
		InFlight:         int(r.entry.inFlight.Load()),
	}
}
