package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
	"jasminegate/internal/standin/target"
)

const (
	overloadServiceMS = 20
	overloadSlots     = 6
	overloadTargets   = 4
	overloadDuration  = 8 * time.Second
	overloadInFlight  = 8000
	baselineAttempts  = 3
	// searchPercent is the percentage of background calls.
	searchPercent = 40
)

// oneService is a layout of one service with an upstream in each of four failure
// domains.
var oneService = layout{"one_service", fleet.PlaceServices(
	[]string{"d0", "d1", "d2", "d3"},
	[]fleet.ServicePlan{{Name: "service-a", Targets: overloadTargets, Slots: overloadSlots, Connections: 120}},
), nil}

// measureOverload offers 0.5 to 4 times the capacity of the targets, first
// through the nodes and then with the baseline: callers send to the targets
// directly, round robin and without limits, and retry every failed call.
func measureOverload(ctx context.Context, out *output) error {
	b, err := startCallBench(ctx, oneService, overloadServiceMS)
	if err != nil {
		return err
	}
	defer b.Close()
	capacity := float64(overloadTargets*overloadSlots) * 1000 / overloadServiceMS
	entries := b.addresses(callersAddress, func(*fleet.Node) bool { return true })
	targets := b.addresses(targetAddress, func(*fleet.Node) bool { return true })
	for _, factor := range []float64{0.5, 1, 2, 4} {
		report := b.offerLoad(ctx, fmt.Sprintf("x%.1f", factor), factor*capacity, entries, 1)
		printOverload(out, "jasminegate", factor, capacity, report)
		if discrepancies, err := b.checkLedgers(ctx, report, true); err != nil || len(discrepancies) > 0 {
			return fmt.Errorf("callers' report and target ledgers at %.1f times the capacity: %v %v", factor, discrepancies, err)
		}
	}
	for _, factor := range []float64{0.5, 1, 2, 4} {
		report := b.offerLoad(ctx, fmt.Sprintf("b%.1f", factor), factor*capacity, targets, baselineAttempts)
		printOverload(out, "baseline", factor, capacity, report)
		sleep(ctx, callTimeout)
	}
	return nil
}

// offerLoad sends lookups and searches at the rate, in calls per second. The
// caller sends a call up to attempts times until it is answered.
func (b *bench) offerLoad(ctx context.Context, run string, rate float64, entries []string, attempts int) *load.Report {
	client := load.NewClient()
	defer client.CloseIdleConnections()
	return load.Run(ctx, client, load.Plan{
		Rate: rate, Duration: overloadDuration, Entries: entries, MaxInFlight: overloadInFlight, MaxAttempts: attempts,
		Next: func(i int) load.Call {
			if i%100 < searchPercent {
				return search(run, "service-a", i)
			}
			return lookup(run, "service-a", i)
		},
	})
}

func printOverload(out *output, system string, factor, capacity float64, report *load.Report) {
	for _, group := range []string{"lookup", "search"} {
		part := report.Group(group)
		out.line(
			field{"system", system}, field{"times_capacity", factor}, field{"class", group},
			field{"goodput_s", float64(part.Outcomes[load.Answered]) / overloadDuration.Seconds()},
			field{"goodput_all_s", float64(report.Total(load.Answered)) / overloadDuration.Seconds()},
			field{"capacity_s", capacity},
			field{"p50_ms", load.PercentileMillis(part.Latency, 50)}, field{"p99_ms", load.PercentileMillis(part.Latency, 99)},
			field{"not_run", part.Outcomes[load.NotRun]}, field{"refusal_p99_ms", load.PercentileMillis(part.NotRunLatency, 99)},
			field{"not_run_without_retry_after", part.MissingRetryAfter},
			field{"unknown", part.Outcomes[load.Unknown]}, field{"failed", part.Outcomes[load.Failed] + part.Outcomes[load.Refused]},
			field{"skipped", report.Skipped},
		)
	}
}

// checkLedgers compares the callers' report with the ledgers of the running
// targets and returns one line for each discrepancy. complete says that every
// target is running: only then does an answered call that is in no ledger count.
func (b *bench) checkLedgers(ctx context.Context, report *load.Report, complete bool) ([]string, error) {
	ledgers, err := b.ledgers(ctx)
	if err != nil {
		return nil, err
	}
	return load.CheckLedgers(report, ledgers, complete), nil
}

func (b *bench) ledgers(ctx context.Context) ([]target.Ledger, error) {
	var (
		mu      sync.Mutex
		ledgers []target.Ledger
		wait    sync.WaitGroup
		failed  error
	)
	for _, node := range b.Nodes {
		if !node.Target().Running() {
			continue
		}
		wait.Go(func() {
			ledger, err := node.Ledger(ctx)
			mu.Lock()
			defer mu.Unlock()
			ledgers = append(ledgers, ledger)
			if err != nil {
				failed = err
			}
		})
	}
	wait.Wait()
	return ledgers, failed
}
