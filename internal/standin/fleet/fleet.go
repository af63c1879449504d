package fleet

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"

	"jasminegate/internal/standin/relay"
)

// Fleet is a running fleet: the processes and relays that a Plan describes.
type Fleet struct {
	// Platform is the simulated platform.
	Platform *Platform
	// Nodes are the nodes in the order of the plan.
	Nodes []*Node

	plan           Plan
	dir            string
	network        *network
	starter        *starter
	platformRelays map[string]*relay.Relay // by failure domain
	http           *http.Client

	mu        sync.Mutex
	closed    bool
	processes []*Process
}

// Start starts the platform, every node and every target. It returns when the
// platform and the targets listen; AwaitReady waits for the nodes. On failure it
// stops everything that it has started.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	if err := plan.validate(); err != nil {
		return nil, err
	}
	if plan.Seeds == 0 {
		plan.Seeds = DefaultSeeds
	}
	f := &Fleet{
		plan:           plan,
		starter:        newStarter(),
		platformRelays: make(map[string]*relay.Relay),
		http:           newHTTPClient(),
	}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.prepare(); err != nil {
		return err
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startPlatformRelays(); err != nil {
		return err
	}
	if err := f.configureNodes(); err != nil {
		return err
	}
	for _, node := range f.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return f.startTargets(ctx)
}

// prepare reserves a network and creates the directory.
func (f *Fleet) prepare() error {
	network, err := reserveNetwork()
	if err != nil {
		return err
	}
	f.network = network
	f.dir = f.plan.Dir
	if f.dir != "" {
		return os.MkdirAll(f.dir, 0o700)
	}
	f.dir, err = os.MkdirTemp("", "jasminegate-fleet-")
	return err
}

// configureNodes assigns the nodes' addresses, starts their relays and writes
// their settings.
func (f *Fleet) configureNodes() error {
	for i, plan := range f.plan.Nodes {
		node := &Node{
			NodePlan:       plan,
			CallersAddress: f.network.node(i, callersPort),
			AdminAddress:   f.network.node(i, adminPort),
			ControlAddress: f.network.node(i, controlPort),
			CallsAddress:   f.network.node(i, callsPort),
			TargetAddress:  f.network.node(i, targetPort),
			fleet:          f,
			index:          i,
		}
		f.Nodes = append(f.Nodes, node)
	}
	for _, node := range f.Nodes {
		if err := f.startNodeRelays(node); err != nil {
			return err
		}
	}
	seeds := f.seedNodes()
	for _, node := range f.Nodes {
		if err := node.writeSettings(f.dir, f.platformURL(node.Domain), seeds); err != nil {
			return err
		}
	}
	return nil
}

// seedNodes returns the first Plan.Seeds nodes of each failure domain.
func (f *Fleet) seedNodes() []*Node {
	var seeds []*Node
	counts := make(map[string]int)
	for _, node := range f.Nodes {
		if counts[node.Domain] < f.plan.Seeds {
			counts[node.Domain]++
			seeds = append(seeds, node)
		}
	}
	return seeds
}

func (f *Fleet) startTargets(ctx context.Context) error {
	for _, node := range f.Nodes {
		if node.Service == "" {
			continue
		}
		if err := node.StartTarget(); err != nil {
			return err
		}
	}
	for _, node := range f.Nodes {
		if node.Service == "" {
			continue
		}
		if err := node.Target().awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) launch(c command) (*Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, errors.New("fleet: closed")
	}
	process, err := launch(f.starter, f.dir, c)
	if err == nil {
		f.processes = append(f.processes, process)
	}
	return process, err
}

// Dir returns the directory of the log and settings files.
func (f *Fleet) Dir() string { return f.dir }

// Node returns the node with the id, or nil.
func (f *Fleet) Node(id string) *Node {
	for _, node := range f.Nodes {
		if node.ID == id {
			return node
		}
	}
	return nil
}

// NodesInDomain returns the nodes of a failure domain.
func (f *Fleet) NodesInDomain(name string) []*Node {
	var nodes []*Node
	for _, node := range f.Nodes {
		if node.Domain == name {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Close kills every process of the fleet, waits until they have exited and closes
// the relays. It removes the directory if Start created a temporary one. Further
// calls do nothing.
func (f *Fleet) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	f.closed = true
	var killed sync.WaitGroup
	for _, process := range f.processes {
		killed.Go(process.Kill)
	}
	killed.Wait()
	f.closeRelays()
	f.http.CloseIdleConnections()
	f.starter.stop()
	if f.network != nil {
		f.network.release()
	}
	if f.plan.Dir == "" && f.dir != "" {
		return os.RemoveAll(f.dir)
	}
	return nil
}
