package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
	"jasminegate/internal/standin/target"
)

// Load and timing of the demo. killAfter and stopAfter count from the start of
// the load.
const (
	callRate     = 100 // calls per second
	loadDuration = 12 * time.Second
	callTimeout  = 2 * time.Second
	maxInFlight  = 200
	killAfter    = 2 * time.Second
	stopAfter    = 5 * time.Second
)

// domains are the failure domains of the demo's fleet.
var domains = []string{"casa-port", "rabat-agdal"}

// result is the JSON object on the last line of the output. CallsFailed counts
// the calls that were neither answered nor of unknown outcome, Breaches counts the
// discrepancies between the callers' report and the targets' ledgers.
type result struct {
	ConvergenceMS float64 `json:"convergence_ms"`
	ControlBytes  uint64  `json:"control_bytes"`
	Calls         int     `json:"calls"`
	CallsFailed   int     `json:"calls_failed"`
	CallsUnknown  int     `json:"calls_unknown"`
	InForce       bool    `json:"in_force"`
	Breaches      int     `json:"breaches"`
}

func run(ctx context.Context) (result, error) {
	var got result
	plan, err := newPlan()
	if err != nil {
		return got, err
	}
	started, err := fleet.Start(ctx, plan)
	if err != nil {
		return got, err
	}
	defer started.Close()
	if err := started.AwaitReady(ctx); err != nil {
		return got, err
	}
	printStep("the platform stand-in and %d nodes with their targets run in %d failure domains", len(started.Nodes), len(domains))
	demo := &demonstration{fleet: started, result: &got}
	return got, demo.steps(ctx)
}

func newPlan() (fleet.Plan, error) {
	node, err := fleet.SiblingProgram("jasminegate")
	if err != nil {
		return fleet.Plan{}, err
	}
	standin, err := fleet.SiblingProgram("standin")
	if err != nil {
		return fleet.Plan{}, err
	}
	nodes := fleet.PlaceServices(domains, []fleet.ServicePlan{
		{Name: "rider-view", Targets: 2, Slots: 6, Connections: 120},
		{Name: "order-desk", Targets: 2, Slots: 6, Connections: 120},
	})
	return fleet.Plan{Node: node, Standin: standin, Nodes: nodes}, nil
}

// demonstration runs the steps of the demo on a started fleet.
type demonstration struct {
	fleet  *fleet.Fleet
	result *result
}

func (d *demonstration) steps(ctx context.Context) error {
	if err := d.publishFirstTicket(ctx); err != nil {
		return err
	}
	report, ledgers, err := d.load(ctx)
	if err != nil {
		return err
	}
	if err := d.checkOutcomes(report, ledgers); err != nil {
		return err
	}
	return d.publishSecondTicket(ctx)
}

// publishFirstTicket publishes the first ticket, measures the time until every
// node has applied it and waits until every node reads it back as in force.
func (d *demonstration) publishFirstTicket(ctx context.Context) error {
	position, err := publishTicket(ctx, d.fleet.Nodes[0], ticket(1, time.Second))
	if err != nil {
		return err
	}
	acknowledged := time.Now()
	for _, node := range d.fleet.Nodes {
		if err := awaitStatus(ctx, node, func(status adminapi.Status) bool { return status.Version.Position >= position }); err != nil {
			return err
		}
	}
	d.result.ConvergenceMS = float64(time.Since(acknowledged).Microseconds()) / 1000
	for _, node := range d.fleet.Nodes {
		if err := node.AwaitTicket(ctx, 1, string(adminapi.TicketInForce)); err != nil {
			return err
		}
	}
	printStep("ticket 1 is applied on every node after %.1f ms, and every node reads it back as in force", d.result.ConvergenceMS)
	return nil
}

// load sends calls while one node is killed and another is shut down. It returns
// the callers' report and the ledgers of all targets but the killed one.
func (d *demonstration) load(ctx context.Context) (*load.Report, []target.Ledger, error) {
	killed, stopped := d.faultedNodes()
	if err := d.awaitTargets(ctx); err != nil {
		return nil, nil, err
	}
	reports := make(chan *load.Report, 1)
	plan := load.Plan{
		Rate: callRate, Duration: loadDuration, Entries: d.entriesWithout(killed, stopped), Next: nextCall, MaxInFlight: maxInFlight,
	}
	go func() { reports <- load.Run(ctx, load.NewClient(), plan) }()
	time.Sleep(killAfter)
	killed.Process().Kill()
	killed.Target().Kill()
	printStep("node %s and its target (%s) were killed", killed.ID, killed.Service)
	time.Sleep(stopAfter - killAfter)
	if err := stopped.Process().Terminate(ctx); err != nil {
		return nil, nil, fmt.Errorf("planned shutdown of %s: %w", stopped.ID, err)
	}
	printStep("node %s (%s) was shut down as planned", stopped.ID, stopped.Service)
	report := <-reports
	ledgers, err := d.ledgersWithout(ctx, killed)
	return report, ledgers, err
}

// checkOutcomes compares the callers' report with the ledgers of the targets and
// fails unless they agree and every call was answered.
func (d *demonstration) checkOutcomes(report *load.Report, ledgers []target.Ledger) error {
	discrepancies := load.CheckLedgers(report, ledgers, false)
	d.result.Calls = len(report.Calls)
	d.result.CallsUnknown = report.Total(load.Unknown)
	d.result.CallsFailed = len(report.Calls) - report.Total(load.Answered) - d.result.CallsUnknown
	d.result.Breaches = len(discrepancies)
	printStep("%d calls: %d answered, %d with unknown outcome, %d failed", d.result.Calls,
		report.Total(load.Answered), d.result.CallsUnknown, d.result.CallsFailed)
	if len(discrepancies) > 0 {
		return errors.New("callers' report and target ledgers disagree: " + strings.Join(discrepancies, "; "))
	}
	if d.result.CallsFailed > 0 || d.result.CallsUnknown > 0 || report.Skipped > 0 {
		return fmt.Errorf("some calls failed, had an unknown outcome or were not sent; first calls that failed or were refused: %s", strings.Join(report.Failures, "; "))
	}
	printStep("no order ran twice, and every caller got the complete response to its own call")
	return nil
}

// publishSecondTicket checks that a second ticket is reported as accepted, not
// as in force, while a killed node may still run an older version, and as in
// force once the instance runs again.
func (d *demonstration) publishSecondTicket(ctx context.Context) error {
	killed, stopped := d.faultedNodes()
	running := d.firstRunning()
	if _, err := publishTicket(ctx, running, ticket(2, 2*time.Second)); err != nil {
		return err
	}
	if err := running.AwaitTicket(ctx, 2, string(adminapi.TicketAccepted)); err != nil {
		return err
	}
	printStep("ticket 2 is accepted; the failure domain of the killed node does not confirm it yet")
	for _, node := range []*fleet.Node{killed, stopped} {
		if err := restartInstance(node); err != nil {
			return err
		}
	}
	printStep("%s and %s were started again", killed.ID, stopped.ID)
	for _, node := range d.fleet.Nodes {
		if err := node.AwaitTicket(ctx, 2, string(adminapi.TicketInForce)); err != nil {
			return err
		}
	}
	d.result.InForce = true
	printStep("ticket 2 is in force on every node")
	total, err := d.controlBytes(ctx)
	d.result.ControlBytes = total
	return err
}

func printStep(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
}
