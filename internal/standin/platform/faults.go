package platform

import (
	"net/http"
	"time"
)

// injectFaults injects the faults of the current mode. It returns false if the
// request has ended. The request's body must have been read before, because
// net/http detects a client's disconnect only then.
func (p *Platform) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	mode := p.Mode()
	if mode.Silent {
		<-r.Context().Done()
		return false
	}
	if !sleep(r, time.Duration(mode.SlowMS)*time.Millisecond) {
		return false
	}
	if mode.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// sleep waits for delay and returns false if the client disconnects first.
func sleep(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
