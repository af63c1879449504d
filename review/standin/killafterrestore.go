package main

import (
	"fmt"
	"time"
)

// killAfterRestore: the store comes back from a copy. Later all nodes are killed at once and started
// again, as in a final fault.
func killAfterRestore(t *trial, trouble bool) (verdict, error) {
	f, err := t.startFleet(2, 3)
	if err != nil {
		return verdict{}, err
	}
	f.publish(1, map[string]route{"r-1": routeTo(serviceA, "1200ms")})
	if err := f.awaitServing("/r/before"); err != nil {
		return verdict{}, err
	}
	if trouble {
		backup := f.store.copy()
		time.Sleep(2 * time.Second)
		f.store.goAway()
		t.note("the store is away")
		time.Sleep(time.Second)
		f.store.comeBack(backup)
		t.note("the store is back from a copy of 3 s ago, era 2; nothing was written since the copy")
	}
	time.Sleep(2 * boundStabilityWindow)
	f.publish(3, map[string]route{"r-1": routeTo(serviceA, "1100ms")})
	before := served(t.sendFor(3*time.Second, 100*time.Millisecond, f.machines, "GET", host, "/r/calm", time.Second))
	for _, n := range f.nodes {
		n.kill()
	}
	t.note("all nodes are killed")
	time.Sleep(time.Second)
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return verdict{}, err
		}
	}
	t.note("all nodes are back; traffic goes on")
	t.sendFor(boundRecover, 500*time.Millisecond, f.machines, "GET", host, "/r/back", time.Second)
	after := served(t.sendFor(5*time.Second, 100*time.Millisecond, f.machines, "GET", host, "/r/recovered", time.Second))
	summary := fmt.Sprintf("served %.0f %% before the fault and %.0f %% of the requests sent 15 to 20 s after the nodes were back", 100*before, 100*after)
	if before < 0.25 {
		return verdict{}, fmt.Errorf("%s", summary)
	}
	return verdict{broken: after < 0.25, summary: summary}, nil
}

// served returns the share of the requests that were answered with success.
func served(answers []answer) float64 {
	ok := 0
	for _, a := range answers {
		if a.status == 200 && a.err == nil {
			ok++
		}
	}
	return float64(ok) / float64(max(1, len(answers)))
}
