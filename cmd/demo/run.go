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

// Sizes of the demonstration.
const (
	callRate     = 100 // calls a second
	loadDuration = 12 * time.Second
	callTimeout  = 2 * time.Second
	maxInFlight  = 200
	killAfter    = 2 * time.Second
	drainAfter   = 5 * time.Second
)

// domains are the failure domains of the demonstration.
var domains = []string{"casa-port", "rabat-agdal"}

// result is the demonstration's last line.
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
	say("platform, %d nodes and their targets run in %d failure domains", len(started.Nodes), len(domains))
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

// demonstration runs the steps on a started fleet.
type demonstration struct {
	fleet  *fleet.Fleet
	result *result
}

func (d *demonstration) steps(ctx context.Context) error {
	if err := d.publish(ctx); err != nil {
		return err
	}
	report, ledgers, err := d.load(ctx)
	if err != nil {
		return err
	}
	if err := d.check(report, ledgers); err != nil {
		return err
	}
	return d.publishAgain(ctx)
}

// publish puts the first ticket in force and measures its convergence.
func (d *demonstration) publish(ctx context.Context) error {
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
	say("ticket 1 is applied on every node after %.1f ms, and every node reads it back as in force", d.result.ConvergenceMS)
	return nil
}

// load sends calls while one node is killed and another drained, and returns
// what callers saw and what the targets ran.
func (d *demonstration) load(ctx context.Context) (*load.Report, []target.Ledger, error) {
	killed, drained := d.victims()
	if err := d.awaitTargets(ctx); err != nil {
		return nil, nil, err
	}
	reports := make(chan *load.Report, 1)
	plan := load.Plan{
		Rate: callRate, Duration: loadDuration, Entries: d.entriesWithout(killed, drained), Next: nextCall, MaxInFlight: maxInFlight,
	}
	go func() { reports <- load.Run(ctx, load.NewClient(), plan) }()
	time.Sleep(killAfter)
	killed.Process().Kill()
	killed.Target().Kill()
	say("node %s and its target (%s) were killed", killed.ID, killed.Service)
	time.Sleep(drainAfter - killAfter)
	if err := drained.Process().Terminate(ctx); err != nil {
		return nil, nil, fmt.Errorf("drain of %s: %w", drained.ID, err)
	}
	say("node %s (%s) was stopped gracefully", drained.ID, drained.Service)
	report := <-reports
	ledgers, err := d.ledgersWithout(ctx, killed)
	return report, ledgers, err
}

// check holds what callers saw against what the targets ran.
func (d *demonstration) check(report *load.Report, ledgers []target.Ledger) error {
	breaches := load.CheckLedgers(report, ledgers, false)
	d.result.Calls = len(report.Calls)
	d.result.CallsUnknown = report.Total(load.Unknown)
	d.result.CallsFailed = len(report.Calls) - report.Total(load.Answered) - d.result.CallsUnknown
	d.result.Breaches = len(breaches)
	say("%d calls: %d answered, %d with unknown outcome, %d failed", d.result.Calls,
		report.Total(load.Answered), d.result.CallsUnknown, d.result.CallsFailed)
	if len(breaches) > 0 {
		return errors.New("ledger: " + strings.Join(breaches, "; "))
	}
	if d.result.CallsFailed > 0 || d.result.CallsUnknown > 0 || report.Skipped > 0 {
		return fmt.Errorf("calls failed: %s", strings.Join(report.Failures, "; "))
	}
	say("no order ran twice, and every caller got the whole answer to its own call")
	return nil
}

// publishAgain shows that a ticket is not called in force while a node that was
// lost may still run an older version, and is once its instance is replaced.
func (d *demonstration) publishAgain(ctx context.Context) error {
	killed, drained := d.victims()
	alive := d.remaining()
	if _, err := publishTicket(ctx, alive, ticket(2, 2*time.Second)); err != nil {
		return err
	}
	if err := alive.AwaitTicket(ctx, 2, string(adminapi.TicketAccepted)); err != nil {
		return err
	}
	say("ticket 2 is accepted; one failure domain has lost a node and confirms nothing for it")
	for _, node := range []*fleet.Node{killed, drained} {
		if err := replace(node); err != nil {
			return err
		}
	}
	say("%s and %s were replaced", killed.ID, drained.ID)
	for _, node := range d.fleet.Nodes {
		if err := node.AwaitTicket(ctx, 2, string(adminapi.TicketInForce)); err != nil {
			return err
		}
	}
	d.result.InForce = true
	say("ticket 2 is in force on every node")
	total, err := d.controlBytes(ctx)
	d.result.ControlBytes = total
	return err
}

func say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
}
