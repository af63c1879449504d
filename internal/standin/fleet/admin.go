package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/standin/target"
)

// pollInterval is the time between two looks at a condition that is waited for.
const pollInterval = 10 * time.Millisecond

// AdminRequest makes one request to the node's admin address. An answer that is not
// 2xx is a *StatusError.
func (n *Node) AdminRequest(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	return send(ctx, n.fleet.http, method, "http://"+n.AdminAddress+path, body)
}

// Ready says whether the node serves.
func (n *Node) Ready(ctx context.Context) bool {
	_, err := n.AdminRequest(ctx, http.MethodGet, adminapi.PathReady, nil)
	return err == nil
}

// Status returns what the node knows.
func (n *Node) Status(ctx context.Context) (adminapi.Status, error) {
	var status adminapi.Status
	err := get(ctx, n.fleet.http, "http://"+n.AdminAddress+adminapi.PathStatus, &status)
	return status, err
}

// ReadyTargets returns how many live targets the node knows as ready.
func (n *Node) ReadyTargets(ctx context.Context) (int, error) {
	status, err := n.Status(ctx)
	ready := 0
	for _, member := range status.Members {
		live := member.State == "alive" || member.State == "suspect"
		if live && member.Target == string(adminapi.TargetReady) {
			ready++
		}
	}
	return ready, err
}

// Metrics returns the node's metrics in text.
func (n *Node) Metrics(ctx context.Context) ([]byte, error) {
	return n.AdminRequest(ctx, http.MethodGet, adminapi.PathMetrics, nil)
}

// Publish publishes a ticket in JSON through the node and returns its answer,
// an adminapi.PublishAnswer in JSON.
func (n *Node) Publish(ctx context.Context, ticket []byte) ([]byte, error) {
	return n.AdminRequest(ctx, http.MethodPost, adminapi.PathTickets, ticket)
}

// Ticket returns the node's read-back of a ticket.
func (n *Node) Ticket(ctx context.Context, number uint64) (adminapi.TicketStatus, error) {
	var status adminapi.TicketStatus
	err := get(ctx, n.fleet.http, "http://"+n.AdminAddress+adminapi.TicketPath(number), &status)
	return status, err
}

// SetTargetMode replaces the behaviour of the node's target.
func (n *Node) SetTargetMode(ctx context.Context, mode target.Mode) error {
	body, err := json.Marshal(mode)
	if err != nil {
		return err
	}
	_, err = send(ctx, n.fleet.http, http.MethodPost, "http://"+n.TargetAddress+"/mode", body)
	return err
}

// DrainTarget makes the node's target announce that it drains.
func (n *Node) DrainTarget(ctx context.Context) error {
	_, err := send(ctx, n.fleet.http, http.MethodPost, "http://"+n.TargetAddress+"/drain", nil)
	return err
}

// Ledger returns what the node's target ran since its start.
func (n *Node) Ledger(ctx context.Context) (target.Ledger, error) {
	var ledger target.Ledger
	err := get(ctx, n.fleet.http, "http://"+n.TargetAddress+"/ledger", &ledger)
	return ledger, err
}

// AwaitReady waits until every running node serves. It fails when one exits.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, node := range f.Nodes {
		if node.Process().Running() {
			if err := node.AwaitReady(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// AwaitReady waits until the node serves. It fails when its process exits.
func (n *Node) AwaitReady(ctx context.Context) error {
	process := n.Process()
	return await(ctx, "node "+n.ID+" to serve", func() (bool, error) {
		if !process.Running() {
			return false, process.exitError()
		}
		return n.Ready(ctx), nil
	})
}

// AwaitTicket waits until the node's read-back of a ticket has the state.
func (n *Node) AwaitTicket(ctx context.Context, number uint64, state string) error {
	last := ""
	err := await(ctx, fmt.Sprintf("ticket %d to be %s at %s", number, state, n.ID), func() (bool, error) {
		status, err := n.Ticket(ctx, number)
		if err == nil {
			last = string(status.State)
		}
		return last == state, nil
	})
	if err != nil {
		return fmt.Errorf("%w, last state %q", err, last)
	}
	return nil
}

// await looks at a condition until it holds, fails or ctx ends.
func await(ctx context.Context, what string, condition func() (bool, error)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		holds, err := condition()
		if holds || err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("waited for %s: %w", what, ctx.Err())
		}
	}
}
