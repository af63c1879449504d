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

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/membership"
)

const (
	// brokenOffUpload is the size of a request whose target responds before it has read it.
	brokenOffUpload = 8 << 20
	// brokenOffTries is how often each case is played: whether the reader or the writer of a
	// connection learns of its reset is chance.
	brokenOffTries = 8
)

// useHeadTarget makes a target of the node that gives each connection with the head of a request to
// respond, without reading the body.
func useHeadTarget(t *testing.T, n *fleetNode, respond func(conn *net.TCPConn, head string)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReaderSize(conn, 1)
				head := ""
				for !strings.HasSuffix(head, "\r\n\r\n") {
					line, err := reader.ReadString('\n')
					if err != nil {
						return
					}
					head += line
				}
				respond(conn.(*net.TCPConn), head)
			}()
		}
	}()
	n.runner.SetTarget(Target{Service: "depot", Slots: 8, Connections: hostileConnections, Address: listener.Addr().String(), State: membership.TargetReady})
}

func brokenOffSettings(settings *config.Calls) {
	settings.FixedLimit = true
	settings.BufferBytes = 64 << 10
	settings.MaxBodyBytes = 2 * brokenOffUpload
}

// TestResetDuringUploadLooksComplete lets a target respond at once to a long upload, without a
// length, and reset the connection while the upload is being written. No caller may get the part of
// the body that was sent as a whole one.
func TestResetDuringUploadLooksComplete(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error"} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %t", status, remote), func(t *testing.T) {
				f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote, settings: brokenOffSettings}, echo)
				for _, n := range f.nodes {
					useHeadTarget(t, n, func(conn *net.TCPConn, _ string) {
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nX-A: b\r\n\r\n"+strings.Repeat("p", 2000))
						time.Sleep(20 * time.Millisecond)
						_ = conn.SetLinger(0)
					})
				}
				for range brokenOffTries {
					got := f.call(0, "POST", "/file", strings.Repeat("u", brokenOffUpload))
					if got.err == nil && strings.HasPrefix(got.body, "p") {
						t.Errorf("status %d and %d bytes look complete", got.status, len(got.body))
					}
				}
			})
		}
	}
}

// TestResponseThatEndsWithItsConnection lets a target read the whole request, respond without a
// length and close the connection: the response is whole.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1, settings: brokenOffSettings}, echo)
	body := strings.Repeat("p", 100<<10)
	raw := newRawTarget(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"+body)
		return false
	})
	raw.useAsTarget(f.nodes[0], 8)
	for i := range 40 {
		got := f.call(0, "POST", "/file", strings.Repeat("u", i*20<<10))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, body)
	}
}
