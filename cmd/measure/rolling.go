package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
)

const (
	rollingRate   = 200 // calls a second
	rollingPause  = 500 * time.Millisecond
	drainDeadline = 30 * time.Second
)

// measureRolling replaces every target with its node, one after the other,
// while calls go on. Callers move on when their entry closes.
func measureRolling(ctx context.Context, out *output) error {
	for _, order := range []string{"node_first", "target_first", "together"} {
		if err := rollingIn(ctx, out, order); err != nil {
			return err
		}
	}
	return nil
}

func rollingIn(ctx context.Context, out *output, order string) error {
	b, err := startCallBench(ctx, twoServices, overloadServiceMS)
	if err != nil {
		return err
	}
	defer b.Close()
	done := make(chan error, 1)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go func() {
		err := b.replaceAll(ctx, order)
		sleep(ctx, time.Second)
		stopLoad()
		done <- err
	}()
	start := time.Now()
	report := b.mixedLoad(loadCtx, "rolling-"+order)
	if err := <-done; err != nil {
		return err
	}
	out.line(
		field{"order", order}, field{"replaced", len(b.Nodes)},
		field{"seconds", time.Since(start).Seconds()},
		field{"calls", len(report.Calls)}, field{"answered", report.Total(load.Answered)},
		field{"not_run", report.Total(load.NotRun)}, field{"unknown", report.Total(load.Unknown)},
		field{"failed", report.Total(load.Failed) + report.Total(load.Refused)},
		field{"failures", report.Failures},
	)
	return nil
}

// mixedLoad alternates lookups and filings of both services until ctx ends.
// Half of the nodes at a time are entries: those of the other service.
func (b *bench) mixedLoad(ctx context.Context, run string) *load.Report {
	client := load.NewClient()
	defer client.CloseIdleConnections()
	return load.Run(ctx, client, load.Plan{
		Rate: rollingRate, Duration: 2 * time.Minute, MaxInFlight: maxInFlight,
		EntryFor: b.runningEntry,
		Next: func(i int) load.Call {
			service := b.Nodes[i%len(b.Nodes)].Service
			if i/len(b.Nodes)%2 == 0 {
				return lookup(run, service, i)
			}
			return filing(run, service, i)
		},
	})
}

// runningEntry returns an entry that accepts callers, as a caller's own
// discovery would.
func (b *bench) runningEntry(i int) string {
	for offset := range len(b.Nodes) {
		node := b.Nodes[(i+offset)%len(b.Nodes)]
		if b.entryOpen(node) {
			return node.CallersAddress
		}
	}
	return b.Nodes[0].CallersAddress
}

func (b *bench) entryOpen(node *fleet.Node) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !slices.Contains(b.closedEntries, node.ID)
}

func (b *bench) setEntry(node *fleet.Node, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closedEntries = slices.DeleteFunc(b.closedEntries, func(id string) bool { return id == node.ID })
	if !open {
		b.closedEntries = append(b.closedEntries, node.ID)
	}
}

func (b *bench) replaceAll(ctx context.Context, order string) error {
	sleep(ctx, time.Second)
	for _, node := range b.Nodes {
		b.setEntry(node, false)
		if err := b.replace(ctx, node, order); err != nil {
			return fmt.Errorf("%s: %w", node.ID, err)
		}
		b.setEntry(node, true)
		sleep(ctx, rollingPause)
	}
	return nil
}

// replace stops one node and its target in the order and starts them again.
func (b *bench) replace(ctx context.Context, node *fleet.Node, order string) error {
	ctx, cancel := context.WithTimeout(ctx, drainDeadline)
	defer cancel()
	first, second := node.Process(), node.Target()
	if order == "target_first" {
		first, second = second, first
	}
	if order == "together" {
		if err := second.SendTerminate(); err != nil {
			return err
		}
	}
	if err := first.Terminate(ctx); err != nil {
		return err
	}
	if second.Running() {
		if err := second.Terminate(ctx); err != nil {
			return err
		}
	}
	if err := node.Start(); err != nil {
		return err
	}
	if err := node.StartTarget(); err != nil {
		return err
	}
	return b.awaitWhole(ctx)
}

// measureKeyed compares filings with and without an Idempotency-Key.
func measureKeyed(ctx context.Context, out *output) error {
	b, err := startCallBench(ctx, twoServices, latencyServiceMS)
	if err != nil {
		return err
	}
	defer b.Close()
	entries := b.addresses(callersAddress, func(n *fleet.Node) bool { return n.Service == "service-b" })
	for _, keyed := range []bool{false, true, false, true} {
		client := load.NewClient()
		run := fmt.Sprintf("keyed-%t-%d", keyed, time.Now().UnixNano())
		report := load.Run(ctx, client, load.Plan{
			Rate: rollingRate, Duration: latencyDuration, Entries: entries, MaxInFlight: maxInFlight,
			Next: func(i int) load.Call {
				call := filing(run, "service-a", i)
				if keyed {
					call.Key = call.ID
				}
				return call
			},
		})
		client.CloseIdleConnections()
		p50, p99 := latencies(report, "filing")
		out.line(
			field{"keyed", keyed}, field{"calls", len(report.Calls)}, field{"answered", report.Total(load.Answered)},
			field{"p50_ms", p50}, field{"p99_ms", p99}, field{"failures", report.Failures},
		)
	}
	return nil
}
