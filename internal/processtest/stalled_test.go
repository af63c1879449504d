package processtest

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"jasminegate/internal/logging"
	"jasminegate/internal/standin/load"
)

// TestStalledEntryKeepsItsCalls pauses an entry for longer than the silence timeout while
// gates run its calls and send heartbeats. The frames are there when it continues: it
// must not take the gates for silent, which would run the idempotent calls again.
func TestStalledEntryKeepsItsCalls(t *testing.T) {
	h := startHarness(t, fleetPlan(2))
	entry := h.Nodes[1] // of another service than the calls
	const stalls, perStall = 4, 4
	for stall := range stalls {
		reports := make(chan *load.Report, 1)
		go func() {
			reports <- h.sendCalls(perStall*time.Second/loadRate, 1, func(i int) load.Call {
				return load.Call{
					ID: fmt.Sprintf("stall%d-%d", stall, i), Method: http.MethodGet, Group: groupReads, Timeout: callTimeout,
					URI: fmt.Sprintf("/riders/%d?service_ms=1500", i),
				}
			}, entry.CallersAddress)
		}()
		time.Sleep(400 * time.Millisecond) // the calls run
		h.must(entry.Process().Pause())
		time.Sleep(700 * time.Millisecond)
		h.must(entry.Process().Resume())
		h.checkAllAnswered(<-reports)
	}
	log, err := os.ReadFile(filepath.Join(h.Dir(), entry.ID+".log"))
	h.must(err)
	if lost := bytes.Count(log, fmt.Appendf(nil, `"event":%d,`, logging.PeerConnectionsDropped.Code)); lost > 0 {
		t.Errorf("the entry took gates for silent that had sent heartbeats: %d of %d calls", lost, stalls*perStall)
	}
}
