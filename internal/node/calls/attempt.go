package calls

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

const (
	// gateGrace is how much longer than the deadline an entry waits for its gate
	// to tell what became of the call.
	gateGrace = 100 * time.Millisecond
	// recoverTime is how long a question about a lost attempt may take at least.
	recoverTime = 500 * time.Millisecond
)

// attempt is one exchange with a gate, as the entry sees it.
type attempt struct {
	duty     *Runner
	request  *callerCall
	handle   uint64
	endpoint entry.Endpoint
	stream   clientStream
	// silence ends the attempt when the gate is not heard in time.
	silence *time.Timer
	cancel  context.CancelCauseFunc
	ctx     context.Context
	// release gives the connection back, or closes it.
	release func(reuse bool)
	// uploadState is set by whoever comes first: the sending of the rest of the body, or
	// the end of the attempt.
	uploadState atomic.Int32
	started     chan struct{}
	// unfollow stops the watch for the caller's leaving, and unrecall that for this
	// node's.
	unfollow func() bool
	unrecall func() bool
}

// errStart says that a call's start could not be handed to a connection.
type errStart struct{ busy bool }

func (errStart) Error() string { return "no connection to the gate" }

// send makes one attempt. It returns an answer, or the event that tells why
// there is none.
func (d *Runner) send(r *callerCall, action entry.Send) (*answer, entry.Event) {
	_, span := d.startAttemptSpan(r.ctx, action.Endpoint.ID, action.ID)
	defer span.End()
	start := r.start(action)
	start.TimeoutMs = r.timeoutMs(d.options.Now())
	start.AimMs = r.aimMs(d.options.Now())
	a, err := d.open(r, action.Endpoint, action.NewConnection, r.deadline)
	if err != nil {
		return nil, notSent(r.handle, err)
	}
	return a.exchange(&wire.CallFrame{Start: start, Data: r.body.held, Last: r.body.rest == nil})
}

// fetch asks a gate over a new connection for the answer of a lost attempt.
func (d *Runner) fetch(r *callerCall, action entry.Resolve) (*answer, entry.Event) {
	now := d.options.Now()
	deadline := r.deadline
	if earliest := now.Add(recoverTime); deadline.Before(earliest) {
		deadline = earliest
	}
	start := &wire.CallStart{
		Id:              wireID(action.ID),
		GateIncarnation: action.Endpoint.Incarnation,
		Fetch:           true,
	}
	a, err := d.open(r, action.Endpoint, true, deadline)
	if err != nil {
		return nil, notSent(r.handle, err)
	}
	return a.exchange(&wire.CallFrame{Start: start, Last: true})
}

func notSent(handle uint64, err error) entry.Event {
	var failed errStart
	busy := errors.As(err, &failed) && failed.busy
	return entry.NotSent{Handle: handle, ConnectionLimitReached: busy}
}

// open starts a stream to the gate; local calls need no connection.
func (d *Runner) open(r *callerCall, endpoint entry.Endpoint, fresh bool, deadline time.Time) (*attempt, error) {
	a := &attempt{duty: d, request: r, handle: r.handle, endpoint: endpoint, started: make(chan struct{})}
	wait := deadline.Sub(d.options.Now()) + gateGrace
	ctx, cancelTimeout := context.WithTimeout(d.life, wait)
	ctx, cancel := context.WithCancelCause(ctx)
	a.ctx = ctx
	a.cancel = func(cause error) { cancel(cause); cancelTimeout() }
	if err := a.connect(ctx, fresh); err != nil {
		a.cancel(nil)
		return nil, err
	}
	a.silence = time.AfterFunc(d.options.Settings.SilenceTimeout, func() {
		a.cancel(errSilent.New("gate %s was not heard in time: another connection decides", endpoint.ID))
	})
	a.unfollow = context.AfterFunc(r.ctx, a.withdraw)
	return a, nil
}

func (a *attempt) connect(ctx context.Context, fresh bool) error {
	if a.endpoint.ID == a.duty.options.Self.ID {
		a.stream = a.duty.openLocal(ctx)
		a.release = func(bool) {}
		return nil
	}
	conn, stream, err := a.dial(ctx, fresh)
	if err != nil {
		return errStart{busy: peer.IsBusy(err)}
	}
	a.stream = stream
	a.release = func(reuse bool) {
		if reuse {
			conn.Release()
			return
		}
		conn.Discard()
	}
	return nil
}

// withdraw tells the gate that the caller left, then ends the attempt.
func (a *attempt) withdraw() {
	_ = a.stream.Send(&wire.CallFrame{Cancel: true})
	a.cancel(errCallerLeft.New("the caller left: nothing to do"))
}

// recall tells the gate that the call must not start any more. A broken stream
// says the same.
func (a *attempt) recall() {
	_ = a.stream.Send(&wire.CallFrame{Recall: true})
}

// exchange sends the first frame and reads the answer up to the buffer bound.
func (a *attempt) exchange(first *wire.CallFrame) (*answer, entry.Event) {
	if err := a.stream.Send(first); err != nil {
		return nil, a.lost()
	}
	a.unrecall = context.AfterFunc(a.duty.recalled, a.recall)
	if !first.Last {
		a.request.uploads.Add(1)
		go a.upload()
	}
	start, event := a.readStart()
	if event != nil {
		return nil, event
	}
	return a.readBuffered(start)
}

// recv returns the gate's next frame that is not a heartbeat.
func (a *attempt) recv() (*wire.AnswerFrame, error) {
	for {
		frame, err := a.stream.Recv()
		if err != nil {
			return nil, err
		}
		a.silence.Reset(a.duty.options.Settings.SilenceTimeout)
		if frame.Started {
			a.noteStarted()
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

// readStart reads up to the start of the answer, or to the gate's refusal.
func (a *attempt) readStart() (*wire.AnswerFrame, entry.Event) {
	frame, err := a.recv()
	if err != nil {
		return nil, a.lost()
	}
	if frame.Aborted != "" {
		return nil, a.refused(call.Unknown, frame.Aborted, 0, 0)
	}
	if frame.Start == nil {
		return nil, a.lost()
	}
	if outcome := call.Outcome(frame.Start.Outcome); outcome != call.Answered {
		return nil, a.refused(outcome, frame.Start.Reason, frame.Start.RetryAfterMs, frame.Start.Load)
	}
	return frame, nil
}

// readBuffered reads the answer until it is whole or over the buffer bound.
func (a *attempt) readBuffered(first *wire.AnswerFrame) (*answer, entry.Event) {
	got := &answer{attempt: a, start: first.Start, data: first.Data, whole: first.Last}
	for !got.whole && int64(len(got.data)) <= a.duty.options.Settings.BufferBytes {
		frame, err := a.recv()
		if err != nil {
			return nil, a.lost()
		}
		if frame.Aborted != "" {
			return nil, a.refused(abortOutcome(frame.Aborted), frame.Aborted, 0, first.Start.Load)
		}
		got.data = append(got.data, frame.Data...)
		got.whole = frame.Last
	}
	return got, nil
}

func abortOutcome(reason string) call.Outcome {
	if call.Reason(reason) == call.ReasonAnswerTooLarge {
		return call.Ran
	}
	return call.Unknown
}

// upload sends the rest of the body once the gate has started the call.
func (a *attempt) upload() {
	defer a.request.uploads.Done()
	select {
	case <-a.started:
	case <-a.ctx.Done():
		return
	}
	if !a.uploadState.CompareAndSwap(uploadWaits, uploadRuns) {
		return
	}
	a.request.body.spent.Store(true)
	for {
		data := make([]byte, frameBytes)
		n, err := a.request.body.rest.Read(data)
		if err != nil && err != io.EOF {
			a.request.noteBodyError(err)
			_ = a.stream.Send(&wire.CallFrame{Cancel: true})
			return
		}
		frame := &wire.CallFrame{Data: data[:n], Last: err == io.EOF}
		if frame.Last {
			a.request.bodyEnded()
		}
		if a.stream.Send(frame) != nil || frame.Last {
			return
		}
	}
}

// States of an upload.
const (
	uploadWaits int32 = iota
	uploadRuns
	uploadEnded
)

// stopUpload keeps a sending of the rest of the body that waits from starting. One
// that runs ends with its next read, as the attempt is cancelled; the body cannot
// be sent again then.
func (a *attempt) stopUpload() {
	if a.request.body.rest == nil {
		return
	}
	if !a.uploadState.CompareAndSwap(uploadWaits, uploadEnded) {
		a.request.body.spent.Store(true)
	}
}

// lost ends the attempt after its connection broke or went silent. The idle
// connections of the same path share its fate.
func (a *attempt) lost() entry.Event {
	a.end(false)
	if a.request.ctx.Err() == nil {
		a.duty.counters.pathsSilent.Add(1)
		a.duty.options.Pool.DropIdle(a.endpoint.Address)
		a.duty.options.Logger.Event(logging.PeerConnectionsDropped).Str("gate", a.endpoint.ID).Send()
	}
	return entry.ConnectionLost{Handle: a.handle, BodyConsumed: a.request.body.spent.Load()}
}

func (a *attempt) refused(outcome call.Outcome, reason string, retryAfterMs, load uint32) entry.Event {
	a.end(true)
	return entry.Refused{
		Handle:       a.handle,
		Outcome:      outcome,
		Reason:       call.Reason(reason),
		RetryAfter:   time.Duration(retryAfterMs) * time.Millisecond,
		Load:         int(load),
		BodyConsumed: a.request.body.spent.Load(),
	}
}

// end closes the stream. The connection is used again when whole says that all
// of the gate's answer was received.
func (a *attempt) end(whole bool) {
	a.silence.Stop()
	if a.unrecall != nil {
		a.unrecall()
	}
	left := !a.unfollow()
	reuse := whole && !left && a.ctx.Err() == nil && a.stream.Close() == nil
	a.stopUpload()
	a.cancel(nil)
	a.release(reuse)
}
