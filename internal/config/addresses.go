package config

import (
	"fmt"
	"net/netip"

	"jasminegate/internal/strictyaml"
)

// acceptedAddress describes the accepted addresses.
const acceptedAddress = "an IP address with a port"

// listener is one address that a node listens on.
type listener struct {
	key string
	get func(*Settings) string
	// advertised returns the address that other nodes connect to, which must not
	// be the unspecified address. It is nil if other nodes do not use this
	// listener.
	advertised func(Node) string
	// optional reports whether the address may be empty.
	optional bool
}

var listeners = []listener{
	{"node.callers_address", func(s *Settings) string { return s.Node.CallersAddress }, nil, false},
	{"node.admin_address", func(s *Settings) string { return s.Node.AdminAddress }, nil, false},
	{"node.control_address", func(s *Settings) string { return s.Node.ControlAddress }, Node.AdvertisedControlAddress, false},
	{"node.calls_address", func(s *Settings) string { return s.Node.CallsAddress }, Node.AdvertisedCallsAddress, false},
	{"node.announce_address", func(s *Settings) string { return s.Node.AnnounceAddress }, nil, true},
	{"node.ready_address", func(s *Settings) string { return s.Node.ReadyAddress }, nil, true},
}

func addressRules() []rule {
	var rules []rule
	for _, listener := range listeners {
		accepted := acceptedAddress
		if listener.optional {
			accepted += " or empty"
		}
		rules = append(rules, rule{listener.key, accepted, listener.check})
	}
	return append(rules,
		optionalAddress("node.target_address", func(s *Settings) string { return s.Node.TargetAddress }),
		optionalAddress("node.control_advertise_address", func(s *Settings) string { return s.Node.ControlAdvertiseAddress }),
		optionalAddress("node.calls_advertise_address", func(s *Settings) string { return s.Node.CallsAdvertiseAddress }),
	)
}

// optionalAddress returns the rule for an address that may be empty and is
// otherwise one to connect to.
func optionalAddress(key string, get func(*Settings) string) rule {
	return rule{key, acceptedAddress + " or empty", func(s *Settings) (text, remedy string) {
		if get(s) == "" {
			return "", ""
		}
		address, text, remedy := parseAddress(get(s))
		if text == "" && address.Addr().IsUnspecified() {
			return fmt.Sprintf("%s cannot be connected to", address), "give a specific IP address"
		}
		return text, remedy
	}}
}

func (l listener) check(s *Settings) (text, remedy string) {
	if l.optional && l.get(s) == "" {
		return "", ""
	}
	address, text, remedy := parseAddress(l.get(s))
	if text != "" {
		return text, remedy
	}
	if l.advertised != nil && l.advertised(s.Node) == l.get(s) && address.Addr().IsUnspecified() {
		return fmt.Sprintf("%s is advertised to other nodes, which cannot connect to it", address), "give the instance's own IP address, or set the matching advertise address"
	}
	return "", ""
}

// checkListeners rejects two listeners on the same address and port.
func checkListeners(document *strictyaml.Document, settings *Settings) {
	for i, later := range listeners {
		for _, earlier := range listeners[:i] {
			if !document.Valid(later.key, earlier.key) || !portsConflict(later.get(settings), earlier.get(settings)) {
				continue
			}
			document.Reject(later.key, "listens on the same port as "+earlier.key, "give each address its own port")
		}
	}
}

func portsConflict(a, b string) bool {
	if a == "" || b == "" {
		return false
	}
	one, other := netip.MustParseAddrPort(a), netip.MustParseAddrPort(b)
	if one.Port() != other.Port() {
		return false
	}
	return one.Addr() == other.Addr() || one.Addr().IsUnspecified() || other.Addr().IsUnspecified()
}

func checkSeeds(document *strictyaml.Document, settings *Settings) {
	ids := make(map[string]bool)
	for i, seed := range settings.Node.Seeds {
		key := fmt.Sprintf("node.seeds[%d]", i)
		checkSeed(document, key, seed)
		if seed.ID != "" && ids[seed.ID] {
			document.Reject(key+".id", fmt.Sprintf("%q is given twice", seed.ID), "list each node once")
		}
		ids[seed.ID] = true
		if seed.ID != "" && seed.ID == settings.Node.ID {
			checkOwnSeed(document, key, seed, settings.Node)
		}
	}
}

func checkSeed(document *strictyaml.Document, key string, seed Seed) {
	if text, remedy := checkName(seed.ID); text != "" {
		document.Reject(key+".id", text, remedy)
	}
	if text, remedy := checkName(seed.Domain); text != "" {
		document.Reject(key+".domain", text, remedy)
	}
	address, text, remedy := parseAddress(seed.ControlAddress)
	if text == "" && address.Addr().IsUnspecified() {
		text, remedy = fmt.Sprintf("%s cannot be connected to", address), "give the node's own IP address"
	}
	if text != "" {
		document.Reject(key+".control_address", text, remedy)
	}
}

// checkOwnSeed compares the node's own entry in the list of seeds, which all
// nodes can share, with its settings.
func checkOwnSeed(document *strictyaml.Document, key string, seed Seed, node Node) {
	if document.Valid("node.domain") && seed.Domain != node.Domain {
		document.Reject(key+".domain", fmt.Sprintf("%q differs from node.domain %q of the same id", seed.Domain, node.Domain), "give the same failure domain in both, or correct node.id")
	}
	if document.Valid("node.control_address", "node.control_advertise_address") && seed.ControlAddress != node.AdvertisedControlAddress() {
		document.Reject(key+".control_address", fmt.Sprintf("%q differs from this node's own control address %q", seed.ControlAddress, node.AdvertisedControlAddress()), "give the same address in both, or correct node.id")
	}
}
