package calls

import (
	"sync"

	"jasminegate/internal/coordination/gate"
)

// lossWeight is the weight of one run in the share of lost ones.
const lossWeight = 1.0 / 8

// targetLosses is the share of the target's recent runs that ended without a whole response.
type targetLosses struct {
	mu    sync.Mutex
	share float64
}

// observe notes the end of a run. One that the target did not run, or that was ended from outside,
// says nothing.
func (l *targetLosses) observe(result gate.Result) {
	lost := 0.0
	switch result {
	case gate.Completed, gate.Shed:
	case gate.Failed:
		lost = 1
	default:
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share += (lost - l.share) * lossWeight
}

// reset forgets the runs, as those of an earlier process of the target.
func (l *targetLosses) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = 0
}

func (l *targetLosses) percent() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint32(100 * l.share)
}
