package main

import (
	"fmt"
	"time"
)

// storeRestored: the store comes back from a copy that lacks the last few configurations. The
// operator writes its newest one again, and a further one when all is calm. That one moves a route
// to another service.
func storeRestored(t *trial, trouble bool) (verdict, error) {
	f, err := t.startFleet(2, 3)
	if err != nil {
		return verdict{}, err
	}
	f.publish(1, map[string]route{"r-1": routeTo(serviceA, "1200ms")})
	if err := f.awaitServing("/r/before"); err != nil {
		return verdict{}, err
	}
	backup := f.store.copy()
	t.note("the copy is made, with %d records of the operator", len(backup[topicOperator].records))
	for i, timeout := range []string{"1100ms", "1000ms", "900ms"} {
		f.publish(3+2*i, map[string]route{"r-1": routeTo(serviceA, timeout)})
		time.Sleep(time.Second)
	}
	if trouble {
		f.store.goAway()
		t.note("the store is away")
		time.Sleep(time.Second)
		f.store.comeBack(backup)
		t.note("the store is back from the copy, era 2; the operator writes its newest configuration again")
		f.publish(7, map[string]route{"r-1": routeTo(serviceA, "900ms")})
	}
	// The core is stable, and all machines are in touch, StabilityWindow after the disturbance. The
	// wait is twice that.
	time.Sleep(2 * boundStabilityWindow)
	f.publish(9, map[string]route{"r-1": routeTo(serviceB, "900ms")})
	acked := time.Now()
	// The bound, and what an unstable core would add to it at the most.
	time.Sleep(boundConfig + boundMaxSkew)
	checked := time.Now()
	answers := t.sendFor(5*time.Second, 100*time.Millisecond, f.machines, "GET", host, "/r/after", time.Second)
	byOld, byNew := 0, 0
	for _, a := range answers {
		for _, r := range f.ledger.of(a.attempt) {
			if r.service == serviceA {
				byOld++
			} else {
				byNew++
			}
		}
	}
	calls := 0
	for _, n := range f.store.callsSince(checked) {
		calls += n
	}
	summary := fmt.Sprintf("%d requests sent %.1f to %.1f s after the ack of version 9, which moves the route from %s to %s: %d run by the old service, %d by the new one; the nodes called the store %.0f times a second meanwhile",
		len(answers), (boundConfig + boundMaxSkew).Seconds(), time.Since(acked).Seconds(), serviceA, serviceB, byOld, byNew, float64(calls)/time.Since(checked).Seconds())
	if byOld+byNew == 0 {
		return verdict{}, fmt.Errorf("no request was run")
	}
	return verdict{broken: byOld > 0, summary: summary}, nil
}
