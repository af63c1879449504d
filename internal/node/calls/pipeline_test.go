package calls

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"jasminegate/internal/protocol/headers"
)

// pipelineTarget is a target whose requests run until they are released. It responds with the
// request's path.
type pipelineTarget struct {
	mu      sync.Mutex
	started []string
	release map[string]chan struct{}
	// ended counts the requests whose connection was closed while they ran.
	ended atomic.Int64
}

func newPipelineTarget() *pipelineTarget {
	return &pipelineTarget{release: make(map[string]chan struct{})}
}

func (p *pipelineTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.started = append(p.started, r.URL.Path)
	p.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-p.gate(r.URL.Path):
	case <-r.Context().Done():
		p.ended.Add(1)
		return
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// gate returns the channel that is closed when requests for the path are released.
func (p *pipelineTarget) gate(path string) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.release[path] == nil {
		p.release[path] = make(chan struct{})
	}
	return p.release[path]
}

func (p *pipelineTarget) finish(paths ...string) {
	for _, path := range paths {
		close(p.gate(path))
	}
}

func (p *pipelineTarget) running() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.started...)
}

// pipelineCaller is a caller that sends requests before earlier ones are answered.
type pipelineCaller struct {
	*is.I
	conn      net.Conn
	responses *bufio.Reader
}

// newPipeline starts a node whose callers' connections are those of the product, and a caller.
func newPipeline(t *testing.T, target http.HandlerFunc) (*fleet, *pipelineCaller) {
	f := newFleet(t, fleetOptions{nodes: 1, slots: 40}, target)
	f.serveCallers(0)
	return f, f.dialCaller()
}

func (f *fleet) dialCaller() *pipelineCaller {
	conn, err := net.Dial("tcp", f.nodes[0].callers.Listener.Addr().String())
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close() })
	f.is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	return &pipelineCaller{f.is, conn, bufio.NewReader(conn)}
}

func get(path string, header ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" + strings.Join(append(header, ""), "\r\n") + "\r\n"
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func (p *pipelineCaller) send(requests ...string) {
	_, err := io.WriteString(p.conn, strings.Join(requests, ""))
	p.NoErr(err)
}

// receive returns the next response.
func (p *pipelineCaller) receive() callResult {
	response, err := http.ReadResponse(p.responses, nil)
	if err != nil {
		return callResult{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), close: response.Close, err: err}
}

// expect checks that the next responses are those to the paths, in their order.
func (p *pipelineCaller) expect(paths ...string) {
	for _, path := range paths {
		got := p.receive()
		p.NoErr(got.err)
		p.Equal(got.status, http.StatusOK)
		p.Equal(got.body, path)
	}
}

// expectClosed checks that no further response comes.
func (p *pipelineCaller) expectClosed() {
	_, err := p.responses.ReadByte()
	p.True(err != nil)
}

// TestPipelinedRequestWaitsForRunBeforeIt sends requests together. They run side by side, and
// are answered in their order although they end in the reverse one.
func TestPipelinedRequestWaitsForRunBeforeIt(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	caller.send(get("/read/0"), get("/read/1"), get("/read/2"), get("/read/3"))
	f.waitFor("all run", func() bool { return len(target.running()) == 4 })
	target.finish("/read/3", "/read/2", "/read/1")
	time.Sleep(50 * time.Millisecond) // the later responses arrive first
	target.finish("/read/0")
	caller.expect("/read/0", "/read/1", "/read/2", "/read/3")
	target.finish("/read/4")
	caller.send(get("/read/4"))
	caller.expect("/read/4")
}

// TestPipelinedRequestArrivesLater sends a request while the one before it runs, and another
// one while the second waits for its turn.
func TestPipelinedRequestArrivesLater(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	for i := range 3 {
		caller.send(get(fmt.Sprint("/read/", i)))
		f.waitFor("it runs", func() bool { return len(target.running()) == i+1 })
	}
	target.finish("/read/0")
	caller.expect("/read/0")
	caller.send(get("/read/3"))
	f.waitFor("the last one runs", func() bool { return len(target.running()) == 4 })
	target.finish("/read/1", "/read/2", "/read/3")
	caller.expect("/read/1", "/read/2", "/read/3")
}

// TestPipelinedNonIdempotentRequestRunsAlone checks that nothing is run behind a request that
// is not idempotent, nor such a request behind another one, before the earlier is answered.
func TestPipelinedNonIdempotentRequestRunsAlone(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	caller.send(get("/read/0"), post("/file/1", "b"), get("/read/2"), get("/read/3"))
	for i, path := range []string{"/read/0", "/file/1"} {
		f.waitFor("it runs", func() bool { return len(target.running()) == i+1 })
		time.Sleep(50 * time.Millisecond)
		caller.Equal(len(target.running()), i+1)
		target.finish(path)
		caller.expect(path)
	}
	f.waitFor("the rest runs", func() bool { return len(target.running()) == 4 })
	target.finish("/read/2", "/read/3")
	caller.expect("/read/2", "/read/3")
}

// TestPipelinedDeadlineCountsFromArrival lets a request wait for its turn until its deadline.
// It is refused as not run, and does not reach the target.
func TestPipelinedDeadlineCountsFromArrival(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	caller.send(post("/file/0", "b"), get("/read/1", headers.Timeout+": 100"), get("/read/2", headers.Timeout+": 20000"))
	f.waitFor("the first one runs", func() bool { return len(target.running()) == 1 })
	time.Sleep(150 * time.Millisecond)
	target.finish("/file/0", "/read/2")
	caller.expect("/file/0")
	got := caller.receive()
	caller.Equal(got.status, http.StatusServiceUnavailable)
	caller.Equal(got.header.Get(headers.Outcome), "not-run")
	caller.expect("/read/2")
	caller.Equal(target.running(), []string{"/file/0", "/read/2"})
}

// TestPipelinedTimeLeftCountsFromArrival checks the time that the target is given.
func TestPipelinedTimeLeftCountsFromArrival(t *testing.T) {
	const waited = 200
	var given atomic.Int64
	first := make(chan struct{})
	_, caller := newPipeline(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/file/0" {
			<-first
			return
		}
		ms, _ := strconv.ParseInt(r.Header.Get(headers.Timeout), 10, 64)
		given.Store(ms)
	})
	caller.send(post("/file/0", "b"), get("/read/1", headers.Timeout+": 5000"))
	time.Sleep(waited * time.Millisecond)
	close(first)
	caller.Equal(caller.receive().status, http.StatusOK)
	caller.Equal(caller.receive().status, http.StatusOK)
	caller.True(given.Load() > 0 && given.Load() <= 5000-waited)
}

// TestPipelinedRequestsAreBounded checks how many requests of a connection run before the first
// one is answered.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	const sent = 30
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	var paths []string
	for i := range sent {
		paths = append(paths, fmt.Sprint("/read/", i))
		caller.send(get(paths[i]))
	}
	f.waitFor("some run", func() bool { return len(target.running()) == 9 })
	time.Sleep(50 * time.Millisecond)
	caller.Equal(len(target.running()), 9) // the first one and eight before their turn
	target.finish(paths...)
	caller.expect(paths...)
}

// TestNodeBoundsRequestsBeforeTheirTurn uses up the node's bound.
func TestNodeBoundsRequestsBeforeTheirTurn(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	runner := f.nodes[0].runner
	caller.True(runner.aheadSlots.TryAcquire(maxAheadRequests - 1))
	caller.send(get("/read/0"), get("/read/1"), get("/read/2"))
	f.waitFor("two run", func() bool { return len(target.running()) == 2 })
	time.Sleep(50 * time.Millisecond)
	caller.Equal(len(target.running()), 2)
	target.finish("/read/0", "/read/1", "/read/2")
	caller.expect("/read/0", "/read/1", "/read/2")
	f.waitFor("the slot is free", func() bool { return runner.aheadSlots.TryAcquire(1) })
}

// TestPlannedStopCutsOffPipelinedRequests stops a node while pipelined requests run. Each one
// that reached the target is answered; the last answer closes the connection, and what was sent
// after the stop has not run.
func TestPlannedStopCutsOffPipelinedRequests(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	caller.send(get("/read/0"), get("/read/1"), get("/read/2"))
	f.waitFor("all run", func() bool { return len(target.running()) == 3 })
	f.nodes[0].runner.DisableKeepAlives()
	caller.send(get("/read/3"))
	time.Sleep(50 * time.Millisecond)
	target.finish("/read/0", "/read/1", "/read/2")
	for i := range 3 {
		got := caller.receive()
		caller.NoErr(got.err)
		caller.Equal(got.body, fmt.Sprint("/read/", i))
		caller.Equal(got.close, i == 2)
	}
	caller.expectClosed()
	caller.Equal(len(target.running()), 3)
}

// TestResetLeavesPipelinedRequestsRunning resets a connection with requests in work: all of them
// end at the target.
func TestResetLeavesPipelinedRequestsRunning(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	caller.send(get("/read/0"), get("/read/1"), get("/read/2"))
	f.waitFor("all run", func() bool { return len(target.running()) == 3 })
	caller.NoErr(caller.conn.(*net.TCPConn).SetLinger(0))
	caller.NoErr(caller.conn.Close())
	f.waitFor("all end", func() bool { return target.ended.Load() == 3 })
	runner := f.nodes[0].runner
	f.waitFor("the slots are free", func() bool { return runner.aheadSlots.TryAcquire(maxAheadRequests) })
}

// TestHalfCloseWithPipelinedRequests closes the sending side while requests run. A caller that
// left looks the same, so those that run on for longer than the grace time are cancelled; the
// others are answered.
func TestHalfCloseWithPipelinedRequests(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	caller.send(get("/read/0"), get("/read/1"), get("/read/2"))
	f.waitFor("all run", func() bool { return len(target.running()) == 3 })
	caller.NoErr(caller.conn.(*net.TCPConn).CloseWrite())
	target.finish("/read/0", "/read/1")
	caller.expect("/read/0", "/read/1")
	f.waitFor("the last one ends", func() bool { return target.ended.Load() == 1 })
	caller.Equal(caller.receive().status, http.StatusGatewayTimeout)
	caller.expectClosed()
}

// TestHalfCloseInTurnOfPipelinedRequest closes the sending side once the turn of a request has
// come that was started before.
func TestHalfCloseInTurnOfPipelinedRequest(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	caller.send(get("/read/0"), get("/read/1"))
	f.waitFor("both run", func() bool { return len(target.running()) == 2 })
	target.finish("/read/0")
	caller.expect("/read/0")
	time.Sleep(50 * time.Millisecond) // the turn of the second one has come
	caller.NoErr(caller.conn.(*net.TCPConn).CloseWrite())
	f.waitFor("it ends", func() bool { return target.ended.Load() == 1 })
	caller.Equal(caller.receive().status, http.StatusGatewayTimeout)
	caller.expectClosed()
}

// TestMalformedRequestBehindRunningOne checks that the first one is answered, and what follows
// is refused.
func TestMalformedRequestBehindRunningOne(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	caller.send(get("/read/0"), "GET /read/1 HTTP/1.1\r\nHost a.example\r\n\r\n", get("/read/2"))
	f.waitFor("the first one runs", func() bool { return len(target.running()) == 1 })
	target.finish("/read/0")
	caller.expect("/read/0")
	got := caller.receive()
	caller.Equal(got.status, http.StatusBadRequest)
	caller.True(got.close)
	caller.Equal(len(target.running()), 1)
}

// TestRefusedAndFailedRequestsAmongPipelinedOnes checks that each request gets its own answer.
func TestRefusedAndFailedRequestsAmongPipelinedOnes(t *testing.T) {
	_, caller := newPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/read/fails":
			w.WriteHeader(http.StatusInternalServerError)
		case "/read/breaks":
			panic(http.ErrAbortHandler)
		default:
			_, _ = io.WriteString(w, r.URL.Path)
		}
	})
	caller.send(get("/read/0"), get("/none"), get("/read/1"), get("/read/fails"), get("/read/breaks"), get("/read/2"))
	caller.expect("/read/0")
	caller.Equal(caller.receive().status, http.StatusNotFound)
	caller.expect("/read/1")
	caller.Equal(caller.receive().status, http.StatusInternalServerError)
	got := caller.receive()
	caller.True(got.status >= 500 && got.err == nil)
	caller.expect("/read/2")
}

// TestLargePipelinedResponses sends responses beyond the buffer limit: they are delivered whole
// and in order, and one that breaks off ends the connection.
func TestLargePipelinedResponses(t *testing.T) {
	chunk := strings.Repeat("x", 32<<10)
	const chunks = 24 // over the buffer limit of 64 KiB and below calls.max_body_bytes
	_, caller := newPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
		for i := range chunks {
			if r.URL.Path == "/read/breaks" && i == chunks/2 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, chunk)
		}
	})
	caller.send(get("/read/0"), get("/read/1"), get("/read/breaks"), get("/read/2"))
	for i := range 2 {
		got := caller.receive()
		caller.NoErr(got.err)
		caller.True(strings.HasPrefix(got.body, fmt.Sprint("/read/", i)))
		caller.Equal(len(got.body), len("/read/0")+chunks*len(chunk))
	}
	got := caller.receive()
	caller.True(got.err != nil)
	caller.expectClosed()
}

// TestBodyEndsLateBehindPipelinedRequests sends a body after the requests before it were
// answered, and a chunked one, behind which requests wait for their turn.
func TestBodyEndsLateBehindPipelinedRequests(t *testing.T) {
	_, caller := newPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	caller.send(get("/read/0"), strings.TrimSuffix(post("/file/1", "body"), "dy"))
	caller.expect("/read/0")
	time.Sleep(20 * time.Millisecond)
	caller.send("dy", get("/read/2"), get("/read/3"))
	caller.expect("/file/1body", "/read/2", "/read/3")
	caller.send("POST /file/4 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", "0\r\n\r\n", get("/read/5"), get("/read/6"))
	caller.expect("/file/4bo", "/read/5", "/read/6")
}

// TestPipelinedRequestsInParts sends requests, some with bodies, with a pause after each
// possible number of bytes.
func TestPipelinedRequestsInParts(t *testing.T) {
	f, _ := newPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	all := get("/read/0") + get("/read/1", "X-Empty:", "X-Text: \t") + post("/file/2", "\r\n\r\nGET") + get("/read/3") +
		"GET /read/4 HTTP/1.1\nHost: a.example\n\n" + post("/read/5", "b") + get("/read/6")
	want := []string{"/read/0", "/read/1", "/file/2\r\n\r\nGET", "/read/3", "/read/4", "/read/5b", "/read/6"}
	var group errgroup.Group
	group.SetLimit(8) // so that no call is refused for overload
	for at := range len(all) + 1 {
		group.Go(func() error {
			caller := f.dialCaller()
			defer caller.conn.Close()
			caller.send(all[:at])
			time.Sleep(10 * time.Millisecond)
			caller.send(all[at:])
			for i, path := range want {
				if got := caller.receive(); got.err != nil || got.body != path {
					return fmt.Errorf("pause after %d bytes, response %d: %+v", at, i, got)
				}
			}
			return nil
		})
	}
	f.is.NoErr(group.Wait())
}

// TestPanicOfPipelinedRequest lets the start and the end of the entry's work fail on purpose.
func TestPanicOfPipelinedRequest(t *testing.T) {
	for _, atEnd := range []bool{false, true} {
		is := is.New(t)
		f, caller := newPipeline(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
		tracer := newPanickingTracer("attempt", atEnd)
		f.nodes[0].runner.options.Tracer = tracer
		tracer.armed.Store(true)
		caller.send(get("/read/0"), get("/read/1"))
		for range 2 {
			got := caller.receive()
			is.NoErr(got.err)
			is.True(got.status >= 500)
		}
		tracer.armed.Store(false)
		caller.send(get("/read/2"), get("/read/3"))
		is.Equal(caller.receive().status, http.StatusOK)
		is.Equal(caller.receive().status, http.StatusOK)
		is.NoErr(f.nodes[0].runner.aheadSlots.Acquire(context.Background(), maxAheadRequests))
	}
}
