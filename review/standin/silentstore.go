package main

import (
	"fmt"
	"time"
)

const (
	// silentAfter is how long after a change all open connections to the store go silent, and
	// secondAfter how long after that the next change is written.
	silentAfter = 50 * time.Millisecond
	secondAfter = 500 * time.Millisecond
	// judgedFor is how long requests are sent from the end of StabilityWindow on.
	judgedFor = 1500 * time.Millisecond
	// margin keeps the judged requests clear of the ends of the bounds.
	margin = 50 * time.Millisecond
	rounds = 4
)

// silentStore: between two changes of the configuration the open connections to the store go silent.
// New ones work.
func silentStore(t *trial, trouble bool) (verdict, error) {
	f, err := t.startFleet(3, 3)
	if err != nil {
		return verdict{}, err
	}
	f.publish(1, map[string]route{"r-1": routeTo(serviceA, "1200ms")})
	if err := f.awaitServing("/r/before"); err != nil {
		return verdict{}, err
	}
	old, total, machines := 0, 0, make(map[string]bool)
	var latest time.Duration
	for round := range rounds {
		time.Sleep(settleTime / 2)
		from, to := serviceA, serviceB
		if round%2 == 1 {
			from, to = to, from
		}
		version := 3 + 4*round
		f.publish(version, map[string]route{"r-1": routeTo(from, "1100ms")})
		time.Sleep(silentAfter)
		silence := time.Now()
		if trouble {
			f.store.silence()
			t.note("all open connections to the store go silent")
		}
		time.Sleep(secondAfter)
		f.publish(version+2, map[string]route{"r-1": routeTo(to, "1200ms")})
		acked := time.Now()
		time.Sleep(time.Until(silence.Add(boundStabilityWindow + margin)))
		for _, a := range t.sendFor(judgedFor, 25*time.Millisecond, f.machines, "GET", host, "/r/judged", time.Second) {
			for _, r := range f.ledger.of(a.attempt) {
				total++
				if r.service == from {
					old++
					machines[a.node] = true
					latest = max(latest, a.sent.Sub(acked))
				}
			}
		}
	}
	if total == 0 {
		return verdict{}, fmt.Errorf("no request was run")
	}
	summary := fmt.Sprintf("in %d rounds, of %d requests sent 3.05 to 4.55 s after the connections went silent, and more than 2.5 s after the ack of a version, %d were run by the service of the older version, at %d of %d machines, the last one sent %.2f s after the ack",
		rounds, total, old, len(machines), len(f.machines), latest.Seconds())
	return verdict{broken: old > 0, summary: summary}, nil
}
