package calls

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasminegate/internal/protocol/headers"
)

// TestDiscardCutsOtherCall lets a target answer some calls by responses without a body
// that belong to another call. Their connections are in the pool again by the time they
// are given up, and may have been taken for other calls, which must be answered.
func TestDiscardCutsOtherCall(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1, slots: hostileConnections, settings: hostileSettings}, echo)
	raw := newRawTarget(t, func(conn net.Conn, request *http.Request) bool {
		id := request.Header.Get(headers.CallID)
		if request.URL.Path == "/file/wrong" {
			id = "another"
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headers.CallID+": "+id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	raw.useAsTarget(f.nodes[0], hostileConnections)
	var right, cut atomic.Int64
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			for start := time.Now(); time.Since(start) < 2*time.Second; {
				if i%2 == 0 {
					f.call(0, "POST", "/file/wrong", "body")
					continue
				}
				right.Add(1)
				if got := f.call(0, "POST", "/file/right", "body"); got.status != http.StatusOK {
					cut.Add(1)
				}
			}
		})
	}
	group.Wait()
	if cut.Load() > 0 {
		t.Errorf("%d of %d calls that the target answered got no response", cut.Load(), right.Load())
	}
	t.Logf("%d calls, %d connections", right.Load(), raw.accepted.Load())
}

// TestCloseOfIdleConnectionsCutsCall closes the idle connections to the target again and
// again, as a changed announcement and a missed deadline do, while calls run: all must be
// answered.
func TestCloseOfIdleConnectionsCutsCall(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1, slots: hostileConnections, settings: hostileSettings}, echo)
	done := make(chan struct{})
	var closing, group sync.WaitGroup
	closing.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				f.nodes[0].runner.target.Load().conns.closeIdle()
			}
		}
	})
	var cut, all atomic.Int64
	for i := range 16 {
		path := []string{"/file", "/read"}[i%2]
		group.Go(func() {
			for start := time.Now(); time.Since(start) < 2*time.Second; {
				all.Add(1)
				if got := f.call(0, "POST", path, "body"); got.status != http.StatusCreated {
					cut.Add(1)
				}
			}
		})
	}
	group.Wait()
	close(done)
	closing.Wait()
	if cut.Load() > 0 {
		t.Errorf("%d of %d calls got no response", cut.Load(), all.Load())
	}
	t.Logf("%d calls", all.Load())
}
