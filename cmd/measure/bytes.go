package main

import (
	"context"
	"time"

	"github.com/klauspost/compress/zstd"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
)

const (
	idleDuration   = 20 * time.Second
	settlePause    = 3 * time.Second
	bytesTickets   = 20
	joinDuration   = 10 * time.Second
	rejoinDeadline = 40 * time.Second
)

// measureBytes measures the control bytes of each layout.
func measureBytes(ctx context.Context, out *output) error {
	for _, l := range measuredLayouts {
		if err := bytesOf(ctx, out, l); err != nil {
			return err
		}
	}
	return nil
}

func bytesOf(ctx context.Context, out *output, l layout) error {
	b, err := startBench(ctx, l)
	if err != nil {
		return err
	}
	defer b.Close()
	first, err := b.publish(ctx, baseTicket(l.nodes))
	if err != nil {
		return err
	}
	if err := b.settle(ctx, []publication{first}); err != nil {
		return err
	}
	sleep(ctx, settlePause)
	idle, err := b.idleBytes(ctx, out, l.name)
	if err != nil {
		return err
	}
	if err := b.ticketBytes(ctx, out, l.name, idle); err != nil {
		return err
	}
	if err := b.joinBytes(ctx, out, l.name, idle); err != nil {
		return err
	}
	return b.herdBytes(ctx, out, l.name)
}

// rate is control bytes a second over all nodes, with the platform's load.
type rate struct {
	bytes   float64
	reads   float64
	appends float64
}

// over measures what happens during the action and a wait after it.
func (b *bench) over(ctx context.Context, wait time.Duration, action func() error) (load.ControlByteCounts, time.Duration, rate, error) {
	before, err := b.trafficOfNodes(ctx)
	if err != nil {
		return load.ControlByteCounts{}, 0, rate{}, err
	}
	statsBefore, err := b.Platform.Stats(ctx)
	if err != nil {
		return load.ControlByteCounts{}, 0, rate{}, err
	}
	start := time.Now()
	if err := action(); err != nil {
		return load.ControlByteCounts{}, 0, rate{}, err
	}
	sleep(ctx, wait-time.Since(start))
	elapsed := time.Since(start)
	spent, err := b.trafficSince(ctx, before)
	if err != nil {
		return load.ControlByteCounts{}, 0, rate{}, err
	}
	stats, err := b.Platform.Stats(ctx)
	if err != nil {
		return load.ControlByteCounts{}, 0, rate{}, err
	}
	var reads, appends int64
	for name, stream := range stats.Streams {
		earlier := statsBefore.Streams[name]
		reads += stream.Reads - earlier.Reads
		appends += stream.Appends - earlier.Appends
	}
	seconds := elapsed.Seconds()
	return spent, elapsed, rate{
		bytes:   float64(spent.Total()) / seconds,
		reads:   float64(reads) / seconds,
		appends: float64(appends) / seconds,
	}, nil
}

// idleBytes measures a fleet at rest and returns its bytes a second.
func (b *bench) idleBytes(ctx context.Context, out *output, layout string) (float64, error) {
	spent, elapsed, at, err := b.over(ctx, idleDuration, func() error { return nil })
	if err != nil {
		return 0, err
	}
	nodes := float64(len(b.Nodes))
	out.line(
		field{"layout", layout}, field{"case", "idle"}, field{"nodes", len(b.Nodes)},
		field{"bytes_per_node_s", at.bytes / nodes},
		field{"platform_bytes_per_node_s", float64(spent.PlatformSent+spent.PlatformReceived) / elapsed.Seconds() / nodes},
		field{"platform_reads_s", at.reads}, field{"platform_appends_s", at.appends},
	)
	return at.bytes, nil
}

// ticketBytes measures what one ticket costs each node above the idle rate,
// beside the baseline.
func (b *bench) ticketBytes(ctx context.Context, out *output, layout string, idle float64) error {
	base := startBaseline(ctx, b)
	defer base.stop()
	var published []publication
	wait := bytesTickets*singlePause + 2*time.Second
	spent, elapsed, at, err := b.over(ctx, wait, func() error {
		var err error
		published, err = b.singles(ctx)
		return err
	})
	if err != nil {
		return err
	}
	baselineBefore := base.traffic.Received() + base.traffic.Sent()
	if _, err := base.singles(ctx); err != nil {
		return err
	}
	sleep(ctx, time.Second)
	baselineBytes := base.traffic.Received() + base.traffic.Sent() - baselineBefore
	events := float64(len(b.Nodes) * len(published))
	perTicket := (float64(spent.Total()) - idle*elapsed.Seconds()) / events
	compressed, err := compressedSize(b.Nodes[0])
	if err != nil {
		return err
	}
	out.line(
		field{"layout", layout}, field{"case", "ticket"},
		field{"bytes_per_ticket_node", perTicket},
		field{"platform_bytes_per_ticket_node", float64(spent.PlatformSent+spent.PlatformReceived) / events},
		field{"ticket_compressed_bytes", compressed},
		field{"target_bytes", 1.5*float64(compressed) + 200},
		field{"baseline_bytes_per_ticket_node", float64(baselineBytes) / events},
		field{"platform_reads_s", at.reads}, field{"platform_appends_s", at.appends},
	)
	return nil
}

// compressedSize is the size of a single-route ticket compressed by itself.
func compressedSize(node *fleet.Node) (int, error) {
	ticket := oneRoute(node.Service, 0)
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

// joinBytes measures what a killed and restarted node costs the fleet.
func (b *bench) joinBytes(ctx context.Context, out *output, layout string, idle float64) error {
	node := b.Nodes[len(b.Nodes)-1]
	var joined time.Duration
	spent, elapsed, at, err := b.over(ctx, joinDuration, func() error {
		start := time.Now()
		err := b.restart(ctx, []*fleet.Node{node})
		joined = time.Since(start)
		return err
	})
	if err != nil {
		return err
	}
	out.line(
		field{"layout", layout}, field{"case", "join"},
		field{"join_ms", millis(joined)},
		field{"bytes_above_idle", float64(spent.Total()) - idle*elapsed.Seconds()},
		field{"platform_reads_s", at.reads}, field{"platform_appends_s", at.appends},
	)
	return nil
}

// herdBytes kills half of a failure domain at once and starts it again.
func (b *bench) herdBytes(ctx context.Context, out *output, layout string) error {
	domain := b.NodesInDomain(b.Nodes[0].Domain)
	herd := domain[:(len(domain)+1)/2]
	var back time.Duration
	spent, elapsed, at, err := b.over(ctx, joinDuration, func() error {
		start := time.Now()
		err := b.restart(ctx, herd)
		back = time.Since(start)
		return err
	})
	if err != nil {
		return err
	}
	out.line(
		field{"layout", layout}, field{"case", "herd"}, field{"restarted", len(herd)},
		field{"back_ms", millis(back)},
		field{"bytes_per_node_s", float64(spent.Total()) / elapsed.Seconds() / float64(len(b.Nodes))},
		field{"platform_reads_s", at.reads}, field{"platform_appends_s", at.appends},
	)
	return nil
}

// restart kills the nodes, starts them again and waits until the fleet is whole.
func (b *bench) restart(ctx context.Context, nodes []*fleet.Node) error {
	for _, node := range nodes {
		node.Process().Kill()
	}
	for _, node := range nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, rejoinDeadline)
	defer cancel()
	return b.awaitWhole(ctx)
}
