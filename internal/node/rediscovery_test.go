package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
	"jasminegate/internal/state"
)

// healthCheckNode returns a node whose target is at the address.
func healthCheckNode(address string) *node {
	n := &node{logger: logging.Discard(), settings: config.Defaults()}
	n.settings.Node.TargetAddress = address
	return n
}

// TestHealthCheckReadsEndlessHead lets a target respond to a health check with header
// lines without end: the check must end early, having read little.
func TestHealthCheckReadsEndlessHead(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	written := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
		sent, lines := 0, []byte(strings.Repeat("a:\r\n", 1024))
		for err == nil {
			var n int
			n, err = conn.Write(lines)
			sent += n
			time.Sleep(100 * time.Microsecond) // so that few bytes wait in buffers
		}
		written <- sent
	}()
	n := healthCheckNode(listener.Addr().String())
	_, _, health := n.checkHealth(context.Background(), newHealthClient(), state.Service{Name: "depot", HealthPath: "/health"})
	is.Equal(health, targetUnreachable)
	sent := <-written
	t.Logf("%d KiB were sent", sent>>10)
	is.True(sent < 1<<20)
}

// TestHealthCheckFollowsRedirect lets a target redirect a health check to another server,
// whose health says nothing about the target's.
func TestHealthCheckFollowsRedirect(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	defer other.Close()
	target := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusFound))
	defer target.Close()
	n := healthCheckNode(target.Listener.Addr().String())
	_, _, health := n.checkHealth(context.Background(), newHealthClient(), state.Service{Name: "depot", HealthPath: "/health"})
	is.Equal(health, targetHealthUnknown)
	is.Equal(asked.Load(), int64(0)) // requests at the other server
}
