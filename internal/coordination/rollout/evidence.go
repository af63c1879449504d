package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// spreadScore is the evidence at which a version with bad responses of several targets is
	// bad: a good version reaches it by chance with a probability of about e^-10 in each run of
	// bad responses.
	spreadScore = 10
	// targetScore is that at which a single target is set aside, and laterScore that of the targets
	// that are tried then: a second bad target is rare unless the version is bad.
	targetScore = 8
	laterScore  = 5
	// laterResponses is for how many responses laterScore applies.
	laterResponses = 100
	// onlyTargetScore is that of the only target.
	onlyTargetScore = 16
	// dominance is the part of a score from which a single target is set aside for it.
	dominance = 0.6
	// suspiciousScore is the evidence at which the rollout does not advance.
	suspiciousScore = 4
	// commonBadShare is the bad share of the old version from which bad targets are so common
	// that a third one must be tried.
	commonBadShare = 0.05
	// coldTime is the age of a target up to which slow responses do not count, and
	// warmUpTime the time after its first call.
	coldTime   = 2 * time.Second
	warmUpTime = 500 * time.Millisecond
	// recentSnapshots x snapshotInterval is the period over which the old version is
	// measured in addition to the whole time, to follow overload and faults that begin later.
	recentSnapshots  = 6
	snapshotInterval = 500 * time.Millisecond
	// minTimed is how many response times of the old version a slow limit needs.
	minTimed = 5
	// minSlowFactor and maxSlowFactor bound the slow limit as a multiple of the old version's
	// geometric mean; between them it is two standard deviations. Slowdowns of four times and more must exceed it.
	minSlowFactor = 3
	maxSlowFactor = 5
	// The test of the mean of log response times is built for a slowdown of 2.7 times (the
	// natural logarithm is 1) against a tolerated one of 1.2 times.
	slowShift, toleratedShift = 1.0, 0.2
	// minLogDeviation bounds the standard deviation from below: responses of one target are not
	// independent.
	minLogDeviation = 0.6
	// minResponses is how many responses of the new version are wanted before the rollout advances early.
	minResponses = 30
)

// totals sums the responses of one version on one route.
type totals struct {
	good, failed, slow, logSum, logSquares float64
}

func (t totals) all() float64 { return t.good + t.failed + t.slow }

func (t *totals) add(d totals) {
	t.good += d.good
	t.failed += d.failed
	t.slow += d.slow
	t.logSum += d.logSum
	t.logSquares += d.logSquares
}

func (t totals) minus(d totals) totals {
	return totals{t.good - d.good, t.failed - d.failed, t.slow - d.slow, t.logSum - d.logSum, t.logSquares - d.logSquares}
}

// timing returns the mean and the standard deviation of the log response times.
func (t totals) timing() (mean, deviation float64, ok bool) {
	if t.good < minTimed {
		return 0, 0, false
	}
	mean = t.logSum / t.good
	return mean, math.Sqrt(max(0, t.logSquares/t.good-mean*mean)), true
}

// test has the scores of one set of responses. Failures and slow responses are tested apart: an
// old version with slow targets must not excuse failures, nor the reverse.
type test struct {
	failures, slow score
}

func newTest() *test { return &test{failures: newScore(), slow: newScore()} }

func (t *test) add(endpoint string, reference shares, good, failed, slow float64) {
	t.failures.add(endpoint, reference.failed, good+slow, failed)
	t.slow.add(endpoint, reference.slow, good, slow)
}

func (t *test) suspicious() bool {
	return t.failures.suspicious() || t.slow.suspicious()
}

// shares are the shares of failed and of slow responses.
type shares struct {
	failed, slow float64
}

func (t totals) shares() shares {
	return shares{badShare(t.good+t.slow, t.failed), badShare(t.good, t.slow)}
}

// shrunk are the shares, moved towards those of all routes if there are few responses.
func (t totals) shrunk(overall shares) shares {
	return shares{
		(t.failed + priorResponses*overall.failed) / (t.all() + priorResponses),
		(t.slow + priorResponses*overall.slow) / (t.good + t.slow + priorResponses),
	}
}

func (s shares) max(o shares) shares { return shares{max(s.failed, o.failed), max(s.slow, o.slow)} }

// evidence compares the new version with the old one.
type evidence struct {
	old, new map[string]*totals
	// snapshots are earlier values of old, the oldest first.
	snapshots []map[string]totals
	snapAt    time.Time
	// references caches reference for the routes, until responses of the old version come.
	references map[string]shares

	// load has the responses under the load of an old target only: those without it must not
	// make up for them. UnderLoad says whether responses come under that load now.
	overall, load *test
	underLoad     bool
	timing        score
	routes        map[string]*test
	// frozen ends the measurement of the old version in Shifting: its last responses are
	// those of its slowest calls.
	frozen bool
	// since is when a target was first seen ready, used when it first had a response.
	since, used map[string]time.Time
	// setAside has the targets that may be bad on their own.
	setAside map[string]*suspicion
}

// suspicion is the reason why a target was set aside.
type suspicion struct {
	scope string
	// before and beforeAll are the numbers of responses in the scope and in all at that time.
	before, beforeAll float64
	// underLoad is set if the target carried the load of an old one. Recheck has its later
	// responses, without that load.
	underLoad bool
	recheck   *test
}

func newEvidence() *evidence {
	return &evidence{
		old: make(map[string]*totals), new: make(map[string]*totals), references: make(map[string]shares),
		overall: newTest(), timing: newScore(), load: newTest(), routes: make(map[string]*test),
		since: make(map[string]time.Time), used: make(map[string]time.Time), setAside: make(map[string]*suspicion),
	}
}

// addOld takes in responses of the old version.
func (e *evidence) addOld(now time.Time, route string, d totals) {
	if e.frozen {
		return
	}
	if e.old[route] == nil {
		e.old[route] = &totals{}
	}
	e.old[route].add(d)
	clear(e.references)
	if now.Sub(e.snapAt) < snapshotInterval {
		return
	}
	e.snapAt = now
	snapshot := make(map[string]totals, len(e.old))
	for r, t := range e.old {
		snapshot[r] = *t
	}
	e.snapshots = append(e.snapshots, snapshot)
	if len(e.snapshots) > recentSnapshots {
		e.snapshots = e.snapshots[1:]
	}
}

// recent returns the responses of the old version on a route within the last seconds.
func (e *evidence) recent(route string) totals {
	all := e.old[route]
	if all == nil {
		return totals{}
	}
	if len(e.snapshots) == 0 {
		return *all
	}
	return all.minus(e.snapshots[0][route])
}

// reference returns the shares of the old version on a route: the greater ones of those since
// the order and in the last seconds.
func (e *evidence) reference(route string) shares {
	if cached, ok := e.references[route]; ok {
		return cached
	}
	var all, recent, own totals
	for r, t := range e.old {
		all.add(*t)
		recent.add(e.recent(r))
	}
	if t := e.old[route]; t != nil {
		own = *t
	}
	overall := all.shares().max(recent.shares())
	e.references[route] = own.shrunk(overall).max(e.recent(route).shrunk(overall))
	return e.references[route]
}

// slowLimit returns the response time from which a response on a route counts as slow.
func (e *evidence) slowLimit(route string) (time.Duration, bool) {
	mean, deviation, ok := e.oldTiming(route)
	if !ok {
		return 0, false
	}
	millis := math.Exp(mean + min(max(2*deviation, math.Log(minSlowFactor)), math.Log(maxSlowFactor)))
	return time.Duration(millis * float64(time.Millisecond)), true
}

// oldTiming returns the slower of the old version's timings since the order and of the last seconds.
func (e *evidence) oldTiming(route string) (mean, deviation float64, ok bool) {
	all := e.old[route]
	if all == nil {
		return 0, 0, false
	}
	mean, deviation, ok = all.timing()
	if m, d, recentOK := e.recent(route).timing(); recentOK && m > mean {
		mean, deviation = m, d
	}
	return mean, deviation, ok
}

// slowLimits returns the slow limits of all routes that have one.
func (e *evidence) slowLimits() map[string]time.Duration {
	limits := make(map[string]time.Duration, len(e.old))
	for route := range e.old {
		if limit, ok := e.slowLimit(route); ok {
			limits[route] = limit
		}
	}
	return limits
}

// typicalTime returns the mean of the routes' geometric mean response times, weighted by calls.
func (e *evidence) typicalTime() time.Duration {
	var sum, weight float64
	for _, route := range slices.Sorted(maps.Keys(e.old)) {
		t := e.old[route]
		if mean, _, ok := t.timing(); ok {
			sum += t.good * math.Exp(mean)
			weight += t.good
		}
	}
	if weight == 0 {
		return 0
	}
	return time.Duration(sum / weight * float64(time.Millisecond))
}

// cold reports whether a target may still be slow because it has just been started.
func (e *evidence) cold(now time.Time, endpoint string) bool {
	return now.Sub(e.since[endpoint]) < coldTime || now.Sub(e.used[endpoint]) < warmUpTime
}

// addNew takes in responses of a target of the new version.
func (e *evidence) addNew(now time.Time, route, endpoint string, good, failed, slow float64, logSum float64) {
	if _, ok := e.used[endpoint]; !ok {
		e.used[endpoint] = now
	}
	if e.new[route] == nil {
		e.new[route] = &totals{}
	}
	e.new[route].add(totals{good: good, failed: failed, slow: slow, logSum: logSum})
	if aside := e.setAside[endpoint]; aside != nil {
		if !e.underLoad {
			aside.recheck.add(endpoint, e.reference(route), good, failed, slow)
		}
		return
	}
	cold := e.cold(now, endpoint)
	if cold {
		slow = 0
	}
	if e.routes[route] == nil {
		e.routes[route] = newTest()
	}
	reference := e.reference(route)
	e.overall.add(endpoint, reference, good, failed, slow)
	e.routes[route].add(endpoint, reference, good, failed, slow)
	if e.underLoad {
		e.load.add(endpoint, reference, good, failed, slow)
	}
	if mean, deviation, ok := e.oldTiming(route); ok && !cold && good > 0 {
		variance := max(deviation, minLogDeviation) * max(deviation, minLogDeviation)
		middle := mean + (slowShift+toleratedShift)/2
		e.timing.good += good
		e.timing.addIncrement(endpoint, (slowShift-toleratedShift)/variance*(logSum-good*middle))
	}
}

// clearingResponses is how many responses of other targets clear a suspicion if they are good.
const clearingResponses = 8

// missing returns how many responses of other targets a suspicion needs to be cleared.
func (e *evidence) missing(a *suspicion) float64 {
	s := e.scopes()[a.scope]
	return max(0, clearingResponses-(s.good+s.bad-a.before))
}

// doubts describes a suspicion that is not cleared, empty if there is none. It is cleared by
// good responses of other targets. One that came up under load needs another target under
// load (loaded), or that the first one is bad without load too, so that it is at fault itself.
func (e *evidence) doubts(loaded bool) string {
	for _, endpoint := range slices.Sorted(maps.Keys(e.setAside)) {
		a := e.setAside[endpoint]
		if e.missing(a) > 0 || a.underLoad && !loaded && !a.recheck.suspicious() {
			return fmt.Sprintf("target %s was bad on %s, and other responses do not show that only the target is", endpoint, a.scope)
		}
	}
	return ""
}

// toRecheck returns a target to which calls without load are to be sent, empty if there is none.
func (e *evidence) toRecheck() (endpoint string, calls float64) {
	for _, endpoint := range slices.Sorted(maps.Keys(e.setAside)) {
		a := e.setAside[endpoint]
		if left := clearingResponses - a.recheck.failures.good - a.recheck.failures.bad; a.underLoad && left > 0 && !a.recheck.suspicious() {
			return endpoint, left
		}
	}
	return "", 0
}

// The names of scopes.
const (
	failuresOf = "failures, "
	slownessOf = "slow responses, "
)

// scopes returns the scores by name.
func (e *evidence) scopes() map[string]*score {
	scopes := map[string]*score{"response times": &e.timing}
	add := func(name string, t *test) {
		scopes[failuresOf+name], scopes[slownessOf+name] = &t.failures, &t.slow
	}
	add("all routes", e.overall)
	add("calls under load", e.load)
	for route, t := range e.routes {
		add("route "+route, t)
	}
	return scopes
}

// verdict returns the reason if the new version is bad. It sets a target aside that may be bad on its
// own if canTry says that there is another one.
func (e *evidence) verdict(canTry func() bool) (reason string, bad bool) {
	scopes := e.scopes()
	for _, name := range slices.Sorted(maps.Keys(scopes)) {
		s := scopes[name]
		top, contribution := s.top()
		needed := 1
		if e.commonlyBad() {
			needed = 2
		}
		switch {
		case len(e.setAside) >= needed && s.sum >= e.neededLater(),
			s.sum >= spreadScore && contribution < dominance*s.sum,
			s.sum >= onlyTargetScore && !canTry():
			old := e.overallReference()
			return fmt.Sprintf("%s: %s; shares of the old version %.3f failed, %.3f slow; %d targets set aside before",
				name, s.String(), old.failed, old.slow, len(e.setAside)), true
		case len(e.setAside) < needed && s.sum >= targetScore && contribution >= dominance*s.sum && canTry():
			e.setAside[top] = &suspicion{scope: name, before: s.good + s.bad, beforeAll: e.responses(), underLoad: e.underLoad, recheck: newTest()}
			for _, other := range scopes {
				other.remove(top)
			}
		}
	}
	return "", false
}

// neededLater returns the score at which the targets that are tried after others were set aside show
// a bad version. It is low for their first responses only: in many responses it comes up by chance.
func (e *evidence) neededLater() float64 {
	for _, a := range e.setAside {
		if e.responses()-a.beforeAll <= laterResponses {
			return laterScore
		}
	}
	return targetScore
}

func (e *evidence) overallReference() shares {
	var all totals
	for _, t := range e.old {
		all.add(*t)
	}
	return all.shares()
}

func (e *evidence) commonlyBad() bool {
	old := e.overallReference()
	return max(old.failed, old.slow) > commonBadShare
}

// suspicious describes the evidence because of which the rollout must not advance, empty if there
// is none.
func (e *evidence) suspicious() string {
	scopes := e.scopes()
	for _, name := range slices.Sorted(maps.Keys(scopes)) {
		if scopes[name].suspicious() {
			return name + ": " + scopes[name].String()
		}
	}
	return ""
}

// tested reports whether the new version had enough responses, in all and on each route that the old
// version is called on.
func (e *evidence) tested() bool {
	return e.responses() >= minResponses && len(e.untestedRoutes()) == 0
}

// untestedRoutes returns the routes that need more responses of the new version: they have few,
// or suspicious ones.
func (e *evidence) untestedRoutes() []string {
	var routes []string
	for _, route := range slices.Sorted(maps.Keys(e.old)) {
		if e.routeNeed(route) > 0 {
			routes = append(routes, route)
		}
	}
	return routes
}

// routeNeed returns how many more responses are wanted on a route.
func (e *evidence) routeNeed(route string) float64 {
	t := e.routes[route]
	if t == nil {
		t = newTest()
	}
	need := max(t.failures.missing(), t.slow.missing())
	for _, a := range e.setAside {
		if a.scope == failuresOf+"route "+route || a.scope == slownessOf+"route "+route {
			need = max(need, e.missing(a))
		}
	}
	return max(0, need)
}

// routesNeed returns how many more responses are wanted on all routes.
func (e *evidence) routesNeed() float64 {
	sum := 0.0
	for route := range e.old {
		sum += e.routeNeed(route)
	}
	return sum
}

// responses returns the number of responses of the new version.
func (e *evidence) responses() float64 {
	sum := 0.0
	for _, t := range e.new {
		sum += t.all()
	}
	return sum
}

// goodResponses returns the number of good responses of the new version.
func (e *evidence) goodResponses() float64 {
	sum := 0.0
	for _, t := range e.new {
		sum += t.good
	}
	return sum
}
