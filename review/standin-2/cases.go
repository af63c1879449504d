package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times that all cases wait.
const (
	readyLimit = 20 * time.Second
	// settled is longer than StabilityWindow: machines are in touch after it.
	settled = 4 * time.Second
	// inForce is longer than Config and StabilityWindow after an acknowledgement.
	inForce = 6 * time.Second
)

// host is the host of all routes.
const host = "rider.example"

// route is a route to one service.
func route(prefix, kind, service, timeout string) Object {
	return Object{
		"Host": host, named("prefix"): prefix, "Kind": kind, "Timeout": timeout, named("latency"): "500ms", "Priority": 2,
		"Service": service, named("attempts"): 2,
	}
}

// part is a machine of a case.
type part struct {
	zone, service string
	slots         int
}

// takes returns the work of requests that all take the time.
func takes(work time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return work }
}

// Begin writes the first configuration, starts the machines with their upstreams, and waits until they are
// in touch.
func (f *Fleet) Begin(routes, services Object, work func(*http.Request) time.Duration, parts ...part) error {
	for _, p := range parts {
		m, err := f.NewMachine(p.zone, p.service)
		if err != nil {
			return err
		}
		if err := m.StartUpstream(fmt.Sprintf("i-%d", len(f.Machines)), p.slots, work); err != nil {
			return err
		}
	}
	if err := f.Configure(3, routes, services); err != nil {
		return err
	}
	for _, m := range f.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(readyLimit); err != nil {
		return err
	}
	time.Sleep(settled)
	return nil
}

// Consumers send requests until they are stopped.
type Consumers struct {
	stop  chan struct{}
	group sync.WaitGroup
}

// Consume sends the request to the machine in each interval, and passes the answers to note.
func (c *Consumers) Consume(m *Machine, request Request, interval time.Duration, note func(Answer)) {
	c.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
				c.group.Go(func() { note(m.Send(request)) })
			}
		}
	})
}

// NewConsumers returns consumers that send nothing yet.
func NewConsumers() *Consumers { return &Consumers{stop: make(chan struct{})} }

// End ends the consumers and waits for the last answers.
func (c *Consumers) End() {
	close(c.stop)
	c.group.Wait()
}

// Tally counts the requests of each path, and those that were served.
type Tally struct {
	mu           sync.Mutex
	Sent, Served map[string]int
}

// NewTally returns a tally of nothing.
func NewTally() *Tally { return &Tally{Sent: make(map[string]int), Served: make(map[string]int)} }

// Note counts one answer.
func (t *Tally) Note(path string, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Sent[path]++
	if a.Served() {
		t.Served[path]++
	}
}

// enoughRequests is the number of requests on added routes from which the rule on them counts.
const enoughRequests = 20

// addedRouteStarves reports whether the added route is served less than a quarter as often as the first.
func (t *Tally) addedRouteStarves(first, added string) bool {
	if t.Sent[added] < enoughRequests || t.Sent[first] == 0 {
		return false
	}
	share := func(path string) float64 { return float64(t.Served[path]) / float64(t.Sent[path]) }
	return share(added) < share(first)/4
}
