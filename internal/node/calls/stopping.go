package calls

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/stopping"
	"jasminegate/internal/logging"
)

const (
	// stopLinesPerSecond limits the log lines on requests and calls that are judged or broken off
	// while the node is about to stop, and stopLineBurst is the largest burst of them.
	stopLinesPerSecond = 200
	stopLineBurst      = 500
)

// Values of the field side of these log lines.
const (
	entrySide = "entry"
	gateSide  = "gate"
)

// stopDecider decides which calls are still taken before the node stops, and logs why.
type stopDecider struct {
	side string
	log  *sampledLog
	mu   sync.Mutex
	// began is when the stop began; zero before.
	began   time.Time
	machine *stopping.Machine
}

func newStopDecider(side string, log *sampledLog) *stopDecider {
	return &stopDecider{side: side, log: log, machine: stopping.New()}
}

func (d *stopDecider) stop(now, leave, end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.began = now
	d.machine.Stop(leave, end)
}

func (d *stopDecider) stopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.began.IsZero()
}

func (d *stopDecider) observe(now time.Time, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Observe(now, route, took)
}

func (d *stopDecider) judge(now time.Time, c stopping.Call) (verdict stopping.Verdict, began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Judge(now, c), d.began
}

// mayTake reports whether the call with the caller's request ID may be taken.
func (d *stopDecider) mayTake(now time.Time, request string, c stopping.Call) bool {
	verdict, began := d.judge(now, c)
	if verdict.Basis != stopping.NotStopping {
		d.logVerdict(now, request, c, verdict, began)
	}
	return verdict.Take
}

// mayPassOn is mayTake for a call that was taken. It logs refusals only.
func (d *stopDecider) mayPassOn(now time.Time, request string, c stopping.Call) bool {
	verdict, began := d.judge(now, c)
	if !verdict.Take {
		d.logVerdict(now, request, c, verdict, began)
	}
	return verdict.Take
}

func (d *stopDecider) logVerdict(now time.Time, request string, c stopping.Call, verdict stopping.Verdict, began time.Time) {
	d.log.event(logging.StopVerdict).Str("request", request).Str("side", d.side).Str("route", c.Route).
		Str("taken", strconv.FormatBool(verdict.Take)).Str("basis", string(verdict.Basis)).
		Int("stop_ms", now.Sub(began).Milliseconds()).Int("left_ms", verdict.Left.Milliseconds()).
		Int("deadline_ms", c.Deadline.Sub(now).Milliseconds()).Int("expected_ms", verdict.Expected.Milliseconds()).Send()
}

// noteBrokenOff logs a call that was given up for the reason and may have run. It does nothing if the node is
// not about to stop.
func (d *stopDecider) noteBrokenOff(now time.Time, request string, c stopping.Call, takenAt time.Time, reason call.Reason) {
	d.mu.Lock()
	began := d.began
	d.mu.Unlock()
	if began.IsZero() {
		return
	}
	d.log.event(logging.StopBrokeOff).Str("request", request).Str("side", d.side).Str("route", c.Route).Str("reason", string(reason)).
		Int("stop_ms", now.Sub(began).Milliseconds()).Int("taken_ms", takenAt.Sub(began).Milliseconds()).
		Int("deadline_ms", c.Deadline.Sub(now).Milliseconds()).Send()
}

// StopBy says that callers have had the time to leave the node by leave, and that EndRequests is called at
// the end. From now on, callers' requests and calls of other nodes that package stopping does not take are
// refused.
func (r *Runner) StopBy(leave, end time.Time) {
	now := r.options.Now()
	r.requestsBeforeStop.stop(now, leave, end)
	r.callsBeforeStop.stop(now, leave, end)
}

// mayTakeRequest reports whether the caller's request may be taken before the node stops.
func (r *Runner) mayTakeRequest(c *callerRequest) bool {
	return r.requestsBeforeStop.mayTake(r.options.Now(), c.requestID, c.stoppingCall())
}

// mayPassOn reports whether a request that was taken may be sent to a target. Time may have passed since: its
// body may have come late, and an attempt may be repeated. One that may have run is not held back: its caller
// could not be told that it did not run.
func (r *Runner) mayPassOn(c *callerRequest) bool {
	if c.mayHaveRun || len(c.kept) > 0 {
		return true
	}
	if !r.requestsBeforeStop.mayPassOn(r.options.Now(), c.requestID, c.stoppingCall()) {
		c.mayOutlastNode = true
		return false
	}
	c.passedOn = true
	return true
}

// noteAttempt notes what an event says of the last attempt.
func (c *callerRequest) noteAttempt(event entry.Event) {
	switch e := event.(type) {
	case entry.ConnectionLost:
		c.mayHaveRun = true
	case entry.Refused:
		// Of a call that is not idempotent, this is the outcome of the only attempt that was in doubt.
		c.mayHaveRun = e.Outcome != call.NotRun || c.mayHaveRun && c.route.Idempotent
	}
}

func (c *callerRequest) stoppingCall() stopping.Call {
	return stopping.Call{Route: c.route.Name, Deadline: c.deadline, Cautious: !c.route.Idempotent, OfRunning: c.ofRunning, Repeated: c.passedOn}
}

// observeRequest notes how long a request took that may have run.
func (r *Runner) observeRequest(c *callerRequest) {
	if len(c.gates) > 0 && !c.notRun() && c.outcome != outcomeCallerLeft {
		now := r.options.Now()
		r.requestsBeforeStop.observe(now, c.route.Name, now.Sub(c.receivedAt))
	}
}

// stopReason returns why the call may not be taken before the node stops, or an empty reason.
func (r *Runner) stopReason(c *gateCall) call.Reason {
	judged := c.stoppingCall()
	judged.Strict = r.callsBeforeStop.stopping() && !c.mayBeSentAgain() && c.id.Entry != r.options.Self.ID && r.hasOtherGate(c.start.Service)
	switch {
	case r.callsBeforeStop.mayTake(r.options.Now(), c.requestID, judged):
		return ""
	case judged.Strict:
		return call.ReasonOutlastsGate
	}
	return call.ReasonLeaving
}

// mayBeSentAgain reports whether a call whose outcome is unknown may be sent again: by its entry, or by its
// caller with its key, which ties it to this gate.
func (c *gateCall) mayBeSentAgain() bool { return c.start.Idempotent || c.start.Key != "" }

// hasOtherGate reports whether another node is ready to run calls of the service.
func (r *Runner) hasOtherGate(service string) bool {
	return slices.ContainsFunc(r.options.View().Endpoints(service), func(m membership.Member) bool {
		return m.ID != r.options.Self.ID
	})
}

func (c *gateCall) stoppingCall() stopping.Call {
	return stopping.Call{Route: c.start.Route, Deadline: c.deadline, Cautious: true}
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
