package fleet

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"

	"jasminegate/internal/standin/relay"
)

// Fleet is a running fleet.
type Fleet struct {
	// Platform is the platform stand-in.
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
// stand-ins listen; AwaitReady waits for the nodes. After a failure nothing is
// left running.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	if err := plan.check(); err != nil {
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
	if err := f.layOutNodes(); err != nil {
		return err
	}
	for _, node := range f.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return f.startTargets(ctx)
}

func (f *Fleet) prepare() error {
	network, err := claimNetwork()
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

// layOutNodes gives the nodes their addresses, relays and settings.
func (f *Fleet) layOutNodes() error {
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
	seeds := f.seeds()
	for _, node := range f.Nodes {
		if err := node.writeSettings(f.dir, f.platformURL(node.Domain), seeds); err != nil {
			return err
		}
	}
	return nil
}

// seeds returns the first nodes of each failure domain.
func (f *Fleet) seeds() []*Node {
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
		return nil, errors.New("the fleet is closed")
	}
	process, err := launch(f.starter, f.dir, c)
	if err == nil {
		f.processes = append(f.processes, process)
	}
	return process, err
}

// Dir returns the directory of logs and settings.
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

// Close kills every process that the fleet started, waits for their ends and
// closes the relays. It can be called again.
func (f *Fleet) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	f.closed = true
	var ends sync.WaitGroup
	for _, process := range f.processes {
		ends.Go(process.Kill)
	}
	ends.Wait()
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
