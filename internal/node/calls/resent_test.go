package calls

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/protocol/headers"
)

// TestLostResponseIsResentOverEachKeptConnection sends one idempotent call to a target that has
// kept connections and then breaks one at each request, before the first byte of the response. The
// target may get it once more: a connection that was kept may have been given up before.
func TestLostResponseIsResentOverEachKeptConnection(t *testing.T) {
	const kept = 8
	for _, row := range []struct{ method, key string }{{"GET", ""}, {"HEAD", ""}, {"OPTIONS", ""}, {"TRACE", ""}, {"DELETE", ""}, {"GET", "k"}, {"POST", "k"}} {
		t.Run(row.method+row.key, func(t *testing.T) {
			t.Parallel()
			var breaks atomic.Bool
			var together sync.WaitGroup
			together.Add(kept)
			target := newRawTarget(t, func(conn net.Conn, request *http.Request) bool {
				if request.ContentLength != 0 || len(request.TransferEncoding) > 0 {
					t.Errorf("length %d, transfer encoding %v", request.ContentLength, request.TransferEncoding)
				}
				if breaks.Load() {
					_ = conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				together.Done()
				together.Wait()
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headers.CallID+": "+request.Header.Get(headers.CallID)+"\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			})
			f := newFleet(t, fleetOptions{nodes: 1, slots: hostileConnections}, echo)
			target.useAsTarget(f.nodes[0], hostileConnections)
			var group sync.WaitGroup
			for range kept {
				group.Go(func() { f.call(0, "GET", "/read", "") })
			}
			group.Wait()
			breaks.Store(true)
			before := target.requests.Load()
			var more []string
			if row.key != "" {
				f.waitForKeyedCalls()
				more = []string{headers.IdempotencyKey, row.key}
			}
			f.call(0, row.method, "/read", "", more...)
			if got := target.requests.Load() - before; got < 1 || got > 2 {
				t.Errorf("the target got the call %d times", got)
			}
		})
	}
}

// TestResentCallIsSaidNotToHaveRun runs a call over a kept connection that breaks without a response;
// the target refuses it when it comes again. The call may have run.
func TestResentCallIsSaidNotToHaveRun(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	target := newRawTarget(t, func(conn net.Conn, request *http.Request) bool {
		head := "HTTP/1.1 200 OK\r\nX-Seal: 1\r\n"
		switch requests.Add(1) {
		case 2:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		case 3:
			head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
		}
		_, err := io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
		return err == nil
	})
	f := newFleet(t, fleetOptions{nodes: 1, slots: hostileConnections, contract: headers.Contract{NotRun: "X-Not-Run", ResponseSeal: "X-Seal"}}, echo)
	target.useAsTarget(f.nodes[0], hostileConnections)
	is.Equal(f.call(0, "GET", "/read", "").status, http.StatusOK)
	time.Sleep(2 * recentUse) // the connection counts as idle
	is.Equal(f.call(0, "GET", "/read", "").status, http.StatusGatewayTimeout)
	is.Equal(requests.Load(), int64(3))
}

// TestCallIsResentBeyondBudget breaks an idle connection at a gate that may repeat nothing: the target
// gets the call once.
func TestCallIsResentBeyondBudget(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	target := newRawTarget(t, func(conn net.Conn, request *http.Request) bool {
		if requests.Add(1) > 1 {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	settings := func(s *config.Calls) { s.RetryRatio, s.RetryWindow = 0, time.Minute }
	f := newFleet(t, fleetOptions{nodes: 1, slots: hostileConnections, settings: settings}, echo)
	target.useAsTarget(f.nodes[0], hostileConnections)
	is.Equal(f.call(0, "GET", "/read", "").status, http.StatusOK)
	time.Sleep(2 * recentUse) // the connection counts as idle
	is.Equal(f.call(0, "GET", "/read", "").status, http.StatusGatewayTimeout)
	is.Equal(requests.Load(), int64(2))
}

// TestCallIsResentOverConnectionJustUsed breaks a connection at its second request, right after the
// first: the target has not given it up as idle, and gets that request once.
func TestCallIsResentOverConnectionJustUsed(t *testing.T) {
	is := is.New(t)
	var used sync.Map
	target := newRawTarget(t, func(conn net.Conn, request *http.Request) bool {
		if _, second := used.LoadOrStore(conn, nil); second {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	f := newFleet(t, fleetOptions{nodes: 1, slots: hostileConnections}, echo)
	target.useAsTarget(f.nodes[0], hostileConnections)
	for range 50 {
		began := time.Now()
		is.Equal(f.call(0, "GET", "/read", "").status, http.StatusOK)
		before := target.requests.Load()
		status := f.call(0, "GET", "/read", "").status
		if time.Since(began) < recentUse {
			is.Equal(status, http.StatusGatewayTimeout)
			is.Equal(target.requests.Load(), before+1)
			return
		}
	}
	t.Error("no two calls were close enough together")
}
