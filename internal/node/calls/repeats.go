package calls

import (
	"golang.org/x/time/rate"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/logging"
)

// repeatLinesPerSecond bounds the log lines about repeats.
const repeatLinesPerSecond rate.Limit = 1

// countArrival counts a call that was written to the target.
func (r *Runner) countArrival(kind call.Repeat) {
	if kind >= call.Resent {
		kind = call.Retried // a kind of a later release
	}
	r.count(kind)
}

// noteResent handles a call that was written to the target once more.
func (r *Runner) noteResent(c *gateCall) {
	r.runningRequests.markRepeated(r.runningID(c))
	r.count(call.Resent)
	r.gate.notify(gate.Resent{ID: c.id})
}

func (r *Runner) count(kind call.Repeat) {
	arrivals := r.metrics.arrivals
	arrivals[kind].Inc()
	if kind == call.First {
		return
	}
	line := r.repeatsLog.event(logging.RepeatsAtTarget)
	for kind := call.First; kind <= call.Resent; kind++ {
		line.Uint(kind.String(), arrivals[kind].Get())
	}
	line.Send()
}
