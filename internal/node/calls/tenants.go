package calls

import (
	"io"
	"net/http"
	"strings"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/callerconn"
)

// credentials are what a request offers to be admitted by. They do not contain the key.
type credentials struct {
	// parent is the ID of the running request that made this one, empty if it is not
	// nested.
	parent string
	// digest is that of the request's only API key; valid if keys is 1.
	digest state.KeyDigest
	// keys is the number of different API keys.
	keys int
}

func (r *Runner) credentialsOf(request *http.Request) credentials {
	var offered credentials
	if parent := r.parentOf(request); r.runningRequests.has(parent) {
		offered.parent = parent
	}
	keys := r.options.Contract.Keys(request.Header)
	if offered.keys = len(keys); offered.keys == 1 {
		offered.digest = state.DigestKey(keys[0])
	}
	return offered
}

// identity is on whose behalf a request is made. Its zero value is that of a request
// without a tenant.
type identity struct {
	tenant string
	// charged is set if the request counts towards the tenant's quota.
	charged bool
}

// keyState is what is known of the key that a request carries.
type keyState int

const (
	noKey keyState = iota
	knownKey
	// unknownKey is also the state of several different keys: which of them counts is not defined.
	unknownKey
	// unconfirmedKey may have been removed unnoticed.
	unconfirmedKey
	// notKnownYetKey is not known, and may be in a newer configuration that the node does not have yet.
	notKnownYetKey
)

// judgeKey returns the state of the request's key, and its tenant if it is known.
func (r *Runner) judgeKey(snapshot *state.Snapshot, offered credentials) (keyState, state.Tenant) {
	switch {
	case offered.keys == 0:
		return noKey, state.Tenant{}
	case offered.keys > 1:
		return unknownKey, state.Tenant{}
	case !r.keysConfirmed(r.options.Now()):
		return unconfirmedKey, state.Tenant{}
	}
	tenant, known := snapshot.TenantByKeyDigest(offered.digest)
	switch {
	case known:
		return knownKey, tenant
	case r.options.IsBehind():
		return notKnownYetKey, state.Tenant{}
	}
	return unknownKey, state.Tenant{}
}

// identify returns on whose behalf a request with the credentials is made, or the
// reason to refuse it. A key that is not known is refused wherever it is sent, also
// where none is needed. A nested call is its parent's, whatever known key it carries,
// and is admitted because its parent was. While keys may have been removed unnoticed,
// none identifies a tenant.
func (r *Runner) identify(snapshot *state.Snapshot, route state.Route, offered credentials) (identity, call.Reason) {
	if !snapshot.HasTenants() {
		return identity{}, ""
	}
	key, tenant := r.judgeKey(snapshot, offered)
	switch key {
	case unknownKey:
		return identity{}, call.ReasonUnauthorized
	case notKnownYetKey:
		return identity{}, call.ReasonKeyNotKnownYet
	}
	if parent, running := r.runningRequests.tenantOf(offered.parent); running {
		return identity{tenant: parent}, ""
	}
	switch {
	case key == knownKey:
		return identity{tenant: tenant.Name, charged: true}, ""
	case route.NoAuth:
		return identity{}, ""
	case key == unconfirmedKey:
		return identity{}, call.ReasonKeysUnconfirmed
	}
	return identity{}, call.ReasonUnauthorized
}

// keysConfirmed reports whether a key that was removed longer than the bound ago cannot
// be in the configuration, or whether that is not required.
func (r *Runner) keysConfirmed(now time.Time) bool {
	settings := r.options.Tenants
	if !settings.RevokeStrict {
		return true
	}
	age := now.Sub(r.options.CurrentAt())
	confirmed := age <= settings.RevokeBound
	if r.keysRefused.CompareAndSwap(confirmed, !confirmed) {
		event := logging.KeysUnconfirmed
		if confirmed {
			event = logging.KeysConfirmed
		}
		r.options.Logger.Event(event).Int("age_ms", age.Milliseconds()).Send()
	}
	return confirmed
}

// authenticate sets the request's identity, or returns the problem to refuse it with.
func (r *Runner) authenticate(c *callerRequest, snapshot *state.Snapshot, request *http.Request) *problem.Problem {
	c.judgedBy, c.hasTenants = snapshot, snapshot.HasTenants()
	if !c.hasTenants {
		return nil
	}
	c.credentials = r.credentialsOf(request)
	identity, refused := r.identify(snapshot, c.route, c.credentials)
	c.identity = identity
	return identityProblem(refused)
}

// checkIdentity returns why a request that was admitted gets no further attempt, or an
// empty reason. The configuration may have changed since its last attempt.
func (r *Runner) checkIdentity(c *callerRequest) call.Reason {
	snapshot := r.options.Snapshot()
	if snapshot == c.judgedBy && c.credentials.parent == "" && !r.options.Tenants.RevokeStrict {
		return ""
	}
	if !c.hasTenants {
		// It was admitted when no key was needed, and its credentials were the target's.
		c.judgedBy = snapshot
		if snapshot.HasTenants() {
			c.template.Headers = withoutKeys(r.options.Contract, c.template.Headers)
		}
		return ""
	}
	_, refused := r.identify(snapshot, c.route, c.credentials)
	if refused == "" {
		c.judgedBy = snapshot
	}
	return refused
}

// withoutKeys returns the headers without API keys.
func withoutKeys(contract headers.Contract, list []*wire.Header) []*wire.Header {
	header := make(http.Header, len(list))
	for _, h := range list {
		header[h.Name] = h.Values
	}
	contract.RemoveKeys(header)
	return toWireHeaders(header)
}

// checkAttempt returns why the request gets no further attempt, or nil.
func (r *Runner) checkAttempt(c *callerRequest) *entry.GiveUp {
	if c.attemptsCtx.Err() != nil || c.mayOutlastNode {
		return &entry.GiveUp{Handle: c.handle, Reason: r.giveUpReason(c)}
	}
	if reason := r.checkIdentity(c); reason != "" {
		return &entry.GiveUp{Handle: c.handle, Reason: reason}
	}
	if q := r.checkQuarantine(c); q != nil {
		return &entry.GiveUp{Handle: c.handle, Reason: call.ReasonQuarantined, RetryAfter: q.wait}
	}
	return nil
}

// identityProblem returns the problem for a reason of identify, or nil for another one.
func identityProblem(reason call.Reason) *problem.Problem {
	switch reason {
	case call.ReasonUnauthorized:
		return unauthorized()
	case call.ReasonKeysUnconfirmed:
		return keysUnconfirmed()
	case call.ReasonKeyNotKnownYet:
		return keyNotKnownYet()
	}
	return nil
}

// refuseUnread is refuse for a request whose body may not have been read. A request that is
// refused for its credentials, its tenant's quota or lack of room gets its response at once:
// net/http would read up to 256 KiB of the body first. The rest of the body is read for up to lingerTimeout.
func (r *Runner) refuseUnread(w http.ResponseWriter, request *http.Request, refused *problem.Problem) {
	kind := strings.TrimPrefix(refused.Type, problemBase)
	atOnce := refused.Status == http.StatusTooManyRequests || kind == noRoomKind || identityProblem(call.Reason(kind)) != nil
	// After a refusal of a body that is only announced (Expect), net/http closes the connection.
	if !atOnce || request.ContentLength == 0 || request.Header.Get("Expect") != "" {
		r.refuse(w, request, refused)
		return
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	r.refuse(w, request, refused)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(lingerTimeout))
	conn := callerconn.FromContext(request.Context())
	if conn.GivesWay() {
		conn.EndAfterResponse()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler) // the rest of the body would be taken for the next request
	}
	conn.RequestRead()
	_ = controller.SetReadDeadline(time.Time{})
}

// priorityOf returns the priority of the request. That of its tenant takes precedence over the
// route's, which orders the requests of tenants of equal priority: without it, urgent requests
// wait behind those that tolerate more delay.
func (c *callerRequest) priorityOf(snapshot *state.Snapshot) int {
	if tenant, ok := snapshot.Tenant(c.tenant); ok {
		return tenant.Priority*(state.MaxPriority+1) + c.route.Priority
	}
	return c.route.Priority
}

// tenantKeySeparator cannot occur in a tenant's name, nor in a header.
const tenantKeySeparator = "\n"

// scopeKey makes the idempotency key one of the tenant, so that no tenant gets the
// retained response of another.
func (c *callerRequest) scopeKey() {
	if c.key != "" && c.tenant != "" {
		c.key = c.tenant + tenantKeySeparator + c.key
	}
}
