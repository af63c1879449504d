package calls

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"
)

// runningRequests counts, by request ID, the requests that run at the target
// beside this node.
type runningRequests struct {
	mu  sync.Mutex
	ids map[string]int
}

// begin records that the target runs the request; the returned function records
// its end.
func (r *runningRequests) begin(id string) (end func()) {
	if id == "" {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids == nil {
		r.ids = make(map[string]int)
	}
	r.ids[id]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.ids[id]--; r.ids[id] == 0 {
			delete(r.ids, id)
		}
	}
}

func (r *runningRequests) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id] > 0
}

// nested reports whether a request that runs at the target beside this node
// made the call. The request ID decides if the contract has a separator for
// nested IDs; otherwise every call from the target's IP address counts as
// nested.
func (r *Runner) nested(request *http.Request) bool {
	separator := r.options.Contract.NestedSeparator
	if separator == "" {
		return r.fromTargetAddress(request)
	}
	id := r.requestID(request)
	at := strings.LastIndex(id, separator)
	return at > 0 && r.runningRequests.has(id[:at])
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
