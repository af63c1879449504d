package processtest

import (
	"net/http"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
)

// TestCallOfCallerThatLeftRunsAfterAPause pauses the entry or the gate, lets callers send and leave, and
// resumes the node once they have been gone for longer than cancelBound: no target may run the calls.
func TestCallOfCallerThatLeftRunsAfterAPause(t *testing.T) {
	h := startCallersHarness(t, nil)
	gate, entry := h.Nodes[0], h.Nodes[1]
	for name, paused := range map[string]*fleet.Node{"entry": entry, "gate": gate} {
		t.Run(name, func(t *testing.T) {
			warm := rawRequest{id: h.nextID("warm"), method: http.MethodGet, uri: "/riders/1?bytes=2000&service_ms=1"}
			if err := halfClosedRequest(entry, warm, halfCloseDelay); err != nil {
				t.Fatal(err)
			}
			h.must(paused.Process().Pause())
			var ids []string
			for range 10 {
				request := rawRequest{id: h.nextID("late"), method: http.MethodGet, uri: "/riders/1?service_ms=1"}
				ids = append(ids, request.id)
				caller := h.dialCaller(entry)
				h.must(caller.send(request))
				defer caller.conn.Close()
				time.AfterFunc(halfCloseDelay, func() { _ = caller.conn.Close() })
			}
			time.Sleep(halfCloseDelay + 2*cancelBound)
			h.must(paused.Process().Resume())
			time.Sleep(2 * cancelBound) // what was held up has arrived
			for _, id := range ids {
				if record := h.records()[id]; record.Count > 0 {
					t.Errorf("%s ran: %+v", id, record)
				}
			}
		})
	}
}
