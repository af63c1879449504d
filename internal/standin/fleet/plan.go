// Package fleet starts and stops fleets of real processes on loopback for tests,
// measurements and demonstrations. A fleet has a simulated platform, nodes in
// failure domains, a simulated target for each node, and relays that partition
// failure domains from each other and from the platform. The package needs Linux.
// The product does not use it.
package fleet

import (
	"errors"
	"fmt"
	"time"
)

// DefaultSeeds is the default of Plan.Seeds.
const DefaultSeeds = 2

// Plan configures a fleet.
type Plan struct {
	// Node is the path of the jasminegate program.
	Node string
	// Standin is the path of the standin program.
	Standin string
	// Dir is the directory for log and settings files. If it is empty, Start
	// creates a temporary directory, which Close removes.
	Dir string
	// Nodes are the nodes with their targets.
	Nodes []NodePlan
	// NodeArgs are appended to "node --config FILE" on each node's command line,
	// for example "--spread.readers", "1".
	NodeArgs []string
	// NodeEnv is added to each node's environment, for example "GOMAXPROCS=1".
	NodeEnv []string
	// TargetArgs are appended to the flags on each target's command line.
	TargetArgs []string
	// Platform configures the simulated platform.
	Platform PlatformPlan
	// Seeds is the number of nodes in each failure domain that are seed nodes
	// for all other nodes; 0 means DefaultSeeds.
	Seeds int
	// PlatformRelays puts a relay between each failure domain and the platform.
	PlatformRelays bool
	// NodeRelays puts relays in front of each node's control and calls
	// addresses. Nodes then advertise the addresses of their relays.
	NodeRelays bool
}

// NodePlan is one node with its target.
type NodePlan struct {
	ID     string
	Domain string
	// Service is the service of the target; empty means that the node has no
	// target.
	Service string
	// Slots and Connections are the limits of the target.
	Slots       int
	Connections int
	// Version is the software version that the target announces; empty announces none.
	Version string
}

// PlatformPlan configures the simulated platform. Zero values mean no limit on
// retention and appends.
type PlatformPlan struct {
	RetainRecords    int
	RetainFor        time.Duration
	AppendsPerSecond float64
}

// ServicePlan configures a service and its targets. Slots and Connections are
// limits for each target.
type ServicePlan struct {
	Name        string
	Targets     int
	Slots       int
	Connections int
}

// PlaceServices returns a node for each target. It assigns the nodes to the
// failure domains round-robin.
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

// Teranga returns the nodes of the layout "teranga": three services in three
// failure domains.
func Teranga() []NodePlan {
	return PlaceServices(
		[]string{"plateau-dc", "almadies-dc", "rufisque-dc"},
		[]ServicePlan{
			{Name: "fiches-web", Targets: 3, Slots: 20, Connections: 110},
			{Name: "depot-regl", Targets: 3, Slots: 20, Connections: 110},
			{Name: "fonds-docs", Targets: 5, Slots: 20, Connections: 110},
		})
}

// Coulisses returns the nodes of the layout "coulisses": three services in four
// failure domains.
func Coulisses() []NodePlan {
	return PlaceServices(
		[]string{"casa-port", "rabat-agdal", "tanger-med", "fes-medina"},
		[]ServicePlan{
			{Name: "rider-view", Targets: 4, Slots: 6, Connections: 120},
			{Name: "order-desk", Targets: 4, Slots: 6, Connections: 120},
			{Name: "stock-book", Targets: 4, Slots: 6, Connections: 120},
		})
}

func (p *Plan) validate() error {
	if p.Node == "" || p.Standin == "" {
		return errors.New("fleet: the plan needs the paths of the node and standin programs")
	}
	if len(p.Nodes) == 0 || len(p.Nodes) > maxNodes {
		return fmt.Errorf("fleet: the plan needs 1 to %d nodes", maxNodes)
	}
	ids := make(map[string]bool)
	for _, node := range p.Nodes {
		if node.ID == "" || node.Domain == "" || ids[node.ID] {
			return fmt.Errorf("fleet: node %q: each node needs a domain and a unique id", node.ID)
		}
		ids[node.ID] = true
	}
	return nil
}

// domains returns the distinct failure domains in the order of the nodes.
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
