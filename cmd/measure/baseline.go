package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"jasminegate/internal/state"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/platformlog"
)

// baselineStream is the log stream with the full states of the baseline.
const baselineStream = "baseline"

// baselineWait is how long a read waits at the log for a new record.
const baselineWait = 20 * time.Second

// baseline distributes the configuration in the simplest way, for comparison:
// each node tails the log on its own, and each record holds the full state. It
// runs at the same time and on the same platform as the measured fleet.
type baseline struct {
	bench   *bench
	traffic *peer.Traffic
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu       sync.Mutex
	arrivals map[int64][]time.Time
}

func startBaseline(ctx context.Context, b *bench) *baseline {
	ctx, cancel := context.WithCancel(ctx)
	base := &baseline{bench: b, traffic: &peer.Traffic{}, cancel: cancel, arrivals: make(map[int64][]time.Time)}
	for range b.Nodes {
		base.done.Go(func() { base.tail(ctx) })
	}
	return base
}

func (b *baseline) stop() {
	b.cancel()
	b.done.Wait()
}

// tail reads the stream, as each node of the baseline does, until ctx ends.
func (b *baseline) tail(ctx context.Context) {
	log := platformlog.New(b.bench.Platform.URL(), baselineWait, b.client())
	next := int64(0)
	for ctx.Err() == nil {
		batch, err := log.Read(ctx, baselineStream, next, baselineWait)
		if err != nil {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		now := time.Now()
		for _, record := range batch.Records {
			next = record.Offset + 1
			b.recordArrival(record.Offset, now)
		}
	}
}

func (b *baseline) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var dialer net.Dialer
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return b.traffic.Conn(conn), nil
		},
	}}
}

func (b *baseline) recordArrival(offset int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals[offset] = append(b.arrivals[offset], at)
}

// publish appends the full state and returns the offset of its record and the
// time of the acknowledgement.
func (b *baseline) publish(ctx context.Context, full state.Ticket) (int64, time.Time, error) {
	data, err := json.Marshal(full)
	if err != nil {
		return 0, time.Time{}, err
	}
	offset, err := b.bench.Platform.Log.Append(ctx, baselineStream, bytes.TrimSpace(data))
	return offset, time.Now(), err
}

// publishSingles publishes singleTickets full states with a pause after each and
// returns the times that each took to reach each node.
func (b *baseline) publishSingles(ctx context.Context) ([]time.Duration, error) {
	full := baseTicket(nodePlans(b.bench))
	var times []time.Duration
	for i := range singleTickets {
		full.Number = uint64(i + 1)
		offset, acknowledged, err := b.publish(ctx, full)
		if err != nil {
			return nil, err
		}
		sleep(ctx, singlePause)
		b.mu.Lock()
		for _, at := range b.arrivals[offset] {
			times = append(times, max(0, at.Sub(acknowledged)))
		}
		b.mu.Unlock()
	}
	return times, nil
}
