package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["stop"] = lateRequestAtStop }

// Times from the SIGTERM on, and the work of the requests.
const (
	// longAt is when a request is sent that keeps the node's own upstream busy, and lateAt when one is sent
	// later than the 3 s up to which the rule excuses it.
	longAt, lateAt = 2200 * time.Millisecond, 3300 * time.Millisecond
	usualWork      = 400 * time.Millisecond
	longWork       = 2600 * time.Millisecond
	lateWork       = 2400 * time.Millisecond
	// lostBound is the bound Lost of the settings.
	lostBound = 200 * time.Millisecond
)

// lateRequestAtStop sends a request to a stopping node 3.3 s after the SIGTERM. Its run takes longer than
// those before it.
func lateRequestAtStop(f *Fleet) error {
	work := func(r *http.Request) time.Duration {
		switch {
		case strings.HasSuffix(r.URL.Path, "/long"):
			return longWork
		case strings.HasSuffix(r.URL.Path, "/late"):
			return lateWork
		}
		return usualWork
	}
	routes := Object{"check": route("/check/", "idempotent", "stock-book", "4000ms")}
	err := f.Begin(routes, Object{"stock-book": Service()}, work, part{"casa-port", "stock-book", 6}, part{"rabat-agdal", "stock-book", 6})
	if err != nil {
		return err
	}
	request := func(name string) Request {
		return Request{Method: http.MethodGet, Path: "/check/" + name, Limit: 8 * time.Second}
	}
	stopping, consumers := f.Machines[0], NewConsumers()
	consumers.Consume(stopping, request("2f"), 200*time.Millisecond, func(Answer) {})
	time.Sleep(5 * time.Second)
	signalled := time.Now()
	if f.Trouble {
		stopping.Signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(signalled.Add(longAt)))
	consumers.group.Go(func() { stopping.Send(request("long")) })
	time.Sleep(time.Until(signalled.Add(lateAt)))
	a := stopping.Send(request("late"))
	ended := time.Since(signalled)
	consumers.End()
	f.Record.Line("the request that was sent %d ms after the SIGTERM ended %d ms after it: status %d, error %v", lateAt.Milliseconds(), ended.Milliseconds(), a.Status, a.Err)
	promise := a.Err == nil && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests)
	notTaken := a.Err != nil && a.Took <= lostBound
	if a.Served() || promise || notTaken {
		return nil
	}
	return fmt.Errorf("LOST: a request at which its upstream was at work was broken off %d ms after the SIGTERM with %d of the node's own: %w", ended.Milliseconds(), a.Status, errBroken)
}
