package node

import (
	"cmp"
	"context"
	"sync"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/leaving"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/state"
)

// expiryCheckInterval is the time between two checks for an expired announcement.
const expiryCheckInterval = 200 * time.Millisecond

// changeSource is where a change of the local target's state was learned.
type changeSource string

const (
	sourceReport         changeSource = "report"
	sourceHealthCheck    changeSource = "health check"
	sourceOwnDrain       changeSource = "own drain"
	sourceResponse       changeSource = "response"
	sourceDeregistration changeSource = "deregistration"
)

// targetChange is the cause of a change of the local target's state.
type targetChange struct {
	source changeSource
	// sequence is that of the target's last report, 0 if unknown.
	sequence uint64
}

// targetRegistry stores the announcement of the local target and passes each
// change on to the members and the calls runner.
type targetRegistry struct {
	node *node

	mu sync.Mutex
	// announced is the target as announced. effective is the same target within
	// the limits that the configuration sets for its service.
	announced calls.Target
	effective calls.Target
	// learned is how announced was learned.
	learned targetChange
	// withdrawn is the process that withdrew itself last.
	withdrawn call.TargetProcess
	expires   time.Time
	draining  bool
	// leaving is a target that stated in a response that it is leaving, although it
	// may announce itself as ready; nil if there is none.
	leaving *calls.Target
	// reported is set once the target has announced or withdrawn itself to this
	// incarnation of the node.
	reported bool
	// reports decides whether a report of a ready target is news. held is one that may
	// have been sent before a leaving that an earlier incarnation acknowledged; nil if
	// there is none. holding has a value after one was held.
	reports *leaving.Machine
	held    *heldReport
	holding chan struct{}
}

// heldReport is an announcement that is not in effect.
type heldReport struct {
	target   calls.Target
	sequence uint64
	expires  time.Time
}

func newTargetRegistry(n *node, reports *leaving.Machine) *targetRegistry {
	return &targetRegistry{node: n, reports: reports, holding: make(chan struct{}, 1)}
}

// Announce implements TargetRegistry.
func (r *targetRegistry) Announce(target calls.Target, sequence uint64, ttl time.Duration) {
	r.announce(target, sequence, ttl, time.Now())
}

// Withdraw implements TargetRegistry.
func (r *targetRegistry) Withdraw(process call.TargetProcess, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(process, sequence)
}

// announce stores or renews an announcement that is valid for ttl.
func (r *targetRegistry) announce(target calls.Target, sequence uint64, ttl time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if target.State == membership.TargetReady && !r.reports.MayTake(now, target.Process()) {
		r.hold(heldReport{target: target, sequence: sequence, expires: now.Add(ttl)})
		return
	}
	r.take(target, sequence, now.Add(ttl))
}

// hold keeps a report for confirm. The caller holds mu.
func (r *targetRegistry) hold(report heldReport) {
	if r.held == nil || !r.held.target.Process().Same(report.target.Process()) {
		r.node.logger.Event(logging.TargetHeld).
			Str("service", report.target.Service).Str("instance", report.target.Instance).
			Int("started_ms", report.target.StartedMS).Uint("sequence", report.sequence).Send()
	}
	r.held = &report
	select {
	case r.holding <- struct{}{}:
	default:
	}
}

// heldTarget returns the target of the held report; ok is false if there is none, or none
// that is valid.
func (r *targetRegistry) heldTarget(now time.Time) (target calls.Target, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held == nil || now.After(r.held.expires) {
		r.held = nil
		return calls.Target{}, false
	}
	return r.held.target, true
}

// confirm puts the held report in effect after the instance said that it is healthy. It
// returns false if no report of the instance is held.
func (r *targetRegistry) confirm(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held == nil || r.held.target.Instance != instance {
		return false
	}
	r.take(r.held.target, r.held.sequence, r.held.expires)
	return true
}

// take puts an announcement in effect. The caller holds mu.
func (r *targetRegistry) take(target calls.Target, sequence uint64, expires time.Time) {
	r.reported, r.expires = true, expires
	if target.State == membership.TargetReady {
		r.held = nil
		r.reports.Confirm(target.Process())
	} else {
		r.noteLeaving(target.Process())
	}
	learned := targetChange{source: sourceReport, sequence: sequence}
	if r.draining && target.State == membership.TargetReady {
		target.State = membership.TargetDraining
		learned.source = sourceOwnDrain
	}
	r.apply(target, learned)
}

// noteLeaving records that the process announced its leaving. A report of it that is held was
// sent before. The caller holds mu.
func (r *targetRegistry) noteLeaving(process call.TargetProcess) {
	r.reports.Leave(process)
	if r.held != nil && r.held.target.Process().Same(process) {
		r.held = nil
	}
}

// history returns what the next incarnation of the node needs to know, and false if that is
// not known.
func (r *targetRegistry) history(now time.Time) (leaving.History, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports.History(now)
}

// hasReported reports whether the target has announced or withdrawn itself to
// this incarnation of the node, also if the announcement is held.
func (r *targetRegistry) hasReported() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reported || r.held != nil
}

// addRediscovered stores an announcement for a target whose health check
// succeeded, unless the target has announced or withdrawn itself.
func (r *targetRegistry) addRediscovered(target calls.Target, ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported || r.draining || r.held != nil {
		return
	}
	r.reports.Confirm(target.Process())
	r.expires = time.Now().Add(ttl)
	r.apply(target, targetChange{source: sourceHealthCheck})
}

// removeAnnounced removes the target after its withdrawal.
func (r *targetRegistry) removeAnnounced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(r.announced.Process(), r.learned.sequence)
}

// remove removes the target after the withdrawal of the process, which need not be
// known. A repeated withdrawal is not logged. The caller holds mu.
func (r *targetRegistry) remove(process call.TargetProcess, sequence uint64) {
	repeated := r.effective.State == membership.TargetAbsent && r.withdrawn == process
	target := calls.Target{
		Service:   cmp.Or(r.announced.Service, r.node.settings.Node.Service),
		Instance:  process.Instance,
		StartedMS: process.StartedMS,
		State:     membership.TargetDraining,
	}
	r.reported, r.withdrawn = true, process
	r.noteLeaving(process)
	r.end()
	if !repeated {
		r.logState(target, targetChange{source: sourceDeregistration, sequence: sequence})
	}
}

// markLeaving takes the target as draining from now on, also if it announces itself
// as ready later.
func (r *targetRegistry) markLeaving(target calls.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = &target
	r.apply(r.announced, r.learned)
}

// isLeaving reports whether the announced target is the one that stated that it is
// leaving.
func (r *targetRegistry) isLeaving(announced calls.Target) bool {
	return r.leaving != nil && r.leaving.Address == announced.Address && r.leaving.Process().Same(announced.Process())
}

// end removes the target. A target without an instance ID that announces itself later
// may be another process.
func (r *targetRegistry) end() {
	if r.leaving != nil && r.leaving.Instance == "" {
		r.leaving = nil
	}
	r.apply(calls.Target{}, targetChange{})
}

// drain marks a ready target as draining until the node stops, also if it announces
// itself as ready later.
func (r *targetRegistry) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	target := r.announced
	if target.State != membership.TargetReady {
		return
	}
	target.State = membership.TargetDraining
	r.apply(target, targetChange{source: sourceOwnDrain, sequence: r.learned.sequence})
}

// run removes a target whose announcement was not renewed in time, and applies
// changed limits of the configuration, until ctx ends.
func (r *targetRegistry) run(ctx context.Context) error {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.refresh(now)
		}
	}
}

// refresh removes an expired announcement and applies changed limits of the
// configuration.
func (r *targetRegistry) refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	r.apply(r.announced, r.learned)
}

func (r *targetRegistry) expire(now time.Time) {
	if r.effective.State == membership.TargetAbsent || now.Before(r.expires) {
		return
	}
	r.node.logger.Event(logging.TargetExpired).Str("service", r.effective.Service).Send()
	r.end()
}

// apply stores an announcement and passes a changed target on: first to the gate,
// then to membership, so that the gate knows of a drain before other nodes do, and
// of a new target before other nodes send calls for it.
func (r *targetRegistry) apply(announced calls.Target, learned targetChange) {
	r.announced, r.learned = announced, learned
	target := r.withinLimits(announced)
	if target.State == membership.TargetReady && r.isLeaving(target) {
		target.State = membership.TargetDraining
		learned.source = sourceResponse
	}
	if target == r.effective {
		return
	}
	previous := r.effective
	r.effective = target
	r.node.calls.SetTarget(target)
	r.node.members.SetTarget(target.Service, uint32(target.Slots), target.State, target.Version)
	if previous.State != target.State || !previous.Process().Same(target.Process()) {
		r.logState(target, learned)
	}
}

// logState logs that the target is ready or draining, and how this was learned.
func (r *targetRegistry) logState(target calls.Target, learned targetChange) {
	event := logging.TargetReady
	switch target.State {
	case membership.TargetReady:
	case membership.TargetDraining:
		event = logging.TargetDraining
	default:
		return
	}
	r.node.logger.Event(event).
		Str("service", target.Service).
		Str("source", string(learned.source)).
		Str("instance", target.Instance).
		Int("started_ms", target.StartedMS).
		Uint("sequence", learned.sequence).
		Send()
}

// withinLimits applies the limits that the configuration sets for the target's
// service.
func (r *targetRegistry) withinLimits(target calls.Target) calls.Target {
	snapshot := r.node.configuration.Snapshot()
	if snapshot == nil {
		return target
	}
	service, ok := snapshot.Service(target.Service)
	if !ok {
		return target
	}
	return limitTarget(target, service)
}

// limitTarget lowers the announced slots and connections to those that the
// configuration allows.
func limitTarget(target calls.Target, service state.Service) calls.Target {
	target.Slots = min(target.Slots, service.Slots)
	target.Connections = min(target.Connections, service.Connections)
	return target
}
