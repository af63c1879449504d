package processtest

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/state"
)

// domains are the failure domains of the tests' fleets.
var domains = []string{"casa-port", "rabat-agdal"}

// harness is a running fleet under test.
type harness struct {
	*fleet.Fleet
	t      *testing.T
	number uint64       // of the last published ticket
	runs   atomic.Int64 // runs of calls so far, for unique call ids
}

// fleetPlan returns a plan of two failure domains with perDomain nodes each,
// whose targets alternate between two services.
func fleetPlan(perDomain int) fleet.Plan {
	plan := fleet.Plan{Node: programs.node, Standin: programs.standin, NodeEnv: []string{"GOMAXPROCS=2"}}
	for _, domain := range domains {
		for i := range perDomain {
			plan.Nodes = append(plan.Nodes, fleet.NodePlan{
				ID: domain + "-" + strconv.Itoa(i), Domain: domain, Service: []string{"rider-view", "order-desk"}[i%2],
				Slots: 6, Connections: 120,
			})
		}
	}
	return plan
}

// startHarness starts the fleet, publishes the base ticket and waits until it
// is in force and every node knows every target.
func startHarness(t *testing.T, plan fleet.Plan) *harness {
	t.Helper()
	h := &harness{t: t}
	started, err := fleet.Start(h.ctx(), plan)
	if err != nil {
		t.Fatal(err)
	}
	h.Fleet = started
	t.Cleanup(func() { h.close() })
	if err := h.AwaitReady(h.ctx()); err != nil {
		t.Fatal(err)
	}
	h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], baseTicket()))
	for _, node := range h.Nodes {
		h.awaitTargets(node, len(h.Nodes))
	}
	return h
}

// close stops the fleet. It also checks, in every test, that no node replaced
// an installed version by an older one.
func (h *harness) close() {
	for _, node := range h.Nodes {
		h.checkVersionsMonotonic(node)
	}
	if h.t.Failed() {
		for _, node := range h.Nodes {
			h.t.Logf("log of %s:\n%s", node.ID, tail(filepath.Join(h.Dir(), node.ID+".log")))
		}
	}
	if err := h.Close(); err != nil {
		h.t.Error(err)
	}
}

// ctx returns a context that ends after stepTimeout.
func (h *harness) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	h.t.Cleanup(cancel)
	return ctx
}

func (h *harness) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// publish gives the ticket the next number and publishes it through the node.
func (h *harness) publish(node *fleet.Node, ticket state.Ticket) adminapi.PublishResponse {
	h.t.Helper()
	h.number++
	ticket.Number = h.number
	response, err := h.tryPublish(node, ticket)
	h.must(err)
	return response
}

func (h *harness) tryPublish(node *fleet.Node, ticket state.Ticket) (adminapi.PublishResponse, error) {
	var response adminapi.PublishResponse
	data, err := ticket.Encode()
	h.must(err)
	body, err := node.Publish(h.ctx(), data)
	if err != nil {
		return response, err
	}
	return response, json.Unmarshal(body, &response)
}

// awaitInForce waits until the node reads the ticket back as in force.
func (h *harness) awaitInForce(node *fleet.Node, published adminapi.PublishResponse) {
	h.t.Helper()
	h.must(node.AwaitTicket(h.ctx(), published.Number, string(adminapi.TicketInForce)))
}

// readTicketStatus returns the node's read-back of a ticket.
func (h *harness) readTicketStatus(node *fleet.Node, number uint64) adminapi.TicketStatus {
	h.t.Helper()
	body, err := node.AdminRequest(h.ctx(), "GET", adminapi.TicketPath(number), nil)
	h.must(err)
	var status adminapi.TicketStatus
	h.must(json.Unmarshal(body, &status))
	return status
}

func (h *harness) status(node *fleet.Node) (adminapi.Status, error) {
	return node.Status(h.ctx())
}

// await waits until the condition holds.
func (h *harness) await(what string, condition func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(stepTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			h.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitApplied waits until each of the nodes has applied the ticket or a later
// one.
func (h *harness) awaitApplied(published adminapi.PublishResponse, nodes ...*fleet.Node) {
	h.t.Helper()
	for _, node := range nodes {
		h.await(node.ID+" to apply ticket "+strconv.FormatUint(published.Number, 10), func() bool {
			status, err := h.status(node)
			return err == nil && status.Version.Position > uint64(published.Offset)
		})
	}
}

// awaitTargets waits until the node knows want ready targets.
func (h *harness) awaitTargets(node *fleet.Node, want int) {
	h.t.Helper()
	h.await(node.ID+" to know "+strconv.Itoa(want)+" ready targets", func() bool {
		ready, err := node.ReadyTargets(h.ctx())
		return err == nil && ready == want
	})
}

// checkVersionsMonotonic checks in the node's log, which spans all its
// incarnations, that no installed version is older than one before it.
func (h *harness) checkVersionsMonotonic(node *fleet.Node) {
	file, err := os.Open(filepath.Join(h.Dir(), node.ID+".log"))
	if err != nil {
		h.t.Error(err)
		return
	}
	defer file.Close()
	newest := uint64(0)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Event   int    `json:"event"`
			Version string `json:"version"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Event != logging.SnapshotInstalled.Code {
			continue
		}
		text, _, _ := strings.Cut(line.Version, "@")
		position, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			h.t.Errorf("%s logged the malformed version %q", node.ID, line.Version)
			continue
		}
		if position < newest {
			h.t.Errorf("%s replaced installed position %d by the older %d", node.ID, newest, position)
		}
		newest = max(newest, position)
	}
}

// tail returns the last part of a file, up to lastBytes.
func tail(path string) string {
	const lastBytes = 3000
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-lastBytes):])
}
