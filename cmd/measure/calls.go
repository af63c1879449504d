package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
	"jasminegate/internal/standin/target"
)

const (
	latencyDuration   = 10 * time.Second
	warmUpDuration    = 3 * time.Second
	callsPerNode      = 400 // calls a second
	maxInFlight       = 2000
	addedLimitMS      = 1.1
	latencyServiceMS  = 2
	latencyConnection = 110
)

// lookup returns the i-th lookup of a service.
func lookup(run, service string, i int) load.Call {
	return load.Call{
		ID: fmt.Sprintf("%s-%s-%d", run, service, i), Method: http.MethodGet,
		URI:              fmt.Sprintf("/%s/lookup/%d?bytes=1000", service, i),
		MinResponseBytes: 1000,
		Timeout:          callTimeout, Group: "lookup",
	}
}

// filing returns the i-th non-idempotent call of a service.
func filing(run, service string, i int) load.Call {
	return load.Call{
		ID: fmt.Sprintf("%s-%s-%d", run, service, i), Method: http.MethodPost,
		URI:     fmt.Sprintf("/%s/filing/%d", service, i),
		Body:    fmt.Appendf(nil, "filing %d", i),
		Timeout: callTimeout, Group: "filing", NonIdempotent: true,
	}
}

// search returns the i-th background call of a service.
func search(run, service string, i int) load.Call {
	return load.Call{
		ID: fmt.Sprintf("%s-%s-%d", run, service, i), Method: http.MethodGet,
		URI:              fmt.Sprintf("/%s/search/%d?bytes=1000", service, i),
		MinResponseBytes: 1000,
		Timeout:          callTimeout, Group: "search",
	}
}

// twoServices is a fleet in which every call can pass two nodes: callers of
// one service enter at nodes beside the other's targets.
var twoServices = layout{"two_services", twoServiceNodes(), nil}

func twoServiceNodes() []fleet.NodePlan {
	return fleet.PlaceServices([]string{"d0", "d1"}, []fleet.ServicePlan{
		{Name: "service-a", Targets: 2, Slots: 20, Connections: latencyConnection},
		{Name: "service-b", Targets: 2, Slots: 20, Connections: latencyConnection},
	})
}

// startCallBench starts a fleet with its base ticket applied and its targets
// taking so long for each call.
func startCallBench(ctx context.Context, l layout, serviceMS int) (*bench, error) {
	b, err := startBench(ctx, l)
	if err != nil {
		return nil, err
	}
	if err := b.prepareCalls(ctx, serviceMS); err != nil {
		_ = b.Close()
		return nil, err
	}
	return b, nil
}

func (b *bench) prepareCalls(ctx context.Context, serviceMS int) error {
	published, err := b.publish(ctx, baseTicket(plansOf(b)))
	if err != nil {
		return err
	}
	for _, node := range b.Nodes {
		if err := node.SetTargetMode(ctx, target.Mode{ServiceMS: serviceMS}); err != nil {
			return err
		}
	}
	return b.settle(ctx, []publication{published})
}

// addresses returns an address of each node for which keep holds.
func (b *bench) addresses(address func(*fleet.Node) string, keep func(*fleet.Node) bool) []string {
	var addresses []string
	for _, node := range b.Nodes {
		if keep(node) {
			addresses = append(addresses, address(node))
		}
	}
	return addresses
}

func callersAddress(node *fleet.Node) string { return node.CallersAddress }

func targetAddress(node *fleet.Node) string { return node.TargetAddress }

// measureLatency sends the same calls straight to the targets and through two
// nodes, in turn, and prints what the nodes add.
func measureLatency(ctx context.Context, out *output) error {
	b, err := startCallBench(ctx, twoServices, latencyServiceMS)
	if err != nil {
		return err
	}
	defer b.Close()
	b.crossedLoad(ctx, "warm", callsPerNode, warmUpDuration, true)
	b.crossedLoad(ctx, "warm-direct", callsPerNode, warmUpDuration, false)
	for _, perNode := range []float64{100, 200, callsPerNode, 600} {
		if err := b.latencyAt(ctx, out, perNode); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) latencyAt(ctx context.Context, out *output, perNode float64) error {
	name := fmt.Sprintf("r%.0f", perNode)
	direct := b.crossedLoad(ctx, "direct-"+name, perNode, latencyDuration, false)
	cpuBefore, _, err := b.usage()
	if err != nil {
		return err
	}
	through := b.crossedLoad(ctx, "through-"+name, perNode, latencyDuration, true)
	cpuAfter, resident, err := b.usage()
	if err != nil {
		return err
	}
	directP50, directP99 := latencies(direct, "lookup")
	p50, p99 := latencies(through, "lookup")
	nodes := float64(len(b.Nodes))
	out.line(
		field{"calls_per_node_s", perNode},
		field{"calls", len(through.Calls)}, field{"answered", through.Total(load.Answered)},
		field{"direct_answered", direct.Total(load.Answered)},
		field{"direct_p50_ms", directP50}, field{"direct_p99_ms", directP99},
		field{"p50_ms", p50}, field{"p99_ms", p99},
		field{"added_p50_ms", p50 - directP50}, field{"added_p99_ms", p99 - directP99},
		field{"target_added_p99_ms", addedLimitMS},
		field{"cpu_percent_of_core_per_node", 100 * (cpuAfter - cpuBefore).Seconds() / latencyDuration.Seconds() / nodes},
		field{"greatest_resident_mb", float64(resident) / (1 << 20)},
		field{"failures", through.Failures},
	)
	return nil
}

func latencies(report *load.Report, group string) (p50, p99 float64) {
	histogram := report.Group(group).Latency
	return load.PercentileMillis(histogram, 50), load.PercentileMillis(histogram, 99)
}

// crossedLoad sends lookups of each service at a rate for each node, through
// the nodes of the other service or straight to the targets.
func (b *bench) crossedLoad(ctx context.Context, run string, perNode float64, duration time.Duration, through bool) *load.Report {
	client := load.NewClient()
	defer client.CloseIdleConnections()
	reports := make([]*load.Report, 2)
	var wait sync.WaitGroup
	for i, service := range []string{"service-a", "service-b"} {
		entries := b.addresses(targetAddress, func(n *fleet.Node) bool { return n.Service == service })
		if through {
			entries = b.addresses(callersAddress, func(n *fleet.Node) bool { return n.Service != service })
		}
		wait.Go(func() {
			reports[i] = load.Run(ctx, client, load.Plan{
				Rate: perNode * float64(len(b.Nodes)) / 2, Duration: duration, Entries: entries, MaxInFlight: maxInFlight,
				Next: func(i int) load.Call { return lookup(run, service, i) },
			})
		})
	}
	wait.Wait()
	return reports[0].Merge(reports[1])
}

// failuresOf joins a report's first failures.
func failuresOf(report *load.Report) string {
	return strings.Join(report.Failures, "; ")
}
