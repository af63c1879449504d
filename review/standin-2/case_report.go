package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["report"] = incompleteReport }

const (
	// drainBound is the bound Drain of the settings.
	drainBound = 2 * time.Second
	// servesOn is how long the leaving upstream serves after the acknowledgement: Drain and a little longer.
	servesOn = 5 * time.Second
)

// workOfRiders returns the work of a request by its path.
func workOfRiders(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, "/orders/") {
		return 210 * time.Millisecond
	}
	return 50 * time.Millisecond
}

// incompleteReport lets an upstream leave. Another writer's report for it, with fields missing, arrives at its
// node after the leaving was acknowledged.
func incompleteReport(f *Fleet) error {
	routes := Object{
		"read":   route("/read/", "idempotent", "rider-view", "1500ms"),
		"orders": route("/orders/", "non_idempotent", "rider-view", "2000ms"),
	}
	err := f.Begin(routes, Object{"rider-view": Service()}, workOfRiders,
		part{"casa-port", "rider-view", 18}, part{"casa-port", "rider-view", 18})
	if err != nil {
		return err
	}
	consumers := NewConsumers()
	var unanswered atomic.Int64
	for _, m := range f.Machines {
		consumers.Consume(m, Request{Method: http.MethodGet, Path: "/read/2f", Limit: 3 * time.Second}, 50*time.Millisecond, func(Answer) {})
		consumers.Consume(m, Request{Method: http.MethodPost, Path: "/orders/2f", Limit: 4 * time.Second}, 50*time.Millisecond, func(a Answer) {
			if a.Err != nil || a.Status == http.StatusGatewayTimeout || a.Status == http.StatusBadGateway {
				unanswered.Add(1)
			}
		})
	}
	time.Sleep(2 * time.Second)
	leaving := f.Machines[0].Upstream
	acked, err := leaving.Drain()
	if err != nil {
		return err
	}
	f.Record.Line("the node acknowledges that %s is draining", leaving.ID)
	time.Sleep(time.Second)
	if f.Trouble {
		report := Object{"Service": "rider-view", "State": "ready", "Slots": 18, "Seq": leaving.Seq() + 100, "born": leaving.born}
		status, err := f.Machines[0].Put(leaving.ID, report)
		f.Record.Line("another writer's incomplete report for %s: %v; the node answers %d (%v)", leaving.ID, report, status, err)
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	leaving.Exit()
	time.Sleep(2 * time.Second)
	consumers.End()
	late := 0
	for _, run := range leaving.Runs() {
		if run.At.Sub(acked) > drainBound {
			late++
		}
	}
	f.Record.Line("%d requests reached %s later than %s after the acknowledgement; %d orders of the whole play got no answer of an upstream and no promise", late, leaving.ID, drainBound, unanswered.Load())
	if late > 0 {
		return fmt.Errorf("DRAIN: %d requests reached a draining upstream later than Drain after the acknowledgement: %w", late, errBroken)
	}
	return nil
}
