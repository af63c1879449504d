package calls

import (
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/transport/callerconn"
)

// callerCheckValid is for how long the state of a caller's connection need not be read again. It
// is below the 500 ms within which work for callers that left must end by far, and spares most
// requests a second system call.
const callerCheckValid = 20 * time.Millisecond

// mayAttempt reports whether the caller may still wait for a response, time is left and the node does not
// stop too soon. It asks the kernel: a close may be queued behind a request that was read late. If the caller
// is known to have left it ends the request as the close would once it is read.
func (r *Runner) mayAttempt(c *callerRequest) bool {
	c.mu.Lock()
	checked := time.Since(c.callerCheckedAt) <= callerCheckValid
	c.mu.Unlock()
	if !checked {
		c.checkCaller()
	}
	return c.attemptsCtx.Err() == nil && c.ctx.Err() == nil && r.options.Now().Before(c.deadline) && r.mayPassOn(c)
}

// checkCaller ends the request if the kernel knows that its caller has reset the connection, or
// closed its sending side longer than inputClosedGrace ago.
func (c *callerRequest) checkCaller() {
	now := time.Now()
	peer := callerconn.FromContext(c.ctx).Peer()
	c.noteCallerState(now, peer)
	switch {
	case peer.Reset:
		c.cancel(errCallerLeft.New("caller reset its connection: the call is cancelled"))
	case peer.Closed && peer.CloseAge >= inputClosedGrace && c.bodyComplete():
		c.endAfterInputClosed()
	}
}

// noteCallerState records what the kernel said of the caller's connection at the given time.
func (c *callerRequest) noteCallerState(now time.Time, peer callerconn.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer.Closed && c.callerClosedAt.IsZero() {
		// The kernel's age may be too small: the close may have come right after the last check, or
		// the request was read late, and before the first one it may be of any age.
		switch {
		case !c.callerCheckedAt.IsZero():
			c.callerClosedAt = c.callerCheckedAt
		case peer.NoAges:
			c.callerClosedAt = now.Add(-confirmAfter)
		default:
			c.callerClosedAt = c.receivedAt
		}
	}
	c.callerCheckedAt = now
}

// noAttemptReason returns why mayAttempt reported false.
func (r *Runner) noAttemptReason(c *callerRequest) call.Reason {
	if c.attemptsCtx.Err() == nil && !c.mayOutlastNode {
		return call.ReasonDeadline
	}
	return r.giveUpReason(c)
}

// closedFor returns for how long the caller's sending side can have been closed; 0 if it was open at
// the last check.
func (c *callerRequest) closedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callerClosedAt.IsZero() {
		return 0
	}
	return time.Since(c.callerClosedAt)
}

// unseenFor returns for how long the caller may have been gone: since its close, or since the last
// check.
func (c *callerRequest) unseenFor() time.Duration {
	c.mu.Lock()
	checkedAt := c.callerCheckedAt
	c.mu.Unlock()
	return max(c.closedFor(), time.Since(checkedAt))
}

// confirmAfterMs returns for how long from now on the caller may be taken as present.
func (c *callerRequest) confirmAfterMs() uint32 {
	return uint32(max(time.Millisecond, confirmAfter-c.unseenFor()).Milliseconds())
}
