package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["flap"] = flappingUpstream }

// Figures of the case: the upstream goes down and up with the period for flapTime.
const (
	flapWork       = 900 * time.Millisecond
	flapTime       = 6500 * time.Millisecond
	flapPeriod     = 1400 * time.Millisecond
	afterFlapping  = 15 * time.Second
	steadyTime     = 25 * time.Second
	readInterval   = 500 * time.Millisecond
	beforeFlapping = 4 * time.Second
)

// flappingUpstream lets the upstream of a service go down and up for a few seconds while consumers read the
// same page of it.
func flappingUpstream(f *Fleet) error {
	routes := Object{"read": route("/read/", "idempotent", "rider-view", "4000ms")}
	services := Object{"rider-view": Service(), "stock-book": Service()}
	err := f.Begin(routes, services, takes(flapWork), part{"casa-port", "rider-view", 6}, part{"casa-port", "rider-view", 6}, part{"casa-port", "stock-book", 6})
	if err != nil {
		return err
	}
	routes["files"] = route("/files/", "idempotent", "stock-book", "4000ms")
	if err := f.Configure(8, routes, services); err != nil {
		return err
	}
	time.Sleep(inForce)
	tally, consumers := NewTally(), NewConsumers()
	var steady atomic.Bool
	for _, m := range f.Machines[:2] {
		for _, path := range []string{"/read/2f", "/files/2f"} {
			consumers.Consume(m, Request{Method: http.MethodGet, Path: path, Limit: 6 * time.Second}, readInterval, func(a Answer) {
				if steady.Load() {
					tally.Note(path, a)
				}
			})
		}
	}
	time.Sleep(beforeFlapping)
	flapping := f.Machines[2]
	for began := time.Now(); f.Trouble && time.Since(began) < flapTime; {
		flapping.Upstream.Close()
		f.Record.Line("%s is down", flapping.Upstream.ID)
		time.Sleep(flapPeriod / 2)
		if err := flapping.StartUpstream(flapping.Upstream.ID, 6, takes(flapWork)); err != nil {
			return err
		}
		f.Record.Line("%s is up", flapping.Upstream.ID)
		time.Sleep(flapPeriod / 2)
	}
	time.Sleep(afterFlapping)
	f.Record.Line("steady state: %s has been up for %s", flapping.Upstream.ID, afterFlapping)
	steady.Store(true)
	time.Sleep(steadyTime)
	consumers.End()
	f.Record.Line("in steady state: sent %v, served %v", tally.Sent, tally.Served)
	if tally.addedRouteStarves("/read/2f", "/files/2f") {
		return fmt.Errorf("CONFIG: in steady state %v were sent and %v served: %w", tally.Sent, tally.Served, errBroken)
	}
	return nil
}
