package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["weights"] = changedWeights }

// Figures of the case.
const (
	// weightOff is how far a part's share may be off its weight's, in a time of shareRequests or more.
	weightOff     = 0.2
	shareRequests = 200
	// splitRequests are sent while one part has a weight of 1 in 1,000.
	splitRequests = 200
)

// changedWeights first gives a small part of a route's requests to another service, then half of them.
func changedWeights(f *Fleet) error {
	split := func(current, next int) Object {
		r := route("/read/", "idempotent", "", "1500ms")
		delete(r, "Service")
		r[named("weighted")] = []Object{{"Service": "rider-view", "Weight": current}, {"Service": "rider-next", "Weight": next}}
		return Object{"read": r}
	}
	services := Object{"rider-view": Service(), "rider-next": Service()}
	first := split(999, 1)
	if !f.Trouble {
		first = split(1, 1)
	}
	err := f.Begin(first, services, takes(5*time.Millisecond), part{"casa-port", "rider-view", 6}, part{"casa-port", "rider-next", 6})
	if err != nil {
		return err
	}
	send := func(n int) {
		for range n {
			f.Machines[0].Send(Request{Method: http.MethodGet, Path: "/read/2f", Limit: 3 * time.Second})
		}
	}
	send(splitRequests)
	if err := f.Configure(8, split(1, 1), services); err != nil {
		return err
	}
	time.Sleep(inForce)
	current, next := f.Machines[0].Upstream, f.Machines[1].Upstream
	currentBefore, nextBefore := len(current.Runs()), len(next.Runs())
	send(shareRequests)
	toCurrent, toNext := len(current.Runs())-currentBefore, len(next.Runs())-nextBefore
	f.Record.Line("with equal weights rider-view got %d and rider-next %d of %d requests", toCurrent, toNext, shareRequests)
	share := float64(toNext) / float64(max(1, toCurrent+toNext))
	if share < 0.5-weightOff || share > 0.5+weightOff {
		return fmt.Errorf("CONFIG: of two parts of equal weight, one got a share of %.2f: %w", share, errBroken)
	}
	return nil
}
