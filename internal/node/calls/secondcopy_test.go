package calls

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/headers"
)

// repeatingTarget serves HTTP and repeats its previous response on a connection, late,
// as soon as the next request has come in on it. Each response echoes the call's ID.
func repeatingTarget(t *testing.T, repeats *atomic.Int64) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		requests := bufio.NewReader(conn)
		previous := ""
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if previous != "" {
				repeats.Add(1)
				if _, err := conn.Write([]byte(previous)); err != nil {
					return
				}
			}
			body := "answer to " + request.URL.Path
			previous = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headers.CallID, request.Header.Get(headers.CallID), len(body), body)
			if _, err := conn.Write([]byte(previous)); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener
}

// TestSecondCopyOfAnswerReachesNextCaller lets a target that echoes the IDs of calls
// repeat its response late, on a connection that is in use again: the next caller must
// not get it.
func TestSecondCopyOfAnswerReachesNextCaller(t *testing.T) {
	is := is.New(t)
	var repeats atomic.Int64
	listener := repeatingTarget(t, &repeats)
	f := newFleet(t, fleetOptions{nodes: 1}, echo)
	f.nodes[0].runner.SetTarget(Target{Service: "depot", Slots: 8, Connections: 40, Address: listener.Addr().String(), State: membership.TargetReady})
	for i := range 20 {
		path := fmt.Sprintf("/read/%d", i)
		got := f.call(0, "GET", path, "")
		if got.status == http.StatusOK {
			is.Equal(got.body, "answer to "+path)
		}
	}
	is.True(repeats.Load() > 0) // no connection was in use again
}
