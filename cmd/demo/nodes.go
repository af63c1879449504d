package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
	"jasminegate/internal/standin/target"
	"jasminegate/internal/state"
)

// pollInterval is the time between two looks at a node.
const pollInterval = time.Millisecond

// publishTicket publishes through the node and returns the version's position.
func publishTicket(ctx context.Context, node *fleet.Node, ticket state.Ticket) (uint64, error) {
	data, err := ticket.Encode()
	if err != nil {
		return 0, err
	}
	answer, err := node.Publish(ctx, data)
	if err != nil {
		return 0, err
	}
	var published adminapi.PublishResponse
	if err := json.Unmarshal(answer, &published); err != nil {
		return 0, err
	}
	return uint64(published.Offset) + 1, nil
}

// awaitStatus waits until the node's status meets the condition.
func awaitStatus(ctx context.Context, node *fleet.Node, met func(adminapi.Status) bool) error {
	for ctx.Err() == nil {
		status, err := node.Status(ctx)
		if err != nil {
			return err
		}
		if met(status) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("node %s: %w", node.ID, ctx.Err())
}

// awaitTargets waits until every node knows every target.
func (d *demonstration) awaitTargets(ctx context.Context) error {
	for _, node := range d.fleet.Nodes {
		for {
			ready, err := node.ReadyTargets(ctx)
			if err != nil {
				return err
			}
			if ready == len(d.fleet.Nodes) {
				break
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// victims returns a rider-view node to kill and an order-desk node of the other
// failure domain to drain, so that a node of each domain remains.
func (d *demonstration) victims() (killed, drained *fleet.Node) {
	for _, node := range d.fleet.Nodes {
		switch {
		case node.Service == "rider-view" && node.Domain == domains[0]:
			killed = node
		case node.Service == "order-desk" && node.Domain == domains[1]:
			drained = node
		}
	}
	return killed, drained
}

// replace starts the node and, when it ended, its target again.
func replace(node *fleet.Node) error {
	if err := node.Start(); err != nil {
		return err
	}
	if node.Target().Running() {
		return nil
	}
	return node.StartTarget()
}

// remaining returns a node that still runs.
func (d *demonstration) remaining() *fleet.Node {
	for _, node := range d.fleet.Nodes {
		if node.Process().Running() {
			return node
		}
	}
	return nil
}

func (d *demonstration) entriesWithout(excluded ...*fleet.Node) []string {
	var entries []string
	for _, node := range d.fleet.Nodes {
		if !slices.Contains(excluded, node) {
			entries = append(entries, node.CallersAddress)
		}
	}
	return entries
}

func (d *demonstration) ledgersWithout(ctx context.Context, killed *fleet.Node) ([]target.Ledger, error) {
	var ledgers []target.Ledger
	for _, node := range d.fleet.Nodes {
		if node == killed {
			continue
		}
		ledger, err := node.Ledger(ctx)
		if err != nil {
			return nil, err
		}
		ledgers = append(ledgers, ledger)
	}
	return ledgers, nil
}

// controlBytes sums up the control bytes of the running nodes.
func (d *demonstration) controlBytes(ctx context.Context) (uint64, error) {
	var total uint64
	for _, node := range d.fleet.Nodes {
		if !node.Process().Running() {
			continue
		}
		body, err := node.Metrics(ctx)
		if err != nil {
			return 0, err
		}
		total += load.ParseControlBytes(body).Total()
	}
	return total, nil
}
