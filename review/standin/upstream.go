package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at an upstream.
type run struct {
	attempt, service, instance string
	at                         time.Time
}

// ledger holds the runs at all upstreams.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// of returns the runs of an attempt.
func (l *ledger) of(attempt string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []run
	for _, r := range l.runs {
		if r.attempt == attempt {
			found = append(found, r)
		}
	}
	return found
}

// upstream is a stand-in for the application beside a node.
type upstream struct {
	machine
	trial  *trial
	ledger *ledger
	id     string
	slots  int
	work   time.Duration
	born   int64
	server *http.Server
	stop   chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	running  int
}

func (t *trial) startUpstream(m machine, l *ledger, work time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", m.ip+":"+portApp)
	if err != nil {
		return nil, err
	}
	u := &upstream{
		machine: m, trial: t, ledger: l, id: "i-" + m.name, slots: 18, work: work, born: time.Now().UnixMilli(),
		state: "ready", stop: make(chan struct{}),
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	go u.report()
	t.atEnd(func() { close(u.stop); _ = u.server.Close() })
	return u, nil
}

// report sends the liveness reports.
func (u *upstream) report() {
	for {
		u.sendReport()
		select {
		case <-time.After(heartbeat):
		case <-u.stop:
			return
		}
	}
}

// sendReport returns whether the report was acknowledged.
func (u *upstream) sendReport() bool {
	u.mu.Lock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": u.service, "Address": u.ip + ":" + portApp, "Zone": u.zone, "Version": "v1", "Slots": u.slots,
		"State": u.state, fieldWarmup: "0ms", "Seq": u.sequence, "born": u.born,
	})
	u.mu.Unlock()
	request, err := http.NewRequest(http.MethodPut, "http://"+u.ip+":"+portControl+pathInstances+u.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	w.Header().Set(headerInstance, u.id)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set(headerAttempt, attempt)
	if expected := r.Header.Get(headerTarget); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !u.begin() {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.end()
	u.ledger.add(run{attempt: attempt, service: u.service, instance: u.id, at: time.Now()})
	u.trial.note("run %s at %s of %s", attempt, u.id, u.service)
	time.Sleep(u.work)
	body := fmt.Sprintf("%s by %s\n", attempt, u.id) + strings.Repeat("x", 1000)
	w.Header().Set(headerSeal, fmt.Sprintf("%x.%d", len(body), u.born))
	_, _ = io.WriteString(w, body)
}

// begin takes a slot, or a place in the queue.
func (u *upstream) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= 5*u.slots {
		return false
	}
	u.running++
	return true
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}
