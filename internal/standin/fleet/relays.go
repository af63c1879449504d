package fleet

import (
	"errors"
	"fmt"

	"jasminegate/internal/standin/relay"
)

// nodeRelays are the relays in front of a node's addresses for other nodes.
type nodeRelays struct {
	control *relay.Relay
	calls   *relay.Relay
}

func (f *Fleet) startNodeRelays(n *Node) error {
	if !f.plan.NodeRelays {
		return nil
	}
	options := relay.Options{Classify: f.originDomain}
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

// startPlatformRelays starts a relay to the platform for each failure domain.
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

// platformURL returns the URL at which a failure domain reaches the platform.
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

// SetPathMode sets the relay mode of connections that nodes of failure domain
// from open to nodes of failure domain to. It needs Plan.NodeRelays.
func (f *Fleet) SetPathMode(from, to string, mode relay.Mode) error {
	if !f.plan.NodeRelays {
		return errors.New("fleet: set NodeRelays in the plan to change paths between nodes")
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

// SetModeBetween sets the relay mode of connections between two failure domains
// in both directions. It needs Plan.NodeRelays.
func (f *Fleet) SetModeBetween(a, b string, mode relay.Mode) error {
	return errors.Join(f.SetPathMode(a, b, mode), f.SetPathMode(b, a, mode))
}

// SetDomainMode sets the relay mode of connections between a failure domain and
// all others; the zero mode ends an isolation. It needs Plan.NodeRelays.
func (f *Fleet) SetDomainMode(domain string, mode relay.Mode) error {
	var failures []error
	for _, other := range f.plan.domains() {
		if other != domain {
			failures = append(failures, f.SetModeBetween(domain, other, mode))
		}
	}
	return errors.Join(failures...)
}

// SetPlatformPathMode sets the relay mode of a failure domain's connections to
// the platform. It needs Plan.PlatformRelays.
func (f *Fleet) SetPlatformPathMode(domain string, mode relay.Mode) error {
	r := f.platformRelays[domain]
	if r == nil {
		return fmt.Errorf("fleet: no platform relay for domain %q: set PlatformRelays in the plan", domain)
	}
	return r.SetMode(mode)
}
