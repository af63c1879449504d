package calls

import (
	"context"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
)

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
