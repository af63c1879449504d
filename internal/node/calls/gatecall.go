package calls

import (
	"bytes"
	"context"
	"io"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/protocol/wire"
)

// heartbeatsPerSilence is how often within the silence timeout a gate shows
// that it has a call.
const heartbeatsPerSilence = 3

// gateCall is a call at this node's gate.
type gateCall struct {
	start    *wire.CallStart
	id       call.ID
	deadline time.Time
	// lapse is the deadline on the clock that counts suspensions.
	lapse   time.Time
	arrived time.Time
	// aim is by when an answer is wanted; zero is the deadline.
	aim time.Time
	// held is what came of the body with the first frame; the rest of a streamed
	// one goes through bodyIn to body.
	held      []byte
	streaming bool
	body      *io.PipeReader
	bodyIn    *io.PipeWriter
	decisions chan decision
	recording *recording
	// claim is the serial of the key's claim that this call made, and repeat says
	// that an earlier call made it.
	claim  uint64
	repeat bool
	// run ends at the deadline or when the call is cancelled.
	run       context.Context
	cancelRun context.CancelFunc
}

func (d *Duty) newGateCall(frame *wire.CallFrame) *gateCall {
	start := frame.Start
	timeout := time.Duration(start.TimeoutMs) * time.Millisecond
	c := &gateCall{
		start:     start,
		id:        idOf(start.Id),
		deadline:  d.options.Now().Add(timeout),
		arrived:   d.options.Now(),
		lapse:     d.options.Boot().Add(timeout),
		held:      frame.Data,
		streaming: !frame.Last,
		decisions: make(chan decision, 1),
		recording: newRecording(d.options.Settings.BufferBytes),
	}
	if start.AimMs > 0 {
		c.aim = d.options.Now().Add(time.Duration(start.AimMs) * time.Millisecond)
	}
	c.run, c.cancelRun = context.WithTimeout(d.life, timeout)
	if c.streaming {
		c.body, c.bodyIn = io.Pipe()
	}
	return c
}

// requestBody returns the body for the target. It cannot be rewound, so the
// HTTP client cannot send the request twice by itself.
func (c *gateCall) requestBody() io.ReadCloser {
	switch {
	case c.streaming:
		return streamedBody{io.MultiReader(bytes.NewReader(c.held), c.body), c.body}
	case len(c.held) == 0:
		return nil
	default:
		return io.NopCloser(bytes.NewReader(c.held))
	}
}

// streamedBody reads the held part and then the rest.
type streamedBody struct {
	io.Reader
	io.Closer
}

func idOf(id *wire.CallID) call.ID {
	return call.ID{Entry: id.GetEntry(), Incarnation: id.GetEntryIncarnation(), Counter: id.GetCounter()}
}

func wireID(id call.ID) *wire.CallID {
	return &wire.CallID{Entry: id.Entry, EntryIncarnation: id.Incarnation, Counter: id.Counter}
}

// Call serves one call of another node's entry.
func (d *Duty) Call(stream wire.DRPCCalls_CallStream) error {
	return d.serveStream(stream)
}

func (d *Duty) serveStream(stream serverStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	if frame.Start == nil || frame.Start.Id.GetEntry() == "" {
		return stream.Send(d.refusalFrame(call.NotRun, call.ReasonMalformed, 0))
	}
	d.serving.Add(1)
	defer d.serving.Add(-1)
	if frame.Start.Fetch {
		return d.serveFetch(stream, frame.Start)
	}
	return d.serveCall(stream, frame)
}

func (d *Duty) serveCall(stream serverStream, frame *wire.CallFrame) error {
	ctx, span := d.startGateSpan(stream.Context(), frame.Start)
	defer span.End()
	c := d.newGateCall(frame)
	refused, err := d.admitKey(stream, c)
	if err != nil || refused != nil {
		c.cancelRun()
		return sendRefusal(stream, refused, err)
	}
	if !d.gate.arrive(d.arrival(c), c) {
		c.cancelRun()
		d.gate.releaseKey(c)
		return stream.Send(d.refusalFrame(call.NotRun, call.ReasonQueueFull, fullRingRetryAfter))
	}
	go d.receive(stream, c)
	return d.answer(ctx, stream, c)
}

// fullRingRetryAfter is when a call that a full ring rejected may try again.
const fullRingRetryAfter = 100 * time.Millisecond

func (d *Duty) arrival(c *gateCall) gate.Arrive {
	return gate.Arrive{
		ID:                  c.id,
		GateIncarnation:     c.start.GateIncarnation,
		Background:          c.start.Background,
		Nested:              c.start.Nested,
		Priority:            int(c.start.Priority),
		Idempotent:          c.start.Idempotent,
		Route:               c.start.Route,
		Deadline:            c.deadline,
		SoftDeadline:        c.aim,
		RequireSoftDeadline: c.start.InTime && !c.aim.IsZero(),
		Key:                 c.start.Key,
		Fingerprint:         c.start.Fingerprint,
		ReplayOnly:          c.repeat,
		RefuseReason:        d.refuseReason(c.start),
	}
}

// refuseReason says why this node must not run the call at all, if so.
func (d *Duty) refuseReason(start *wire.CallStart) call.Reason {
	if !d.options.Serving(d.options.Now()) {
		return call.ReasonFenced
	}
	if t := d.target.Load(); t == nil || t.Service != start.Service {
		return call.ReasonNoTarget
	}
	return ""
}

// receive takes the rest of the body, and notes when the entry cancels or its
// connection is gone.
func (d *Duty) receive(stream serverStream, c *gateCall) {
	for {
		frame, err := stream.Recv()
		if err != nil {
			c.endBody(io.ErrUnexpectedEOF)
			d.gate.tell(gate.Disconnected{ID: c.id})
			return
		}
		if frame.Cancel {
			c.endBody(io.ErrUnexpectedEOF)
			d.gate.tell(gate.Cancelled{ID: c.id})
			continue
		}
		if frame.Recall {
			d.gate.tell(gate.CancelledIfQueued{ID: c.id})
			continue
		}
		c.takeBody(frame)
	}
}

func (c *gateCall) takeBody(frame *wire.CallFrame) {
	if !c.streaming {
		return
	}
	if len(frame.Data) > 0 {
		_, _ = c.bodyIn.Write(frame.Data)
	}
	if frame.Last {
		_ = c.bodyIn.Close()
	}
}

func (c *gateCall) endBody(err error) {
	if c.streaming {
		_ = c.bodyIn.CloseWithError(err)
	}
}

// answer waits for the gate's decision and sends the answer on. The decision
// comes always: a call whose connection is gone is withdrawn by receive.
func (d *Duty) answer(ctx context.Context, stream serverStream, c *gateCall) error {
	beat := time.NewTicker(d.options.Settings.SilenceTimeout / heartbeatsPerSilence)
	defer beat.Stop()
	for {
		select {
		case decided := <-c.decisions:
			return d.follow(ctx, stream, c, decided, beat)
		case <-beat.C:
			_ = stream.Send(&wire.AnswerFrame{})
		case <-d.gate.done:
			c.cancelRun()
			return stream.Context().Err()
		}
	}
}

func (d *Duty) follow(ctx context.Context, stream serverStream, c *gateCall, decided decision, beat *time.Ticker) error {
	switch {
	case decided.attach != nil:
		c.cancelRun()
		return d.relay(stream, decided.attach, beat)
	case !decided.start:
		c.cancelRun()
		d.counters.refused.Add(1)
		refuse := decided.refuse
		return stream.Send(d.refusalFrame(refuse.Outcome, refuse.Reason, refuse.RetryAfter))
	}
	d.counters.started.Add(1)
	d.measures.gateWait.UpdateDuration(c.arrived)
	d.runs.Add(1)
	go d.runAtTarget(ctx, c)
	if c.streaming {
		if err := stream.Send(&wire.AnswerFrame{Started: true}); err != nil {
			c.recording.leave()
			return err
		}
	}
	return d.relay(stream, c.recording, beat)
}

// relay sends a recorded answer, with heartbeats while it waits.
func (d *Duty) relay(stream serverStream, answer *recording, beat *time.Ticker) error {
	for index := 0; ; {
		frame, changed, ok := answer.take(index)
		switch {
		case !ok:
			return stream.Send(&wire.AnswerFrame{Aborted: string(call.ReasonConnectionLost)})
		case frame != nil:
			if err := stream.Send(frame); err != nil {
				answer.leave()
				return err
			}
			if frame.Last || frame.Aborted != "" {
				return nil
			}
			index++
			continue
		}
		select {
		case <-changed:
		case <-beat.C:
			if err := stream.Send(&wire.AnswerFrame{}); err != nil {
				answer.leave()
				return err
			}
		case <-stream.Context().Done():
			answer.leave()
			return stream.Context().Err()
		}
	}
}

// refusalFrame is the whole answer to a call that gets no target's answer.
func (d *Duty) refusalFrame(outcome call.Outcome, reason call.Reason, retryAfter time.Duration) *wire.AnswerFrame {
	return &wire.AnswerFrame{
		Start: &wire.AnswerStart{
			Outcome:      uint32(outcome),
			Reason:       string(reason),
			RetryAfterMs: uint32(retryAfter.Milliseconds()),
			Load:         d.Load(),
		},
		Last: true,
	}
}
