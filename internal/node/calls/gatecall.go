package calls

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/reservation"
)

// heartbeatsPerSilence is how many heartbeats a gate sends per silence timeout.
const heartbeatsPerSilence = 3

// gateCall is a call at this node's gate.
type gateCall struct {
	start *wire.CallStart
	id    call.ID
	// requestID is the caller's, as in the headers.
	requestID string
	deadline  time.Time
	// bootDeadline is the deadline on BootTime, the clock that also advances
	// while the host is suspended.
	bootDeadline time.Time
	arrivedAt    time.Time
	// softDeadline is the instant by which a response is wanted; zero means the
	// deadline.
	softDeadline time.Time
	// buffered is the part of the body that came with the first frame. The rest
	// of a streamed body is written to bodyWriter and read from bodyReader.
	buffered   []byte
	streaming  bool
	bodyReader *io.PipeReader
	bodyWriter *io.PipeWriter
	decisions  chan decision
	// serviceTime is that of the decision to start the call.
	serviceTime time.Duration
	response    *responseBuffer
	// claimSerial is the serial of the claim that this call made for its key;
	// replayOnly is set if an earlier call made the claim.
	claimSerial uint64
	replayOnly  bool
	// unclaimed is set for a call with a key that was admitted without a claim, for the
	// gate machine to refuse; see keyed.Admit.RefusesCalls.
	unclaimed bool
	// link is the call's use of the instance's link, nil for one of the own entry.
	link *linkUse
	// runCtx ends at the deadline or when the call is cancelled.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// receivedAt is when the call arrived, by BootTime. delayKnown is set if it is known for how
	// long it was on its way.
	receivedAt time.Time
	delayKnown bool
	// proof says until when the caller is known to wait.
	proof *callerProof
	// reports orders what the entry's frames tell the gate machine behind the call's arrival.
	reports arrivalReports
	// abandoned is set once the entry has cancelled or recalled the call or its connection was
	// lost: what is not written to the target by then is not run.
	abandoned atomic.Bool
	// writeRefused is why the call was not written to the target; nil if nothing kept it.
	writeRefused atomic.Pointer[call.Reason]
	// room is what the call holds here. users are those that use it: the stream of the entry, and
	// the run at the target.
	room  *reservation.Reservation
	users atomic.Int32
	// checkedAt is when the call was last found fit to be written, by BootTime. Only the goroutine
	// that writes uses it.
	checkedAt time.Time
}

func (r *Runner) newGateCall(frame *wire.CallFrame, ask func()) *gateCall {
	start := frame.Start
	receivedAt := r.options.BootTime()
	delay, known := r.transit.delay(start, receivedAt)
	timeout := time.Duration(start.TimeoutMs)*time.Millisecond - delay
	c := &gateCall{
		start:        start,
		id:           fromWireID(start.Id),
		requestID:    wireHeaderValue(start.Headers, r.options.Contract.RequestID),
		deadline:     r.options.Now().Add(timeout),
		arrivedAt:    r.options.Now(),
		bootDeadline: r.options.BootTime().Add(timeout),
		buffered:     frame.Data,
		streaming:    !frame.Last,
		decisions:    make(chan decision, 1),
		response:     newResponseBuffer(r.options.Settings.BufferBytes),
		receivedAt:   receivedAt,
		delayKnown:   known,
		proof:        newCallerProof(start, ask),
	}
	if age, ok := r.transit.age(start.Id, start.SentMs, receivedAt); ok {
		c.proof.provedByCall(receivedAt.Add(-age))
	}
	if start.AimMs > 0 {
		c.softDeadline = r.options.Now().Add(time.Duration(start.AimMs)*time.Millisecond - delay)
	}
	c.runCtx, c.cancelRun = context.WithTimeout(r.baseCtx, timeout)
	if c.streaming {
		c.bodyReader, c.bodyWriter = io.Pipe()
	}
	return c
}

// subtract takes a delay that became known late off the call's times.
func (c *gateCall) subtract(delay time.Duration, base context.Context) {
	c.deadline = c.deadline.Add(-delay)
	c.bootDeadline = c.bootDeadline.Add(-delay)
	if !c.softDeadline.IsZero() {
		c.softDeadline = c.softDeadline.Add(-delay)
	}
	c.cancelRun()
	c.runCtx, c.cancelRun = context.WithDeadline(base, c.deadline)
}

// setTargetBody gives the request its body. It cannot be rewound, which keeps the HTTP client from
// sending the request again by itself. The client states the length of an empty body only for
// methods that usually have one.
func (c *gateCall) setTargetBody(request *http.Request) {
	switch {
	case c.streaming:
		request.Body = streamedBody{io.MultiReader(bytes.NewReader(c.buffered), c.bodyReader), c.bodyReader}
	case len(c.buffered) > 0:
		request.Body = io.NopCloser(bytes.NewReader(c.buffered))
	case usuallyWithoutBody(request.Method):
		request.Body = emptyBody{}
		request.TransferEncoding = []string{"identity"} // the client would look for a body first
	}
}

// usuallyWithoutBody reports whether requests of the method have no length if they have no body.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// emptyBody is an empty body that is not http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// streamedBody reads the buffered part and then the rest.
type streamedBody struct {
	io.Reader
	io.Closer
}

func fromWireID(id *wire.CallID) call.ID {
	return call.ID{Entry: id.GetEntry(), Incarnation: id.GetEntryIncarnation(), Counter: id.GetCounter()}
}

func toWireID(id call.ID) *wire.CallID {
	return &wire.CallID{Entry: id.Entry, EntryIncarnation: id.Incarnation, Counter: id.Counter}
}

// Call serves a call from another node's entry.
func (r *Runner) Call(stream wire.DRPCCalls_CallStream) error {
	return r.serveStream(stream)
}

func (r *Runner) serveStream(stream serverStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	if frame.Start == nil || frame.Start.Id.GetEntry() == "" {
		return stream.Send(r.refusalFrame(call.NotRun, call.ReasonMalformed, 0))
	}
	r.activeStreams.Add(1)
	defer func() {
		r.streamsServed.Add(1)
		r.activeStreams.Add(-1)
	}()
	if frame.Start.Fetch {
		return r.serveFetch(stream, frame.Start)
	}
	return r.serveCall(stream, frame)
}

func (r *Runner) serveCall(stream serverStream, frame *wire.CallFrame) error {
	ctx, span := r.startGateSpan(stream.Context(), frame.Start)
	defer span.End()
	room, err := r.options.Account.Open(gateCallCost(stream, frame))
	if err != nil {
		return stream.Send(r.refusalFrame(call.NotRun, call.ReasonQueueFull, noRoomRetryAfter))
	}
	ask := func() { _ = stream.Send(&wire.AnswerFrame{Confirm: true}) }
	c := r.newGateCall(frame, r.options.Logger.Contained("question to an entry", ask, nil))
	c.use(room)
	defer c.release()
	go r.receiveFrames(stream, c)
	r.adoptReport(frame.Start.TargetReport)
	if !r.awaitReference(c) {
		c.cancelRun()
		return stream.Send(r.refusalFrame(call.NotRun, call.ReasonTooLate, fullRingRetryAfter))
	}
	c.link = r.linkUseOf(stream, c.start.Route, c.wantedWithin(r.options.Now()))
	defer c.link.end()
	if refused := r.quarantineFrame(frame.Start); refused != nil {
		c.cancelRun()
		return stream.Send(refused)
	}
	if refused := r.admitKey(stream, c); refused != nil {
		c.cancelRun()
		return stream.Send(refused)
	}
	if !r.gate.arrive(r.arrival(c), c) {
		c.cancelRun()
		r.gate.releaseKey(c)
		return stream.Send(r.refusalFrame(call.NotRun, call.ReasonQueueFull, fullRingRetryAfter))
	}
	c.reports.arrived(r.gate.notify)
	return r.awaitDecision(ctx, stream, c)
}

const (
	// gateCallBytes is what a call takes at its gate besides its headers and body, and
	// gateHeaderCost what each of its header values takes.
	gateCallBytes  = 16 << 10
	gateHeaderCost = 384
)

// gateCallCost returns what a call takes at its gate. The body of a call of the own entry is the
// entry's.
func gateCallCost(stream serverStream, frame *wire.CallFrame) int64 {
	cost := int64(gateCallBytes)
	for _, field := range frame.Start.Headers {
		cost += int64(len(field.Name) + gateHeaderCost)
		for _, value := range field.Values {
			cost += int64(len(value) + len(field.Name))
		}
	}
	if _, local := stream.(localServer); !local {
		cost += bodyCost * int64(len(frame.Data))
	}
	if !frame.Last {
		cost += uploadBytes
	}
	return cost
}

// use makes the call and its response take the room.
func (c *gateCall) use(room *reservation.Reservation) {
	c.room, c.response.room = room, room
	c.users.Store(1)
}

// release gives back the room and the body once nobody uses them. The records of calls that must
// not run again are kept for longer.
func (c *gateCall) release() {
	if c.users.Add(-1) > 0 {
		return
	}
	c.buffered = nil
	c.start.Headers = nil
	c.response.releaseRoom()
}

// fullRingRetryAfter is the Retry-After of a call refused because the event
// queue (ring) of the gate loop or of the keyed loop was full.
const fullRingRetryAfter = 100 * time.Millisecond

// arrival returns the gate machine's event for the call.
func (r *Runner) arrival(c *gateCall) gate.Arrive {
	return gate.Arrive{
		ID:                  c.id,
		GateIncarnation:     c.start.GateIncarnation,
		Background:          c.start.Background,
		Nested:              c.start.Nested,
		Priority:            int(c.start.Priority),
		Idempotent:          c.start.Idempotent,
		Route:               c.start.Route,
		Tenant:              c.start.Tenant,
		Deadline:            c.deadline,
		SoftDeadline:        c.softDeadline,
		RequireSoftDeadline: c.start.InTime && !c.softDeadline.IsZero(),
		Key:                 c.start.Key,
		Fingerprint:         c.start.Fingerprint,
		ReplayOnly:          c.replayOnly,
		RetriedIfLost:       c.start.RetriedIfLost,
		RefuseReason:        r.refuseReasonOf(c),
	}
}

// refuseReasonOf returns why this node must not run the call, or an empty reason.
func (r *Runner) refuseReasonOf(c *gateCall) call.Reason {
	if reason := r.refuseReason(c.start); reason != "" {
		return reason
	}
	if c.unclaimed {
		return call.ReasonLeaving
	}
	if reason := r.stopReason(c); reason != "" {
		return reason
	}
	switch {
	case c.start.Key == "" && !r.repeats.allows(r.options.Now(), repeatOf(c.start)):
		return call.ReasonRetryBudgetSpent
	case c.link.refused(), !r.options.Now().Before(c.deadline):
		return call.ReasonTooLate
	}
	return ""
}

// refuseReason returns why this node takes no calls like this one, or an empty reason.
func (r *Runner) refuseReason(start *wire.CallStart) call.Reason {
	if !r.options.Serving(r.options.Now()) {
		return call.ReasonFenced
	}
	t := r.target.Load()
	if t == nil || t.Service != start.Service {
		return call.ReasonNoTarget
	}
	if r.options.RefusesTarget(r.options.Now(), t.Target) {
		return call.ReasonLeaving
	}
	return ""
}

// receiveFrames reads the rest of the body, and reports a cancellation by the
// entry or the loss of its connection to the gate machine.
func (r *Runner) receiveFrames(stream serverStream, c *gateCall) {
	defer r.recoverCall("frames of an entry", func() { r.loseEntry(c) })
	for {
		frame, err := stream.Recv()
		if err != nil {
			r.loseEntry(c)
			return
		}
		if frame.Cancel {
			c.abandon()
			c.failBody(io.ErrUnexpectedEOF)
			c.reports.add(gate.Cancelled{ID: c.id}, r.gate.notify)
			continue
		}
		if frame.Recall {
			c.abandon()
			c.reports.add(gate.CancelledIfQueued{ID: c.id}, r.gate.notify)
			continue
		}
		if frame.ConfirmedMs != 0 {
			r.noteConfirmed(c, frame)
			continue
		}
		c.writeBody(frame)
	}
}

// abandon keeps a call that is not written to the target yet from being written.
func (c *gateCall) abandon() {
	c.abandoned.Store(true)
	c.proof.signal()
}

// arrivalReports holds the events of a call's frames back until the gate machine has its arrival.
type arrivalReports struct {
	mu      sync.Mutex
	passed  bool
	pending []gate.Event
}

// add passes the event on, or keeps it for arrived.
func (a *arrivalReports) add(event gate.Event, notify func(gate.Event)) {
	a.mu.Lock()
	if !a.passed {
		a.pending = append(a.pending, event)
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	notify(event)
}

// arrived passes on the events that were kept.
func (a *arrivalReports) arrived(notify func(gate.Event)) {
	a.mu.Lock()
	a.passed = true
	pending := a.pending
	a.pending = nil
	a.mu.Unlock()
	for _, event := range pending {
		notify(event)
	}
}

func (c *gateCall) writeBody(frame *wire.CallFrame) {
	if !c.streaming {
		return
	}
	if len(frame.Data) > 0 {
		_, _ = c.bodyWriter.Write(frame.Data)
	}
	if frame.Last {
		_ = c.bodyWriter.Close()
	}
}

// failBody makes the target's read of the body fail.
func (c *gateCall) failBody(err error) {
	if c.streaming {
		_ = c.bodyWriter.CloseWithError(err)
	}
}

// awaitDecision waits for the gate's decision and sends the response. A
// decision always follows, since receiveFrames reports a lost connection and
// the gate then cancels a queued call.
func (r *Runner) awaitDecision(ctx context.Context, stream serverStream, c *gateCall) error {
	heartbeat := time.NewTicker(r.options.Settings.SilenceTimeout / heartbeatsPerSilence)
	defer heartbeat.Stop()
	for {
		select {
		case decided := <-c.decisions:
			return r.applyDecision(ctx, stream, c, decided, heartbeat)
		case <-heartbeat.C:
			_ = stream.Send(&wire.AnswerFrame{Confirm: c.proof.due(r.options.BootTime())})
		case <-r.gate.done:
			c.cancelRun()
			return stream.Context().Err()
		}
	}
}

func (r *Runner) applyDecision(ctx context.Context, stream serverStream, c *gateCall, decided decision, heartbeat *time.Ticker) error {
	switch {
	case decided.replay != nil:
		c.cancelRun()
		return r.sendResponse(stream, decided.replay, heartbeat, c.link)
	case !decided.start:
		c.cancelRun()
		r.counters.refused.Add(1)
		refuse := decided.refuse
		frame := r.refusalFrame(refuse.Outcome, refuse.Reason, refuse.RetryAfter)
		frame.Start.ServiceMs = uint32(decided.serviceTime.Milliseconds())
		return stream.Send(frame)
	}
	c.serviceTime = decided.serviceTime
	r.counters.started.Add(1)
	r.metrics.gateWait.UpdateDuration(c.arrivedAt)
	r.targetCalls.Add(1)
	c.users.Add(1)
	go r.runOrAbort(ctx, c)
	if c.streaming || c.start.ReportStart {
		if err := stream.Send(&wire.AnswerFrame{Started: true}); err != nil {
			c.response.abandon()
			return err
		}
	}
	return r.sendResponse(stream, c.response, heartbeat, c.link)
}

// wantedWithin returns the time left in which the entry wants the response.
func (c *gateCall) wantedWithin(now time.Time) time.Duration {
	if c.start.InTime && !c.softDeadline.IsZero() {
		return c.softDeadline.Sub(now)
	}
	return c.deadline.Sub(now)
}

// sendResponse sends the frames of a response as the link allows, with heartbeats while there is
// none to send.
func (r *Runner) sendResponse(stream serverStream, response *responseBuffer, heartbeat *time.Ticker, use *linkUse) error {
	for index := 0; ; {
		frame, changed, ok := response.frameAt(index)
		switch {
		case !ok:
			return stream.Send(&wire.AnswerFrame{Aborted: string(call.ReasonConnectionLost)})
		case frame != nil:
			err := r.awaitLink(stream, heartbeat, use.send(time.Now(), frame))
			if err == nil {
				err = stream.Send(frame)
			}
			if err != nil {
				response.abandon()
				return err
			}
			if frame.Last || frame.Aborted != "" {
				if frame.Last {
					use.markComplete()
				}
				return nil
			}
			index++
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := stream.Send(&wire.AnswerFrame{}); err != nil {
				response.abandon()
				return err
			}
		case <-stream.Context().Done():
			response.abandon()
			return stream.Context().Err()
		}
	}
}

// awaitLink waits until the link has room for a frame, and sends heartbeats meanwhile.
func (r *Runner) awaitLink(stream serverStream, heartbeat *time.Ticker, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil
		case <-heartbeat.C:
			if err := stream.Send(&wire.AnswerFrame{}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// refusalFrame returns the only frame of a call that gets no response from a
// target.
func (r *Runner) refusalFrame(outcome call.Outcome, reason call.Reason, retryAfter time.Duration) *wire.AnswerFrame {
	return &wire.AnswerFrame{
		Start: &wire.AnswerStart{
			Outcome:      uint32(outcome),
			Reason:       string(reason),
			RetryAfterMs: uint32(retryAfter.Milliseconds()),
			Load:         r.Load(),
			TargetReport: r.targetReport(),
			LostPercent:  r.targetLosses.percent(),
		},
		Last: true,
	}
}
