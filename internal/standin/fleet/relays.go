package fleet

import (
	"errors"
	"fmt"

	"jasminegate/internal/standin/relay"
)

// nodeRelays stand before a node's addresses for other nodes.
type nodeRelays struct {
	control *relay.Relay
	calls   *relay.Relay
}

func (f *Fleet) startNodeRelays(n *Node) error {
	if !f.plan.NodeRelays {
		return nil
	}
	options := relay.Options{Classify: f.classify}
	control, err := relay.Start(f.network.relay(n.index, controlPort), n.ControlAddress, options)
	if err != nil {
		return err
	}
	calls, err := relay.Start(f.network.relay(n.index, callsPort), n.CallsAddress, options)
	if err != nil {
		control.Close()
		return err
	}
	n.relays = &nodeRelays{control: control, calls: calls}
	return nil
}

func (f *Fleet) startPlatformRelays() error {
	if !f.plan.PlatformRelays {
		return nil
	}
	for i, domain := range f.plan.domains() {
		r, err := relay.Start(f.network.platformRelay(i), f.network.platform(), relay.Options{})
		if err != nil {
			return err
		}
		f.platformRelays[domain] = r
	}
	return nil
}

// platformURL is the platform's address for a failure domain.
func (f *Fleet) platformURL(domain string) string {
	if r := f.platformRelays[domain]; r != nil {
		return "http://" + r.Address()
	}
	return f.Platform.URL()
}

func (f *Fleet) closeRelays() {
	for _, r := range f.platformRelays {
		r.Close()
	}
	for _, node := range f.Nodes {
		if node.relays != nil {
			node.relays.control.Close()
			node.relays.calls.Close()
		}
	}
}

// SetPathMode sets the mode of connections that nodes of one failure domain open
// to nodes of another. It needs NodeRelays.
func (f *Fleet) SetPathMode(from, to string, mode relay.Mode) error {
	if !f.plan.NodeRelays {
		return errors.New("fleet: set NodeRelays in the plan to cut paths between nodes")
	}
	for _, node := range f.NodesInDomain(to) {
		if err := node.relays.control.SetOriginMode(from, mode); err != nil {
			return err
		}
		if err := node.relays.calls.SetOriginMode(from, mode); err != nil {
			return err
		}
	}
	return nil
}

// SetModeBetween sets the mode of connections between two failure domains, whoever
// opens them. It needs NodeRelays.
func (f *Fleet) SetModeBetween(a, b string, mode relay.Mode) error {
	return errors.Join(f.SetPathMode(a, b, mode), f.SetPathMode(b, a, mode))
}

// SetDomainMode sets the mode of connections between a failure domain and all others.
// It needs NodeRelays.
func (f *Fleet) SetDomainMode(domain string, mode relay.Mode) error {
	var failures []error
	for _, other := range f.plan.domains() {
		if other != domain {
			failures = append(failures, f.SetModeBetween(domain, other, mode))
		}
	}
	return errors.Join(failures...)
}

// SetPlatformPathMode sets the mode of a failure domain's connections to the
// platform. It needs PlatformRelays.
func (f *Fleet) SetPlatformPathMode(domain string, mode relay.Mode) error {
	r := f.platformRelays[domain]
	if r == nil {
		return fmt.Errorf("fleet: no platform relay for domain %q: set PlatformRelays in the plan", domain)
	}
	return r.SetMode(mode)
}
