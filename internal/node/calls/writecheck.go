package calls

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/logging"
)

// newWriteCheck returns the last check of the call, immediately before it is written to the
// target. Time may have passed since it was started: while a connection was opened, and while the
// process had no processor time.
func (r *Runner) newWriteCheck(c *gateCall, header http.Header) writeCheck {
	return writeCheck{
		connected: func() { setIfPresent(header, r.options.Contract.Timeout, c.remainingMs(r.options.Now())) },
		mayWrite: func() (err error) {
			defer r.recoverCall("check before a write", func() { err = c.refuseWrite(call.ReasonTargetUnreachable) })
			err = r.mayWrite(c)
			c.checkedAt = r.options.BootTime()
			return err
		},
		written: r.options.Logger.Contained("note of a write", func() { r.noteWritten(c) }, nil),
	}
}

// unconfirmedAfter is how old the proof of a written call may be before an event is logged: older
// ones reach the target over 500 ms after a caller that left right after it.
const unconfirmedAfter = confirmAfter + 50*time.Millisecond

// noteWritten records how old the newest proof was when the call had been written.
func (r *Runner) noteWritten(c *gateCall) {
	r.repeats.written(r.options.Now(), repeatOf(c.start))
	if !c.proof.answers {
		return
	}
	now := r.options.BootTime()
	age := c.proof.age(now)
	r.metrics.proofAge.Update(age.Seconds())
	if age <= unconfirmedAfter {
		return
	}
	r.failedLog.event(logging.CallerUnconfirmed, c.requestID).
		Str("entry", c.id.Entry).Int("proof_ms", age.Milliseconds()).Int("write_ms", now.Sub(c.checkedAt).Milliseconds()).Send()
}

// mayWrite returns an error if nobody waits for the response any more.
func (r *Runner) mayWrite(c *gateCall) error {
	switch {
	case c.abandoned.Load():
		return c.refuseWrite(call.ReasonCancelled)
	case r.options.BootTime().After(c.bootDeadline):
		// The host was suspended. The claim of the call's key may have expired, and
		// another call may have the key by now.
		return c.refuseWrite(call.ReasonDeadline)
	case !r.options.Now().Before(c.deadline):
		return c.refuseWrite(call.ReasonTooLate)
	case r.awaitProof(c):
		return nil
	case c.abandoned.Load():
		return c.refuseWrite(call.ReasonCancelled)
	}
	return c.refuseWrite(call.ReasonTooLate)
}

// refuseWrite records why the call is not written, and returns the error for the HTTP client.
func (c *gateCall) refuseWrite(reason call.Reason) error {
	c.writeRefused.Store(&reason)
	return errWriteRefused.New("the call is not written to the target: %s", reason)
}

// notSentReason returns why no byte of the call was written to the target.
func (c *gateCall) notSentReason() call.Reason {
	if refused := c.writeRefused.Load(); refused != nil {
		return *refused
	}
	switch err := c.runCtx.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		return call.ReasonTooLate
	case err != nil:
		return call.ReasonCancelled
	}
	return call.ReasonTargetUnreachable
}

// remainingMs returns the milliseconds left until the deadline, at least 1, as decimal text.
func (c *gateCall) remainingMs(now time.Time) string {
	return strconv.FormatInt(max(1, c.deadline.Sub(now).Milliseconds()), 10)
}
