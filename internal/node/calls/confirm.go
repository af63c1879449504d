package calls

import (
	"sync"
	"time"

	"jasminegate/internal/protocol/wire"
)

// confirmAfter is how old the newest proof that a caller waits may be when its call is written to
// the target. With the time that the write takes it stays below the 500 ms after which a call of a
// caller that left counts as sent late.
const confirmAfter = 350 * time.Millisecond

// confirmAskShare is the share of confirmAfter after which a heartbeat asks for the next proof, so
// that the proof of a call that waits in the queue is fresh when it starts.
const confirmAskShare = 1.0 / 3

// callerProof is what a gate knows of the presence of a call's caller. Times are of BootTime.
type callerProof struct {
	// answers is set if the entry answers questions.
	answers bool
	// ask sends the question.
	ask func()
	// changed has an item once there is another proof, or the call was abandoned.
	changed chan struct{}

	mu sync.Mutex
	// after is how old the proof may be.
	after time.Duration
	// at is the earliest time at which the caller can have been present for the last time that is
	// known; zero if that is not bounded. An estimate would let calls of callers that left pass.
	at time.Time
	// askedAt is when the question was sent that has no response yet; zero if there is none.
	askedAt time.Time
}

// newCallerProof returns the proof for a call, which does not count before provedByCall or renew.
func newCallerProof(start *wire.CallStart, ask func()) *callerProof {
	return &callerProof{
		answers: start.ConfirmAfterMs > 0, after: time.Duration(start.ConfirmAfterMs) * time.Millisecond,
		ask: ask, changed: make(chan struct{}, 1),
	}
}

// fresh reports whether the call may be written without another proof.
func (p *callerProof) fresh(now time.Time) bool {
	if !p.answers {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.at) <= p.after
}

// age returns how old the newest proof is at the most.
func (p *callerProof) age(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.at)
}

// due reports whether a heartbeat should ask for a proof, and notes that it does.
func (p *callerProof) due(now time.Time) bool {
	if !p.answers {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.askedAt.IsZero() || now.Sub(p.at) <= time.Duration(float64(p.after)*confirmAskShare) {
		return false
	}
	p.askedAt = now
	return true
}

// request asks for a proof unless there is a question without a response.
func (p *callerProof) request(now time.Time) {
	p.mu.Lock()
	waiting := !p.askedAt.IsZero()
	if !waiting {
		p.askedAt = now
	}
	p.mu.Unlock()
	if !waiting {
		go p.ask()
	}
}

// answered takes the time of the question that has its response now; ok is false if there is none.
func (p *callerProof) answered() (askedAt time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	askedAt, p.askedAt = p.askedAt, time.Time{}
	return askedAt, !askedAt.IsZero()
}

// provedByCall notes that the caller was present when its call was sent, at that time at the earliest.
func (p *callerProof) provedByCall(sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() {
		p.at = sentAt
	}
}

// renew notes that the caller was present, at the given time at the earliest.
func (p *callerProof) renew(at time.Time) {
	p.mu.Lock()
	if at.After(p.at) {
		p.at = at
		// What the entry stated with the call was of that time.
		p.after = confirmAfter
	}
	p.mu.Unlock()
	p.signal()
}

// signal wakes the one that waits for a change.
func (p *callerProof) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// noteConfirmed takes the entry's response to a question.
func (r *Runner) noteConfirmed(c *gateCall, frame *wire.CallFrame) {
	askedAt, ok := c.proof.answered()
	if !ok {
		return
	}
	now := r.options.BootTime()
	r.transit.confirmed(c.start.Id, askedAt, time.UnixMilli(int64(frame.ConfirmedMs)), now)
	if age, ok := r.transit.age(c.start.Id, frame.ConfirmedMs, now); ok {
		c.proof.renew(now.Add(-age - time.Duration(frame.ClosedMs)*time.Millisecond))
	}
}

// awaitProof waits until there is a fresh proof that the caller waits. It returns false if none
// comes within the silence timeout or the call ends: the entry is then held up, gone or cut off.
//
// Load pattern: nodes that stand still and links that hold bytes back, so that calls and what
// cancels them arrive late.
func (r *Runner) awaitProof(c *gateCall) bool {
	if c.proof.fresh(r.options.BootTime()) {
		return true
	}
	timeout := time.NewTimer(r.options.Settings.SilenceTimeout)
	defer timeout.Stop()
	for !c.abandoned.Load() {
		c.proof.request(r.options.BootTime())
		select {
		case <-c.proof.changed:
			if c.proof.fresh(r.options.BootTime()) {
				return true
			}
		case <-timeout.C:
			return false
		case <-c.runCtx.Done():
			return false
		}
	}
	return false
}

// awaitReference asks the entry of a call whose time on the way is not known, because it is the
// first of its incarnation, and takes that time off the call's times. It returns false if there is
// no response.
func (r *Runner) awaitReference(c *gateCall) bool {
	if !c.proof.answers || c.delayKnown {
		return true
	}
	timeout := time.NewTimer(r.options.Settings.SilenceTimeout)
	defer timeout.Stop()
	c.proof.request(r.options.BootTime())
	select {
	case <-c.proof.changed:
	case <-timeout.C:
		return false
	case <-c.runCtx.Done():
		return false
	}
	if c.abandoned.Load() {
		return false
	}
	delay, _ := r.transit.delay(c.start, c.receivedAt)
	c.subtract(delay, r.baseCtx)
	return true
}

// confirmCaller answers a gate's question. A caller that has left, or whose time is over, has its
// call taken back: one that is not idempotent only if it does not run yet.
func (a *attempt) confirmCaller() {
	c, now := a.request, a.runner.options.Now()
	// The process may stand still after the check.
	asOf := a.runner.options.BootTime()
	c.checkCaller()
	switch {
	case c.ctx.Err() != nil || !now.Before(c.deadline):
		_ = a.stream.Send(&wire.CallFrame{Cancel: true})
	case c.inputEnded.Load():
		_ = a.stream.Send(&wire.CallFrame{Recall: true})
	case c.closedFor() >= confirmAfter:
		// No proof would be fresh, and the gate would ask again at once. The call is taken back at
		// the end of inputClosedGrace.
	default:
		_ = a.stream.Send(&wire.CallFrame{
			ConfirmedMs: uint64(asOf.UnixMilli()),
			ClosedMs:    uint32(c.closedFor().Milliseconds()),
		})
	}
}
