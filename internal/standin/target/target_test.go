package target_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"jasminegate/internal/standin/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits the duration of a test that would otherwise hang.
const testTimeout = 30 * time.Second

// fixture is a running target with an HTTP client.
type fixture struct {
	*is.I
	*target.Server
	ctx    context.Context
	client *http.Client
}

func newFixture(t *testing.T, options target.Options) *fixture {
	f := &fixture{I: is.New(t), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	f.ctx = ctx
	if options.Service == "" {
		options.Service = "rider-view"
	}
	if options.Slots == 0 {
		options.Slots = 2
	}
	server, err := target.Start("127.0.0.1:0", options)
	f.NoErr(err)
	f.Server = server
	t.Cleanup(func() {
		cancel()
		f.client.CloseIdleConnections()
		server.Close()
	})
	return f
}

// call sends one request and returns its status and body.
func (f *fixture) call(ctx context.Context, id, uri, body string, headers ...string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL()+uri, bytes.NewBufferString(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set(target.HeaderTestID, id)
	request.Header.Set(target.HeaderCallID, "call-"+id)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// await waits until the condition holds.
func (f *fixture) await(condition func() bool) {
	f.Helper()
	for !condition() {
		select {
		case <-f.ctx.Done():
			f.Fail() // timed out waiting for the condition
		case <-time.After(time.Millisecond):
		}
	}
}

// awaitStarted waits until count requests have been started.
func (f *fixture) awaitStarted(count int64) {
	f.Helper()
	f.await(func() bool { return f.Ledger().Totals.Started == count })
}

func entry(entries []target.RunRecord, id string) target.RunRecord {
	for _, e := range entries {
		if e.ID == id {
			return e
		}
	}
	return target.RunRecord{}
}

func TestTarget(t *testing.T) {
	const longRequest = "/riders?service_ms=600000"
	cases := map[string]struct {
		options target.Options
		run     func(f *fixture)
	}{
		"response is derived from its request": {run: func(f *fixture) {
			uri := "/riders/a%2Fb?x=1&bytes=5000"
			status, body, err := f.call(f.ctx, "t1", uri, "linen")
			f.NoErr(err)
			f.Equal(status, http.StatusOK)
			f.Equal(len(body), 5000)
			echo := target.Echo{ID: "t1", Method: http.MethodPost, URI: uri, BodyHash: xxhash.Sum64String("linen"), MinBodyBytes: 5000}
			f.NoErr(echo.Check(body))
			f.True(echo.Check(body[:4999]) != nil) // truncated
			echo.ID = "t2"
			f.True(echo.Check(body) != nil) // of another request
		}},
		"ledger records every run": {run: func(f *fixture) {
			for range 2 {
				_, _, err := f.call(f.ctx, "t1", "/riders", "")
				f.NoErr(err)
			}
			response, err := f.client.Get(f.URL() + "/ledger")
			f.NoErr(err)
			defer response.Body.Close()
			var ledger target.Ledger
			f.NoErr(json.NewDecoder(response.Body).Decode(&ledger))
			f.Equal(ledger.Totals.Started, int64(2))
			for _, e := range []target.RunRecord{entry(ledger.Tests, "t1"), entry(ledger.Calls, "call-t1")} {
				f.Equal(e.Count, 2)
				f.Equal(e.Finished, 2)
				f.True(e.EndedMS >= e.StartedMS && e.StartedMS > 0)
			}
		}},
		"slots limit concurrent requests": {run: func(f *fixture) {
			var calls sync.WaitGroup
			for i := range 10 {
				calls.Go(func() { f.call(f.ctx, strconv.Itoa(i), "/riders?service_ms=2", "") })
			}
			calls.Wait()
			f.Equal(f.Ledger().Totals.Finished, int64(10))
			f.True(f.Ledger().Totals.PeakBusy <= 2)
		}},
		"deadline cancels a running request": {run: func(f *fixture) {
			status, _, err := f.call(f.ctx, "t1", longRequest, "", target.HeaderTimeout, "20")
			f.NoErr(err)
			f.Equal(status, http.StatusGatewayTimeout)
			f.Equal(entry(f.Ledger().Tests, "t1").Cancelled, 1)
		}},
		"request with an expired deadline does not start": {run: func(f *fixture) {
			status, _, err := f.call(f.ctx, "t1", "/riders", "", target.HeaderTimeout, "0")
			f.NoErr(err)
			f.Equal(status, http.StatusGatewayTimeout)
			f.Equal(f.Ledger().Totals.Started, int64(0))
		}},
		"malformed deadline is rejected": {run: func(f *fixture) {
			status, _, err := f.call(f.ctx, "t1", "/riders", "", target.HeaderTimeout, "1.5s")
			f.NoErr(err)
			f.Equal(status, http.StatusBadRequest)
		}},
		"caller that disconnects cancels a running request": {run: func(f *fixture) {
			ctx, cancel := context.WithCancel(f.ctx)
			go f.call(ctx, "t1", longRequest, "x")
			f.awaitStarted(1)
			cancel()
			f.await(func() bool { return entry(f.Ledger().Calls, "call-t1").Cancelled == 1 })
		}},
		"request whose deadline passes while it waits does not start": {options: target.Options{Slots: 1}, run: func(f *fixture) {
			go f.call(f.ctx, "t1", longRequest, "")
			f.awaitStarted(1)
			status, _, err := f.call(f.ctx, "t2", "/riders", "", target.HeaderTimeout, "20")
			f.NoErr(err)
			f.Equal(status, http.StatusGatewayTimeout)
			f.Equal(f.Ledger().Totals.Abandoned, int64(1))
			f.Equal(entry(f.Ledger().Tests, "t2").Count, 0)
		}},
		"shedding refuses requests without a free slot": {options: target.Options{Slots: 1, Mode: target.Mode{Shed: true}}, run: func(f *fixture) {
			go f.call(f.ctx, "t1", longRequest, "")
			f.awaitStarted(1)
			status, _, err := f.call(f.ctx, "t2", "/riders", "")
			f.NoErr(err)
			f.Equal(status, http.StatusServiceUnavailable)
			f.Equal(f.Ledger().Totals.Shed, int64(1))
		}},
		"hanging request ends at its deadline": {options: target.Options{Mode: target.Mode{Hang: true, IgnoreCancel: true}}, run: func(f *fixture) {
			status, _, err := f.call(f.ctx, "t1", "/riders", "", target.HeaderTimeout, "20")
			f.NoErr(err)
			f.Equal(status, http.StatusGatewayTimeout)
		}},
		"target that ignores cancellation finishes the request": {options: target.Options{Mode: target.Mode{IgnoreCancel: true}}, run: func(f *fixture) {
			ctx, cancel := context.WithCancel(f.ctx)
			go f.call(ctx, "t1", "/riders?service_ms=100", "")
			f.awaitStarted(1)
			cancel()
			f.await(func() bool { return entry(f.Ledger().Tests, "t1").Finished == 1 })
		}},
		"aborted response body is a read error": {run: func(f *fixture) {
			_, body, err := f.call(f.ctx, "t1", "/riders?bytes=9000&abort_after=4000", "")
			f.True(errors.Is(err, io.ErrUnexpectedEOF))
			f.True(len(body) <= 4000)
		}},
		"connections above the limit are closed": {options: target.Options{Connections: 1, Slots: 2}, run: func(f *fixture) {
			go f.call(f.ctx, "t1", longRequest, "")
			f.awaitStarted(1)
			_, _, err := f.call(f.ctx, "t2", "/riders", "")
			f.True(err != nil)
		}},
		"request started after the drain is counted": {run: func(f *fixture) {
			f.Drain()
			_, _, err := f.call(f.ctx, "t1", "/riders", "")
			f.NoErr(err)
			f.Equal(f.Ledger().Totals.StartedAfterDrain, int64(1))
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { tc.run(newFixture(t, tc.options)) })
	}
}

func TestReports(t *testing.T) {
	cases := map[string]struct {
		mode target.Mode
		want target.Report
	}{
		"honest":                          {target.Mode{}, target.Report{State: target.StateDraining, Slots: 2, Busy: 1}},
		"lagging":                         {target.Mode{Reporting: target.ReportLagging, LagMS: 3000}, target.Report{State: target.StateReady, Slots: 2, Busy: 1}},
		"lagging by more than the uptime": {target.Mode{Reporting: target.ReportLagging, LagMS: 60_000}, target.Report{State: target.StateReady, Slots: 2}},
		"idle":                            {target.Mode{Reporting: target.ReportIdle}, target.Report{State: target.StateReady, Slots: 2}},
		"failed":                          {target.Mode{Reporting: target.ReportFailed}, target.Report{State: target.StateDraining, Slots: 2, Busy: 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
			f := newFixture(t, target.Options{Mode: tc.mode, Now: clock.Now})
			clock.advance(10 * time.Second)
			go f.call(f.ctx, "t1", "/riders?service_ms=600000", "")
			f.awaitStarted(1)
			clock.advance(4 * time.Second)
			f.Drain()
			clock.advance(time.Second)
			response, err := f.client.Get(f.URL() + "/load")
			f.NoErr(err)
			defer response.Body.Close()
			var got target.Report
			f.NoErr(json.NewDecoder(response.Body).Decode(&got))
			f.Equal(got, tc.want)
		})
	}
}

func TestColdStart(t *testing.T) {
	clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
	f := newFixture(t, target.Options{ColdStart: time.Minute, ColdFactor: 600_000, Now: clock.Now})
	status, _, err := f.call(f.ctx, "t1", "/riders?service_ms=1", "", target.HeaderTimeout, "20")
	f.NoErr(err)
	f.Equal(status, http.StatusGatewayTimeout) // the service time is ten minutes in place of 1 ms
	clock.advance(time.Minute)
	status, _, err = f.call(f.ctx, "t2", "/riders?service_ms=1", "")
	f.NoErr(err)
	f.Equal(status, http.StatusOK)
}

// clock is a virtual clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// node records the announcement requests that it receives.
type node struct {
	mu       sync.Mutex
	requests []string
	last     target.Announcement
}

func (n *node) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Method == http.MethodPut {
		json.NewDecoder(r.Body).Decode(&n.last)
	}
	request := r.Method + " " + r.URL.Path
	if r.Method == http.MethodPut {
		request += " " + string(n.last.State)
	}
	n.requests = append(n.requests, request)
}

func (n *node) count(request string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, received := range n.requests {
		if received == request {
			count++
		}
	}
	return count
}

func TestStopFinishesRequestsThenWithdraws(t *testing.T) {
	n := &node{}
	server := httptest.NewServer(n)
	defer server.Close()
	address := server.Listener.Addr().String()
	f := newFixture(t, target.Options{Connections: 120, NodeAddress: address, TTL: 30 * time.Millisecond})
	f.await(func() bool { return n.count("PUT /target ready") >= 2 }) // renewed

	callResult := make(chan error, 1)
	go func() {
		_, _, err := f.call(f.ctx, "t1", "/riders?service_ms=200", "")
		callResult <- err
	}()
	f.awaitStarted(1)
	f.NoErr(f.Stop(f.ctx))
	f.NoErr(<-callResult)
	f.Equal(f.Ledger().Totals.Finished, int64(1))
	f.Equal(n.last, target.Announcement{
		Service: "rider-view", Slots: 2, Connections: 120, Address: f.Address(), Instance: f.Instance(), State: target.StateDraining, TTLMS: 30,
	})
	f.Equal(n.requests[len(n.requests)-1], "DELETE /target")
	_, err := net.Dial("tcp", f.Address())
	f.True(err != nil) // closed
}

// TestIdleConnectionsEnd keeps a connection idle after a whole response: the target closes it, or
// resets it, after its idle timeout.
func TestIdleConnectionsEnd(t *testing.T) {
	for name, want := range map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, target.Options{IdleTimeout: 20 * time.Millisecond, ResetIdle: name == "reset", Connections: 2})
			conn, err := net.Dial("tcp", f.Address())
			f.NoErr(err)
			defer conn.Close()
			f.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = io.WriteString(conn, "GET /?bytes=50000 HTTP/1.1\r\nHost: target.example\r\n\r\n")
			f.NoErr(err)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			f.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			f.NoErr(err)
			_, err = reader.ReadByte()
			f.True(errors.Is(err, want))
		})
	}
}
