package calls

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestOwnGateThatStallsIsTakenForDead keeps the gate of a call's own node from running for longer than the
// silence timeout, as a node without processor time does. The call must not go to another gate, nor be
// given up: its own gate can neither die nor be cut off alone.
func TestOwnGateThatStallsIsTakenForDead(t *testing.T) {
	const stall = time.Second
	for _, path := range []string{"/read/own", "/file/own"} {
		t.Run(path, func(t *testing.T) {
			var runs atomic.Int64
			stalled := func(time.Time, Target) bool {
				time.Sleep(stall)
				return false
			}
			f := newFleet(t, fleetOptions{nodes: 1, settings: shortSilenceTimeout, refusesTarget: stalled}, func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				_, _ = io.WriteString(w, "done")
			})
			method := http.MethodGet
			if path == "/file/own" {
				method = http.MethodPost
			}
			got := f.call(0, method, path, "")
			f.is.Equal(got.status, http.StatusOK)
			f.is.Equal(got.body, "done")
			f.is.Equal(runs.Load(), int64(1))
			f.is.Equal(f.nodes[0].runner.Stats().ConnectionsLost, uint64(0)) // the own gate counts as lost
		})
	}
}
