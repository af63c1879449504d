package main

import (
	"fmt"
	"time"
)

// fleet is a small deployment.
type fleet struct {
	trial     *trial
	store     *store
	ledger    *ledger
	machines  []machine
	nodes     []*nodeProcess
	upstreams []*upstream
}

const (
	startTimeout = 20 * time.Second
	upstreamWork = 20 * time.Millisecond
)

// zones are the names of the zones, of which a fleet has the first ones.
var zones = []string{"plateau-dc", "almadies-dc", "rufisque-dc"}

// startFleet starts the store, and upstreams and nodes in so many zones with so many machines each.
func (t *trial) startFleet(zoneCount, perZone int) (*fleet, error) {
	f := &fleet{trial: t, ledger: &ledger{}}
	var err error
	if f.store, err = t.startStore(t.ip(250)); err != nil {
		return nil, err
	}
	for i := range zoneCount * perZone {
		zone := zones[i/perZone]
		m := machine{name: fmt.Sprintf("sidecar-%s-%d", zone, i%perZone+1), zone: zone, service: []string{serviceA, serviceB}[i%2], ip: t.ip(i + 1)}
		f.machines = append(f.machines, m)
		u, err := t.startUpstream(m, f.ledger, upstreamWork)
		if err != nil {
			return nil, err
		}
		f.upstreams = append(f.upstreams, u)
		address, err := t.addressFor(f.store, m, t.ip(100+i))
		if err != nil {
			return nil, err
		}
		n, err := t.startNode(m, address)
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// publish writes a configuration to the store, as the operator does.
func (f *fleet) publish(version int, routes map[string]route) {
	offset := f.store.write(topicOperator, "config", configuration(version, routes))
	f.trial.note("the operator writes version %d, acknowledged at offset %d", version, offset)
}

// awaitServing waits until all nodes are ready and serve the path.
func (f *fleet) awaitServing(path string) error {
	for _, n := range f.nodes {
		if !await(startTimeout, n.ready) {
			return fmt.Errorf("%s is not ready", n.name)
		}
		served := func() bool { return f.trial.send(n.machine, "GET", host, path, "", time.Second).status == 200 }
		if !await(startTimeout, served) {
			return fmt.Errorf("%s does not serve", n.name)
		}
	}
	return nil
}
