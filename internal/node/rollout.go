package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/keyed"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/rollout"
	"jasminegate/internal/logging"
	"jasminegate/internal/node/configuration"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/platformlog"
)

const (
	// rolloutCompareInterval is the time between two comparisons of the records with a random
	// node, for nodes that were cut off when records were shared; rolloutStartInterval is that
	// between two attempts of a node that has just started to learn the records.
	rolloutCompareInterval = time.Second
	rolloutStartInterval   = 100 * time.Millisecond
	// rolloutTimeout bounds one exchange with a node, and reportTimeout one report. A shorter time for
	// reports takes a coordinator that is short of CPU share for a failed one; a longer one lets
	// grants end before the next report.
	rolloutTimeout = time.Second
	reportTimeout  = 800 * time.Millisecond
	// reportsInFlight is how many reports of an order a node has in flight at most. With one, a single
	// lost report would let the node's grant end.
	reportsInFlight = 3
	// rolloutSenders bounds the exchanges in flight.
	rolloutSenders = 32
	// failedReports is how many reports in a row fail until the next node in rank is taken for
	// the coordinator, for avoidTime. Grants of the former one have ended by then.
	failedReports = 3
	avoidTime     = 3 * time.Second
	// contactTime is how long a member counts as in contact with the coordinator after a report,
	// and after the coordinator began.
	contactTime = 1500 * time.Millisecond
	// unknownServiceTime is how long an order waits for its service to be configured: both may
	// have been written together.
	unknownServiceTime = time.Second
	// repeatInterval is the least time between two writes that this node repeats on its own: calls to
	// the store are expensive.
	repeatInterval = 500 * time.Millisecond
	// freshTime is how long after its acceptance an order cannot have had another coordinator.
	freshTime = time.Second
	// verifyTime is how long after its limit the result of an order is checked in the store.
	verifyTime = 10 * time.Minute
)

// rollouts runs the rollouts of new versions of targets' software at one node: it takes in orders,
// shares records with all nodes, reports to coordinators and coordinates. It implements
// entry.VersionPolicy. A node without the feature has none.
type rollouts struct {
	node     *node
	settings rollout.Settings
	log      platformlog.RolloutLog
	slots    *semaphore.Weighted
	ctx      context.Context
	stop     context.CancelFunc
	// wake has a value after a change that the loop has to act on.
	wake    chan struct{}
	started time.Time

	// mu guards what the path of a call uses, and the records.
	mu       sync.Mutex
	versions *entry.Versions
	table    *rollout.Table
	// accepted has for each service the last order that this node accepted itself.
	accepted map[string]uint64
	pending  []pendingOrder
	// loaded is set once the records were read from the platform or another node.
	loaded bool
	// configuredAt is when the node was first seen to have a configuration.
	configuredAt time.Time
	outcomes     versionOutcomes
	// stops has for each service the order whose new version this node found bad.
	stops map[string]uint64

	// runsMu guards runs. It is locked before mu, never after.
	runsMu sync.Mutex
	runs   map[string]*rolloutRun
}

// pendingOrder is an order that waits for the records and for its service.
type pendingOrder struct {
	configuration.NumberedOrder
	since time.Time
}

// rolloutRun is the work of this node on one order.
type rolloutRun struct {
	order uint64
	// coordinator is set while this node coordinates, since coordinatesSince.
	coordinator      *rollout.Coordinator
	coordinatesSince time.Time
	reportedAt       map[string]time.Time
	// reporting counts the reports in flight, failures those in a row that failed.
	reporting int
	failures  int
	// avoided has the nodes that are not taken for the coordinator, and until when.
	avoided map[string]time.Time
	// ranked is the node that ranked first in the view of rankedEpoch. It is computed again after
	// rankedUntil, when a node may be avoided no longer.
	ranked      string
	rankedEpoch uint64
	rankedUntil time.Time
	// writing is set while a write is in flight, and wanted is the record to write until it is
	// written or superseded; nil for none.
	writing bool
	wanted  *rollout.Record
	// repeatedAt is when this node last repeated a write on its own.
	repeatedAt time.Time
	// status is the last state that this node has written for operators.
	status platformlog.RolloutState
}

// newRollouts returns nil if the settings or the platform do not enable rollouts.
func newRollouts(n *node, log platformlog.RolloutLog, seed uint64) *rollouts {
	if n.settings.Rollout.ExposeShare == 0 || log == nil {
		return nil
	}
	settings := rolloutSettings(n.settings)
	ctx, stop := context.WithCancel(context.Background())
	return &rollouts{
		node: n, settings: settings, log: log, slots: semaphore.NewWeighted(rolloutSenders), ctx: ctx, stop: stop,
		wake: make(chan struct{}, 1), started: time.Now(), table: rollout.NewTable(),
		versions: entry.NewVersions(entry.VersionOptions{
			Node: n.self.ID, Incarnation: n.self.Incarnation, Domain: n.self.Domain, Settings: settings, Seed: seed,
		}),
		accepted: make(map[string]uint64), stops: make(map[string]uint64), outcomes: make(versionOutcomes), runs: make(map[string]*rolloutRun),
	}
}

func rolloutSettings(s config.Settings) rollout.Settings {
	settings := rollout.DefaultSettings()
	settings.ExposeShare, settings.ExposeSlack = s.Rollout.ExposeShare, s.Rollout.ExposeSlack
	settings.RollbackBound = s.Rollout.RollbackBound
	settings.ChangeBound = cmp.Or(s.Deployment.ChangeBound, settings.ChangeBound)
	return settings
}

// ready reports whether the node may serve: it knows the records, or could not learn them for the
// time in which an order becomes known, counted from when it had a configuration. A domain that is
// cut off with the store must serve.
func (r *rollouts) ready(now time.Time) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.configuredAt.IsZero() && r.node.configuration.Snapshot() != nil {
		r.configuredAt = now
	}
	return r.loaded || !r.configuredAt.IsZero() && now.Sub(r.configuredAt) >= r.settings.ChangeBound
}

// run works until ctx ends. Timers fire only while a rollout runs, a record may be unknown to other
// nodes, or the node has just started.
func (r *rollouts) run(ctx context.Context) error {
	if r == nil {
		return nil
	}
	defer r.stop()
	r.background(r.load)
	timer := time.NewTimer(rolloutStartInterval)
	defer timer.Stop()
	var compared time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-timer.C:
		}
		now := time.Now()
		r.acceptPending(now)
		for _, record := range r.records() {
			r.work(now, record)
		}
		if interval := r.compareInterval(); interval > 0 && now.Sub(compared) >= interval {
			compared = now
			r.background(r.compare)
		}
		timer.Reset(r.untilNext())
	}
}

// untilNext returns the time until the loop has something to do.
func (r *rollouts) untilNext() time.Duration {
	r.runsMu.Lock()
	active := false
	for _, run := range r.runs {
		active = active || run.coordinator != nil || run.wanted != nil
	}
	r.runsMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.table.Records() {
		active = active || !record.Phase.Final()
	}
	switch {
	case active || len(r.pending) > 0:
		return r.settings.ReportInterval
	case !r.loaded && time.Since(r.started) < r.settings.ChangeBound:
		return rolloutStartInterval
	case !r.loaded || len(r.table.Records()) > 0:
		return rolloutCompareInterval
	}
	return time.Hour // woken by the first order or record
}

// compareInterval returns the time between two comparisons with another node, 0 for none.
func (r *rollouts) compareInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.loaded && time.Since(r.started) < r.settings.ChangeBound:
		return rolloutStartInterval
	case !r.loaded || len(r.table.Records()) > 0:
		return rolloutCompareInterval
	}
	return 0
}

func (r *rollouts) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// background runs work in a goroutine. A panic of it is logged.
func (r *rollouts) background(work func()) {
	go func() {
		_ = r.node.logger.Guard("rollouts", func() error { work(); return nil })
	}()
}

func (r *rollouts) records() []rollout.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Records()
}

func (r *rollouts) record(service string) (rollout.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Get(service)
}

// intake takes over the orders of one read of the tickets stream. It does not block.
func (r *rollouts) intake(read configuration.Orders) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, order := range read.Orders {
		r.pending = append(r.pending, pendingOrder{order, now})
	}
	if read.All {
		r.pending = append(r.pending, r.missing(now, read)...)
	}
	if len(r.pending) > 0 {
		r.wakeUp()
	}
}

// missing returns the withdrawals of the running orders that a read of all orders did not find. The
// caller holds mu.
func (r *rollouts) missing(now time.Time, read configuration.Orders) []pendingOrder {
	var withdrawals []pendingOrder
	for _, record := range r.table.Records() {
		found := slices.ContainsFunc(read.Orders, func(o configuration.NumberedOrder) bool { return o.Service == record.Service })
		if found || record.Phase.Final() || record.Order > uint64(read.Next) {
			continue
		}
		if state.EraOf(record.Order) != state.EraOf(read.Next) {
			continue // the log was restored from a copy that lacks the order
		}
		withdrawals = append(withdrawals, pendingOrder{configuration.NumberedOrder{
			Order: platformlog.Order{Service: record.Service, Withdrawn: true}, Number: uint64(read.Next) + 1,
		}, now})
	}
	return withdrawals
}

// acceptPending accepts the orders that can be judged: the records are known, and so is the
// service or its time has passed.
func (r *rollouts) acceptPending(now time.Time) {
	configured := r.node.configuration.Snapshot() != nil
	r.mu.Lock()
	if !r.loaded {
		r.mu.Unlock()
		return
	}
	var ready, waiting []pendingOrder
	for _, order := range r.pending {
		if order.Withdrawn || r.hasService(order.Service) || configured && now.Sub(order.since) >= unknownServiceTime {
			ready = append(ready, order)
		} else {
			waiting = append(waiting, order)
		}
	}
	r.pending = waiting
	r.mu.Unlock()
	for _, order := range ready {
		if order.Withdrawn || r.hasService(order.Service) {
			r.accept(now, order)
			continue
		}
		r.node.logger.Event(logging.RolloutOrderRefused).Str("service", order.Service).Uint("order", order.Number).
			Str("error", "the configuration has no such service: add it, or correct the order").Send()
	}
}

// hasService reports whether the configuration has the service.
func (r *rollouts) hasService(name string) bool {
	snapshot := r.node.configuration.Snapshot()
	if snapshot == nil {
		return false
	}
	_, known := snapshot.Service(name)
	return known
}

// accept begins the order's rollout, or ends that of a withdrawn one. An order that is not newer than
// the known one of its service changes nothing, nor does that order written again after the log was
// restored from a copy.
func (r *rollouts) accept(now time.Time, order pendingOrder) {
	r.mu.Lock()
	known, exists := r.table.Get(order.Service)
	previous := r.versions.Previous(now, order.Service, order.TargetVersion)
	r.mu.Unlock()
	switch {
	case exists && known.Order >= order.Number:
	case exists && !order.Withdrawn && known.TargetVersion == order.TargetVersion && state.EraOf(known.Order) < state.EraOf(order.Number):
	case order.Withdrawn:
		if exists && !known.Phase.Final() {
			r.abort(now, known, "the order was withdrawn")
		}
	default:
		record := rollout.Record{
			Service: order.Service, Order: order.Number, TargetVersion: order.TargetVersion, PreviousVersion: previous,
			Duration: order.Duration, AcceptedAt: order.since, Phase: rollout.Pending, Reason: "the order was accepted",
		}
		r.mu.Lock()
		r.accepted[order.Service] = order.Number
		r.mu.Unlock()
		r.learn(now, record, true)
	}
}

// abort rolls the order back from this node: all nodes act on it at once, and this one writes the
// result until it is written or another one is found.
func (r *rollouts) abort(now time.Time, record rollout.Record, reason string) {
	record.Phase, record.Reason = rollout.RolledBack, reason
	r.runsMu.Lock()
	r.runOf(record).wanted = &record
	r.runsMu.Unlock()
	r.learn(now, record, true)
}

// learn merges a record, and shares it with all nodes if it is news and own. It returns whether it
// was news.
func (r *rollouts) learn(now time.Time, record rollout.Record, own bool) bool {
	r.mu.Lock()
	previous, _ := r.table.Get(record.Service)
	news := r.table.Merge(record)
	merged, _ := r.table.Get(record.Service)
	if news {
		r.versions.SetRecord(now, merged)
	}
	r.mu.Unlock()
	if !news {
		return false
	}
	r.logRecord(now, previous, merged)
	if own {
		r.share([]rollout.Record{merged})
	}
	r.runsMu.Lock()
	run := r.runOf(merged)
	var actions []rollout.Action
	if run.coordinator != nil {
		actions = run.coordinator.Learn(now, merged)
	}
	r.runsMu.Unlock()
	r.perform(now, actions)
	r.node.calls.UpdateGate()
	r.wakeUp()
	return true
}

// logRecord logs a step of a rollout.
func (r *rollouts) logRecord(now time.Time, previous, record rollout.Record) {
	event := logging.RolloutPhase
	switch {
	case record.Order == previous.Order && record.Phase == previous.Phase:
		return
	case record.Phase == rollout.Completed:
		event = logging.RolloutCompleted
	case record.Phase == rollout.RolledBack:
		event = logging.RolloutRolledBack
	case record.Order != previous.Order:
		event = logging.RolloutOrdered
	}
	r.node.logger.Event(event).Str("service", record.Service).Uint("order", record.Order).
		Str("version", record.TargetVersion).Str("previous", record.PreviousVersion).Str("phase", record.Phase.String()).
		Str("reason", record.Reason).Int("elapsed_ms", record.Elapsed(now).Milliseconds()).Int("duration_ms", record.Duration.Milliseconds()).Send()
}

// runOf returns the work on the record's order; that on an earlier one is dropped. The caller holds
// runsMu.
func (r *rollouts) runOf(record rollout.Record) *rolloutRun {
	run := r.runs[record.Service]
	if run == nil || run.order < record.Order {
		run = &rolloutRun{order: record.Order, reportedAt: make(map[string]time.Time), avoided: make(map[string]time.Time)}
		r.runs[record.Service] = run
	}
	return run
}

// work does what is due for one record.
func (r *rollouts) work(now time.Time, record rollout.Record) {
	r.runsMu.Lock()
	run := r.runOf(record)
	first := r.rank(now, run, record) == r.node.self.ID && mayCoordinate(now, r.started, r.settings.ChangeBound, r.node.self.ID, r.node.members.View())
	if !first && (run.coordinator != nil) {
		run.coordinator = nil
	}
	if first && !record.Phase.Final() {
		r.coordinate(now, run, record)
	}
	coordinator, wanted := run.coordinator, run.wanted
	r.runsMu.Unlock()
	r.node.calls.UpdateGate()
	switch {
	case !record.Phase.Final():
		r.report(now, record)
	case wanted == nil && coordinator == nil && first:
		r.verify(now, record)
	}
	if coordinator != nil {
		r.step(now, record)
	}
	if wanted != nil {
		r.repeat(now, *wanted)
	}
}

// step lets the coordinator decide, and drops it once its result is written.
func (r *rollouts) step(now time.Time, record rollout.Record) {
	members := r.membersOf(now, record)
	r.runsMu.Lock()
	run := r.runOf(record)
	var actions []rollout.Action
	if run.coordinator != nil {
		run.coordinator.SetMembers(now, members)
		actions = run.coordinator.Step(now)
		if record.Phase.Final() && run.status == stateOf(record.Phase) {
			run.coordinator = nil
		}
	}
	r.runsMu.Unlock()
	r.perform(now, actions)
	if record.Phase.Final() && len(actions) == 0 {
		r.verify(now, record) // the write of the state may have failed
	}
}

// perform carries out the coordinator's actions.
func (r *rollouts) perform(now time.Time, actions []rollout.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rollout.Announce:
			r.learn(now, a.Record, true)
		case rollout.WriteRecord:
			r.write(a.Record)
		}
	}
}

// coordinate begins to coordinate if this node does not yet. The caller holds runsMu.
func (r *rollouts) coordinate(now time.Time, run *rolloutRun, record rollout.Record) {
	if run.coordinator != nil {
		return
	}
	r.mu.Lock()
	fresh := r.accepted[record.Service] == record.Order && record.Phase == rollout.Pending && record.Elapsed(now) < freshTime
	r.mu.Unlock()
	run.coordinatesSince = now
	clear(run.reportedAt)
	run.coordinator = rollout.NewCoordinator(now, record, r.settings, r.listMembers(now, run, record), fresh)
	r.node.logger.Event(logging.RolloutCoordinated).Str("service", record.Service).Uint("order", record.Order).
		Str("phase", record.Phase.String()).Int("elapsed_ms", record.Elapsed(now).Milliseconds()).Send()
	r.background(func() { r.writeStatus(record) })
}

// rank returns the node that coordinates the order: the first by rendezvous hash of the live nodes
// that are not avoided.
func (r *rollouts) rank(now time.Time, run *rolloutRun, record rollout.Record) string {
	view := r.node.members.View()
	if run.ranked != "" && run.rankedEpoch == view.Epoch && now.Before(run.rankedUntil) {
		return run.ranked
	}
	key := record.Service + "/" + strconv.FormatUint(record.Order, 10)
	best, highest := r.node.self.ID, keyed.Weight(r.node.self.ID, key)
	for _, member := range view.Members {
		live := member.State == membership.Alive || member.State == membership.Suspect
		if !live || member.ID == r.node.self.ID || now.Before(run.avoided[member.ID]) {
			continue
		}
		if weight := keyed.Weight(member.ID, key); weight > highest {
			best, highest = member.ID, weight
		}
	}
	run.ranked, run.rankedEpoch, run.rankedUntil = best, view.Epoch, now.Add(r.settings.ReportInterval)
	return best
}

// mayCoordinate reports whether a node that ranks first may coordinate: it knows another node, or
// has been alone for the change bound since its start.
//
// Load pattern: many nodes that start at once, each of which knows only itself at first and would
// write to the store as a coordinator.
func mayCoordinate(now, started time.Time, changeBound time.Duration, self string, view *membership.View) bool {
	if now.Sub(started) >= changeBound {
		return true
	}
	return slices.ContainsFunc(view.Members, func(m membership.Member) bool {
		return m.ID != self && (m.State == membership.Alive || m.State == membership.Suspect)
	})
}

func (r *rollouts) membersOf(now time.Time, record rollout.Record) []rollout.Member {
	r.runsMu.Lock()
	defer r.runsMu.Unlock()
	return r.listMembers(now, r.runOf(record), record)
}

// listMembers returns the members for the coordinator. The caller holds runsMu.
func (r *rollouts) listMembers(now time.Time, run *rolloutRun, record rollout.Record) []rollout.Member {
	var members []rollout.Member
	for _, m := range r.node.members.View().Members {
		if m.State == membership.Left {
			continue
		}
		member := rollout.Member{ID: m.ID, Domain: m.Domain, Slots: int(m.Slots)}
		if m.Service == record.Service {
			member.Version, member.Ready = m.TargetVersion, m.IsEndpoint()
		}
		reported := now.Sub(run.reportedAt[m.ID]) < contactTime || now.Sub(run.coordinatesSince) < contactTime
		member.Alive = m.State != membership.Dead && (m.ID == r.node.self.ID || reported)
		members = append(members, member)
	}
	return members
}

// report reports to the coordinator, which may be this node.
func (r *rollouts) report(now time.Time, record rollout.Record) {
	report, ok := r.newReport(now, record)
	if !ok {
		return
	}
	r.runsMu.Lock()
	run := r.runOf(record)
	if run.coordinator != nil {
		actions := run.coordinator.Receive(now, report)
		directive := run.coordinator.Directive(now, r.node.self.ID)
		r.runsMu.Unlock()
		r.apply(now, report, directive)
		r.perform(now, actions)
		return
	}
	to := r.rank(now, run, record)
	if to == r.node.self.ID || run.reporting >= reportsInFlight {
		r.runsMu.Unlock()
		return
	}
	run.reporting++
	r.runsMu.Unlock()
	r.background(func() {
		ok := r.sendReport(to, report)
		r.runsMu.Lock()
		defer r.runsMu.Unlock()
		run.reporting--
		if ok {
			run.failures = 0
			return
		}
		if run.failures++; run.failures >= failedReports {
			run.failures, run.ranked, run.avoided[to] = 0, "", time.Now().Add(avoidTime)
		}
	})
}

// newReport returns this node's report on the order.
func (r *rollouts) newReport(now time.Time, record rollout.Record) (rollout.Report, bool) {
	version := ""
	if self := r.node.members.View().Self; self.Service == record.Service {
		version = self.TargetVersion
	}
	inUse := r.node.calls.GateInUse()
	r.mu.Lock()
	defer r.mu.Unlock()
	part := r.versions.Node(record.Service)
	if part == nil || part.Record().Order != record.Order {
		return rollout.Report{}, false
	}
	return part.Report(now, version, inUse), true
}

// apply takes over the coordinator's response to a report.
func (r *rollouts) apply(now time.Time, report rollout.Report, directive rollout.Directive) {
	if directive.Record.Service == report.Service && directive.Record.Order > 0 {
		r.learn(now, directive.Record, false)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if part := r.versions.Node(report.Service); part != nil && part.Record().Order == report.Order {
		part.Apply(now, report, directive)
	}
}

// sendReport sends the report to the node, and to the one that it names as the coordinator
// instead. It reports whether a coordinator responded.
func (r *rollouts) sendReport(to string, report rollout.Report) bool {
	message := rolloutReportToWire(report)
	for range 2 {
		response, err := r.exchangeReport(to, message)
		if err != nil {
			return false
		}
		if other := response.GetCoordinator(); other != "" {
			if other == r.node.self.ID || other == to {
				return true // the views of the nodes will agree soon
			}
			to = other
			continue
		}
		now := time.Now()
		r.apply(now, report, directiveFromWire(now, response))
		return true
	}
	return true
}

func (r *rollouts) exchangeReport(to string, message *wire.RolloutReport) (*wire.RolloutDirective, error) {
	ctx, cancel := context.WithTimeout(r.ctx, reportTimeout)
	defer cancel()
	address := ""
	for _, member := range r.node.members.View().Members {
		if member.ID == to {
			address = member.ControlAddress
		}
	}
	conn, err := r.node.controlPool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	response, err := wire.NewDRPCControlClient(conn).ReportRollout(ctx, message)
	if err != nil {
		conn.Discard()
		return nil, err
	}
	conn.Release()
	return response, nil
}

// errNoRollout means that this node does not know an order, or has no rollouts.
var errNoRollout = Errors.NewType("no_rollout")

// ReportRollout takes over a report if this node coordinates the order, and names the coordinator
// otherwise.
func (s *controlServer) ReportRollout(_ context.Context, message *wire.RolloutReport) (*wire.RolloutDirective, error) {
	r := s.node.rollouts
	if r == nil {
		return nil, errNoRollout.New("rollouts are not enabled at this node")
	}
	now := time.Now()
	report := reportFromWire(now, message)
	record, ok := r.record(report.Service)
	switch {
	case !ok || record.Order < report.Order:
		return nil, errNoRollout.New("order %d of service %q is not known yet: report again", report.Order, report.Service)
	case record.Order > report.Order || record.Phase.Final():
		return directiveToWire(now, rollout.Directive{Record: record}), nil
	}
	r.runsMu.Lock()
	run := r.runOf(record)
	if first := r.rank(now, run, record); first != s.node.self.ID {
		r.runsMu.Unlock()
		return &wire.RolloutDirective{Coordinator: first}, nil
	}
	r.coordinate(now, run, record)
	run.reportedAt[report.Node] = now
	actions := run.coordinator.Receive(now, report)
	directive := run.coordinator.Directive(now, report.Node)
	r.runsMu.Unlock()
	r.perform(now, actions)
	return directiveToWire(now, directive), nil
}

// share sends the records to all nodes. One that is not reached learns them by compare.
func (r *rollouts) share(records []rollout.Record) {
	message := &wire.RolloutExchange{Records: recordsToWire(time.Now(), records)}
	r.background(func() {
		for _, peer := range r.peers() {
			if r.slots.Acquire(r.ctx, 1) != nil {
				return
			}
			r.background(func() {
				defer r.slots.Release(1)
				_, _ = r.exchange(peer, message)
			})
		}
	})
}

// peers returns the other nodes that may be reached.
func (r *rollouts) peers() []membership.Member {
	return slices.DeleteFunc(slices.Clone(r.node.members.View().Members), func(m membership.Member) bool {
		return m.ID == r.node.self.ID || m.State != membership.Alive && m.State != membership.Suspect
	})
}

func (r *rollouts) exchange(peer membership.Member, message *wire.RolloutExchange) (*wire.RolloutExchange, error) {
	ctx, cancel := context.WithTimeout(r.ctx, rolloutTimeout)
	defer cancel()
	conn, err := r.node.controlPool.Get(ctx, peer.ControlAddress)
	if err != nil {
		return nil, err
	}
	response, err := wire.NewDRPCControlClient(conn).ShareRollouts(ctx, message)
	if err != nil {
		conn.Discard()
		return nil, err
	}
	conn.Release()
	return response, nil
}

// compare takes over what a random node has in addition, and sends it what it lacks.
func (r *rollouts) compare() {
	peers := r.peers()
	if len(peers) == 0 {
		return
	}
	if local := slices.DeleteFunc(slices.Clone(peers), func(m membership.Member) bool { return m.Domain != r.node.self.Domain }); len(local) > 0 && rand.Float64() >= remoteShare {
		peers = local
	}
	peer := peers[rand.IntN(len(peers))]
	records, digest := r.recordsAndDigest()
	response, err := r.exchange(peer, &wire.RolloutExchange{Digest: digest})
	if err != nil {
		return
	}
	now := time.Now()
	if response.GetDigest() != digest {
		for _, record := range recordsFromWire(now, response.GetRecords()) {
			r.learn(now, record, false)
		}
		if len(records) > 0 {
			_, _ = r.exchange(peer, &wire.RolloutExchange{Records: recordsToWire(now, records)})
		}
	}
	r.markLoaded()
}

func (r *rollouts) recordsAndDigest() ([]rollout.Record, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Records(), r.table.Digest()
}

func (r *rollouts) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

func (r *rollouts) markLoaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		r.loaded = true
		r.wakeUp()
	}
}

// ShareRollouts takes over another node's records. It responds with its own if the request has
// none and another digest. A node that does not know the records yet responds with an error.
func (s *controlServer) ShareRollouts(_ context.Context, message *wire.RolloutExchange) (*wire.RolloutExchange, error) {
	r := s.node.rollouts
	if r == nil {
		return nil, errNoRollout.New("rollouts are not enabled at this node")
	}
	now := time.Now()
	for _, record := range recordsFromWire(now, message.GetRecords()) {
		r.learn(now, record, false)
	}
	if !r.isLoaded() {
		return nil, errNoRollout.New("the records are not known yet: ask another node")
	}
	records, digest := r.recordsAndDigest()
	response := &wire.RolloutExchange{Digest: digest}
	if len(message.GetRecords()) == 0 && message.GetDigest() != digest {
		response.Records = recordsToWire(now, records)
	}
	return response, nil
}
