package calls

import "sync/atomic"

// counters count since the start.
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

// Stats counts what the duty did since its start.
type Stats struct {
	// Requests came from callers.
	Requests uint64
	// Answered got a target's whole answer.
	Answered uint64
	// NotRun, OutcomeUnknown and Ran were told so.
	NotRun         uint64
	OutcomeUnknown uint64
	Ran            uint64
	// Aborted answers broke off after their start.
	Aborted uint64
	// Retries are attempts after the first.
	Retries uint64
	// PathsSilent counts attempts whose connection was lost or silent.
	PathsSilent uint64
	// Started and Refused are calls at this node's gate.
	Started uint64
	Refused uint64
	// Limit is how many calls may run at the target at present.
	Limit int
	// InFlight is how many callers' requests are in work.
	InFlight int
}

// Stats returns the counts so far.
func (d *Duty) Stats() Stats {
	return Stats{
		Requests:       d.counters.requests.Load(),
		Answered:       d.counters.answered.Load(),
		NotRun:         d.counters.notRun.Load(),
		OutcomeUnknown: d.counters.outcomeUnknown.Load(),
		Ran:            d.counters.ran.Load(),
		Aborted:        d.counters.aborted.Load(),
		Retries:        d.entry.retries.Load(),
		PathsSilent:    d.counters.connectionsLost.Load(),
		Started:        d.counters.started.Load(),
		Refused:        d.counters.refused.Load(),
		Limit:          int(d.gate.limit.Load()),
		InFlight:       int(d.entry.inFlight.Load()),
	}
}
