package main

import (
	"context"
	"fmt"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
)

const (
	failoverRate   = 200             // calls per second
	failoverBefore = 2 * time.Second // load before the fault
	failoverAfter  = 6 * time.Second // load after the fault
)

// measureFailover measures call outcomes when an instance is killed, when its
// node is paused and when its target drains, and the retry amplification when
// half of the targets are killed.
func measureFailover(ctx context.Context, out *output) error {
	cases := []struct {
		name  string
		fault func(context.Context, *fleet.Node) error
	}{
		{"dead", func(_ context.Context, node *fleet.Node) error {
			node.Process().Kill()
			node.Target().Kill()
			return nil
		}},
		// A paused node keeps its connections open and sends nothing.
		{"silent", func(_ context.Context, node *fleet.Node) error { return node.Process().Pause() }},
		{"draining", func(ctx context.Context, node *fleet.Node) error { return node.DrainTarget(ctx) }},
	}
	for _, c := range cases {
		if err := measureFailoverCase(ctx, out, c.name, c.fault); err != nil {
			return err
		}
	}
	return measureHalfOutage(ctx, out)
}

func measureFailoverCase(ctx context.Context, out *output, name string, fault func(context.Context, *fleet.Node) error) error {
	b, err := startCallBench(ctx, oneService, latencyServiceMS)
	if err != nil {
		return err
	}
	defer b.Close()
	victim := b.Nodes[0]
	entries := b.addresses(callersAddress, func(n *fleet.Node) bool { return n != victim })
	faultTimes := make(chan time.Time, 1)
	go func() {
		sleep(ctx, failoverBefore)
		faultTime := time.Now()
		if err := fault(ctx, victim); err != nil {
			out.line(field{"case", name}, field{"error", err.Error()})
		}
		faultTimes <- faultTime
	}()
	client := load.NewClient()
	defer client.CloseIdleConnections()
	report := load.Run(ctx, client, load.Plan{
		Rate: failoverRate, Duration: failoverBefore + failoverAfter, Entries: entries, MaxInFlight: maxInFlight,
		Next: func(i int) load.Call {
			if i%2 == 0 {
				return lookup(name, "service-a", i)
			}
			return filing(name, "service-a", i)
		},
	})
	faultTime := <-faultTimes
	lookups, filings := report.Group("lookup"), report.Group("filing")
	out.line(
		field{"case", name}, field{"calls", len(report.Calls)},
		field{"lookups_not_answered", len(report.Calls)/2 - lookups.Outcomes[load.Answered]},
		field{"filings_unknown", filings.Outcomes[load.Unknown]},
		field{"filings_not_run", filings.Outcomes[load.NotRun]},
		field{"lookup_p99_ms", load.PercentileMillis(lookups.Latency, 99)}, field{"lookup_max_ms", load.PercentileMillis(lookups.Latency, 100)},
		field{"last_slow_or_unanswered_ms", millisAfterFault(report.LastSlowOrUnanswered(slowCallLatency), faultTime)},
		field{"last_start_at_victim_ms", b.lastStartAfterFault(ctx, victim, faultTime)},
		field{"failures", failuresOf(report)},
	)
	return nil
}

// millisAfterFault returns the time from the fault to lastSlow in milliseconds,
// or nil when lastSlow is zero: no call was slow or unanswered.
func millisAfterFault(lastSlow, fault time.Time) any {
	if lastSlow.IsZero() {
		return nil
	}
	return millis(lastSlow.Sub(fault))
}

// slowCallLatency is the latency that an answered call exceeds only after an
// attempt at the failed upstream.
const slowCallLatency = 150 * time.Millisecond

// lastStartAfterFault returns when the victim's target started its last call, in
// milliseconds after the fault, or nil when the target does not run or its
// ledger cannot be read.
func (b *bench) lastStartAfterFault(ctx context.Context, victim *fleet.Node, fault time.Time) any {
	if !victim.Target().Running() {
		return nil
	}
	ledger, err := victim.Ledger(ctx)
	if err != nil {
		return nil
	}
	last := int64(0)
	for _, entry := range ledger.Tests {
		last = max(last, entry.StartedMS)
	}
	return last - fault.UnixMilli()
}

// measureHalfOutage kills half of the targets under load and prints the retry
// amplification: the attempts for each request.
func measureHalfOutage(ctx context.Context, out *output) error {
	b, err := startCallBench(ctx, oneService, latencyServiceMS)
	if err != nil {
		return err
	}
	defer b.Close()
	entries := b.addresses(callersAddress, func(*fleet.Node) bool { return true })
	go func() {
		sleep(ctx, failoverBefore)
		for _, node := range b.Nodes[:len(b.Nodes)/2] {
			node.Target().Kill()
		}
	}()
	client := load.NewClient()
	defer client.CloseIdleConnections()
	report := load.Run(ctx, client, load.Plan{
		Rate: failoverRate, Duration: failoverBefore + failoverAfter, Entries: entries, MaxInFlight: maxInFlight,
		Next: func(i int) load.Call { return lookup("half", "service-a", i) },
	})
	requests, retries := 0.0, 0.0
	for _, node := range b.Nodes {
		body, err := node.Metrics(ctx)
		if err != nil {
			return err
		}
		requests += load.MetricValue(body, "jasminegate_requests_total")
		retries += load.MetricValue(body, "jasminegate_retries_total")
	}
	if requests == 0 {
		return fmt.Errorf("jasminegate_requests_total is 0 on every node")
	}
	// target_amplification is the goal for retry_amplification; it has nothing to do
	// with targets.
	out.line(
		field{"case", "half_outage"}, field{"calls", len(report.Calls)}, field{"answered", report.Total(load.Answered)},
		field{"not_run", report.Total(load.NotRun)}, field{"unknown", report.Total(load.Unknown)},
		field{"retry_amplification", (requests + retries) / requests}, field{"target_amplification", 1.1},
		field{"failures", failuresOf(report)},
	)
	return nil
}
