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

// bench is a running fleet with the next ticket number.
type bench struct {
	*fleet.Fleet
	number uint64

	mu            sync.Mutex
	closedEntries []string
}

// layout is a named fleet to measure.
type layout struct {
	name  string
	nodes []fleet.NodePlan
	// args are settings of the deployment's weighting.
	args []string
}

var (
	// Teranga weighs convergence time.
	teranga = layout{"teranga", fleet.Teranga(), nil}
	// Coulisses weighs control bytes.
	coulisses = layout{"coulisses", fleet.Coulisses(), []string{
		"-membership.probe_interval", "1s", "-membership.relay_interval", "1s",
		"-membership.suspicion_timeout", "3s", "-spread.readers", "1",
	}}
	hundred = layout{"hundred", evenNodes(4, 25), nil}
)

// measuredLayouts are the layouts of convergence and bytes.
var measuredLayouts = []layout{teranga, coulisses, hundred}

// selectLayouts keeps the named layouts; an empty list keeps all.
func selectLayouts(names string) {
	if names == "" {
		return
	}
	measuredLayouts = slices.DeleteFunc(measuredLayouts, func(l layout) bool {
		return !slices.Contains(strings.Split(names, ","), l.name)
	})
}

// evenNodes returns perDomain nodes in each of so many failure domains, with
// three services spread over them.
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

// startBench starts the layout and waits until every node serves and knows
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
	if err := b.awaitWhole(ctx); err != nil {
		_ = started.Close()
		return nil, err
	}
	return b, nil
}

// awaitWhole waits until every running node serves and knows as many ready
// targets as there are running targets.
func (b *bench) awaitWhole(ctx context.Context) error {
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
			return fmt.Errorf("%s knows %d of %d targets: %w", node.ID, ready, want, ctx.Err())
		}
		time.Sleep(pollInterval)
	}
}

// publication is one published ticket.
type publication struct {
	position     uint64
	acknowledged time.Time
	bytes        int
}

// publish gives the ticket the next number and publishes it through the first
// running node.
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

// awaitApplied waits until every running node applies the position.
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
				return fmt.Errorf("%s is at %d of %d: %w", node.ID, status.Version.Position, position, ctx.Err())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// nodeTraffic are the control bytes of one process of a node.
type nodeTraffic struct {
	pid   int
	bytes load.ControlByteCounts
}

// trafficOfNodes returns the control bytes of each running node, by its id.
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

// trafficSince sums up what was added. A process that began since then counts
// whole; what its predecessor added is lost with it.
func (b *bench) trafficSince(ctx context.Context, before map[string]nodeTraffic) (load.ControlByteCounts, error) {
	after, err := b.trafficOfNodes(ctx)
	if err != nil {
		return load.ControlByteCounts{}, err
	}
	var total load.ControlByteCounts
	for id, now := range after {
		spent := now.bytes
		if earlier := before[id]; earlier.pid == now.pid {
			spent = spent.Sub(earlier.bytes)
		}
		total = total.Add(spent)
	}
	return total, nil
}

// usage sums up processor time and the greatest memory of the running nodes.
func (b *bench) usage() (cpu time.Duration, greatestResident int64, err error) {
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

// sleep waits or returns early when ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func plansOf(b *bench) []fleet.NodePlan {
	plans := make([]fleet.NodePlan, len(b.Nodes))
	for i, node := range b.Nodes {
		plans[i] = node.NodePlan
	}
	return plans
}
