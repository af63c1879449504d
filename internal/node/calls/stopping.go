package calls

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/stopping"
)

// stopDecider decides which calls are still taken before the node stops.
type stopDecider struct {
	mu      sync.Mutex
	machine *stopping.Machine
}

func newStopDecider() *stopDecider { return &stopDecider{machine: stopping.New()} }

func (d *stopDecider) stop(leave, end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Stop(leave, end)
}

func (d *stopDecider) observe(now time.Time, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Observe(now, route, took)
}

func (d *stopDecider) mayTake(now time.Time, c stopping.Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.MayTake(now, c)
}

// StopBy says that callers have had the time to leave the node by leave, and that EndRequests is called at
// the end. From now on, callers' requests and calls of other nodes that are not expected to end by then are
// refused.
func (r *Runner) StopBy(leave, end time.Time) {
	r.requestsBeforeStop.stop(leave, end)
	r.callsBeforeStop.stop(leave, end)
}

// mayTakeRequest reports whether the caller's request is expected to end before the node stops.
func (r *Runner) mayTakeRequest(c *callerRequest) bool {
	return r.requestsBeforeStop.mayTake(r.options.Now(), stopping.Call{Route: c.route.Name, Deadline: c.deadline, Cautious: !c.route.Idempotent})
}

// observeRequest notes how long a request took that may have run.
func (r *Runner) observeRequest(c *callerRequest) {
	if len(c.gates) > 0 && !c.notRun() && c.outcome != outcomeCallerLeft {
		now := r.options.Now()
		r.requestsBeforeStop.observe(now, c.route.Name, now.Sub(c.receivedAt))
	}
}

// mayTakeCall reports whether the call is expected to end before the node stops. Another gate can
// take it otherwise.
func (r *Runner) mayTakeCall(c *gateCall) bool {
	return r.callsBeforeStop.mayTake(r.options.Now(), stopping.Call{Route: c.start.Route, Deadline: c.deadline, Cautious: true})
}

// EndRequests responds to all callers' requests that are still in work, or are still being sent.
func (r *Runner) EndRequests() { r.endRequests() }

// endForStop ends the request because the node stops.
func (c *callerRequest) endForStop() {
	c.cancel(errStopping.New("the node stops: the request is given up"))
}

// endedForStop reports whether the request was ended because the node stops.
func (c *callerRequest) endedForStop() bool {
	return errorx.IsOfType(context.Cause(c.ctx), errStopping)
}

// stopFailure is the result of a request that was ended because the node stops.
func (c *callerRequest) stopFailure() entry.Fail {
	if len(c.gates) == 0 {
		return entry.Fail{Outcome: call.NotRun, Reason: call.ReasonLeaving, RetryAfter: shutdownRetryAfter}
	}
	return entry.Fail{Outcome: call.Unknown, Reason: call.ReasonLeaving, Gates: c.gates}
}
