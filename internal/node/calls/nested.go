package calls

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"

	"jasminegate/internal/coordination/call"
)

// runningRequests counts, by the ID by which nested calls name their parent, the
// requests that run at the target beside this node.
type runningRequests struct {
	mu  sync.Mutex
	ids map[string]runningRequest
}

// runningRequest is how often a request runs, on behalf of which tenant, and whether a run of
// it is a repeat.
type runningRequest struct {
	runs     int
	tenant   string
	repeated bool
}

// begin records that the target runs the request; the returned function records
// its end.
func (r *runningRequests) begin(id, tenant string, repeated bool) (end func()) {
	if id == "" {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids == nil {
		r.ids = make(map[string]runningRequest)
	}
	r.ids[id] = runningRequest{runs: r.ids[id].runs + 1, tenant: tenant, repeated: repeated || r.ids[id].repeated}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		running := r.ids[id]
		running.runs--
		if r.ids[id] = running; running.runs == 0 {
			delete(r.ids, id)
		}
	}
}

// markRepeated notes that a run of the request is a repeat.
func (r *runningRequests) markRepeated(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if running, ok := r.ids[id]; ok {
		running.repeated = true
		r.ids[id] = running
	}
}

func (r *runningRequests) repeated(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id].repeated
}

func (r *runningRequests) has(id string) bool {
	_, running := r.tenantOf(id)
	return running
}

// tenantOf returns the tenant of a running request, and whether it runs.
func (r *runningRequests) tenantOf(id string) (tenant string, running bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request, running := r.ids[id]
	return request.tenant, running
}

// runningID returns the ID by which nested calls name the call as their parent: the
// request ID, or the call ID in a contract in which request IDs do not show nesting.
func (r *Runner) runningID(c *gateCall) string {
	if r.options.Contract.NestedSeparator != "" {
		return c.requestID
	}
	return formatID(c.id)
}

// inheritedRepeat returns call.Inherited if the run that made the call is a repeat.
func (r *Runner) inheritedRepeat(request *http.Request) call.Repeat {
	if parent := r.parentOf(request); parent != "" && r.runningRequests.repeated(parent) {
		return call.Inherited
	}
	return call.First
}

// parentOf returns the ID of the request that made the call, as the call states it;
// empty if it states none.
func (r *Runner) parentOf(request *http.Request) string {
	separator := r.options.Contract.NestedSeparator
	if separator == "" {
		if !r.fromTargetAddress(request) {
			return ""
		}
		return request.Header.Get(r.options.Contract.CallID)
	}
	id := r.requestID(request)
	return id[:max(0, strings.LastIndex(id, separator))]
}

// nested reports whether a request that runs at the target beside this node
// made the call. The request ID decides if the contract has a separator for
// nested IDs; otherwise every call from the target's IP address counts as
// nested.
func (r *Runner) nested(request *http.Request) bool {
	if r.options.Contract.NestedSeparator == "" {
		return r.fromTargetAddress(request)
	}
	return r.runningRequests.has(r.parentOf(request))
}

func (r *Runner) fromTargetAddress(request *http.Request) bool {
	t := r.target.Load()
	if t == nil || t.Address == "" {
		return false
	}
	caller, err := netip.ParseAddrPort(request.RemoteAddr)
	own, ownErr := netip.ParseAddrPort(t.Address)
	return err == nil && ownErr == nil && caller.Addr() == own.Addr()
}
