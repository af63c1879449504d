package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
	"jasminegate/internal/state"
)

const (
	readyTimeout = 90 * time.Second
	pollInterval = 20 * time.Millisecond
)

// bench is a running fleet that is measured.
type bench struct {
	*fleet.Fleet
	number uint64 // of the last published ticket

	mu            sync.Mutex
	closedEntries []string // ids of the nodes that callers avoid
}

// layout describes a fleet to measure.
type layout struct {
	name  string
	nodes []fleet.NodePlan
	// args are the node flags by which the deployment trades convergence time
	// against control traffic.
	args []string
}

var (
	// teranga prefers a short convergence time to little control traffic.
	teranga = layout{"teranga", fleet.Teranga(), nil}
	// coulisses prefers little control traffic to a short convergence time.
	coulisses = layout{"coulisses", fleet.Coulisses(), []string{
		"-membership.probe_interval", "1s", "-membership.relay_interval", "1s",
		"-membership.suspicion_timeout", "3s", "-spread.readers", "1",
	}}
	hundred = layout{"hundred", evenNodes(4, 25), nil}
)

// measuredLayouts are the layouts that the sections convergence and bytes
// measure.
var measuredLayouts = []layout{teranga, coulisses, hundred}

// selectLayouts removes the layouts that the comma-separated names leave out; an
// empty list keeps all.
func selectLayouts(names string) {
	if names == "" {
		return
	}
	measuredLayouts = slices.DeleteFunc(measuredLayouts, func(l layout) bool {
		return !slices.Contains(strings.Split(names, ","), l.name)
	})
}

// evenNodes returns perDomain nodes in each failure domain, whose targets take
// three services in turn.
func evenNodes(domains, perDomain int) []fleet.NodePlan {
	var nodes []fleet.NodePlan
	for d := range domains {
		for i := range perDomain {
			nodes = append(nodes, fleet.NodePlan{
				ID:          fmt.Sprintf("d%d-n%d", d, i),
				Domain:      fmt.Sprintf("d%d", d),
				Service:     fmt.Sprintf("service-%d", i%3),
				Slots:       6,
				Connections: 120,
			})
		}
	}
	return nodes
}

// startBench starts the layout and waits until every node is ready and knows
// every target.
func startBench(ctx context.Context, l layout) (*bench, error) {
	node, err := fleet.SiblingProgram("jasminegate")
	if err != nil {
		return nil, err
	}
	standin, err := fleet.SiblingProgram("standin")
	if err != nil {
		return nil, err
	}
	started, err := fleet.Start(ctx, fleet.Plan{
		Node: node, Standin: standin, Nodes: l.nodes, NodeArgs: l.args, NodeEnv: []string{"GOMAXPROCS=2"},
	})
	if err != nil {
		return nil, err
	}
	b := &bench{Fleet: started}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := b.awaitFleetReady(ctx); err != nil {
		_ = started.Close()
		return nil, err
	}
	return b, nil
}

// awaitFleetReady waits until every running node is ready and knows as many ready
// targets as run beside running nodes.
func (b *bench) awaitFleetReady(ctx context.Context) error {
	if err := b.AwaitReady(ctx); err != nil {
		return err
	}
	targets := 0
	for _, node := range b.Nodes {
		if node.Target() != nil && node.Target().Running() && node.Process().Running() {
			targets++
		}
	}
	for _, node := range b.Nodes {
		if !node.Process().Running() {
			continue
		}
		if err := awaitTargets(ctx, node, targets); err != nil {
			return err
		}
	}
	return nil
}

func awaitTargets(ctx context.Context, node *fleet.Node, want int) error {
	for {
		ready, err := node.ReadyTargets(ctx)
		if err == nil && ready == want {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s knows %d ready targets instead of %d: %w", node.ID, ready, want, ctx.Err())
		}
		time.Sleep(pollInterval)
	}
}

// publication is one published ticket. Its position is that of the version that
// the ticket makes.
type publication struct {
	position     uint64
	acknowledged time.Time
	bytes        int
}

// publish gives the ticket the next number and appends it to the platform's log
// directly, without a node.
func (b *bench) publish(ctx context.Context, ticket state.Ticket) (publication, error) {
	b.number++
	ticket.Number = b.number
	data, err := ticket.Encode()
	if err != nil {
		return publication{}, err
	}
	offset, err := b.Platform.Log.Append(ctx, "tickets", data)
	if err != nil {
		return publication{}, err
	}
	return publication{position: uint64(offset) + 1, acknowledged: time.Now(), bytes: len(data)}, nil
}

// awaitApplied waits until every running node has applied the position.
func (b *bench) awaitApplied(ctx context.Context, position uint64) error {
	for _, node := range b.Nodes {
		if !node.Process().Running() {
			continue
		}
		for {
			status, err := node.Status(ctx)
			if err == nil && status.Version.Position >= position {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s has applied position %d, not yet %d: %w", node.ID, status.Version.Position, position, ctx.Err())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// nodeTraffic holds the control bytes that one process of a node has counted.
type nodeTraffic struct {
	pid   int
	bytes load.ControlByteCounts
}

// trafficOfNodes returns the control bytes of each running node by node id.
func (b *bench) trafficOfNodes(ctx context.Context) (map[string]nodeTraffic, error) {
	traffic := make(map[string]nodeTraffic)
	for _, node := range b.Nodes {
		if !node.Process().Running() {
			continue
		}
		body, err := node.Metrics(ctx)
		if err != nil {
			return nil, err
		}
		traffic[node.ID] = nodeTraffic{pid: node.Process().PID(), bytes: load.ParseControlBytes(body)}
	}
	return traffic, nil
}

// trafficSince returns the control bytes of all running nodes since before. A
// process that was started in between counts with all of its bytes; those that
// the process before it counted since before are missing, as its counters ended
// with it.
func (b *bench) trafficSince(ctx context.Context, before map[string]nodeTraffic) (load.ControlByteCounts, error) {
	after, err := b.trafficOfNodes(ctx)
	if err != nil {
		return load.ControlByteCounts{}, err
	}
	var total load.ControlByteCounts
	for id, now := range after {
		added := now.bytes
		if earlier := before[id]; earlier.pid == now.pid {
			added = added.Sub(earlier.bytes)
		}
		total = total.Add(added)
	}
	return total, nil
}

// resourceUsage returns the total CPU time of the running nodes and the
// resident memory of the largest one, in bytes.
func (b *bench) resourceUsage() (cpu time.Duration, greatestResident int64, err error) {
	for _, node := range b.Nodes {
		if !node.Process().Running() {
			continue
		}
		usage, err := node.Process().Usage()
		if err != nil {
			return 0, 0, err
		}
		cpu += usage.CPU
		greatestResident = max(greatestResident, usage.ResidentBytes)
	}
	return cpu, greatestResident, nil
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func nodePlans(b *bench) []fleet.NodePlan {
	plans := make([]fleet.NodePlan, len(b.Nodes))
	for i, node := range b.Nodes {
		plans[i] = node.NodePlan
	}
	return plans
}
