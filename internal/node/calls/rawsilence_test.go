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

	"jasminegate/internal/protocol/headers"
)

// TestWaitsOnAfterBytesOfNoResponse lets a target send a few bytes that cannot begin a
// response and then nothing: the call must end at once, not at its deadline.
func TestWaitsOnAfterBytesOfNoResponse(t *testing.T) {
	for _, text := range []string{"\x16\x03", "garbage", "HTTPS", "\r", "http/1.1"} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, fleetOptions{nodes: 1, slots: hostileConnections, settings: hostileSettings}, echo)
			raw := newRawTarget(t, func(conn net.Conn, request *http.Request) bool {
				for i := range len(text) {
					if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
						return false
					}
					time.Sleep(time.Millisecond)
				}
				_, _ = conn.Read(make([]byte, 1)) // until the other side closes
				return false
			})
			raw.useAsTarget(f.nodes[0], hostileConnections)
			start := time.Now()
			var group sync.WaitGroup
			for range 10 {
				group.Go(func() {
					got := f.call(0, "POST", "/file", "body")
					if got.status != http.StatusGatewayTimeout || got.header.Get(headers.Outcome) != "outcome-unknown" {
						t.Errorf("status %d, error %v", got.status, got.err)
					}
				})
			}
			group.Wait()
			t.Logf("took %v", time.Since(start))
			is.True(time.Since(start) < certainWithin)
			f.waitFor("the connections are closed", func() bool { return raw.open.Load() == 0 })
			is.Equal(raw.requests.Load(), int64(10))
		})
	}
}

// TestBytesOfNoResponseRepeatCall lets a target answer the second request of each
// connection by bytes that are no response: the HTTP client must not send an idempotent
// call again by itself, over one idle connection after the other.
func TestBytesOfNoResponseRepeatCall(t *testing.T) {
	const idle = 8
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1, slots: hostileConnections, settings: hostileSettings}, echo)
	var conns sync.Map
	var accepted atomic.Int64
	allArrived := newBarrier(idle)
	raw := newRawTarget(t, func(conn net.Conn, request *http.Request) bool {
		if _, used := conns.LoadOrStore(conn, nil); used {
			_, _ = io.WriteString(conn, "garbage")
			_, _ = conn.Read(make([]byte, 1)) // until the other side closes
			return false
		}
		if accepted.Add(1) <= idle {
			allArrived.wait() // so that each call has a connection of its own
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headers.CallID+": "+request.Header.Get(headers.CallID)+"\r\nContent-Length: 4\r\n\r\nbody")
		return err == nil
	})
	raw.useAsTarget(f.nodes[0], hostileConnections)
	var group sync.WaitGroup
	for range idle {
		group.Go(func() { f.call(0, "GET", "/read", "") })
	}
	group.Wait()
	is.Equal(raw.requests.Load(), int64(idle))
	got := f.call(0, "GET", "/read", "")
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.Equal(raw.requests.Load(), int64(idle+1)) // requests at the target
}
