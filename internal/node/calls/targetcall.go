package calls

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/responsehead"
)

const (
	// frameBytes is the maximum size of one part of a body.
	frameBytes = 32 << 10
	// maxUnsentTries is how often a request is given to a connection while no
	// byte of it has been written.
	maxUnsentTries = 3
)

// runAtTarget runs a started call and reports its result to the gate machine.
func (r *Runner) runAtTarget(ctx context.Context, c *gateCall) {
	defer r.targetCalls.Done()
	defer c.release()
	defer c.cancelRun()
	ctx, span := r.startTargetSpan(ctx, c)
	defer span.End()
	startedAt := time.Now()
	result := r.callTarget(ctx, c)
	if result == gate.RunCancelled && r.baseCtx.Err() != nil {
		r.callsBeforeStop.noteBrokenOff(r.options.Now(), c.requestID, c.stoppingCall(), c.arrivedAt, call.ReasonCancelled)
	}
	r.metrics.target.UpdateDuration(startedAt)
	r.targetLosses.observe(result)
	if result != gate.NotSent && result != gate.RejectedByTarget {
		now := r.options.Now()
		r.callsBeforeStop.observe(now, c.start.Route, now.Sub(c.arrivedAt))
	}
	r.gate.notify(gate.Finished{ID: c.id, Result: result, RetainedBytes: c.response.retainedBytes()})
}

// callTarget sends the request to the target and records the response.
func (r *Runner) callTarget(ctx context.Context, c *gateCall) gate.Result {
	if r.mayWrite(c) != nil {
		r.recordOutcome(c, call.NotRun, c.notSentReason())
		return gate.NotSent
	}
	defer r.runningRequests.begin(r.runningID(c), c.start.Tenant, c.start.Repeat != 0)()
	if refused := r.quarantineFrame(c.start); refused != nil {
		_ = c.response.add(r.baseCtx, refused)
		return gate.NotSent
	}
	t := r.target.Load()
	run := r.quarantine.start(c.start, wireHeaderValue(c.start.Headers, r.options.Contract.CallerService), c.requestID)
	defer run.endAfterPanic()
	request, err := r.targetRequest(ctx, c, t)
	if err != nil {
		run.end(false)
		r.recordOutcome(c, call.NotRun, call.ReasonMalformed)
		return gate.NotSent
	}
	takenAt := r.options.Now()
	if !r.repeats.take(takenAt, repeatOf(c.start)) {
		run.end(false)
		r.recordOutcome(c, call.NotRun, call.ReasonRetryBudgetSpent)
		return gate.NotSent
	}
	check := r.newWriteCheck(c, request.Header)
	response, conn, err := r.exchange(t, request, c, check)
	if !conn.sent() {
		r.repeats.giveBack(takenAt, repeatOf(c.start))
	}
	if err != nil {
		return r.recordFailure(c, t, run, conn.sent(), err)
	}
	defer response.Body.Close()
	t.conns.observeKeepAlive(response.Header)
	class := classifyResponse(r.options.Contract, request, response)
	r.observeSignals(t, request, response, class)
	switch class {
	case notRunResponse:
		run.end(false)
		conn.discard() // the target may write the refusal once more
		if conn.sentBefore {
			r.recordOutcome(c, call.Unknown, call.ReasonTargetConnectionLost)
			return gate.Failed
		}
		delay := targetRetryAfter(r.options.Now(), response.Header)
		_ = c.response.add(r.baseCtx, r.refusalFrame(call.NotRun, call.ReasonTargetShed, delay))
		return gate.RejectedByTarget
	case mismatchedResponse:
		run.end(false)
		conn.discard()
		r.options.Logger.Event(logging.ResponseMismatch).Str("route", c.start.Route).Int("status", int64(response.StatusCode)).Send()
		r.recordOutcome(c, call.Unknown, call.ReasonTargetConnectionLost)
		return gate.Failed
	}
	result := r.recordResponse(c, response)
	if result == gate.Failed && c.runCtx.Err() == nil {
		r.loseRun(run, t)
	} else {
		run.end(result == gate.Completed || result == gate.Shed)
	}
	return result
}

func (r *Runner) targetRequest(ctx context.Context, c *gateCall, t *target) (*http.Request, error) {
	uri, err := url.ParseRequestURI(c.start.Uri)
	if err != nil {
		return nil, err
	}
	uri.Scheme = "http"
	uri.Host = t.Address
	request := &http.Request{
		Method:        c.start.Method,
		URL:           uri,
		Host:          c.start.Host,
		Header:        r.targetHeader(ctx, c, t),
		ContentLength: c.start.ContentLength,
	}
	return request.WithContext(c.runCtx), nil
}

// setIfPresent sets the header if the contract has one and the value is known.
func setIfPresent(header http.Header, name, value string) {
	if name != "" && value != "" {
		header.Set(name, value)
	}
}

func (r *Runner) targetHeader(ctx context.Context, c *gateCall, t *target) http.Header {
	header := make(http.Header, len(c.start.Headers)+4)
	for _, field := range c.start.Headers {
		header[field.Name] = field.Values
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	contract := r.options.Contract
	if contract.Tenant != "" {
		header.Del(contract.Tenant) // an entry of an earlier release forwards the caller's
	}
	setIfPresent(header, contract.Tenant, c.start.Tenant)
	setIfPresent(header, contract.Timeout, c.remainingMs(r.options.Now()))
	// AttemptsLeft counts the attempts after this one. The header includes this
	// one, since it must be above 0 in a nested call.
	setIfPresent(header, contract.Attempts, strconv.FormatUint(uint64(c.start.AttemptsLeft)+1, 10))
	setIfPresent(header, contract.CallID, formatID(c.id))
	setIfPresent(header, contract.TargetInstance, t.Instance)
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
	return header
}

// exchange sends the request to the target. If a kept connection breaks before the first byte of
// the response, the target may have given it up before the request came: an idempotent call is
// sent once more, over a new connection, if the retry budget allows it. The tracker is that of the
// last try.
//
// Load pattern: targets that give up idle connections without notice while the gate uses them.
func (r *Runner) exchange(t *target, request *http.Request, c *gateCall, check writeCheck) (*http.Response, *writeTracker, error) {
	response, used, err := t.roundTrip(request, c, check)
	if err == nil || !c.start.Idempotent || c.streaming || !used.lostKeptConnection() || request.Context().Err() != nil {
		return response, used, err
	}
	takenAt := r.options.Now()
	if !r.repeats.take(takenAt, call.Resent) {
		return response, used, err
	}
	again := &writeTracker{check: check, sentBefore: true}
	again.check.written = r.options.Logger.Contained("note of a write", func() { r.noteResent(c) }, nil)
	response, err = t.try(t.conns.singleUse, request, c, again)
	if !again.noted.Load() {
		r.repeats.giveBack(takenAt, call.Resent)
	}
	return response, again, err
}

// roundTrip sends the request, and sends it again if no byte of it was written, its body is not
// streamed and the call may still be written; the last time over a new connection. used tracks the
// connection of the last try.
func (t *target) roundTrip(request *http.Request, c *gateCall, check writeCheck) (response *http.Response, used *writeTracker, err error) {
	transport := t.conns.transportFor(request, c.start.Idempotent, c.streaming || len(c.buffered) > 0)
	for try := 0; try < maxUnsentTries; try++ {
		if try == maxUnsentTries-1 {
			// Other connections of the pool may have ended too.
			transport = t.conns.singleUse
		}
		used = &writeTracker{check: check}
		response, err = t.try(transport, request, c, used)
		if err == nil || used.sent() || used.refused.Load() || c.streaming || request.Context().Err() != nil {
			break
		}
	}
	return response, used, err
}

// try sends the request over one connection.
func (t *target) try(transport *http.Transport, request *http.Request, c *gateCall, tracker *writeTracker) (*http.Response, error) {
	traced := request.WithContext(httptrace.WithClientTrace(request.Context(), tracker.trace()))
	c.setTargetBody(traced)
	response, err := transport.RoundTrip(traced)
	tracker.end()
	return response, err
}

// recordFailure records the outcome of a request that got no response.
func (r *Runner) recordFailure(c *gateCall, t *target, run *targetRun, sent bool, err error) gate.Result {
	if !sent {
		run.end(false)
		r.recordOutcome(c, call.NotRun, c.notSentReason())
		return gate.NotSent
	}
	if c.runCtx.Err() == nil {
		frame := r.refusalFrame(call.Unknown, call.ReasonTargetConnectionLost, 0)
		frame.Start.TargetCrashed = r.loseRun(run, t)
		_ = c.response.add(r.baseCtx, frame)
		return gate.Failed
	}
	run.cancel()
	if errors.Is(c.runCtx.Err(), context.DeadlineExceeded) {
		t.conns.closeIdle()
		r.recordOutcome(c, call.Unknown, call.ReasonDeadline)
		return gate.DeadlineExceeded
	}
	r.recordOutcome(c, call.Unknown, call.ReasonCancelled)
	return gate.RunCancelled
}

func (r *Runner) recordOutcome(c *gateCall, outcome call.Outcome, reason call.Reason) {
	_ = c.response.add(r.baseCtx, r.refusalFrame(outcome, reason, 0))
}

func (r *Runner) recordResponse(c *gateCall, response *http.Response) gate.Result {
	limit := r.options.Settings.MaxBodyBytes
	start := r.responseStart(response)
	start.ServiceMs = uint32(c.serviceTime.Milliseconds())
	if response.ContentLength > limit {
		r.recordOutcome(c, call.Ran, call.ReasonAnswerTooLarge)
		return gate.Failed
	}
	result := r.recordBody(c, response, start)
	if result == gate.Completed && response.StatusCode == http.StatusServiceUnavailable {
		return gate.Shed
	}
	return result
}

func (r *Runner) responseStart(response *http.Response) *wire.AnswerStart {
	headers.RemoveHopByHop(response.Header)
	return &wire.AnswerStart{
		Status:        uint32(response.StatusCode),
		Headers:       toWireHeaders(response.Header),
		Load:          r.Load(),
		ContentLength: response.ContentLength,
		TargetReport:  r.targetReport(),
		LostPercent:   r.targetLosses.percent(),
	}
}

// recordBody records the frames of the response. A short response of known
// length is one frame; otherwise the start goes first, so that a slow body does
// not delay the headers.
func (r *Runner) recordBody(c *gateCall, response *http.Response, start *wire.AnswerStart) gate.Result {
	frame := &wire.AnswerFrame{Start: start}
	if response.ContentLength < 0 || response.ContentLength > frameBytes {
		if c.response.add(c.runCtx, frame) != nil {
			return r.abort(c, call.ReasonDeadline, gate.DeadlineExceeded)
		}
		frame = &wire.AnswerFrame{}
	}
	remaining := r.options.Settings.MaxBodyBytes
	part := make([]byte, c.partBytes(response.ContentLength))
	for {
		data, err := readPart(response.Body, response.ContentLength, part)
		remaining -= int64(len(data))
		if remaining < 0 {
			return r.abort(c, call.ReasonAnswerTooLarge, gate.Failed)
		}
		frame.Data = data
		frame.Last = err == io.EOF
		if err != nil && !frame.Last {
			return r.abort(c, abortReason(c), runResult(c))
		}
		if frame.Last && responsehead.CheckNames(response.Trailer) != nil {
			return r.abort(c, call.ReasonTargetConnectionLost, gate.Failed)
		}
		if frame.Last {
			_ = c.response.add(r.baseCtx, frame)
			return gate.Completed
		}
		if c.response.add(c.runCtx, frame) != nil {
			return r.abort(c, call.ReasonDeadline, gate.DeadlineExceeded)
		}
		frame = &wire.AnswerFrame{}
	}
}

const (
	// streamBytes is what a long body takes on its way, besides what is buffered: the part that is
	// read, those between gate and entry, and the one that is written.
	streamBytes = (localPipeFrames + 2) * frameBytes
	// smallPartBytes is the size of its parts if there is no room for that.
	smallPartBytes = 4 << 10
)

// partBytes returns the size of the buffer that readPart needs for a body of the
// length, which is negative if unknown.
func (c *gateCall) partBytes(length int64) int64 {
	switch {
	case length >= 0 && length < frameBytes:
		return length + 1
	case length < 0 || length > frameBytes:
		if !c.room.TryGrow(streamBytes) {
			return smallPartBytes
		}
	}
	return frameBytes
}

// readPart reads the next part of a body by means of the buffer. The error is io.EOF
// with the last part. A short body of known length is read in one part, in place; any
// other part is copied, so that it takes no more memory than it has bytes.
func readPart(body io.Reader, length int64, buffer []byte) ([]byte, error) {
	if length >= 0 && length <= frameBytes {
		n, err := io.ReadFull(body, buffer)
		if err == io.ErrUnexpectedEOF && int64(n) == length {
			err = io.EOF
		}
		return buffer[:n], err
	}
	n, err := body.Read(buffer)
	return bytes.Clone(buffer[:n]), err
}

// abortReason returns the reason for an incomplete response. A cancelled call also
// gets ReasonTargetConnectionLost.
func abortReason(c *gateCall) call.Reason {
	if errors.Is(c.runCtx.Err(), context.DeadlineExceeded) {
		return call.ReasonDeadline
	}
	return call.ReasonTargetConnectionLost
}

func runResult(c *gateCall) gate.Result {
	switch {
	case c.runCtx.Err() == nil:
		return gate.Failed
	case errors.Is(c.runCtx.Err(), context.DeadlineExceeded):
		return gate.DeadlineExceeded
	default:
		return gate.RunCancelled
	}
}

// abort records that the response will stay incomplete.
func (r *Runner) abort(c *gateCall, reason call.Reason, result gate.Result) gate.Result {
	ctx, cancel := context.WithTimeout(r.baseCtx, abortTimeout)
	defer cancel()
	_ = c.response.add(ctx, &wire.AnswerFrame{Aborted: string(reason)})
	return result
}

// abortTimeout bounds the wait for a slow reader to make room for the abort
// frame.
const abortTimeout = time.Second
