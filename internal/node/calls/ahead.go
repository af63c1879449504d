package calls

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/transport/callerconn"
)

// maxAheadRequests bounds the requests of all callers that are in work before their turn. Each
// may hold a response of up to calls.buffer_bytes until the requests before it are answered.
const maxAheadRequests = 256

const (
	// aheadBytes is what a request that was started before its turn takes besides its headers, and
	// headerCost what each byte of these takes.
	aheadBytes = 16 << 10
	headerCost = 16
)

// aheadRequest is a caller's request that is in work although requests before it on its
// connection are not answered yet. Its response waits for its turn. It has no body.
type aheadRequest struct {
	runner    *Runner
	startedAt time.Time
	*callerRequest
	span trace.Span
	// done is closed when result is known, or panicked is set.
	done     chan struct{}
	result   dispatchResult
	panicked any

	mu sync.Mutex
	// inputTimer runs from the end of the caller's input on.
	inputTimer *time.Timer
	// taken is set once the request's turn has come, or it was cancelled.
	taken bool
}

// startedAhead returns the request if it was started before its turn.
func startedAhead(request *http.Request) *aheadRequest {
	ahead, _ := callerconn.FromContext(request.Context()).Started().(*aheadRequest)
	return ahead
}

// serveBehind starts the requests behind c as they arrive, up to the first one that is not
// idempotent: such a one is served only once all before it are answered, and those behind it
// only once it is answered.
func (r *Runner) serveBehind(c *callerRequest) {
	conn := callerconn.FromContext(c.ctx)
	if conn == nil || !c.startableAhead() || !c.bodyComplete() {
		return
	}
	conn.StartAhead(func(request *http.Request, arrivedAt time.Time) callerconn.Started {
		if ahead := r.startAhead(conn, request, arrivedAt); ahead != nil {
			return ahead
		}
		return nil
	})
}

// startableAhead reports whether the request may run while others of its connection do.
func (c *callerRequest) startableAhead() bool { return c.route.Idempotent && c.key == "" }

// startAhead starts a request before its turn. It returns nil if the request has to wait: it is
// not idempotent or would be refused, the node is about to stop, or too many are in work before
// their turn.
func (r *Runner) startAhead(conn *callerconn.Conn, request *http.Request, arrivedAt time.Time) (a *aheadRequest) {
	defer r.recoverCall("caller's request before its turn", func() { a = nil })
	if r.keepAlivesDisabled.Load() {
		return nil
	}
	now := r.options.Now()
	index, refused := r.admitAt(now)
	if refused != nil {
		return nil
	}
	c, refused := r.newCallerRequest(index, now.Add(-time.Since(arrivedAt)), request)
	if refused != nil || !c.startableAhead() {
		return nil
	}
	c.outcome = outcomeCallerLeft
	ctx, span := r.startEntrySpan(request.WithContext(conn.NewContext(context.Background())))
	r.prepare(ctx, c, request, &requestBody{})
	if !r.aheadSlots.TryAcquire(1) {
		span.End()
		c.end()
		return nil
	}
	room, err := r.options.Account.Open(int64(aheadBytes + headerCost*headerBytes(request)))
	if err != nil {
		r.aheadSlots.Release(1)
		span.End()
		c.end()
		return nil
	}
	c.room = room
	c.overQuota = r.charge(c)
	r.counters.requests.Add(1)
	a = &aheadRequest{runner: r, startedAt: arrivedAt, callerRequest: c, span: span, done: make(chan struct{})}
	go a.run()
	return a
}

// run finds the response.
func (a *aheadRequest) run() {
	defer close(a.done)
	defer func() { a.panicked = recover() }()
	a.result = a.runner.dispatch(a.callerRequest)
	if got := a.result.response; got != nil {
		got.pause()
		callerconn.FromContext(a.ctx).ResponseReady(a, a.responseLimit())
	}
}

// InputClosed implements callerconn.Started.
func (a *aheadRequest) InputClosed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inputTimer == nil && !a.taken {
		a.inputTimer = time.AfterFunc(graceLeft(callerconn.FromContext(a.ctx)), a.contained(a.endAfterInputClosed))
	}
}

// Cancel implements callerconn.Started. It ends a request whose turn does not come.
func (a *aheadRequest) Cancel() {
	if !a.take() {
		return
	}
	a.callerRequest.end()
	go a.contained(func() {
		<-a.done
		if a.panicked != nil {
			a.runner.options.Logger.Panicked("caller's request", a.panicked)
		}
		a.end()
	})()
}

// take returns false if the request was taken before.
func (a *aheadRequest) take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.taken {
		return false
	}
	a.taken = true
	return true
}

// end releases what the request holds.
func (a *aheadRequest) end() {
	a.mu.Lock()
	if a.inputTimer != nil {
		a.inputTimer.Stop()
	}
	a.mu.Unlock()
	if got := a.result.response; got != nil {
		got.attempt.end(false)
	}
	a.runner.endRequest(a.callerRequest)
	a.room.Close()
	a.runner.aheadSlots.Release(1)
	a.runner.metrics.observeRequest(string(a.route.Class), a.outcome, a.startedAt)
	a.span.End()
}

// respondAhead writes the response of a request that was started before its turn, which has
// come.
func (r *Runner) respondAhead(w http.ResponseWriter, request *http.Request, a *aheadRequest) {
	if !a.take() {
		panic(http.ErrAbortHandler) // the connection is closed
	}
	defer func() { r.recoverRequest(recover(), w, request, a.callerRequest) }()
	defer a.end()
	conn := callerconn.FromContext(request.Context())
	conn.BeginWork() // the request is in work already: it is served also if the connection must give way
	conn.RequestRead()
	defer context.AfterFunc(request.Context(), a.contained(a.callerRequest.end))()
	defer r.watchInput(a.callerRequest)()
	defer r.watchBehind(a.callerRequest)()
	r.serveBehind(a.callerRequest)
	<-a.done
	if a.panicked != nil {
		panic(a.panicked)
	}
	if got := a.result.response; got != nil {
		got.resume()
	}
	r.respond(w, request, a.callerRequest, a.result)
}

// endRequest ends a request in the entry machine and releases what it holds.
func (r *Runner) endRequest(c *callerRequest) {
	if c.notRun() {
		r.refund(c)
	}
	r.observeRequest(c)
	if c.begun {
		r.entry.notify(entry.End{Handle: c.handle})
	}
	c.endKept()
	c.end()
}
