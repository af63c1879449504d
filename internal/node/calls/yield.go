package calls

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/transport/callerconn"
)

// A caller that gives up one of its pipelined requests can only close the connection, and loses
// the responses to all others on it. Load pattern: callers with many requests on one connection
// and a target that takes several times its usual time for a few of them.
const (
	// yieldShare is the part of the caller's time that is left when its request is ended, so that
	// the response and those behind it are written before the caller gives up.
	// minYieldMargin and maxYieldMargin bound it: scheduling delays of a node with a fifth of
	// a core, and the time taken from a request that would still be answered.
	yieldShare     = 1.0 / 20
	minYieldMargin = 10 * time.Millisecond
	maxYieldMargin = 100 * time.Millisecond
)

// yieldState says whether a request is ended early for responses behind it.
type yieldState struct {
	mu    sync.Mutex
	timer *time.Timer
	at    time.Time
	// finished is set once the request's result is known, yielded once it was ended before.
	finished, yielded bool
}

// responseLimit returns when the response has to be written for a caller that states how long it
// waits, and otherwise the zero time.
func (c *callerRequest) responseLimit() time.Time {
	if c.callerDeadline.IsZero() {
		return time.Time{}
	}
	return c.callerDeadline.Add(-c.yieldMargin())
}

// yieldMargin returns how long before its caller's time a request ends.
func (c *callerRequest) yieldMargin() time.Duration {
	if c.callerDeadline.IsZero() {
		return maxYieldMargin
	}
	margin := time.Duration(float64(c.callerDeadline.Sub(c.receivedAt)) * yieldShare)
	return min(maxYieldMargin, max(minYieldMargin, margin))
}

// recallTime returns the time for a gate to refuse a call that it has queued.
func (c *callerRequest) recallTime() time.Duration { return c.yieldMargin() / 2 }

// watchBehind ends the request, if others behind it on its connection are in work, just before
// its caller gives it up, or gives up one of those whose response is ready. It returns a function
// that ends the watch.
func (r *Runner) watchBehind(c *callerRequest) (stop func()) {
	conn := callerconn.FromContext(c.ctx)
	if conn == nil || !c.startableAhead() {
		return func() {}
	}
	conn.OnBehind(func(neededBy time.Time) {
		limit := c.responseLimit()
		if limit.IsZero() || !neededBy.IsZero() && neededBy.Before(limit) {
			limit = neededBy
		}
		if !limit.IsZero() {
			c.yieldAt(limit, limit.Sub(r.options.Now()), r.keepAlivesDisabled.Load)
		}
	})
	return func() {
		conn.OnBehind(nil)
		c.stopYield()
	}
}

// yieldAt ends the request at the time, which is in the given time from now, unless it ends
// earlier, or the node is stopping by then: a planned stop breaks off no run before its time.
func (c *callerRequest) yieldAt(at time.Time, in time.Duration, stopping func() bool) {
	y := &c.yield
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.finished || !y.at.IsZero() && !at.Before(y.at) {
		return
	}
	y.at = at
	if y.timer != nil {
		y.timer.Stop()
	}
	y.timer = time.AfterFunc(in, c.contained(func() {
		if !stopping() {
			c.yieldNow()
		}
	}))
}

func (c *callerRequest) yieldNow() {
	y := &c.yield
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.finished {
		return
	}
	// A queued call is recalled, so that its refusal states that it was not run. One that runs
	// is cancelled after recallTime.
	y.finished, y.yielded = true, true
	c.stopAttempts()
	y.timer = time.AfterFunc(c.recallTime(), c.contained(func() {
		c.cancel(errYielded.New("the caller is about to give up a request on the connection: the call is cancelled"))
	}))
}

func (c *callerRequest) stopYield() {
	y := &c.yield
	y.mu.Lock()
	defer y.mu.Unlock()
	y.finished = true
	if y.timer != nil {
		y.timer.Stop()
	}
}

// finishBeforeYield keeps a response from being ended early. It returns false, and drops the
// response, if the request was ended while a part of the response was still to come.
func (c *callerRequest) finishBeforeYield(got *gateResponse) bool {
	y := &c.yield
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.yielded && !got.complete {
		got.attempt.end(false)
		c.cancel(errYielded.New("the response was not complete in time"))
		return false
	}
	y.finished = true
	if y.timer != nil {
		y.timer.Stop()
	}
	return true
}

func (c *callerRequest) yielded() bool {
	c.yield.mu.Lock()
	defer c.yield.mu.Unlock()
	return c.yield.yielded && errorx.IsOfType(context.Cause(c.ctx), errYielded)
}

// yieldFailure is the result of a request that was ended early.
func (c *callerRequest) yieldFailure() entry.Fail {
	if len(c.gates) == 0 {
		return entry.Fail{Outcome: call.NotRun, Reason: call.ReasonDeadline, RetryAfter: shutdownRetryAfter}
	}
	return entry.Fail{Outcome: call.Unknown, Reason: call.ReasonDeadline, Gates: c.gates}
}
