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

// mayAttempt reports whether the caller may still wait for a response, and time is left. It asks
// the kernel: a close may be queued behind a request that was read late. If the caller is known to
// have left it ends the request as the close would once it is read.
func (r *Runner) mayAttempt(c *callerRequest) bool {
	if time.Since(c.callerCheckedAt) > callerCheckValid {
		c.checkCaller()
	}
	return c.attemptsCtx.Err() == nil && c.ctx.Err() == nil && r.options.Now().Before(c.deadline)
}

// checkCaller ends the request if the kernel knows that its caller has reset the connection, or
// closed its sending side longer than inputClosedGrace ago.
func (c *callerRequest) checkCaller() {
	c.callerCheckedAt = time.Now()
	peer := callerconn.FromContext(c.ctx).Peer()
	switch {
	case peer.Reset:
		c.cancel(errCallerLeft.New("caller reset its connection: the call is cancelled"))
	case peer.Closed && peer.CloseAge >= inputClosedGrace && c.bodyComplete():
		c.endAfterInputClosed()
	}
}

// noAttemptReason returns why mayAttempt reported false.
func (r *Runner) noAttemptReason(c *callerRequest) call.Reason {
	if c.attemptsCtx.Err() == nil {
		return call.ReasonDeadline
	}
	return r.giveUpReason()
}
