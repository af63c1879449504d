// Package fleet starts and stops fleets of real processes on loopback for
// tests, measurements and demonstrations: a platform stand-in, nodes in failure
// domains with a target beside each, and relays that cut domains off from each
// other and from the platform. It needs Linux. The product does not use it.
package fleet

import (
	"errors"
	"fmt"
	"time"
)

// DefaultSeeds is how many nodes of each failure domain are seeds unless the
// plan says otherwise.
const DefaultSeeds = 2

// Plan says what a fleet consists of.
type Plan struct {
	// Node is the path of the jasminegate program.
	Node string
	// Standin is the path of the standin program.
	Standin string
	// Dir takes logs and settings. Empty makes a temporary directory, which
	// Close removes.
	Dir string
	// Nodes are the nodes with the targets beside them.
	Nodes []NodePlan
	// NodeArgs follow "node --config FILE" on each node's command line, for
	// example "--spread.readers", "1".
	NodeArgs []string
	// NodeEnv is added to each node's environment, for example "GOMAXPROCS=1".
	NodeEnv []string
	// TargetArgs follow each target's own flags on its command line.
	TargetArgs []string
	// Platform configures the platform stand-in.
	Platform PlatformPlan
	// Seeds is how many nodes of each failure domain are seeds of all others;
	// 0 means DefaultSeeds.
	Seeds int
	// PlatformRelays puts a relay between each failure domain and the platform.
	PlatformRelays bool
	// NodeRelays puts relays in front of each node's control and calls
	// addresses and announces the relays' addresses in place of its own.
	NodeRelays bool
}

// NodePlan is one node with its target.
type NodePlan struct {
	ID     string
	Domain string
	// Service is the target's; empty starts a node without a target.
	Service string
	// Slots and Connections are the target's.
	Slots       int
	Connections int
}

// PlatformPlan configures the platform stand-in; zero values keep everything
// and take every append.
type PlatformPlan struct {
	RetainRecords    int
	RetainFor        time.Duration
	AppendsPerSecond float64
}

// ServicePlan is a service with the targets to spread over failure domains.
type ServicePlan struct {
	Name        string
	Targets     int
	Slots       int
	Connections int
}

// PlaceServices gives each target a node and deals them out to the domains in turn.
func PlaceServices(domains []string, services []ServicePlan) []NodePlan {
	var nodes []NodePlan
	counts := make(map[string]int)
	for _, service := range services {
		for range service.Targets {
			domain := domains[len(nodes)%len(domains)]
			counts[domain]++
			nodes = append(nodes, NodePlan{
				ID:          fmt.Sprintf("%s-%d", domain, counts[domain]),
				Domain:      domain,
				Service:     service.Name,
				Slots:       service.Slots,
				Connections: service.Connections,
			})
		}
	}
	return nodes
}

// Teranga returns the nodes of a deployment in three failure domains.
func Teranga() []NodePlan {
	return PlaceServices(
		[]string{"plateau-dc", "almadies-dc", "rufisque-dc"},
		[]ServicePlan{
			{Name: "fiches-web", Targets: 3, Slots: 20, Connections: 110},
			{Name: "depot-regl", Targets: 3, Slots: 20, Connections: 110},
			{Name: "fonds-docs", Targets: 5, Slots: 20, Connections: 110},
		})
}

// Coulisses returns the nodes of a deployment in four failure domains.
func Coulisses() []NodePlan {
	return PlaceServices(
		[]string{"casa-port", "rabat-agdal", "tanger-med", "fes-medina"},
		[]ServicePlan{
			{Name: "rider-view", Targets: 4, Slots: 6, Connections: 120},
			{Name: "order-desk", Targets: 4, Slots: 6, Connections: 120},
			{Name: "stock-book", Targets: 4, Slots: 6, Connections: 120},
		})
}

func (p *Plan) check() error {
	if p.Node == "" || p.Standin == "" {
		return errors.New("fleet: give the paths of the node and standin programs")
	}
	if len(p.Nodes) == 0 || len(p.Nodes) > maxNodes {
		return fmt.Errorf("fleet: give 1 to %d nodes", maxNodes)
	}
	ids := make(map[string]bool)
	for _, node := range p.Nodes {
		if node.ID == "" || node.Domain == "" || ids[node.ID] {
			return fmt.Errorf("fleet: node %q: give each node a domain and an id of its own", node.ID)
		}
		ids[node.ID] = true
	}
	return nil
}

// domains returns the failure domains in the order of the nodes.
func (p *Plan) domains() []string {
	var domains []string
	seen := make(map[string]bool)
	for _, node := range p.Nodes {
		if !seen[node.Domain] {
			domains = append(domains, node.Domain)
			seen[node.Domain] = true
		}
	}
	return domains
}
