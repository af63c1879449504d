package calls

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"
)

// runningRequests holds the callers' names of the requests that the target
// beside this node runs.
type runningRequests struct {
	mu  sync.Mutex
	ids map[string]int
}

// begin notes that the target runs the request; the returned function ends it.
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

// nested reports whether a request that runs at the target beside this node made
// the call. Its name tells where the contract has names; otherwise whatever comes
// from the target's address is taken for such a call.
func (d *Duty) nested(r *http.Request) bool {
	separator := d.options.Contract.NestedSeparator
	if separator == "" {
		return d.fromTargetAddress(r)
	}
	id := d.requestID(r)
	at := strings.LastIndex(id, separator)
	return at > 0 && d.runningRequests.has(id[:at])
}

func (d *Duty) fromTargetAddress(r *http.Request) bool {
	t := d.target.Load()
	if t == nil || t.Address == "" {
		return false
	}
	caller, err := netip.ParseAddrPort(r.RemoteAddr)
	own, ownErr := netip.ParseAddrPort(t.Address)
	return err == nil && ownErr == nil && caller.Addr() == own.Addr()
}
