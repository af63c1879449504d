package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = lateRequestAtStop }

// Times from the SIGTERM on, and the work of the requests.
const (
	// longAt is when a request is sent that keeps the node's own upstream busy, and lateAt when one is sent
	// later than the 3 s up to which the rule excuses it.
	// An order follows at orderAt.
	longAt, lateAt, orderAt = 2200 * time.Millisecond, 3300 * time.Millisecond, 4400 * time.Millisecond
	usualWork, usualOrder   = 400 * time.Millisecond, 210 * time.Millisecond
	longWork, lateWork      = 2600 * time.Millisecond, 2400 * time.Millisecond
	lateOrder               = 1150 * time.Millisecond
	// lostBound is the bound Lost of the settings.
	lostBound = 200 * time.Millisecond
)

// workAtStop returns the work of a request by the end of its path.
func workAtStop(r *http.Request) time.Duration {
	switch {
	case strings.HasSuffix(r.URL.Path, "/check/long"):
		return longWork
	case strings.HasSuffix(r.URL.Path, "/check/late"):
		return lateWork
	case strings.HasSuffix(r.URL.Path, "/orders/late"):
		return lateOrder
	case strings.HasPrefix(r.URL.Path, "/orders/"):
		return usualOrder
	}
	return usualWork
}

// lateRequestAtStop sends a read and an order to a stopping node later than 3 s after the SIGTERM. Their runs
// take longer than those before them.
func lateRequestAtStop(f *Fleet) error {
	routes := Object{
		"check":  route("/check/", "idempotent", "stock-book", "4000ms"),
		"orders": route("/orders/", "non_idempotent", "stock-book", "2000ms"),
	}
	err := f.Begin(routes, Object{"stock-book": Service()}, workAtStop, part{"casa-port", "stock-book", 6}, part{"rabat-agdal", "stock-book", 6})
	if err != nil {
		return err
	}
	check := func(name string) Request {
		return Request{Method: http.MethodGet, Path: "/check/" + name, Limit: 8 * time.Second}
	}
	order := func(name string) Request {
		return Request{Method: http.MethodPost, Path: "/orders/" + name, Limit: 4 * time.Second}
	}
	stopping, consumers := f.Machines[0], NewConsumers()
	consumers.Consume(stopping, check("2f"), 200*time.Millisecond, func(Answer) {})
	consumers.Consume(stopping, order("2f"), 300*time.Millisecond, func(Answer) {})
	time.Sleep(5 * time.Second)
	signalled := time.Now()
	if f.Trouble {
		stopping.Signal(syscall.SIGTERM)
	}
	var late sync.WaitGroup
	var broken [2]error
	time.Sleep(time.Until(signalled.Add(longAt)))
	late.Go(func() { stopping.Send(check("long")) })
	time.Sleep(time.Until(signalled.Add(lateAt)))
	late.Go(func() { broken[0] = f.sendLate(stopping, check("late"), signalled) })
	time.Sleep(time.Until(signalled.Add(orderAt)))
	late.Go(func() { broken[1] = f.sendLate(stopping, order("late"), signalled) })
	late.Wait()
	consumers.End()
	return errors.Join(broken[:]...)
}

// sendLate sends a request to the stopping node. It returns errBroken if the request was taken, passed on and
// broken off.
func (f *Fleet) sendLate(stopping *Machine, request Request, signalled time.Time) error {
	sent := time.Since(signalled)
	a := stopping.Send(request)
	ended := time.Since(signalled)
	f.Record.Line("%s %s, sent %d ms after the SIGTERM, ended %d ms after it: status %d, error %v", request.Method, request.Path, sent.Milliseconds(), ended.Milliseconds(), a.Status, a.Err)
	promise := a.Err == nil && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests)
	notTaken := a.Err != nil && a.Took <= lostBound
	if a.Served() || promise || notTaken || f.RunsByPath()[request.Path] == 0 {
		return nil
	}
	return fmt.Errorf("LOST: %s %s, at which its upstream was at work, was broken off %d ms after the SIGTERM with %d of the node's own: %w", request.Method, request.Path, ended.Milliseconds(), a.Status, errBroken)
}
