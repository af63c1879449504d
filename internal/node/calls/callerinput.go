package calls

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/transport/callerconn"
)

// inputClosedGrace is how long a call goes on as before after its caller closed its
// sending side. A caller that left and one that waits for the response (half-close, RFC
// 9112, section 9.6) look the same until the node writes. The work of callers that have
// left must end within 500 ms.
const inputClosedGrace = 300 * time.Millisecond

// watchInput ends the request inputClosedGrace after its caller has closed its sending
// side. It returns a function that ends the watch.
func (r *Runner) watchInput(c *callerRequest) (stop func()) {
	conn := callerconn.FromContext(c.ctx)
	if conn == nil {
		return func() {}
	}
	var mu sync.Mutex
	var timer *time.Timer
	conn.OnInputClosed(func() {
		mu.Lock()
		defer mu.Unlock()
		timer = time.AfterFunc(graceLeft(conn), c.contained(c.endAfterInputClosed))
	})
	return func() {
		conn.OnInputClosed(nil)
		mu.Lock()
		defer mu.Unlock()
		if timer != nil {
			timer.Stop()
		}
	}
}

// graceLeft returns what is left of inputClosedGrace after the caller's close, which may have been
// read late.
func graceLeft(conn *callerconn.Conn) time.Duration {
	return max(0, inputClosedGrace-conn.Peer().CloseAge)
}

// endAfterInputClosed makes no further attempt and cancels the call where it is queued.
// One that runs is cancelled only if it is idempotent: breaking off another one would not
// undo it, and its caller may still read the response.
func (c *callerRequest) endAfterInputClosed() {
	c.inputEnded.Store(true)
	c.stopAttempts()
	if !c.route.Idempotent {
		return
	}
	end := func() { c.cancel(errInputClosed.New("caller closed its sending side: the call is cancelled")) }
	if c.recallFirst {
		time.AfterFunc(c.recallTime(), c.contained(end))
		return
	}
	end()
}

// cutOffCause returns the cause of the end of ctx as far as the request knows it, and
// otherwise an empty one.
func (c *callerRequest) cutOffCause() callerconn.Cause {
	if errorx.IsOfType(context.Cause(c.ctx), errInputClosed) {
		return callerconn.CallerClosed
	}
	return ""
}

// end releases what the request holds.
func (c *callerRequest) end() {
	c.ignoreStop()
	c.cancel(nil)
	c.stopAttempts()
}
