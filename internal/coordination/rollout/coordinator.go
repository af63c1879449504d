package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// writeRetry is the interval at which an unconfirmed write is repeated. Calls to the store are
	// expensive, and its responses may take some hundred milliseconds.
	writeRetry = 500 * time.Millisecond
	// minNewCapacity is the capacity of the new version relative to the old one for a shift at
	// its planned time, minLateCapacity that for a late one.
	minNewCapacity, minLateCapacity = 0.9, 0.5
	// slowOldShare is the share of slow responses of the old version from which the shift is early:
	// the old targets then take long to become idle.
	slowOldShare = 0.02
	// probeTime is how long before the planned shift the last probe begins.
	probeTime = 800 * time.Millisecond
	// maxProbeTime bounds the probe before Shifting where there are few calls.
	maxProbeTime = 1500 * time.Millisecond
)

// Coordinator is the part of one running rollout at the node that coordinates it. It is not
// safe for concurrent use.
type Coordinator struct {
	record   Record
	settings Settings
	members  map[string]Member
	targets  targets
	ledger   *ledger
	evidence *evidence
	schedule schedule
	exposure exposure

	// grantsFrom is when the grants of a predecessor have ended.
	grantsFrom time.Time
	inherits   bool
	shiftedAt  time.Time
	// slowLimits are those of the last Step. Directives share them, so they are never changed.
	slowLimits map[string]time.Duration
	// first is the target that gets the calls of Canary.
	first string
	// probedAt is when the last probe before Shifting began, and probedFrom the number of
	// responses then.
	probedAt   time.Time
	probedFrom float64

	// wanted is the result that is being written: Completed is announced only once it is.
	wanted     Record
	written    Phase
	hasWritten bool
	writeAt    time.Time
	announced  Phase
	ended      bool
}

// NewCoordinator starts to coordinate a rollout from the newest record that is known, with
// the members that may send or run calls of the service. Fresh means that this node has
// just accepted the order, so that no other node has coordinated it before.
func NewCoordinator(now time.Time, record Record, settings Settings, members []Member, fresh bool) *Coordinator {
	c := &Coordinator{
		record: record, settings: settings, ledger: newLedger(), evidence: newEvidence(),
		schedule: schedule{accepted: record.AcceptedAt, duration: record.Duration, start: record.AcceptedAt},
		wanted:   record, announced: record.Phase, ended: record.Phase.Final(), grantsFrom: now,
	}
	if !fresh {
		c.grantsFrom = now.Add(settings.GrantValidity)
		c.inherits = true
	}
	if record.Phase == Shifting {
		c.shiftedAt = now
	}
	c.SetMembers(now, members)
	return c
}

// SetMembers replaces the members.
func (c *Coordinator) SetMembers(now time.Time, members []Member) {
	c.members = make(map[string]Member, len(members))
	for _, m := range members {
		c.members[m.ID] = m
		if _, known := c.evidence.since[m.ID]; !known && c.isNew(m) && m.Ready {
			c.evidence.since[m.ID] = now
		}
	}
	c.updateTargets()
}

func (c *Coordinator) isNew(m Member) bool { return m.Version == c.record.TargetVersion }
func (c *Coordinator) isOld(m Member) bool { return m.Version != "" && !c.isNew(m) }

// targets is what the members say about the ready targets.
type targets struct {
	oldTargets, oldSlots, newTargets, newSlots int
	// endpoints are the targets of the new version that are not set aside, ranked by
	// rendezvous hash so that every coordinator of an order has the same order of them. The
	// first target in use stays first when others become ready.
	endpoints []string
}

// updateTargets computes targets, which is needed for each directive, when members or evidence changed.
func (c *Coordinator) updateTargets() {
	c.targets = targets{}
	ranks := make(map[string]uint64)
	for id, m := range c.members {
		if !m.Ready {
			continue
		}
		if c.isOld(m) {
			c.targets.oldTargets++
			c.targets.oldSlots += max(1, m.Slots)
		}
		if !c.isNew(m) {
			continue
		}
		c.targets.newTargets++
		c.targets.newSlots += max(1, m.Slots)
		if c.evidence.setAside[id] == nil {
			c.targets.endpoints = append(c.targets.endpoints, id)
			ranks[id] = xxhash.Sum64String(strconv.FormatUint(c.record.Order, 10) + " " + id)
		}
	}
	slices.SortFunc(c.targets.endpoints, func(a, b string) int {
		if a == c.first {
			return -1
		}
		if b == c.first {
			return 1
		}
		return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(a, b))
	})
}

// Receive takes over a report.
func (c *Coordinator) Receive(now time.Time, r Report) []Action {
	if c.ended || r.Order != c.record.Order || r.Service != c.record.Service {
		return nil
	}
	callsBefore := c.ledger.calls
	a := c.ledger.receive(now, r)
	if a == nil {
		return nil
	}
	c.exposure.advance(now, float64(c.ledger.calls-callsBefore))
	c.evidence.frozen = c.record.Phase >= Shifting
	c.evidence.underLoad = c.exposure.loading(now)
	if c.receiveStats(now, a, r.Stats) || a.stopped {
		c.judge(now)
	}
	if !c.ended {
		return nil
	}
	return c.write(now)
}

// receiveStats passes what a report adds to the last one of its incarnation to the evidence, first
// that of the old version. It reports whether there was a bad response of the new version.
func (c *Coordinator) receiveStats(now time.Time, a *account, stats []VersionStats) (bad bool) {
	for _, wantNew := range []bool{false, true} {
		for _, s := range stats {
			isNew := s.Version == c.record.TargetVersion
			if isNew != wantNew {
				continue
			}
			key := statsKey{isNew: isNew, route: s.Route, endpoint: s.Endpoint}
			last := a.stats[key]
			a.stats[key] = s
			good, failed, slow := float64(s.Successes)-float64(last.Successes), float64(s.Failures)-float64(last.Failures), float64(s.Slow)-float64(last.Slow)
			if good < 0 || failed < 0 || slow < 0 || good+failed+slow == 0 {
				continue
			}
			if isNew {
				bad = bad || failed+slow > 0
				c.evidence.addNew(now, s.Route, s.Endpoint, good, failed, slow, s.LogSum-last.LogSum)
			} else {
				c.evidence.addOld(now, s.Route, totals{good, failed, slow, s.LogSum - last.LogSum, s.LogSquares - last.LogSquares})
			}
		}
	}
	return bad
}

// judge rolls back if the evidence is there.
func (c *Coordinator) judge(now time.Time) {
	if c.record.Phase == Pending {
		return
	}
	canTry := func() bool { return len(c.targets.endpoints) > 1 }
	setAside := len(c.evidence.setAside)
	if reason, bad := c.evidence.verdict(canTry); bad {
		c.rollBack("bad version: " + reason)
		return
	}
	if len(c.evidence.setAside) > setAside {
		c.updateTargets()
		c.exposure.targetChanged(now)
	}
	if c.evidence.load.suspicious() {
		c.exposure.loaded = false // only another burst can clear this
	}
	stops := 0
	for _, a := range c.ledger.current {
		if a.stopped {
			stops++
		}
	}
	if stops > 0 && c.evidence.suspicious() != "" {
		c.rollBack(fmt.Sprintf("bad version: %d nodes stopped on their own responses", stops))
	}
}

// Step makes the decisions that are due. It is called every Settings.ReportInterval.
func (c *Coordinator) Step(now time.Time) []Action {
	if c.ended {
		return c.write(now)
	}
	c.slowLimits = c.evidence.slowLimits()
	if !now.Before(c.grantsFrom) && c.inherits {
		c.inherits = false
		c.ledger.inherited = c.inheritedCharge()
		c.exposure.targetChanged(now)
	}
	c.judge(now)
	if !c.ended && c.wanted.Phase != Completed {
		if !now.Before(c.schedule.fraction(decideBy)) {
			c.rollBack("no result before the time limit: " + c.obstacle(now))
		} else {
			c.advance(now)
		}
	}
	return c.write(now)
}

// inheritedCharge returns what a predecessor may have granted in its last moments, and what nodes that
// have lost their memory may have used. If no node remembers any exposure although the rollout
// had begun, that is the whole budget of the phase.
func (c *Coordinator) inheritedCharge() float64 {
	if c.record.Phase == Pending {
		return 0
	}
	if c.ledger.exposed == 0 {
		return c.granted(c.ledger.calls)
	}
	recent := grantShare * c.settings.ExposeShare * c.exposure.rate() * c.settings.GrantValidity.Seconds()
	unreported, reported := 0.0, float64(len(c.ledger.current))
	for id := range c.members {
		if c.ledger.current[id] == nil {
			unreported++
		}
	}
	return recent + unreported*float64(c.ledger.exposed)/max(1, reported)
}

// advance moves to the next phase if it is due.
func (c *Coordinator) advance(now time.Time) {
	newTargets := c.targets.newTargets
	switch c.record.Phase {
	case Pending:
		if newTargets > 0 {
			c.schedule.start = now
			c.exposure.probe()
			c.enter(Canary, fmt.Sprintf("%d targets of the new version are ready", newTargets))
		}
	case Canary:
		ready := !now.Before(c.schedule.at(canaryEnd)) && c.evidence.tested() && c.exposure.loaded
		if (ready || !now.Before(c.schedule.at(latestStart))) && c.evidence.suspicious() == "" {
			c.enter(Expanding, fmt.Sprintf("%.0f responses of the new version", c.evidence.responses()))
		}
	case Expanding:
		needed := minNewCapacity
		late := !now.Before(c.schedule.at(latestShift))
		if late {
			needed = minLateCapacity
		}
		enough := float64(c.targets.newSlots) >= needed*float64(c.targets.oldSlots)
		doubts := c.evidence.doubts(c.exposure.loaded)
		probed := !now.Before(c.shiftAt().Add(-probeTime)) && c.probedBeforeShift(now)
		loaded := c.exposure.loaded || !now.Before(c.schedule.at(loadedBy))
		ready := probed && loaded && !now.Before(c.shiftAt()) && c.evidence.tested() && c.coversShift(now)
		if late && doubts != "" {
			c.rollBack("suspected version: " + doubts)
			return
		}
		if (late || ready && doubts == "") && enough && newTargets > 0 && c.evidence.suspicious() == "" {
			c.shiftedAt = now
			c.enter(Shifting, fmt.Sprintf("%.0f responses of the new version, %d of %d targets ready", c.evidence.responses(), newTargets, c.targets.oldTargets))
		}
	case Shifting:
		if newTargets > 0 && now.Sub(c.shiftedAt) >= c.soakTime() && !now.Before(c.grantsFrom) &&
			(c.evidence.tested() || !now.Before(c.schedule.fraction(lastTenth))) &&
			c.evidence.suspicious() == "" && c.busyGate(now) == "" {
			c.wanted = c.record
			c.wanted.Phase, c.wanted.Reason = Completed, fmt.Sprintf("%.0f responses of the new version, no call at an old target", c.evidence.responses())
			c.writeAt = time.Time{}
		}
	}
}

// shiftAt is the planned time of the shift.
func (c *Coordinator) shiftAt() time.Time {
	if c.evidence.overallReference().slow > slowOldShare {
		return c.schedule.at(earlyShift)
	}
	return c.schedule.at(shiftStart)
}

// probedBeforeShift sends a few more calls to the new version and reports whether they have
// responses, so that a version that has just turned bad is not shifted to.
func (c *Coordinator) probedBeforeShift(now time.Time) bool {
	if c.probedAt.IsZero() {
		c.probedAt, c.probedFrom = now, c.evidence.responses()
		c.exposure.probe()
	}
	return c.evidence.responses()-c.probedFrom >= firstCalls || now.Sub(c.probedAt) >= maxProbeTime
}

// obstacle says why there is no result.
func (c *Coordinator) obstacle(now time.Time) string {
	switch {
	case c.record.Phase == Pending:
		return "no target of the new version is ready"
	case c.evidence.suspicious() != "":
		return "responses are suspicious: " + c.evidence.suspicious()
	case c.record.Phase < Shifting:
		return "targets of the new version are missing"
	}
	return "old target in use at node " + c.busyGate(now)
}

// busyGate returns a node whose old target may have calls, empty if there is none. In the
// last tenth of the time, nodes without contact are not waited for.
func (c *Coordinator) busyGate(now time.Time) string {
	excuse := !now.Before(c.schedule.fraction(lastTenth))
	busy := ""
	for id, m := range c.members {
		if !c.isOld(m) {
			continue
		}
		a := c.ledger.current[id]
		if a != nil && a.idle {
			continue
		}
		inContact := m.Alive && a != nil && now.Sub(a.reportedAt) < c.settings.GrantValidity
		if (!excuse || inContact) && (busy == "" || id < busy) {
			busy = id
		}
	}
	return busy
}

// enter begins a phase that is not a result.
func (c *Coordinator) enter(p Phase, reason string) {
	c.record.Phase, c.record.Reason = p, reason
	c.wanted = c.record
}

// rollBack ends the rollout. Nodes act on it before it is written.
func (c *Coordinator) rollBack(reason string) {
	c.record.Phase, c.record.Reason = RolledBack, reason
	c.wanted, c.ended = c.record, true
}

// write announces and writes what is not announced and written yet.
func (c *Coordinator) write(now time.Time) []Action {
	var actions []Action
	if c.announced != c.record.Phase {
		c.announced = c.record.Phase
		actions = append(actions, Announce{c.record})
		c.writeAt = time.Time{}
	}
	if c.hasWritten && c.written >= c.wanted.Phase {
		return actions
	}
	if now.Sub(c.writeAt) >= writeRetry {
		c.writeAt = now
		actions = append(actions, WriteRecord{c.wanted})
	}
	return actions
}

// Written says that the store has the record, by a write of this node or of another one.
func (c *Coordinator) Written(now time.Time, r Record) []Action {
	if r.Order != c.record.Order || (c.hasWritten && r.Phase <= c.written) {
		return nil
	}
	c.hasWritten, c.written = true, r.Phase
	return c.Learn(now, r)
}

// Learn takes over a record that was read from the store or sent by another node. After a
// result or a later order the coordinator requests nothing more.
func (c *Coordinator) Learn(now time.Time, r Record) []Action {
	if r.Service != c.record.Service || r.Order < c.record.Order {
		return nil
	}
	if r.Order > c.record.Order {
		c.ended, c.hasWritten, c.written = true, true, Completed
		return nil
	}
	merged := Merge(c.record, r)
	if compare(merged, c.record) == 0 {
		return nil
	}
	if merged.Phase == Shifting && c.record.Phase != Shifting {
		c.shiftedAt = now
	}
	c.record = merged
	if merged.Phase.Final() {
		c.ended = true
	}
	if merged.Phase >= c.wanted.Phase {
		c.wanted = merged
	}
	return c.write(now)
}

// Abort rolls the order back, for example because it was withdrawn or an operator requests it.
func (c *Coordinator) Abort(now time.Time, reason string) []Action {
	if c.ended {
		return nil
	}
	c.rollBack(reason)
	return c.write(now)
}

// Record returns the record as decided, which may not be written yet.
func (c *Coordinator) Record() Record { return c.record }

// Directive returns the response to the newest report of a node. The runner must send it
// only in response to that report.
func (c *Coordinator) Directive(now time.Time, node string) Directive {
	d := Directive{Record: c.record, SlowLimits: c.slowLimits}
	a := c.ledger.current[node]
	if a == nil || c.ended || a.stopped {
		return d
	}
	switch c.record.Phase {
	case Shifting:
		d.Grant, d.GrantFor, d.Share = unlimited, c.settings.GrantValidity, 1
	case Canary, Expanding:
		c.grant(now, a, &d)
	}
	return d
}

// noticeTime is how long a sudden failure of the new version goes unnoticed: until the response of
// the first calls, and its report.
func (c *Coordinator) noticeTime() time.Duration {
	return min(c.evidence.typicalTime(), time.Second) + c.settings.ReportInterval + 100*time.Millisecond
}

// soakTime is how long Shifting lasts at least. If no target has carried the load of an old one without
// a suspicion before, there must be time to see that.
func (c *Coordinator) soakTime() time.Duration {
	if c.exposure.loaded {
		return max(loadTime, c.noticeTime())
	}
	return loadTime + c.noticeTime()
}

// granted returns the limit of the exposure after a number of calls.
func (c *Coordinator) granted(calls uint64) float64 {
	return grantShare*c.settings.ExposeShare*float64(calls) + float64(c.settings.ExposeSlack)
}

// expectedBudget estimates the budget at the time limit: the calls so far and half of the present
// rate for the rest, as calls may become fewer.
func (c *Coordinator) expectedBudget(now time.Time) float64 {
	rest := max(0, c.record.Limit().Sub(now).Seconds())
	return c.settings.ExposeShare*(float64(c.ledger.calls)+0.5*c.exposure.rate()*rest) + float64(c.settings.ExposeSlack)
}

// coversShift reports whether the rest of the budget covers a sudden failure under full load.
func (c *Coordinator) coversShift(now time.Time) bool {
	return c.expectedBudget(now)-c.ledger.charged() >= c.exposure.rate()*c.noticeTime().Seconds()
}

// exposureLimit is the limit of the sum of all charges before Shifting. It keeps back what a
// sudden failure at the shift needs, but not below reservedShare of the calls.
func (c *Coordinator) exposureLimit(now time.Time) float64 {
	limit := c.granted(c.ledger.calls)
	if !c.exposure.loaded {
		return limit // the burst saves more than it uses, as a failure under load shows before the shift
	}
	reserve := c.expectedBudget(now) - c.exposure.rate()*c.noticeTime().Seconds()
	floor := reservedShare*c.settings.ExposeShare*float64(c.ledger.calls) + grantShare*float64(c.settings.ExposeSlack)
	return min(limit, max(reserve, floor))
}

// grant fills in a directive of Canary or Expanding.
//
// Load pattern: 12 to 1,500 nodes with 0.1 to 100 calls per second each, of which the new
// version may get a few percent: most nodes get one call at a time, or none.
func (c *Coordinator) grant(now time.Time, a *account, d *Directive) {
	if c.inherits {
		return
	}
	d.GrantFor = c.settings.GrantValidity
	endpoints := c.targets.endpoints
	if len(endpoints) == 0 {
		return
	}
	c.first = endpoints[0]
	rest := max(0, c.record.Limit().Sub(now).Seconds())
	fewCalls := c.exposure.measured() && float64(c.ledger.calls)+c.exposure.rate()*rest <= fewCallsFactor*float64(c.settings.ExposeSlack)
	plan := c.exposure.plan(now, planInput{
		fewCalls:  fewCalls,
		expanding: c.record.Phase == Expanding, oldTargets: c.targets.oldTargets, endpoints: endpoints,
		limit: c.exposureLimit(now), charged: c.ledger.charged(), exposed: float64(c.ledger.exposed),
		shiftIn: c.shiftAt().Sub(now), patient: now.Before(c.schedule.at(latestStart)),
		exposeShare: c.settings.ExposeShare, responses: c.evidence.responses(),
		recheck: c.recheck(), good: c.evidence.goodResponses(), warm: !c.evidence.cold(now, endpoints[0]), routesNeed: c.evidence.routesNeed(),
	})
	d.Endpoints, d.Share = plan.endpoints, plan.share
	left := float64(a.charge() - a.exposed)
	cap := 1 + math.Ceil(plan.share*a.rate*2*c.settings.ReportInterval.Seconds())
	if a.calls == 0 && !fewCalls {
		cap = 0
	}
	number := min(left+max(0, math.Floor(max(plan.want, plan.forRoutes))), cap)
	d.Grant = uint32(number)
	if number > left && plan.want >= 1 {
		// The ceiling is the greatest of those in force, so only the excess is charged.
		c.exposure.spend(number - left)
	}
	if number > 0 {
		c.ledger.grant(a, a.exposed+uint64(number), now.Add(c.settings.GrantValidity))
		expected := max(1, a.rate*c.settings.ReportInterval.Seconds())
		d.Share = min(1, max(plan.share, number/expected))
		if fewCalls {
			d.Share = plan.share
			return
		}
		others := d.Share
		if plan.want < 1 && !c.exposure.bursting {
			others = 0 // the grant is for routes that need responses
		}
		d.RouteShares = c.routeShares(others)
	}
}

// recheck returns the target that is to be tried again without load.
func (c *Coordinator) recheck() string {
	if c.exposure.loaded || c.evidence.underLoad {
		return ""
	}
	endpoint, _ := c.evidence.toRecheck()
	return endpoint
}

// routeShares prefers the routes that need more responses of the new version, so that a version that
// is bad on a rare route is found within the budget. Others is the share of the other routes.
func (c *Coordinator) routeShares(others float64) map[string]float64 {
	untested := c.evidence.untestedRoutes()
	if len(untested) == 0 {
		return nil
	}
	shares := make(map[string]float64, len(c.evidence.old))
	for route := range c.evidence.old {
		shares[route] = others
	}
	for _, route := range untested {
		shares[route] = max(others, maxRouteShare)
	}
	return shares
}
