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
	mu    sync.Mutex
	names map[string]int
}

// begin notes that the target runs the request; the returned function ends it.
func (r *runningRequests) begin(name string) (end func()) {
	if name == "" {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.names == nil {
		r.names = make(map[string]int)
	}
	r.names[name]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.names[name]--; r.names[name] == 0 {
			delete(r.names, name)
		}
	}
}

func (r *runningRequests) has(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names[name] > 0
}

// nested reports whether a request that runs at the target beside this node made
// the call. Its name tells where the contract has names; otherwise whatever comes
// from the target's address is taken for such a call.
func (d *Runner) nested(r *http.Request) bool {
	separator := d.options.Contract.NestedSeparator
	if separator == "" {
		return d.fromTargetAddress(r)
	}
	name := d.requestID(r)
	at := strings.LastIndex(name, separator)
	return at > 0 && d.running.has(name[:at])
}

func (d *Runner) fromTargetAddress(r *http.Request) bool {
	t := d.target.Load()
	if t == nil || t.Address == "" {
		return false
	}
	caller, err := netip.ParseAddrPort(r.RemoteAddr)
	own, ownErr := netip.ParseAddrPort(t.Address)
	return err == nil && ownErr == nil && caller.Addr() == own.Addr()
}
