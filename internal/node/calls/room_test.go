package calls

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/resources"
	"jasminegate/internal/transport/callerconn"
	"jasminegate/internal/transport/reservation"
)

// startLimitedCallers serves the node's callers with an account, and returns the address.
func startLimitedCallers(t *testing.T, n *fleetNode, limits resources.Limits) string {
	t.Helper()
	account := reservation.NewAccount(limits)
	n.runner.options.Account = account
	tracker := callerconn.NewTracker(func() callerconn.Limits { return callerconn.Limits{Header: testTimeout, Idle: testTimeout} })
	tracker.LimitResources(account, n.runner.RespondUnparsed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: n.runner.CallersHandler()}
	tracker.Configure(server)
	go func() { _ = server.Serve(tracker.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// dialCallers opens a connection and writes the text.
func dialCallers(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, text)
	is.NoErr(err)
	return conn, bufio.NewReader(conn)
}

func readResponse(t *testing.T, reader *bufio.Reader) (status int, header http.Header) {
	t.Helper()
	is := is.New(t)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	return response.StatusCode, response.Header
}

// TestRequestInWorkIsNotBrokenOffForRoom lets a request run for longer than one that arrives may
// hold its connection, also one that was started before its turn, while other callers find no room.
func TestRequestInWorkIsNotBrokenOffForRoom(t *testing.T) {
	for name, requests := range map[string][]string{
		"alone":     {"/read/slow"},
		"pipelined": {"/read/fast", "/read/slow"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			running, proceed := make(chan struct{}, 1), make(chan struct{})
			f := newFleet(t, fleetOptions{nodes: 1}, func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "slow") {
					running <- struct{}{}
					<-proceed
				}
			})
			address := startLimitedCallers(t, f.nodes[0], resources.Limits{Bytes: 16 << 20, Connections: 1})
			text := ""
			for _, path := range requests {
				text += "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
			}
			conn, working := dialCallers(t, address, text)
			<-running
			for range len(requests) - 1 {
				status, _ := readResponse(t, working)
				is.Equal(status, http.StatusOK)
			}
			for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; {
				_, refused := dialCallers(t, address, "")
				status, header := readResponse(t, refused)
				is.Equal(status, http.StatusServiceUnavailable)
				is.Equal(header.Get("Jasminegate-Outcome"), "not-run")
				is.True(header.Get("Retry-After") != "")
				time.Sleep(100 * time.Millisecond)
			}
			close(proceed)
			status, _ := readResponse(t, working)
			is.Equal(status, http.StatusOK)
			_, err := io.WriteString(conn, "GET /read/fast HTTP/1.1\r\nHost: a.example\r\n\r\n")
			is.NoErr(err)
			status, _ = readResponse(t, working) // the connection was not ended either
			is.Equal(status, http.StatusOK)
		})
	}
}

// TestBodyWithoutRoomIsRefusedAtOnce sends a part of a large body to a node whose memory another
// caller's body takes. The refusal does not wait for the rest, says that the call was not run, and
// small requests are still served.
func TestBodyWithoutRoomIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	running, proceed := make(chan struct{}, 1), make(chan struct{})
	f := newFleet(t, fleetOptions{nodes: 1, settings: hostileSettings}, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "slow") {
			running <- struct{}{}
			<-proceed
		}
	})
	address := startLimitedCallers(t, f.nodes[0], resources.Limits{Bytes: 1 << 20, Connections: 10})
	const length = "Content-Length: 200000\r\n\r\n"
	body := strings.Repeat("b", 200000)
	_, working := dialCallers(t, address, "POST /file/slow HTTP/1.1\r\nHost: a.example\r\n"+length+body)
	<-running
	_, refused := dialCallers(t, address, "POST /file/1 HTTP/1.1\r\nHost: a.example\r\n"+length+body[:199999])
	status, header := readResponse(t, refused)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get("Jasminegate-Outcome"), "not-run")
	_, small := dialCallers(t, address, "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n")
	status, _ = readResponse(t, small)
	is.Equal(status, http.StatusOK)
	close(proceed)
	status, _ = readResponse(t, working)
	is.Equal(status, http.StatusOK)
}

// TestRecordKeepsNoRequest checks what the record of a finished call that must not run again keeps.
func TestRecordKeepsNoRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1}, echo)
	n := f.nodes[0]
	got := f.call(0, "POST", "/file", "body")
	is.Equal(got.status, http.StatusCreated)
	f.waitFor("the stream has ended", func() bool { return n.runner.activeStreams.Load() == 0 && n.runner.gate.load.Load() == 0 })
	n.stop()
	is.Equal(len(n.runner.gate.calls), 1)
	for _, c := range n.runner.gate.calls {
		is.Equal(len(c.buffered), 0)
		is.Equal(len(c.start.Headers), 0)
	}
}
