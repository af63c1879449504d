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

// pollInterval is the time between two status requests to a node.
const pollInterval = time.Millisecond

// publishTicket publishes the ticket through the node and returns the position
// of the configuration version that it makes.
func publishTicket(ctx context.Context, node *fleet.Node, ticket state.Ticket) (uint64, error) {
	data, err := ticket.Encode()
	if err != nil {
		return 0, err
	}
	body, err := node.Publish(ctx, data)
	if err != nil {
		return 0, err
	}
	var published adminapi.PublishResponse
	if err := json.Unmarshal(body, &published); err != nil {
		return 0, err
	}
	return uint64(published.Offset) + 1, nil
}

// awaitStatus waits until the condition holds for the node's status.
func awaitStatus(ctx context.Context, node *fleet.Node, condition func(adminapi.Status) bool) error {
	for ctx.Err() == nil {
		status, err := node.Status(ctx)
		if err != nil {
			return err
		}
		if condition(status) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("waiting for the status of node %s: %w", node.ID, ctx.Err())
}

// awaitTargets waits until every node counts every target as ready.
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

// faultedNodes returns a rider-view node to kill and an order-desk node of the
// other failure domain to shut down, so that each service and each domain keeps a
// running node.
func (d *demonstration) faultedNodes() (killed, stopped *fleet.Node) {
	for _, node := range d.fleet.Nodes {
		switch {
		case node.Service == "rider-view" && node.Domain == domains[0]:
			killed = node
		case node.Service == "order-desk" && node.Domain == domains[1]:
			stopped = node
		}
	}
	return killed, stopped
}

// restartInstance starts the node again, and its target too unless it still runs.
func restartInstance(node *fleet.Node) error {
	if err := node.Start(); err != nil {
		return err
	}
	if node.Target().Running() {
		return nil
	}
	return node.StartTarget()
}

// firstRunning returns the first running node, or nil.
func (d *demonstration) firstRunning() *fleet.Node {
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

// controlBytes returns the total control traffic of the running nodes, in bytes.
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
