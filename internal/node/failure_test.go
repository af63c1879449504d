package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
)

// breakableListener accepts until it is broken; then its socket cannot be used.
type breakableListener struct {
	net.Listener
	broken chan struct{}
}

func (l *breakableListener) Accept() (net.Conn, error) {
	<-l.broken
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EINVAL)}
}

// logBuffer is a buffer that the logger writes and the test reads.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// composeTestNode returns a node on its own loopback address that nobody else knows.
func composeTestNode(t *testing.T, logger *logging.Logger) *node {
	is := is.New(t)
	settings := config.Defaults()
	ip := fmt.Sprintf("127.90.%d.%d", os.Getpid()%250+1, time.Now().UnixNano()/1000%250+1)
	settings.Node = config.Node{
		ID: "n-1", Domain: "d",
		CallersAddress: ip + ":8304", AdminAddress: ip + ":7635", ControlAddress: ip + ":7620", CallsAddress: ip + ":8300",
		MemoryBytes: settings.Node.MemoryBytes, Descriptors: settings.Node.Descriptors,
	}
	settings.Platform.URL = "http://" + ip + ":9" // nothing listens here
	settings.Calls.LeaveDelay = 10 * time.Millisecond
	opened, err := listen(context.Background(), settings.Node, logger)
	is.NoErr(err)
	t.Cleanup(opened.close)
	telemetry, err := newTelemetry(settings)
	is.NoErr(err)
	t.Cleanup(telemetry.close)
	return compose(settings, opened, telemetry, defaultAdapter, logger)
}

// TestFailedPartDoesNotCutOffCalls breaks one part of a node while a caller waits for
// its response. The node cannot go on, but the caller gets its response first, and the
// reason is logged before the node stops.
func TestFailedPartDoesNotCutOffCalls(t *testing.T) {
	is := is.New(t)
	var log logBuffer
	n := composeTestNode(t, logging.New(&log, "info", "n-1"))
	admin := &breakableListener{Listener: n.listeners.admin, broken: make(chan struct{})}
	n.listeners.admin = admin
	arrived, proceed := make(chan struct{}), make(chan struct{})
	n.callersServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-proceed
		_, _ = io.WriteString(w, "answer")
	})
	ended := make(chan error, 1)
	go func() { ended <- n.run(context.Background()) }()
	type result struct {
		body string
		err  error
	}
	got := make(chan result, 1)
	go func() {
		response, err := http.Get("http://" + n.listeners.callers.Addr().String())
		if err != nil {
			got <- result{err: err}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		got <- result{string(body), err}
	}()
	<-arrived
	close(admin.broken)
	select {
	case cut := <-got:
		t.Errorf("the caller's connection was closed while its call ran: %v", cut.err)
	case <-time.After(300 * time.Millisecond): // the call still runs
	}
	close(proceed)
	if !t.Failed() {
		answer := <-got
		is.NoErr(answer.err)
		is.Equal(answer.body, "answer")
	}
	is.True((<-ended) != nil) // the process ends with an error
	failed, stopped := strings.Index(log.String(), `"event":110,`), strings.Index(log.String(), `"event":102,`)
	is.True(failed >= 0 && failed < stopped) // the reason is logged, and before the node stops
	is.True(strings.Contains(log.String(), "invalid argument"))
}

// TestAcknowledgementIsNotCutOffAtShutdown lets an announcement arrive just before the
// node has drained: its target must get the acknowledgement, as the node keeps to it.
func TestAcknowledgementIsNotCutOffAtShutdown(t *testing.T) {
	for _, port := range []string{"announcement", "admin"} {
		t.Run(port, func(t *testing.T) {
			is := is.New(t)
			n := composeTestNode(t, logging.Discard())
			calls := n.listeners.calls.Addr().String()
			arrived := make(chan struct{})
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(arrived)
				for { // until the servers are being closed
					conn, err := net.Dial("tcp", calls)
					if err != nil {
						break
					}
					_ = conn.Close()
					time.Sleep(time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(w, "acknowledged")
			})
			address := n.listeners.admin.Addr().String()
			if port == "admin" {
				n.adminServer.Handler = handler
			} else {
				opened, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				n.listeners.announce, n.announceServer = opened, newServer(handler)
				address = opened.Addr().String()
			}
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- n.run(ctx) }()
			got := make(chan string, 1)
			go func() {
				response, err := http.Get("http://" + address)
				if err != nil {
					got <- err.Error()
					return
				}
				defer response.Body.Close()
				body, _ := io.ReadAll(response.Body)
				got <- string(body)
			}()
			<-arrived
			stop()
			is.Equal(<-got, "acknowledged")
			is.NoErr(<-ended)
		})
	}
}

// stubbornListener is a listener that panics when it is closed for the first time.
type stubbornListener struct {
	net.Listener
	closed atomic.Bool
}

func (l *stubbornListener) Close() error {
	if l.closed.CompareAndSwap(false, true) {
		panic("on purpose, at the end of a listener")
	}
	return l.Listener.Close()
}

// TestPanicInDrainCutsOffCalls lets the drain of a planned stop panic while a caller waits for its
// response. The caller gets it, as the other parts of the stop go on.
func TestPanicInDrainCutsOffCalls(t *testing.T) {
	is := is.New(t)
	logger := logging.New(io.Discard, "info", "n-1")
	n := composeTestNode(t, logger)
	address := n.listeners.callers.Addr().String()
	n.listeners.callers = &stubbornListener{Listener: n.listeners.callers}
	arrived := make(chan struct{})
	n.callersServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		for begun := time.Now(); logger.Panics() == 0 && time.Since(begun) < time.Minute; time.Sleep(time.Millisecond) {
		}
		_, _ = io.WriteString(w, "answer")
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.run(ctx) }()
	go func() {
		<-arrived
		stop()
	}()
	response, err := http.Get("http://" + address)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(string(body), "answer")
	<-ended
	is.True(logger.Panics() > 0)
}
