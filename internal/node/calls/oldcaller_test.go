package calls

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/transport/callerconn"
)

// TestBrokenOffResponseToOldCaller lets a target break off a chunked response of which a part has
// been passed on to a caller of HTTP/1.0. It gets no length, and must not get the part as a whole.
func TestBrokenOffResponseToOldCaller(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1, settings: brokenOffSettings}, echo)
	chunk := strings.Repeat("p", 32<<10)
	newRawTarget(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 8 {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		time.Sleep(50 * time.Millisecond) // the node passes on what it has
		return false
	}).useAsTarget(f.nodes[0], 8)
	tracker := callerconn.NewTracker(func() callerconn.Limits { return callerconn.Limits{Header: testTimeout, Idle: testTimeout} })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: f.nodes[0].runner.CallersHandler()}
	tracker.Configure(server)
	go func() { _ = server.Serve(tracker.Listen(listener)) }()
	defer server.Close()
	for range brokenOffTries {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
		_, err = io.WriteString(conn, "GET /read HTTP/1.0\r\nHost: a.example\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue // the reset came before the head was read
		}
		data, err := io.ReadAll(response.Body)
		if err == nil && response.StatusCode == http.StatusOK {
			t.Errorf("%d bytes of a response that was broken off look complete", len(data))
		}
	}
}
