package main

import (
	"context"
	"time"

	"github.com/klauspost/compress/zstd"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
)

const (
	idleDuration  = 20 * time.Second
	settlePause   = 3 * time.Second // before traffic is measured
	bytesTickets  = 20              // as many as publishSingles publishes
	joinDuration  = 10 * time.Second
	rejoinTimeout = 40 * time.Second
)

// measureBytes measures the control traffic of each layout.
func measureBytes(ctx context.Context, out *output) error {
	for _, l := range measuredLayouts {
		if err := measureLayoutBytes(ctx, out, l); err != nil {
			return err
		}
	}
	return nil
}

func measureLayoutBytes(ctx context.Context, out *output, l layout) error {
	b, err := startBench(ctx, l)
	if err != nil {
		return err
	}
	defer b.Close()
	first, err := b.publish(ctx, baseTicket(l.nodes))
	if err != nil {
		return err
	}
	if err := b.awaitLastApplied(ctx, []publication{first}); err != nil {
		return err
	}
	sleep(ctx, settlePause)
	idle, err := b.measureIdleBytes(ctx, out, l.name)
	if err != nil {
		return err
	}
	if err := b.measureTicketBytes(ctx, out, l.name, idle); err != nil {
		return err
	}
	if err := b.measureJoinBytes(ctx, out, l.name, idle); err != nil {
		return err
	}
	return b.measureRestartBytes(ctx, out, l.name)
}

// trafficRate is the control traffic of all nodes in bytes per second, with the
// reads and appends per second at the platform.
type trafficRate struct {
	bytes   float64
	reads   float64
	appends float64
}

// measureTraffic runs the action and measures the control traffic from its
// start until wait has passed, or until the action ends if it takes longer. It
// returns the bytes, the measured time and the rates.
func (b *bench) measureTraffic(ctx context.Context, wait time.Duration, action func() error) (load.ControlByteCounts, time.Duration, trafficRate, error) {
	before, err := b.trafficOfNodes(ctx)
	if err != nil {
		return load.ControlByteCounts{}, 0, trafficRate{}, err
	}
	statsBefore, err := b.Platform.Stats(ctx)
	if err != nil {
		return load.ControlByteCounts{}, 0, trafficRate{}, err
	}
	start := time.Now()
	if err := action(); err != nil {
		return load.ControlByteCounts{}, 0, trafficRate{}, err
	}
	sleep(ctx, wait-time.Since(start))
	elapsed := time.Since(start)
	traffic, err := b.trafficSince(ctx, before)
	if err != nil {
		return load.ControlByteCounts{}, 0, trafficRate{}, err
	}
	stats, err := b.Platform.Stats(ctx)
	if err != nil {
		return load.ControlByteCounts{}, 0, trafficRate{}, err
	}
	var reads, appends int64
	for name, stream := range stats.Streams {
		earlier := statsBefore.Streams[name]
		reads += stream.Reads - earlier.Reads
		appends += stream.Appends - earlier.Appends
	}
	seconds := elapsed.Seconds()
	return traffic, elapsed, trafficRate{
		bytes:   float64(traffic.Total()) / seconds,
		reads:   float64(reads) / seconds,
		appends: float64(appends) / seconds,
	}, nil
}

// measureIdleBytes measures the control traffic of the idle fleet and returns
// it in bytes per second.
func (b *bench) measureIdleBytes(ctx context.Context, out *output, layout string) (float64, error) {
	traffic, elapsed, rates, err := b.measureTraffic(ctx, idleDuration, func() error { return nil })
	if err != nil {
		return 0, err
	}
	nodes := float64(len(b.Nodes))
	out.line(
		field{"layout", layout}, field{"case", "idle"}, field{"nodes", len(b.Nodes)},
		field{"bytes_per_node_s", rates.bytes / nodes},
		field{"platform_bytes_per_node_s", float64(traffic.PlatformSent+traffic.PlatformReceived) / elapsed.Seconds() / nodes},
		field{"platform_reads_s", rates.reads}, field{"platform_appends_s", rates.appends},
	)
	return rates.bytes, nil
}

// measureTicketBytes measures the control bytes per ticket and node above the
// idle rate, and those of the baseline.
func (b *bench) measureTicketBytes(ctx context.Context, out *output, layout string, idle float64) error {
	base := startBaseline(ctx, b)
	defer base.stop()
	var published []publication
	wait := bytesTickets*singlePause + 2*time.Second
	traffic, elapsed, rates, err := b.measureTraffic(ctx, wait, func() error {
		var err error
		published, err = b.publishSingles(ctx)
		return err
	})
	if err != nil {
		return err
	}
	baselineBefore := base.traffic.Received() + base.traffic.Sent()
	if _, err := base.publishSingles(ctx); err != nil {
		return err
	}
	sleep(ctx, time.Second)
	baselineBytes := base.traffic.Received() + base.traffic.Sent() - baselineBefore
	deliveries := float64(len(b.Nodes) * len(published))
	perTicket := (float64(traffic.Total()) - idle*elapsed.Seconds()) / deliveries
	compressed, err := compressedSize(b.Nodes[0])
	if err != nil {
		return err
	}
	out.line(
		field{"layout", layout}, field{"case", "ticket"},
		field{"bytes_per_ticket_node", perTicket},
		field{"platform_bytes_per_ticket_node", float64(traffic.PlatformSent+traffic.PlatformReceived) / deliveries},
		field{"ticket_compressed_bytes", compressed},
		field{"target_bytes", 1.5*float64(compressed) + 200},
		field{"baseline_bytes_per_ticket_node", float64(baselineBytes) / deliveries},
		field{"platform_reads_s", rates.reads}, field{"platform_appends_s", rates.appends},
	)
	return nil
}

// compressedSize returns the size in bytes of a ticket with one route,
// compressed on its own.
func compressedSize(node *fleet.Node) (int, error) {
	ticket := routeChange(node.Service, 0)
	ticket.Number = 1
	data, err := ticket.Encode()
	if err != nil {
		return 0, err
	}
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		return 0, err
	}
	defer encoder.Close()
	return len(encoder.EncodeAll(data, nil)), nil
}

// measureJoinBytes measures the control bytes above the idle rate when one node
// is killed and started again.
func (b *bench) measureJoinBytes(ctx context.Context, out *output, layout string, idle float64) error {
	node := b.Nodes[len(b.Nodes)-1]
	var joined time.Duration
	traffic, elapsed, rates, err := b.measureTraffic(ctx, joinDuration, func() error {
		start := time.Now()
		err := b.restartNodes(ctx, []*fleet.Node{node})
		joined = time.Since(start)
		return err
	})
	if err != nil {
		return err
	}
	out.line(
		field{"layout", layout}, field{"case", "join"},
		field{"join_ms", millis(joined)},
		field{"bytes_above_idle", float64(traffic.Total()) - idle*elapsed.Seconds()},
		field{"platform_reads_s", rates.reads}, field{"platform_appends_s", rates.appends},
	)
	return nil
}

// measureRestartBytes measures the control traffic when half of the nodes of a
// failure domain are killed and started again at once.
func (b *bench) measureRestartBytes(ctx context.Context, out *output, layout string) error {
	domain := b.NodesInDomain(b.Nodes[0].Domain)
	restarted := domain[:(len(domain)+1)/2]
	var recovered time.Duration
	traffic, elapsed, rates, err := b.measureTraffic(ctx, joinDuration, func() error {
		start := time.Now()
		err := b.restartNodes(ctx, restarted)
		recovered = time.Since(start)
		return err
	})
	if err != nil {
		return err
	}
	out.line(
		field{"layout", layout}, field{"case", "herd"}, field{"restarted", len(restarted)},
		field{"back_ms", millis(recovered)},
		field{"bytes_per_node_s", float64(traffic.Total()) / elapsed.Seconds() / float64(len(b.Nodes))},
		field{"platform_reads_s", rates.reads}, field{"platform_appends_s", rates.appends},
	)
	return nil
}

// restartNodes kills the nodes, starts them again and waits until every running
// node is ready and knows every running target.
func (b *bench) restartNodes(ctx context.Context, nodes []*fleet.Node) error {
	for _, node := range nodes {
		node.Process().Kill()
	}
	for _, node := range nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, rejoinTimeout)
	defer cancel()
	return b.awaitFleetReady(ctx)
}
