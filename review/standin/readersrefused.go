package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// refusedShare and refusedTime are the largest share of the machines that the store turns away
	// in the site files, and the longest time.
	refusedShare = 0.35
	refusedTime  = 9 * time.Second
	// settleTime is how long the deployment runs undisturbed before.
	settleTime = 12 * time.Second
	// changeDelay is how long after the beginning the operator writes.
	changeDelay = 500 * time.Millisecond
)

// readersRefused: the store turns away the machines that have called it most, a third of all, and
// serves the others and the operator, who moves a route meanwhile.
func readersRefused(t *trial, trouble bool) (verdict, error) {
	f, err := t.startFleet(3, 6)
	if err != nil {
		return verdict{}, err
	}
	f.publish(1, map[string]route{"r-1": routeTo(serviceA, "1200ms")})
	if err := f.awaitServing("/r/before"); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	busiest := f.busiest(int(refusedShare * float64(len(f.machines))))
	began := time.Now()
	if trouble {
		f.store.turnAway(busiest)
		t.note("the store turns away %s", strings.Join(busiest, ", "))
	}
	time.Sleep(changeDelay)
	f.publish(3, map[string]route{"r-1": routeTo(serviceB, "1200ms")})
	acked := time.Now()
	time.Sleep(boundConfig)
	served := slices.DeleteFunc(slices.Clone(f.machines), func(m machine) bool { return slices.Contains(busiest, m.name) })
	t.note("judged are requests at %d machines that the store serves and nothing disturbs", len(served))
	answers := t.sendFor(time.Until(began.Add(refusedTime)), 100*time.Millisecond, served, "GET", host, "/r/after", time.Second)
	f.store.turnAway(nil)
	t.note("the store serves all machines again")
	lag := f.awaitMoved(served, serviceB, acked)
	// late are the requests after the bound, later those after what an unstable core would add to it.
	var late, later tally
	for _, a := range answers {
		late.add(f, a)
		if a.sent.Sub(acked) >= boundConfig+boundMaxSkew {
			later.add(f, a)
		}
	}
	if later.runs == 0 {
		return verdict{}, fmt.Errorf("no request was run")
	}
	summary := fmt.Sprintf("version 3 is acknowledged. Of the requests sent later than 2 s after the ack, at %d machines that the store serves, %d of %d were run by the service of the older version; of those sent later than 7 s after it, %d of %d, at %d machines. All machines followed %.1f s after the ack, when the store had served all again for %.1f s",
		len(served), late.old, late.runs, later.old, later.runs, len(later.machines), lag.Seconds(), (lag - refusedTime + changeDelay).Seconds())
	return verdict{broken: later.old > 0, summary: summary}, nil
}

// tally counts runs, and those by the service of the older version.
type tally struct {
	runs, old int
	machines  map[string]bool
}

func (t *tally) add(f *fleet, a answer) {
	for _, r := range f.ledger.of(a.attempt) {
		t.runs++
		if r.service != serviceA {
			continue
		}
		t.old++
		if t.machines == nil {
			t.machines = make(map[string]bool)
		}
		t.machines[a.node] = true
	}
}

// busiest returns the machines that have called the store most often in the last seconds.
func (f *fleet) busiest(count int) []string {
	counts := f.store.callsSince(time.Now().Add(-settleTime / 2))
	f.trial.note("calls to the store in the last %.0f s: %v", (settleTime / 2).Seconds(), counts)
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b))
	})
	return names[:min(count, len(names))]
}

// awaitMoved waits until all machines send the route's requests to the service, and returns the time
// since the ack.
func (f *fleet) awaitMoved(machines []machine, service string, acked time.Time) time.Duration {
	var group sync.WaitGroup
	for _, m := range machines {
		group.Go(func() {
			await(startTimeout, func() bool {
				a := f.trial.send(m, "GET", host, "/r/moved", "", time.Second)
				runs := f.ledger.of(a.attempt)
				return len(runs) > 0 && runs[0].service == service
			})
		})
	}
	group.Wait()
	return time.Since(acked)
}
