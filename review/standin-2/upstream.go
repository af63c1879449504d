package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval of the upstreams' liveness reports.
const heartbeat = 1500 * time.Millisecond

// ackLimit is how long an upstream waits for the acknowledgement of a report.
const ackLimit = time.Second

// Upstream is a stand-in of an application upstream beside a node.
type Upstream struct {
	ID    string
	Slots int
	// Work returns how long a request takes, and Respond adds headers to its answer; nil for none.
	Work    func(r *http.Request) time.Duration
	Respond func(header http.Header)
	// Size is the length of each answer, at least; 0 for the text alone. While Faulty is set, each answer whose
	// number is a multiple of TruncateEach is cut off after TruncateAt bytes.
	Size, TruncateEach, TruncateAt int
	Faulty                         atomic.Bool

	machine *Machine
	born    int64
	server  *http.Server
	running atomic.Int64
	answers atomic.Int64
	beats   context.CancelFunc

	mu    sync.Mutex
	seq   int
	state string
	runs  []Run
}

// Run is one run of a request.
type Run struct {
	ID, Path string
	At       time.Time
}

// StartUpstream starts the upstream of the machine, and its liveness reports.
func (m *Machine) StartUpstream(id string, slots int, work func(r *http.Request) time.Duration) error {
	u := &Upstream{ID: id, Slots: slots, Work: work, machine: m, born: time.Now().UnixMilli(), state: "ready"}
	listener, err := net.Listen("tcp", m.App)
	if err != nil {
		return err
	}
	m.Upstream = u
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = u.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.beats = cancel
	go u.report(ctx)
	return nil
}

// Close ends the upstream.
func (u *Upstream) Close() {
	u.beats()
	_ = u.server.Close()
}

// Exit ends the upstream after its drain: it says that it is gone, and ends with what is still in work.
func (u *Upstream) Exit() {
	u.beats()
	record := u.machine.fleet.Record
	status, err := u.machine.say(http.MethodDelete, u.ID, nil)
	record.Line("upstream %s says that it is gone; the node answers %d (%v)", u.ID, status, err)
	_ = u.server.Close()
	record.Line("upstream %s exits", u.ID)
}

// Runs returns the requests that were run.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

func (u *Upstream) report(ctx context.Context) {
	for {
		_, _ = u.Beat()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// Beat sends one liveness report and returns the status of the answer.
func (u *Upstream) Beat() (status int, err error) {
	u.mu.Lock()
	u.seq++
	body := map[string]any{
		"Service": u.machine.Service, "Address": u.machine.App, "Zone": u.machine.Zone, "Version": "v1", "Slots": u.Slots,
		"State": u.state, named("warmup"): "0ms", "Seq": u.seq, "born": u.born,
	}
	u.mu.Unlock()
	return u.machine.Put(u.ID, body)
}

// Drain makes the upstream leave: it reports that it is draining until that is acknowledged, and returns
// the time of the acknowledgement.
func (u *Upstream) Drain() (acked time.Time, err error) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	for range 10 {
		if status, err := u.Beat(); err == nil && status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("draining was not acknowledged")
}

// Seq returns the number of the last report.
func (u *Upstream) Seq() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seq
}

// Put sends a liveness report to the machine's node.
func (m *Machine) Put(id string, body any) (status int, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	return m.say(http.MethodPut, id, data)
}

// say sends what an upstream says of itself to the machine's node.
func (m *Machine) say(method, id string, data []byte) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), ackLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.Control+named("instances")+id, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		u.serveHealth(w)
		return
	}
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if expected := r.Header.Get(headerTarget); expected != "" && expected != u.ID {
		w.Header().Set(headerInstance, u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if u.running.Add(1) > int64(u.Slots) {
		u.running.Add(-1)
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	record := u.machine.fleet.Record
	u.mu.Lock()
	u.runs = append(u.runs, Run{ID: id, Path: r.URL.Path, At: time.Now()})
	u.mu.Unlock()
	record.Line("upstream %s runs %s %s %s (%d bytes, %s ms left, tenant %q)", u.ID, r.Method, r.URL.Path, id, len(body), r.Header.Get(headerDeadline), r.Header.Get(named("tenant")))
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	work := u.Work(r)
	select {
	case <-r.Context().Done():
		record.Line("upstream %s drops %s: its connection is closed", u.ID, id)
		return
	case <-time.After(min(work, limit)):
	}
	w.Header().Set(headerSeal, "seal-"+u.ID)
	if work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if u.Respond != nil {
		u.Respond(w.Header())
	}
	answer := []byte("answer to " + id + " of " + u.ID)
	answer = append(answer, bytes.Repeat([]byte("."), max(0, u.Size-len(answer)))...)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if u.Faulty.Load() && u.answers.Add(1)%int64(u.TruncateEach) == 0 {
		record.Line("upstream %s truncates its answer to %s", u.ID, id)
		_, _ = w.Write(answer[:u.TruncateAt])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
	record.Line("upstream %s answers %s", u.ID, id)
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	ready := u.state == "ready"
	u.mu.Unlock()
	w.Header().Set(headerInstance, u.ID)
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
