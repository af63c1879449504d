package calls

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/callerconn"
	"jasminegate/internal/transport/reservation"
)

// callerRequest is one caller's request while it is served.
type callerRequest struct {
	logger *logging.Logger
	// requestID is the caller's, empty if it has none.
	requestID string
	// ctx ends when the caller has left; cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// attemptsCtx ends when no further attempt is to be made; stopAttempts ends it.
	attemptsCtx  context.Context
	stopAttempts context.CancelFunc
	// ignoreStop ends the watch for Runner.EndRequests.
	ignoreStop func() bool
	controller *http.ResponseController
	handle     uint64
	route      state.Route
	identity
	credentials credentials
	// ofRunning is set if a request that runs at the target beside this node made it.
	ofRunning bool
	// passedOn is set once an attempt was allowed, and mayHaveRun once one may have reached a target.
	// mayOutlastNode is set once an attempt was refused because the node stops too soon.
	passedOn, mayHaveRun, mayOutlastNode bool
	// judgedBy is the configuration by which the identity was last checked.
	judgedBy *state.Snapshot
	// priority is the tenant's, or the route's without one.
	priority int
	// chargedTo is the tenant whose quota the request is charged to, empty if none is.
	chargedTo string
	// overQuota is the refusal of a request that was started before its turn.
	overQuota *problem.Problem
	// hasTenants is set if the configuration in force at the admission has tenants:
	// credentials in the headers are API keys then.
	hasTenants bool
	receivedAt time.Time
	deadline   time.Time
	// softDeadline is the instant by which a response is wanted; zero means the
	// deadline.
	softDeadline time.Time
	// callerDeadline is when the caller stops waiting; zero if the request does
	// not say.
	callerDeadline time.Time
	attempts       int
	// gates are the gates to which the request was sent, in order.
	gates []string
	key   string
	body  *requestBody
	// room is what the request holds; nil has room for everything.
	room     *reservation.Reservation
	template *wire.CallStart
	// outcome is the result of the request as counted in metrics: caller-left
	// until another one is known.
	outcome string

	// uploads waits for the goroutine that sends the rest of the body.
	uploads sync.WaitGroup
	// begun is set once the entry machine has accepted the request.
	begun bool
	// yield ends the request early for responses behind it on its connection.
	yield yieldState
	// recallFirst gives a gate time to state that it has not run the call before it is cancelled
	// for a caller that closed its sending side.
	recallFirst bool
	// crashes counts the targets that crashed while they ran the request. refusedByGate is set
	// once a gate has refused it because of its quarantine.
	crashes       int
	refusedByGate *refusedByQuarantine
	// bodyRead is set once the body was read to its end.
	bodyRead atomic.Bool
	// attempt is the last one that was opened; nil before.
	attempt *attempt
	// kept are the attempts that went silent and may still run. wake has an item when one of
	// them may have ended.
	kept []*attempt
	wake chan struct{}
	// responseStarted is set once a part of the response may have been written.
	responseStarted bool
	// closeAnnounced is set if the response says that the connection is closed after it.
	closeAnnounced bool
	// inputEnded is set once the grace period after the caller's close is over.
	inputEnded atomic.Bool

	mu        sync.Mutex
	bodyError error
	// callerCheckedAt is when the kernel was last asked for the state of the caller's connection.
	// callerClosedAt is when the caller closed its sending side, at the earliest; zero if it was
	// open then.
	callerCheckedAt, callerClosedAt time.Time
}

// newHandler passes every request to serveCaller, its path neither cleaned nor
// decoded. NotFoundHandler serves request targets that do not begin with a slash.
func (r *Runner) newHandler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").HandlerFunc(r.serveCaller)
	router.NotFoundHandler = http.HandlerFunc(r.serveCaller)
	return router
}

func (r *Runner) serveCaller(w http.ResponseWriter, request *http.Request) {
	if ahead := startedAhead(request); ahead != nil {
		r.respondAhead(w, request, ahead)
		return
	}
	startedAt := time.Now()
	r.counters.requests.Add(1)
	conn := callerconn.FromContext(request.Context())
	conn.ExpectBody(request.ContentLength)
	var c *callerRequest
	defer func() { r.recoverRequest(recover(), w, request, c) }()
	ctx, span := r.startEntrySpan(request)
	defer span.End()
	var refused *problem.Problem
	c, refused = r.admit(ctx, w, request)
	if refused != nil {
		r.metrics.observeRequest(noClass, string(refused.Outcome), startedAt)
		r.refuseUnread(w, request, refused)
		return
	}
	c.outcome = outcomeCallerLeft
	defer func() { r.metrics.observeRequest(string(c.route.Class), c.outcome, startedAt) }()
	defer r.endRequest(c)
	defer c.abortBodyRead()
	defer r.watchInput(c)()
	defer r.watchBehind(c)()
	r.serveBehind(c)
	r.respond(w, request, c, r.dispatch(c))
	c.drainBody(request.Body)
	if !c.bodyComplete() && !c.closeAnnounced {
		// The rest of the body would be taken for the next request. The response is written.
		panic(http.ErrAbortHandler)
	}
}

// admit prepares a request in its turn, or returns the problem to refuse it with. Its time
// limits count from its arrival.
func (r *Runner) admit(ctx context.Context, w http.ResponseWriter, request *http.Request) (*callerRequest, *problem.Problem) {
	now := r.options.Now()
	index, refused := r.admitAt(now)
	if refused != nil {
		return nil, refused
	}
	conn := callerconn.FromContext(ctx)
	// The bytes may have waited in the socket's buffer, or behind another request.
	receivedAt := now.Add(-conn.Peer().DataAge)
	if at := conn.ArrivedAt(); !at.IsZero() && time.Since(at) > now.Sub(receivedAt) {
		receivedAt = now.Add(-time.Since(at))
	}
	c, refused := r.newCallerRequest(index, receivedAt, request)
	if refused != nil {
		return nil, refused
	}
	if !now.Before(c.deadline) {
		return nil, waitedTooLong()
	}
	if refused := r.charge(c); refused != nil {
		return nil, refused
	}
	c.controller = http.NewResponseController(w)
	_ = c.controller.SetReadDeadline(time.Now().Add(c.deadline.Sub(now)))
	ignoreStop := context.AfterFunc(r.requestsCtx, c.contained(func() { _ = c.controller.SetReadDeadline(time.Now()) }))
	c.room = conn.Reservation()
	body, err := readBody(request, c.room, r.options.Settings.BufferBytes, r.bodyLimit(index.snapshot.CallerLimits()))
	if stopped := !ignoreStop(); stopped {
		r.refund(c)
		return nil, shuttingDown()
	}
	if errorx.IsOfType(err, reservation.ErrFull) || !conn.BeginWork() {
		r.refund(c)
		c.room.ShrinkTo(refusedBytes)
		return nil, noRoom(c.limitRetryAfter(now, noRoomRetryAfter))
	}
	if err != nil {
		r.refund(c)
		return nil, badBody(err)
	}
	if body.rest != nil {
		// The response may be written before the rest of the body is read.
		_ = c.controller.EnableFullDuplex()
	} else {
		// A read deadline that expires after the body would be taken for a
		// disconnect of the caller.
		_ = c.controller.SetReadDeadline(time.Time{})
		conn.RequestRead()
	}
	r.prepare(ctx, c, request, body)
	return c, nil
}

// refusedBytes is what a refused request keeps until its connection is idle or closed.
const refusedBytes = 32 << 10

// admitAt returns the routes in force, or the problem to refuse every request with.
func (r *Runner) admitAt(now time.Time) (*routeIndex, *problem.Problem) {
	index := r.currentRoutes()
	switch {
	case index == nil:
		return nil, notReady()
	case !r.options.Serving(now):
		return nil, fenced()
	case r.attemptsCtx.Err() != nil:
		return nil, shuttingDown()
	}
	return index, nil
}

// newCallerRequest returns the request with its route and time limits, or the problem to
// refuse it with.
func (r *Runner) newCallerRequest(index *routeIndex, receivedAt time.Time, request *http.Request) (*callerRequest, *problem.Problem) {
	if refused := headersTooLarge(request, index.snapshot.CallerLimits()); refused != nil {
		return nil, refused
	}
	route, ok := index.routes.Match(request.Host, request.URL.EscapedPath(), request.Method)
	if !ok {
		return nil, noRoute()
	}
	c := &callerRequest{logger: r.options.Logger, requestID: r.requestID(request), receivedAt: receivedAt, route: route}
	if refused := r.authenticate(c, index.snapshot, request); refused != nil {
		return nil, refused
	}
	if refused := c.readContractHeaders(receivedAt, request, r.options.Contract); refused != nil {
		return nil, refused
	}
	c.ofRunning = r.runningRequests.has(r.parentOf(request))
	if !r.mayTakeRequest(c) {
		return nil, shuttingDown()
	}
	c.scopeKey()
	c.priority = c.priorityOf(index.snapshot)
	return c, nil
}

// prepare gives the request its body, its contexts and what all of its attempts share.
func (r *Runner) prepare(ctx context.Context, c *callerRequest, request *http.Request, body *requestBody) {
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	c.attemptsCtx, c.stopAttempts = context.WithCancel(r.attemptsCtx)
	c.ignoreStop = context.AfterFunc(r.requestsCtx, c.contained(c.endForStop))
	c.body = body
	c.recallFirst = r.options.Overload.Enabled
	c.wake = make(chan struct{}, 1)
	c.handle = r.entry.handles.Add(1)
	c.template = r.newTemplate(ctx, c, request)
}

// readContractHeaders reads the idempotency key, the timeout and the attempts
// that the caller set. The caller can only lower the route's timeout and
// attempts.
func (c *callerRequest) readContractHeaders(now time.Time, r *http.Request, contract headers.Contract) *problem.Problem {
	c.key = r.Header.Get(contract.IdempotencyKey)
	timeout := time.Duration(c.route.Timeout)
	if text := r.Header.Get(contract.Timeout); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil || ms == 0 {
			return badHeader(contract.Timeout, "a whole number of milliseconds above 0")
		}
		c.callerDeadline = now.Add(time.Duration(ms) * time.Millisecond)
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = now.Add(timeout)
	if targetLatency := time.Duration(c.route.TargetLatency); targetLatency > 0 {
		c.softDeadline = now.Add(targetLatency)
	}
	c.attempts = max(1, c.route.MaxAttempts)
	if text := r.Header.Get(contract.Attempts); text != "" {
		left, err := strconv.ParseUint(text, 10, 16)
		if err != nil || left == 0 {
			return badHeader(contract.Attempts, "a whole number above 0")
		}
		c.attempts = min(c.attempts, int(left))
	}
	return nil
}

// newTemplate returns the CallStart fields that all attempts of the request
// share.
func (r *Runner) newTemplate(ctx context.Context, c *callerRequest, request *http.Request) *wire.CallStart {
	contract := r.options.Contract
	header := request.Header.Clone()
	headers.RemoveHopByHop(header)
	if c.hasTenants {
		contract.RemoveKeys(header)
	}
	for _, name := range append(contract.SystemHeaders(), "Expect", "Content-Length") {
		header.Del(name)
	}
	if contract.CallerService != "" {
		header.Set(contract.CallerService, r.options.Service)
	}
	start := &wire.CallStart{
		Route:         c.route.Name,
		Method:        request.Method,
		Uri:           request.RequestURI,
		Host:          request.Host,
		Headers:       toWireHeaders(header),
		Key:           c.key,
		Idempotent:    c.route.Idempotent,
		Background:    c.route.Class == state.ClassBackground,
		Nested:        r.nested(request),
		Repeat:        uint32(r.inheritedRepeat(request)),
		Priority:      uint32(c.priority),
		Tenant:        c.tenant,
		ContentLength: c.contentLength(request),
		Content:       contentFingerprint(request, c.route.Host, r.options.Service, c.body),
	}
	if c.key != "" {
		start.Fingerprint = fingerprint(request, c.route.Name, c.body)
	}
	propagator.Inject(ctx, wireCarrier{start})
	return start
}

func (c *callerRequest) contentLength(r *http.Request) int64 {
	if c.body.rest == nil {
		return int64(len(c.body.buffered))
	}
	return r.ContentLength
}

// fingerprint hashes what requests with the same idempotency key must have in
// common; of the body that is the buffered part. The host is left out, because
// a caller may retry through another node's address.
func fingerprint(r *http.Request, route string, body *requestBody) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(strings.Join([]string{r.Method, route, r.URL.RequestURI(), ""}, "\x00"))
	_, _ = hash.Write(body.buffered)
	return hash.Sum64()
}

// callStart returns the CallStart of one attempt, without the times left, which
// send adds. InTime is RequireSoftDeadline on the wire, and AimMs the time left
// until the soft deadline.
func (r *Runner) callStart(c *callerRequest, action entry.Send) *wire.CallStart {
	t := c.template
	return &wire.CallStart{
		Id: toWireID(action.ID), GateIncarnation: action.Endpoint.Incarnation,
		Route: t.Route, Service: action.Endpoint.Service, Method: t.Method, Uri: t.Uri, Host: t.Host,
		Headers: t.Headers, Key: t.Key, Fingerprint: t.Fingerprint,
		Idempotent: t.Idempotent, Background: t.Background, Nested: t.Nested, Priority: t.Priority, InTime: action.RequireSoftDeadline && !c.softDeadline.IsZero(),
		AttemptsLeft: uint32(action.AttemptsLeft), ContentLength: t.ContentLength, RetriedIfLost: action.RetriedIfLost,
		Repeat: uint32(action.Repeat), Tenant: t.Tenant, Content: t.Content, Crashes: uint32(max(c.crashes, r.quarantine.known(t.Content))),
	}
}

// softDeadlineMs returns the milliseconds left until the soft deadline; 0 if it
// has passed or there is none.
func (c *callerRequest) softDeadlineMs(now time.Time) uint32 {
	return uint32(max(0, c.softDeadline.Sub(now).Milliseconds()))
}

func (c *callerRequest) timeoutMs(now time.Time) uint32 {
	return uint32(max(1, c.deadline.Sub(now).Milliseconds()))
}

// dispatchResult is what became of a request: the target's response, why there is none, or
// neither if the caller has left.
type dispatchResult struct {
	response *gateResponse
	failure  *entry.Fail
	// overloaded says that the node had too many requests in work to accept this one.
	overloaded bool
	// overQuota is set if the tenant's quota was used up.
	overQuota *problem.Problem
}

// dispatch performs the entry machine's actions until there is a response for the caller,
// or none will come.
func (r *Runner) dispatch(c *callerRequest) dispatchResult {
	if c.overQuota != nil {
		return dispatchResult{overQuota: c.overQuota}
	}
	if q := r.checkQuarantine(c); q != nil {
		return dispatchResult{failure: &entry.Fail{Outcome: call.NotRun, Reason: call.ReasonQuarantined, RetryAfter: q.wait}}
	}
	if reason := r.checkIdentity(c); reason != "" {
		return dispatchResult{failure: &entry.Fail{Outcome: call.NotRun, Reason: reason}}
	}
	begin := entry.Begin{
		Handle: c.handle, Route: c.route.Name, Destinations: c.route.EffectiveDestinations(), Idempotent: c.route.Idempotent,
		Deadline: c.deadline, MaxAttempts: c.attempts, Key: c.key,
		SoftDeadline: c.softDeadline, Tenant: c.template.Tenant, Nested: c.template.Nested,
		Repeated: c.template.Repeat != 0,
	}
	action, accepted := r.entry.trySubmit(begin)
	if !accepted {
		return dispatchResult{overloaded: true}
	}
	c.begun = true
	for c.ctx.Err() == nil {
		var got *gateResponse
		var event entry.Event
		switch a := action.(type) {
		case entry.Send:
			if !r.mayAttempt(c) {
				action = r.entry.submit(entry.GiveUp{Handle: c.handle, Reason: r.noAttemptReason(c)})
				continue
			}
			got, event = r.send(c, a)
		case entry.Resolve:
			got, event = r.resolveAttempt(c, a)
		case entry.Wait:
			got, event = r.wait(c, a)
		case entry.Fail:
			if got = r.awaitKept(c, a); got == nil && c.ctx.Err() == nil {
				return dispatchResult{failure: &a}
			}
		default: // nil: the entry loop has ended, and an attempt may have been sent
			return dispatchResult{failure: &entry.Fail{Outcome: call.Unknown, Reason: call.ReasonLeaving}}
		}
		if got != nil {
			r.noteResponse(c, got)
			if c.finishBeforeYield(got) {
				return dispatchResult{response: got}
			}
			break
		}
		if c.ctx.Err() != nil {
			break // the attempt ended with the caller: that says nothing about the gate
		}
		c.noteAttempt(event)
		if c.recalled(event) && r.attemptsCtx.Err() == nil {
			event = entry.GiveUp{Handle: c.handle, Reason: call.ReasonCancelled}
		}
		action = r.entry.submit(event)
		if leadsToAttempt(action) {
			if giveUp := r.checkAttempt(c); giveUp != nil {
				action = r.entry.submit(*giveUp)
			}
		}
	}
	return dispatchResult{}
}

// recalled reports whether the event is the refusal of an attempt that this request recalled. The
// gate gives the reason of an entry that stops; here it says nothing about the gate.
func (c *callerRequest) recalled(event entry.Event) bool {
	refused, ok := event.(entry.Refused)
	return ok && refused.Outcome == call.NotRun && refused.Reason == call.ReasonLeaving && c.attemptsCtx.Err() != nil
}

// noteResponse tells the entry machine of a response.
func (r *Runner) noteResponse(c *callerRequest, got *gateResponse) {
	r.entry.notify(entry.ResponseReceived{
		ServiceTime: time.Duration(got.start.ServiceMs) * time.Millisecond,
		LostShare:   lostShare(got.start),
		Handle:      c.handle, From: got.attempt.endpoint.ID, Failed: got.failed(), ServerError: got.start.Status >= http.StatusInternalServerError, Load: int(got.start.Load),
		TargetReport: fromWireReport(r.options.Now(), got.start.TargetReport),
	})
}

// respond writes the result of dispatch to the caller.
func (r *Runner) respond(w http.ResponseWriter, request *http.Request, c *callerRequest, result dispatchResult) {
	callerconn.FromContext(request.Context()).BeginResponse()
	switch {
	case result.overloaded:
		c.outcome = string(problem.NotRun)
		r.refuse(w, request, overloaded())
	case result.overQuota != nil:
		c.outcome = string(problem.NotRun)
		r.refuse(w, request, result.overQuota)
	case result.failure != nil:
		r.fail(w, request, c, *result.failure)
	case result.response != nil:
		r.deliver(w, request, c, result.response)
	default:
		r.respondToLeft(w, request, c)
	}
}

// respondToLeft ends a request whose caller has left, or that was ended for responses behind it.
func (r *Runner) respondToLeft(w http.ResponseWriter, request *http.Request, c *callerRequest) {
	if c.yielded() {
		r.fail(w, request, c, c.yieldFailure())
		return
	}
	if c.endedForStop() {
		r.fail(w, request, c, c.stopFailure())
		return
	}
	r.noteCutOff(request, c, c.cutOffCause(), "")
	if c.cutOffCause() == callerconn.CallerClosed {
		r.announceClose(w, request)
		problem.Write(w, *callerClosed()) // for a caller that has closed only its sending side
		return
	}
	panic(http.ErrAbortHandler) // the caller disconnected: abort the connection without a response
}

// announceClose makes the response ask the caller to close the connection if the node is
// about to stop or has no room for it, unless requests behind it are in work.
func (r *Runner) announceClose(w http.ResponseWriter, request *http.Request) {
	conn := callerconn.FromContext(request.Context())
	if (r.keepAlivesDisabled.Load() || conn.GivesWay()) && conn.AnnounceClose() {
		w.Header().Set("Connection", "close")
	}
}

// giveUpReason returns why a request makes no further attempt.
func (r *Runner) giveUpReason(c *callerRequest) call.Reason {
	if r.attemptsCtx.Err() != nil || c.mayOutlastNode {
		return call.ReasonLeaving
	}
	return call.ReasonCancelled
}

// leadsToAttempt reports whether the action leads to another attempt, or is a
// Wait before an attempt or another Resolve.
func leadsToAttempt(action entry.Action) bool {
	switch action.(type) {
	case entry.Send, entry.Wait:
		return true
	}
	return false
}

// wait waits before the next attempt, unless a kept one gets a response.
func (r *Runner) wait(c *callerRequest, action entry.Wait) (*gateResponse, entry.Event) {
	timer := time.NewTimer(action.For)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil, entry.Resume{Handle: c.handle}
		case <-c.ctx.Done():
			return nil, entry.Resume{Handle: c.handle}
		case <-c.wake:
			if got := c.keptResponse(); got != nil {
				return got, nil
			}
		}
	}
}

func (r *Runner) deliver(w http.ResponseWriter, request *http.Request, c *callerRequest, got *gateResponse) {
	r.announceClose(w, request)
	incomplete := got.deliver(w, request.Method)
	if incomplete == "" {
		c.outcome = outcomeAnswered
		r.counters.answered.Add(1)
		return
	}
	c.outcome = outcomeAborted
	r.counters.aborted.Add(1)
	r.noteCutOff(request, c, causeResponseAborted, incomplete)
	if !request.ProtoAtLeast(1, 1) {
		callerconn.FromContext(request.Context()).ResetOnClose()
	}
	panic(http.ErrAbortHandler)
}

func (r *Runner) fail(w http.ResponseWriter, request *http.Request, c *callerRequest, action entry.Fail) {
	c.outcome = action.Outcome.String()
	if action.Outcome == call.Unknown {
		r.failedLog.event(logging.CallOutcomeUnknown, r.requestID(request)).
			Str("route", c.route.Name).Str("reason", string(action.Reason)).Send()
		r.requestsBeforeStop.noteBrokenOff(r.options.Now(), c.requestID, c.stoppingCall(), c.receivedAt, action.Reason)
	}
	if err := c.getBodyError(); errorx.IsOfType(err, errBodyTooLarge) {
		// The outcome is not that of badBody, which is for a call that was not
		// sent: the target may have received a part of this body.
		p := badBody(err)
		p.Outcome = problem.Outcome(action.Outcome.String())
		r.refuse(w, request, p)
		return
	}
	if p := identityProblem(action.Reason); p != nil && action.Outcome == call.NotRun {
		r.refuseAfterAttempts(w, request, p, action.Gates)
		return
	}
	if action.Reason != call.ReasonQuarantined {
		action.RetryAfter = c.limitRetryAfter(r.options.Now(), action.RetryAfter)
	}
	r.refuseAfterAttempts(w, request, failure(action), action.Gates)
}

// requestID returns the caller's request ID, or an empty string.
func (r *Runner) requestID(request *http.Request) string {
	return request.Header.Get(r.options.Contract.RequestID)
}

// maxRetryAfterShare is the largest part of the caller's remaining time that a
// Retry-After may take; the rest is left for the retried call.
const maxRetryAfterShare = 1.0 / 3

// limitRetryAfter shortens a Retry-After to fit the time that the caller still
// waits.
func (c *callerRequest) limitRetryAfter(now time.Time, after time.Duration) time.Duration {
	if c.callerDeadline.IsZero() {
		return after
	}
	return min(after, time.Duration(float64(c.callerDeadline.Sub(now))*maxRetryAfterShare))
}

// refuse is refuseAfterAttempts with no gates in the log line. The line of a body
// found too large during an attempt names none either.
func (r *Runner) refuse(w http.ResponseWriter, request *http.Request, p *problem.Problem) {
	r.refuseAfterAttempts(w, request, p, nil)
}

// refuseAfterAttempts writes a problem response, counts its outcome and logs it
// with the gates that had an attempt.
func (r *Runner) refuseAfterAttempts(w http.ResponseWriter, request *http.Request, p *problem.Problem, gates []string) {
	switch p.Outcome {
	case problem.NotRun:
		r.counters.notRun.Add(1)
	case problem.Unknown:
		r.counters.outcomeUnknown.Add(1)
	case problem.Ran:
		r.counters.ran.Add(1)
	}
	r.metrics.countProblem(p)
	r.failedLog.event(logging.CallFailed, r.requestID(request)).
		Str("host", request.Host).Str("path", request.URL.Path).Str("gates", strings.Join(gates, ",")).
		Str("type", p.Type).Str("outcome", string(p.Outcome)).Int("retry_after_ms", p.RetryAfterMS).
		Str("version", r.options.Snapshot().VersionOrNone()).Send()
	if p.Status == http.StatusUnauthorized {
		w.Header().Set(headers.WWWAuthenticate, headers.CredentialsScheme)
	}
	p.PreciseRetryAfter = r.options.Contract.PreciseRetryAfter
	r.announceClose(w, request)
	problem.Write(w, *p)
}

func (c *callerRequest) setBodyError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyError = err
}

func (c *callerRequest) getBodyError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodyError
}

// lingerTimeout is how long the rest of a body is still read after an early
// response. In full-duplex mode net/http does not read it before the response.
// Closing the connection earlier resets it, and the caller may lose a response
// that it has not read yet.
const lingerTimeout = 500 * time.Millisecond

// drainBody reads on for up to lingerTimeout if the response was written before
// the caller had sent the whole body.
func (c *callerRequest) drainBody(body io.Reader) {
	if c.body.rest == nil {
		return
	}
	_ = c.controller.Flush()
	if !c.bodyRead.Load() {
		_ = c.controller.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.uploads.Wait()
	if _, err := io.Copy(io.Discard, body); err == nil {
		c.markBodyRead()
	}
}

// bodyComplete reports whether nothing of the body is left to be read.
func (c *callerRequest) bodyComplete() bool {
	return c.body.rest == nil || c.bodyRead.Load()
}

// markBodyRead clears the read deadline. After the body, net/http reads from
// the connection to detect a disconnect; a deadline that expires during that
// read would be taken for a disconnect, of this request and of the next one on
// the connection.
func (c *callerRequest) markBodyRead() {
	c.bodyRead.Store(true)
	callerconn.FromContext(c.ctx).RequestRead()
	_ = c.controller.SetReadDeadline(time.Time{})
}

// abortBodyRead ends the reading of a body that was not read to its end. Its deadline stays,
// so that net/http does not read on either: it closes the connection.
func (c *callerRequest) abortBodyRead() {
	if c.bodyComplete() {
		_ = c.controller.SetReadDeadline(time.Time{})
		return
	}
	_ = c.controller.SetReadDeadline(time.Now())
	c.uploads.Wait()
}
