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

// rig is a running fleet under test.
type rig struct {
	*fleet.Fleet
	t      *testing.T
	number uint64
	runs   atomic.Int64
}

// planOf returns a plan of two failure domains with perDomain nodes each, whose
// targets alternate between two services.
func planOf(perDomain int) fleet.Plan {
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

// startRig starts the fleet, puts the base ticket in force and waits until
// every node knows every target.
func startRig(t *testing.T, plan fleet.Plan) *rig {
	t.Helper()
	r := &rig{t: t}
	started, err := fleet.Start(r.ctx(), plan)
	if err != nil {
		t.Fatal(err)
	}
	r.Fleet = started
	t.Cleanup(func() { r.close() })
	if err := r.AwaitReady(r.ctx()); err != nil {
		t.Fatal(err)
	}
	r.inForce(r.Nodes[0], r.publish(r.Nodes[0], baseTicket()))
	for _, node := range r.Nodes {
		r.awaitTargets(node, len(r.Nodes))
	}
	return r
}

// close ends the fleet and checks what must hold in every run: no node went
// back to an older version.
func (r *rig) close() {
	for _, node := range r.Nodes {
		r.checkMonotonic(node)
	}
	if r.t.Failed() {
		for _, node := range r.Nodes {
			r.t.Logf("log of %s:\n%s", node.ID, tail(filepath.Join(r.Dir(), node.ID+".log")))
		}
	}
	if err := r.Close(); err != nil {
		r.t.Error(err)
	}
}

// ctx returns a context that bounds one step.
func (r *rig) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	r.t.Cleanup(cancel)
	return ctx
}

func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// publish gives the ticket the next number and publishes it through the node.
func (r *rig) publish(node *fleet.Node, ticket state.Ticket) adminapi.PublishResponse {
	r.t.Helper()
	r.number++
	ticket.Number = r.number
	answer, err := r.tryPublish(node, ticket)
	r.must(err)
	return answer
}

func (r *rig) tryPublish(node *fleet.Node, ticket state.Ticket) (adminapi.PublishResponse, error) {
	var answer adminapi.PublishResponse
	data, err := ticket.Encode()
	r.must(err)
	body, err := node.Publish(r.ctx(), data)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(body, &answer)
}

// inForce waits until the node reads the ticket back as in force.
func (r *rig) inForce(node *fleet.Node, published adminapi.PublishResponse) {
	r.t.Helper()
	r.must(node.AwaitTicket(r.ctx(), published.Number, string(adminapi.TicketInForce)))
}

// readBack returns what the node says of a ticket.
func (r *rig) readBack(node *fleet.Node, number uint64) adminapi.TicketStatus {
	r.t.Helper()
	body, err := node.AdminRequest(r.ctx(), "GET", adminapi.TicketPath(number), nil)
	r.must(err)
	var status adminapi.TicketStatus
	r.must(json.Unmarshal(body, &status))
	return status
}

func (r *rig) status(node *fleet.Node) (adminapi.Status, error) {
	return node.Status(r.ctx())
}

// await waits until the condition holds.
func (r *rig) await(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(stepTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			r.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitPosition waits until the nodes run the ticket or a later one.
func (r *rig) awaitPosition(published adminapi.PublishResponse, nodes ...*fleet.Node) {
	r.t.Helper()
	for _, node := range nodes {
		r.await(node.ID+" to apply ticket "+strconv.FormatUint(published.Number, 10), func() bool {
			status, err := r.status(node)
			return err == nil && status.Version.Position > uint64(published.Offset)
		})
	}
}

// awaitTargets waits until the node knows so many ready targets.
func (r *rig) awaitTargets(node *fleet.Node, want int) {
	r.t.Helper()
	r.await(node.ID+" to know "+strconv.Itoa(want)+" targets", func() bool {
		ready, err := node.ReadyTargets(r.ctx())
		return err == nil && ready == want
	})
}

// checkMonotonic reads the node's installed versions of every incarnation.
func (r *rig) checkMonotonic(node *fleet.Node) {
	file, err := os.Open(filepath.Join(r.Dir(), node.ID+".log"))
	if err != nil {
		r.t.Error(err)
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
			r.t.Errorf("%s: version %q", node.ID, line.Version)
			continue
		}
		if position < newest {
			r.t.Errorf("%s went back from %d to %d", node.ID, newest, position)
		}
		newest = max(newest, position)
	}
}

// tail returns the last lines of a file.
func tail(path string) string {
	const lastBytes = 3000
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-lastBytes):])
}
