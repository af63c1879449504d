package calls

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

const (
	// gateGracePeriod is how long past the deadline an entry waits for the gate
	// to report the call's outcome.
	gateGracePeriod = 100 * time.Millisecond
	// minResolveTimeout is the least time allowed for resolving a lost attempt of a
	// call that is not idempotent.
	minResolveTimeout = 500 * time.Millisecond
)

// attempt is one exchange with a gate, as the entry sees it: it runs the call
// (entry.Send) or resolves a lost attempt (entry.Resolve).
type attempt struct {
	runner   *Runner
	request  *callerRequest
	handle   uint64
	endpoint entry.Endpoint
	stream   clientStream
	// silenceTimer calls endSilence when no frame arrives within the silence timeout.
	silenceTimer *silenceTimer
	cancel       context.CancelCauseFunc
	ctx          context.Context
	// releaseConn returns the connection to the pool, or closes it if reuse is
	// false.
	releaseConn func(reuse bool)
	// uploadState is changed from uploadWaiting once, by the goroutine that sends
	// the rest of the body or by the end of the attempt.
	uploadState atomic.Int32
	// started is closed when the gate reports that the call is running and that
	// it accepts the rest of the body.
	started chan struct{}
	// stopCallerWatch ends the watch for the caller's disconnect, and
	// stopAttemptsWatch the watch for the end of callerRequest.attemptsCtx.
	stopCallerWatch   func() bool
	stopAttemptsWatch func() bool
	// ended is set by end.
	ended atomic.Bool
	// onSilence says what the end of silenceTimer does. silent gets an item if it is
	// silenceReported.
	onSilence atomic.Int32
	silent    chan struct{}
	// received counts the frames. silentSince is its value, plus one, before the last check to which the
	// gate responded over a new connection.
	received, silentSince atomic.Int64
	// results gets what the reading of the response led to.
	results chan readResult
}

// Values of attempt.onSilence.
const (
	// silenceCancels ends the attempt.
	silenceCancels int32 = iota
	// silenceReported is reported to exchange.
	silenceReported
	// silenceIgnored is that of an attempt that is kept beside another one.
	silenceIgnored
	// silenceChecked asks the gate over a new connection. It is that of an attempt whose response is
	// passed on already, and cannot be had elsewhere.
	silenceChecked
)

// readResult is the response, or the function that ends the attempt without one and returns
// the event for the entry machine.
type readResult struct {
	got *gateResponse
	end func() entry.Event
}

// noConnectionError reports that no connection was available for the start of a
// call; limitReached is set if the pool's connection limit is the cause, and silent if the gate
// did not respond on an open one.
type noConnectionError struct{ limitReached, silent bool }

func (noConnectionError) Error() string { return "no connection to the gate" }

// send makes one attempt. It returns the response, or the event that says why
// there is none.
func (r *Runner) send(c *callerRequest, action entry.Send) (*gateResponse, entry.Event) {
	_, span := r.startAttemptSpan(c.ctx, action.Endpoint.ID, action.ID)
	defer span.End()
	c.gates = append(c.gates, action.Endpoint.ID)
	start := r.callStart(c, action)
	a, err := r.open(c, action.Endpoint, action.NewConnection, c.deadline)
	if err != nil {
		return nil, notSent(c.handle, err)
	}
	if !r.mayAttempt(c) {
		a.end(false)
		return nil, entry.NotSent{Handle: c.handle, GateReached: true}
	}
	// Opening the connection may have taken a while: the times are those of now.
	start.TimeoutMs = c.timeoutMs(r.options.Now())
	start.AimMs = c.softDeadlineMs(r.options.Now())
	start.SentMs = uint64(r.options.BootTime().UnixMilli())
	start.ConfirmAfterMs = c.confirmAfterMs()
	start.ReportStart = len(c.kept) > 0
	if c.mayKeepAttempts() {
		a.onSilence.Store(silenceReported)
	}
	if action.TargetReport != nil {
		start.TargetReport = toWireReport(r.options.Now(), *action.TargetReport)
	}
	return a.exchange(&wire.CallFrame{Start: start, Data: c.body.buffered, Last: c.body.rest == nil})
}

// resolveAttempt performs entry.Resolve: over a new connection it asks the gate for the
// response of a lost attempt, or its outcome. It uses the Call RPC with
// CallStart.fetch, since the Resolve RPC returns no response.
func (r *Runner) resolveAttempt(c *callerRequest, action entry.Resolve) (*gateResponse, entry.Event) {
	now := r.options.Now()
	deadline := c.deadline
	if earliest := now.Add(minResolveTimeout); deadline.Before(earliest) && !c.route.Idempotent {
		deadline = earliest
	}
	start := &wire.CallStart{
		Id:              toWireID(action.ID),
		GateIncarnation: action.Endpoint.Incarnation,
		Fetch:           true,
	}
	a, err := r.open(c, action.Endpoint, true, deadline)
	if err != nil {
		return nil, notSent(c.handle, err)
	}
	return a.exchange(&wire.CallFrame{Start: start, Last: true})
}

func notSent(handle uint64, err error) entry.Event {
	var failed noConnectionError
	if !errors.As(err, &failed) {
		return entry.NotSent{Handle: handle}
	}
	return entry.NotSent{Handle: handle, ConnectionLimitReached: failed.limitReached, Silent: failed.silent}
}

// open starts a stream to the gate. A call to this node's own gate needs no
// connection.
func (r *Runner) open(c *callerRequest, endpoint entry.Endpoint, newConnection bool, deadline time.Time) (*attempt, error) {
	a := &attempt{runner: r, request: c, handle: c.handle, endpoint: endpoint, started: make(chan struct{}), silent: make(chan struct{}, 1), results: make(chan readResult, 1)}
	wait := deadline.Sub(r.options.Now()) + gateGracePeriod
	ctx, cancelTimeout := context.WithTimeout(r.baseCtx, wait)
	ctx, cancel := context.WithCancelCause(ctx)
	a.ctx = ctx
	a.cancel = func(cause error) { cancel(cause); cancelTimeout() }
	if err := a.connect(ctx, newConnection); err != nil {
		a.cancel(nil)
		return nil, err
	}
	a.silenceTimer = newSilenceTimer(r.options.Settings.SilenceTimeout, a.onSilenceTimeout)
	a.stopCallerWatch = context.AfterFunc(c.ctx, a.contained(a.cancelByCaller))
	c.attempt = a
	return a, nil
}

// isLocal reports whether the gate is that of this node.
func (a *attempt) isLocal() bool { return a.endpoint.ID == a.runner.options.Self.ID }

func (a *attempt) connect(ctx context.Context, newConnection bool) error {
	if a.isLocal() {
		a.stream = a.runner.openLocal(ctx)
		a.releaseConn = func(bool) {}
		return nil
	}
	conn, stream, err := a.dial(ctx, newConnection)
	if err != nil {
		return noConnectionError{limitReached: peer.IsBusy(err), silent: errorx.IsOfType(err, errSilent)}
	}
	a.stream = stream
	a.releaseConn = func(reuse bool) {
		if reuse {
			conn.Release()
			return
		}
		conn.Discard()
	}
	return nil
}

// cancelByCaller tells the gate that the caller disconnected, then ends the
// attempt. If the request ends because this node stops, a run that is not idempotent
// goes on: breaking it off would not undo it.
func (a *attempt) cancelByCaller() {
	if a.request.route.Idempotent || !a.request.endedForStop() {
		_ = a.stream.Send(&wire.CallFrame{Cancel: true})
	}
	a.cancel(errCallerLeft.New("caller disconnected: the call is cancelled"))
}

// cancelIfQueued tells the gate not to start the call if it is still queued. A
// send error needs no handling: the gate cancels a queued call whose connection
// is lost.
func (a *attempt) cancelIfQueued() {
	_ = a.stream.Send(&wire.CallFrame{Recall: true})
}

// exchange sends the first frame and reads the response up to the buffer limit.
func (a *attempt) exchange(first *wire.CallFrame) (*gateResponse, entry.Event) {
	if err := a.stream.Send(first); err != nil {
		return nil, a.endLost()
	}
	a.stopAttemptsWatch = context.AfterFunc(a.request.attemptsCtx, a.contained(a.cancelIfQueued))
	if !first.Last {
		a.request.uploads.Add(1)
		go a.upload()
	}
	if a.onSilence.Load() == silenceCancels && len(a.request.kept) == 0 {
		return a.take(a.read())
	}
	go a.readInBackground()
	return a.await()
}

// take consumes the result of read.
func (a *attempt) take(result readResult) (*gateResponse, entry.Event) {
	if result.end != nil {
		return nil, result.end()
	}
	if before := a.onSilence.Swap(silenceChecked); before != silenceCancels && !result.got.complete {
		a.silenceTimer.reset() // it may have ended without effect
	}
	return result.got, nil
}

// read reads the response up to the buffer limit.
func (a *attempt) read() readResult {
	start, end := a.readStart()
	if end != nil {
		return readResult{end: end}
	}
	return a.readBuffered(start)
}

// recv returns the gate's next frame that carries a start, data or an end; it
// skips heartbeats.
func (a *attempt) recv() (*wire.AnswerFrame, error) {
	for {
		frame, err := a.stream.Recv()
		if err != nil {
			return nil, err
		}
		a.received.Add(1)
		a.silenceTimer.reset()
		if frame.Started {
			a.noteStarted()
		}
		if frame.Confirm {
			a.confirmCaller()
		}
		if frame.Start != nil || len(frame.Data) > 0 || frame.Last || frame.Aborted != "" {
			return frame, nil
		}
	}
}

func (a *attempt) noteStarted() {
	select {
	case <-a.started:
	default:
		close(a.started)
	}
}

// readStart reads the start of the response. It returns the function that ends the attempt if there is none.
func (a *attempt) readStart() (*wire.AnswerFrame, func() entry.Event) {
	frame, err := a.recv()
	if err != nil {
		return nil, a.endLost
	}
	if frame.Aborted != "" {
		return nil, func() entry.Event { return a.endRefused(call.Unknown, frame.Aborted, &wire.AnswerStart{}) }
	}
	if !validStart(frame.Start) {
		return nil, a.endLost
	}
	if outcome := call.Outcome(frame.Start.Outcome); outcome != call.Answered {
		return nil, func() entry.Event { return a.endRefused(outcome, frame.Start.Reason, frame.Start) }
	}
	return frame, nil
}

// Statuses of a target's response. net/http takes one below 200 for an interim response, and
// writes some that HTTP does not have.
const (
	minStatus = 200
	maxStatus = 599
)

// validStart reports whether a gate can have sent the start.
func validStart(start *wire.AnswerStart) bool {
	if start == nil || start.Outcome > uint32(call.Ran) {
		return false
	}
	return start.Outcome != uint32(call.Answered) || start.Status >= minStatus && start.Status <= maxStatus
}

// readBuffered reads the response until it is complete, exceeds the buffer limit or finds no room.
func (a *attempt) readBuffered(first *wire.AnswerFrame) readResult {
	got := &gateResponse{attempt: a, start: first.Start, data: first.Data, complete: first.Last}
	room := a.request.room.TryGrow(responseCost * int64(len(first.Data)))
	for room && !got.complete && int64(len(got.data)) <= a.runner.options.Settings.BufferBytes {
		frame, err := a.recv()
		if err != nil {
			return readResult{end: a.endLost}
		}
		if frame.Aborted != "" {
			return readResult{end: func() entry.Event {
				return a.endRefused(abortOutcome(frame.Aborted), frame.Aborted, &wire.AnswerStart{Load: first.Start.Load, TargetReport: first.Start.TargetReport})
			}}
		}
		room = a.request.room.TryGrow(responseCost * int64(len(frame.Data)))
		got.data = append(got.data, frame.Data...)
		got.complete = frame.Last
	}
	return readResult{got: got}
}

// responseCost is what each byte of a response takes that is buffered: its buffer grows by copying.
const responseCost = 2

func abortOutcome(reason string) call.Outcome {
	if call.Reason(reason) == call.ReasonAnswerTooLarge {
		return call.Ran
	}
	return call.Unknown
}

// upload sends the rest of the body once the gate has started the call.
func (a *attempt) upload() {
	defer a.request.uploads.Done()
	defer a.runner.recoverCall("upload of a body", func() {
		a.cancel(errUploadFailed.New("the upload to gate %s failed: the attempt is treated as lost", a.endpoint.ID))
	})
	select {
	case <-a.started:
	case <-a.ctx.Done():
		return
	}
	if !a.uploadState.CompareAndSwap(uploadWaiting, uploadRunning) {
		return
	}
	a.request.body.consumed.Store(true)
	for {
		data := make([]byte, frameBytes)
		n, err := a.request.body.rest.Read(data)
		if err != nil && err != io.EOF {
			a.request.setBodyError(err)
			_ = a.stream.Send(&wire.CallFrame{Cancel: true})
			return
		}
		frame := &wire.CallFrame{Data: data[:n], Last: err == io.EOF}
		if frame.Last {
			a.request.markBodyRead()
		}
		if a.stream.Send(frame) != nil || frame.Last {
			return
		}
	}
}

// States of an upload.
const (
	uploadWaiting int32 = iota
	uploadRunning
	uploadStopped
)

// stopUpload keeps a waiting upload from starting. A running upload ends at its
// next read, since the attempt is cancelled; its part of the body is consumed,
// so the call cannot be sent again.
func (a *attempt) stopUpload() {
	if a.request.body.rest == nil {
		return
	}
	if !a.uploadState.CompareAndSwap(uploadWaiting, uploadStopped) {
		a.request.body.consumed.Store(true)
	}
}

// endLost ends the attempt after its connection was lost, after the gate sent
// nothing within the silence timeout or did not finish within gateGracePeriod
// after the deadline, or after a first frame without a valid start of a response. Unless the caller disconnected, it also closes the idle connections
// to the gate, which are likely to have failed too.
func (a *attempt) endLost() entry.Event {
	silent := errorx.IsOfType(context.Cause(a.ctx), errSilent)
	a.end(false)
	a.noteLost()
	return entry.ConnectionLost{Handle: a.handle, Silent: silent, BodyConsumed: a.request.body.consumed.Load()}
}

// noteLost counts a lost connection and closes the idle ones to the gate, unless the caller
// disconnected.
func (a *attempt) noteLost() {
	if a.request.ctx.Err() == nil {
		a.runner.counters.connectionsLost.Add(1)
		a.runner.options.Pool.DropIdle(a.endpoint.Address)
		a.runner.options.Logger.Event(logging.PeerConnectionsDropped).Str("gate", a.endpoint.ID).Send()
	}
}

// endRefused ends the attempt after the gate sent an outcome in place of a
// response. Of start it uses the delay, the load and the report.
func (a *attempt) endRefused(outcome call.Outcome, reason string, start *wire.AnswerStart) entry.Event {
	a.end(true)
	if start.TargetCrashed {
		a.request.crashes++
	}
	if call.Reason(reason) == call.ReasonQuarantined {
		a.request.refusedByGate = &refusedByQuarantine{wait: time.Duration(start.RetryAfterMs) * time.Millisecond}
	}
	return entry.Refused{
		Handle:       a.handle,
		Outcome:      outcome,
		Reason:       call.Reason(reason),
		RetryAfter:   time.Duration(start.RetryAfterMs) * time.Millisecond,
		Load:         int(start.Load),
		ServiceTime:  time.Duration(start.ServiceMs) * time.Millisecond,
		LostShare:    lostShare(start),
		TargetReport: fromWireReport(a.runner.options.Now(), start.TargetReport),
		BodyConsumed: a.request.body.consumed.Load(),
	}
}

// lostShare returns the part of the target's recent runs that ended without a whole response.
func lostShare(start *wire.AnswerStart) float64 { return float64(min(start.LostPercent, 100)) / 100 }

// end closes the stream; further calls do nothing. The connection is reused only if complete reports that
// the gate's whole response was received.
func (a *attempt) end(complete bool) {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	a.silenceTimer.end()
	if a.stopAttemptsWatch != nil {
		a.stopAttemptsWatch()
	}
	callerLeft := !a.stopCallerWatch()
	reuse := complete && !callerLeft && a.ctx.Err() == nil && a.stream.Close() == nil
	a.stopUpload()
	a.cancel(nil)
	a.releaseConn(reuse)
}
