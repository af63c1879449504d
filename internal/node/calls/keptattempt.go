package calls

import (
	"context"
	"slices"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

// An attempt of an idempotent call whose gate went silent may still run: gates and links stall for
// longer than the silence timeout. Its stream is kept while the call is sent elsewhere, so that
// its gate does not cut the run, and until the other attempt runs or there is a response.

// mayKeepAttempts reports whether attempts of the request may be kept: two of them may run.
func (c *callerRequest) mayKeepAttempts() bool { return c.startableAhead() && c.body.rest == nil }

// endSilence is called when no frame has arrived within the silence timeout. It returns whether the
// timeout starts again. The own gate is silent only while this process has no time for it.
func (a *attempt) endSilence() (again bool) {
	if a.isLocal() {
		return true
	}
	switch a.onSilence.Load() {
	case silenceCancels:
		a.cancel(errSilent.New("gate %s sent no frame within the silence timeout: the attempt is treated as lost", a.endpoint.ID))
	case silenceReported:
		select {
		case a.silent <- struct{}{}:
		default:
		}
	case silenceChecked:
		return a.checkSilentGate()
	}
	return false
}

// onSilenceTimeout is endSilence as the callback of the timer.
func (a *attempt) onSilenceTimeout() (again bool) {
	a.contained(func() { again = a.endSilence() })()
	return again
}

// checkSilentGate ends the attempt if its gate is dead, or has responded twice over a new connection while
// nothing came over the attempt's own. A gate that only stalls responds over neither, and gets more time.
//
// Load pattern: gates that have no processor time for longer than the silence timeout, and connections
// that go silent for good.
func (a *attempt) checkSilentGate() (again bool) {
	received := a.received.Load() + 1
	if a.runner.isLive(a.endpoint) {
		if !a.runner.gateResponds(a.endpoint.Address) {
			return true
		}
		if a.silentSince.Swap(received) != received {
			return true
		}
		if a.received.Load()+1 != received {
			return true // a frame came during the check
		}
	}
	a.cancel(errSilent.New("gate %s sent no frame within the silence timeout: its response stays incomplete", a.endpoint.ID))
	return false
}

// gateResponds reports whether the gate at the address responds over a new connection within the silence
// timeout, or there is no room for a new connection to it. Attempts at the same gate share a check.
func (r *Runner) gateResponds(address string) bool {
	responds, _, _ := r.gateChecks.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(r.baseCtx, r.options.Settings.SilenceTimeout)
		defer cancel()
		conn, err := r.options.Pool.Dial(ctx, address)
		if err != nil {
			return peer.IsBusy(err), nil
		}
		defer conn.Discard()
		_, err = wire.NewDRPCCallsClient(conn).Resolve(ctx, &wire.ResolveRequest{})
		return err == nil, nil
	})
	return responds.(bool)
}

// readInBackground reads the response for await.
func (a *attempt) readInBackground() {
	result := readResult{end: a.endLost}
	defer func() {
		a.results <- result
		a.request.wakeUp()
	}()
	defer a.runner.recoverCall("response of a gate", func() {})
	result = a.read()
}

// await waits for the response of this attempt or of a kept one. Once this one runs, the kept ones
// end.
func (a *attempt) await() (*gateResponse, entry.Event) {
	c, started := a.request, a.started
	for {
		select {
		case result := <-a.results:
			return a.take(result)
		case <-a.silent:
			return nil, a.keep()
		case <-started:
			c.endKept()
			started = nil
		case <-c.wake:
			if got := c.keptResponse(); got != nil {
				a.cancelAndEnd()
				return got, nil
			}
		}
	}
}

// keep keeps the attempt beside the next one. For the entry machine its connection is lost.
func (a *attempt) keep() entry.Event {
	a.onSilence.Store(silenceIgnored)
	a.request.kept = append(a.request.kept, a)
	a.noteLost()
	return entry.ConnectionLost{Handle: a.handle}
}

// wakeUp makes dispatch look for the response of a kept attempt.
func (c *callerRequest) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// keptResponse returns the response of a kept attempt, and then ends the others. It returns nil if
// there is none, and forgets the attempts that ended without one.
func (c *callerRequest) keptResponse() *gateResponse {
	open := c.kept[:0]
	var got *gateResponse
	for _, a := range c.kept {
		select {
		case result := <-a.results:
			if result.got == nil {
				a.end(false)
				continue
			}
			got, _ = a.take(result)
		default:
			open = append(open, a)
		}
	}
	c.kept = open
	if got != nil {
		c.endKept()
		c.attempt = got.attempt
	}
	return got
}

// keptPollInterval is how often the gates of kept attempts are looked up in the member table.
const keptPollInterval = 50 * time.Millisecond

// awaitKept waits for the response of a kept attempt of a request that would fail otherwise. It returns
// nil once none can come: the request's time is over, the attempts have ended, or membership takes their
// gates for dead.
func (r *Runner) awaitKept(c *callerRequest, failure entry.Fail) *gateResponse {
	if failure.Outcome != call.Unknown {
		return nil
	}
	timeout := time.NewTimer(c.deadline.Sub(r.options.Now()))
	defer timeout.Stop()
	poll := time.NewTicker(keptPollInterval)
	defer poll.Stop()
	for r.dropDeadKept(c); len(c.kept) > 0; r.dropDeadKept(c) {
		select {
		case <-c.wake:
			if got := c.keptResponse(); got != nil {
				return got
			}
		case <-poll.C:
		case <-timeout.C:
			return nil
		case <-c.ctx.Done():
			return nil
		}
	}
	return nil
}

// dropDeadKept ends the kept attempts whose gates are not live members any more.
func (r *Runner) dropDeadKept(c *callerRequest) {
	c.kept = slices.DeleteFunc(c.kept, func(a *attempt) bool {
		dead := !r.isLive(a.endpoint)
		if dead {
			a.cancelAndEnd()
		}
		return dead
	})
}

// isLive reports whether the gate is a live member.
func (r *Runner) isLive(gate entry.Endpoint) bool {
	return slices.ContainsFunc(r.options.View().Members, func(m membership.Member) bool {
		return m.ID == gate.ID && m.Incarnation == gate.Incarnation && (m.State == membership.Alive || m.State == membership.Suspect)
	})
}

// endKept ends the kept attempts, and their runs.
func (c *callerRequest) endKept() {
	for _, a := range c.kept {
		a.cancelAndEnd()
	}
	c.kept = nil
}

// cancelAndEnd ends an attempt whose response is not needed any more. It does not wait for its
// connection, which may be stalled.
func (a *attempt) cancelAndEnd() {
	go a.contained(func() {
		defer a.end(false)
		_ = a.stream.Send(&wire.CallFrame{Cancel: true})
	})()
}
