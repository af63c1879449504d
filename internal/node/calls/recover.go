package calls

import (
	"context"
	"io"
	"net/http"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/protocol/problem"
)

// recoverCall is deferred by the goroutines of one call: a panic ends that call with
// end, and the node goes on.
func (r *Runner) recoverCall(place string, end func()) {
	if value := recover(); value != nil {
		r.options.Logger.Panicked(place, value)
		end()
	}
}

// runOrAbort is runAtTarget for a call that may panic. The request may have reached the
// target by then, so the outcome is unknown.
func (r *Runner) runOrAbort(ctx context.Context, c *gateCall) {
	defer r.recoverCall("run at the target", func() {
		result := r.abort(c, call.ReasonTargetConnectionLost, gate.Failed)
		r.gate.notify(gate.Finished{ID: c.id, Result: result, RetainedBytes: c.response.retainedBytes()})
	})
	r.runAtTarget(ctx, c)
}

// contained returns a callback of the attempt: a panic of it ends the attempt as lost.
func (a *attempt) contained(callback func()) func() {
	return a.runner.options.Logger.Contained("callback of an attempt", callback, func() {
		a.cancel(errCallbackFailed.New("a callback of the attempt at gate %s failed: the attempt is treated as lost", a.endpoint.ID))
	})
}

// contained returns a callback of the request: after a panic of it the request goes on to its own
// end.
func (c *callerRequest) contained(callback func()) func() {
	return c.logger.Contained("callback of a caller's request", callback, nil)
}

// loseEntry treats a call as one whose entry's connection was lost.
func (r *Runner) loseEntry(c *gateCall) {
	c.abandon()
	c.failBody(io.ErrUnexpectedEOF)
	c.reports.add(gate.Disconnected{ID: c.id}, r.gate.notify)
}

// recoverRequest is deferred by the handler of a caller's request with what recover returned:
// after a panic the caller gets a response where none was begun. c is nil if the request was
// not admitted.
func (r *Runner) recoverRequest(value any, w http.ResponseWriter, request *http.Request, c *callerRequest) {
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	r.options.Logger.Panicked("caller's request", value)
	if !(c != nil && c.responseStarted) {
		r.announceClose(w, request)
	}
	if c == nil {
		problem.Write(w, *internalError(problem.NotRun))
		return
	}
	if c.attempt != nil {
		c.attempt.end(false)
	}
	if c.responseStarted {
		r.noteCutOff(request, c, causePanic, "")
		panic(http.ErrAbortHandler)
	}
	outcome := problem.Unknown
	if len(c.gates) == 0 {
		outcome = problem.NotRun
	}
	problem.Write(w, *internalError(outcome))
}
