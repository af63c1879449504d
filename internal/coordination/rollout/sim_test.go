package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulated service: calls per second and node, routes with their shares and median response
// times, and faults that exist in both versions.
const (
	simTick      = 5 * time.Millisecond
	simFailShare = 0.01
	simDeviation = 0.4
	simColdTime  = time.Second
	simCold      = 3.0
	simSlow      = 6.0
)

var (
	simRoutes  = []string{"a", "b", "c", "d"}
	simShares  = []float64{0.5, 0.3, 0.15, 0.05}
	simMedians = []float64{80, 200, 300, 120}
	simStart   = time.Unix(1_000_000, 0)
)

type badness int

const (
	good badness = iota
	failing
	slowing
	late
	underLoad
	oneRoute
)

var badnessNames = [...]string{"good", "failing", "slow", "late", "under load", "one route"}

type simOptions struct {
	seed     uint64
	nodes    int
	rate     float64
	duration time.Duration
	kind     badness
	// slowKind makes late, underLoad and oneRoute slow instead of failing.
	slowKind bool
	noFaults bool
	event    func(s *sim, at time.Duration)
}

type simTarget struct {
	isNew, exists    bool
	readyAt          time.Duration
	slowFrom, slowTo time.Duration
	sent             []time.Duration // within the last second
	running          int
}

type simNode struct {
	id      string
	node    *Node
	target  *simTarget
	cut     bool
	incarn  uint64
	nextRep time.Duration
}

type simEnd struct {
	node    *simNode
	inc     uint64
	attempt uint64
	failed  bool
	bad     bool
	target  *simTarget
}

type sim struct {
	simOptions
	random      *rand.Rand
	at          time.Duration
	nodes       []*simNode
	settings    Settings
	coordinator *Coordinator
	coordCut    bool
	events      map[int64][]func()
	badRoute    int
	lateAfter   time.Duration

	store          Record
	storeAway      bool
	loseNextAnswer bool
	writes         int

	calls, exposed int
	badResponses   int
	fiftiethBadAt  time.Duration
	// badWhenDecided is the number of bad responses when the coordinator rolled back.
	badWhenDecided int
	lastNewInTouch time.Duration
	// lastNewWhenCut is the last call to the new version from a node that was cut off.
	lastNewWhenCut time.Duration
	resultAt       time.Duration
	results        []Phase
	atOldWhenDone  int
	refusedAll     int
	undercharged   bool
}

func (s *sim) now() time.Time { return simStart.Add(s.at) }

func (s *sim) after(d time.Duration, f func()) {
	tick := int64((s.at+d)/simTick) + 1
	s.events[tick] = append(s.events[tick], f)
}

func newSim(o simOptions) *sim {
	s := &sim{simOptions: o, random: rand.New(rand.NewPCG(o.seed, uint64(o.nodes))), events: make(map[int64][]func())}
	s.settings = DefaultSettings()
	s.settings.ExposeShare = 0.1
	s.store = Record{Service: "s", Order: 7, TargetVersion: "v2", PreviousVersion: "v1", Duration: o.duration, AcceptedAt: simStart}
	s.badRoute = s.random.IntN(len(simRoutes))
	s.lateAfter = 2*time.Second + time.Duration(s.random.Int64N(int64(o.duration)*3/10))
	targets := max(3, o.nodes/4)
	for i := range o.nodes {
		n := &simNode{id: fmt.Sprintf("n%03d", i), target: &simTarget{}, nextRep: time.Duration(s.random.Int64N(int64(250 * time.Millisecond)))}
		if i < 2*targets {
			n.target.exists, n.target.isNew = true, i >= targets
			if n.target.isNew {
				n.target.readyAt = 300*time.Millisecond + time.Duration(s.random.Int64N(int64(1200*time.Millisecond)))
			} else {
				n.target.readyAt = -time.Minute
			}
			if !o.noFaults && s.random.Float64() < 0.05 {
				n.target.slowFrom = time.Duration(s.random.Int64N(int64(o.duration)))
				n.target.slowTo = n.target.slowFrom + 4*time.Second
			}
		}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	s.coordinator = NewCoordinator(s.now(), s.store, s.settings, s.members(), true)
	return s
}

func (s *sim) startNode(n *simNode) {
	n.incarn++
	record := s.store
	for _, other := range s.nodes {
		if other.node != nil && other.cut == n.cut {
			record = Merge(record, other.node.Record())
		}
	}
	n.node = NewNode(n.id, n.incarn, "d", record, s.settings, s.random)
}

func (s *sim) members() []Member {
	var members []Member
	for _, n := range s.nodes {
		m := Member{ID: n.id, Slots: 8, Alive: n.cut == s.coordCut}
		if n.target.exists {
			m.Ready = s.at >= n.target.readyAt
			m.Version = n.version()
		}
		members = append(members, m)
	}
	return members
}

func (n *simNode) version() string {
	switch {
	case !n.target.exists:
		return ""
	case n.target.isNew:
		return "v2"
	}
	return "v1"
}

// isBad reports whether the new version treats this call badly.
func (s *sim) isBad(t *simTarget, route int) bool {
	if !t.isNew {
		return false
	}
	switch s.kind {
	case failing, slowing:
		return true
	case late:
		return s.at-t.readyAt >= s.lateAfter
	case underLoad:
		return float64(len(t.sent)) >= 0.85*s.rate/float64(max(3, s.simOptions.nodes/4))
	case oneRoute:
		return route == s.badRoute
	}
	return false
}

func (s *sim) call() {
	entry := s.nodes[s.random.IntN(len(s.nodes))]
	route, draw := 0, s.random.Float64()
	for draw -= simShares[0]; draw > 0 && route < len(simRoutes)-1; {
		route++
		draw -= simShares[route]
	}
	for range 6 {
		d := entry.node.Route(s.now(), simRoutes[route])
		gate := s.pick(entry, d)
		if gate == nil {
			entry.node.Cancel(d.Attempt)
			continue
		}
		entry.node.Sent(d.Attempt, gate.id)
		if gate.node.Refuses(s.now(), gate.version()) {
			entry.node.Observe(s.now(), d.Attempt, NotCounted)
			continue
		}
		s.run(entry, gate, d, route)
		return
	}
	s.refusedAll++
}

func (s *sim) pick(entry *simNode, d Decision) *simNode {
	var able []*simNode
	for _, n := range s.nodes {
		if n.target.exists && n.target.isNew == d.New && s.at >= n.target.readyAt && n.cut == entry.cut &&
			(len(d.Endpoints) == 0 || slices.Contains(d.Endpoints, n.id)) {
			able = append(able, n)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return able[s.random.IntN(len(able))]
}

func (s *sim) run(entry, gate *simNode, d Decision, route int) {
	t := gate.target
	for len(t.sent) > 0 && s.at-t.sent[0] > time.Second {
		t.sent = t.sent[1:]
	}
	t.sent = append(t.sent, s.at)
	if s.at < s.duration {
		s.calls++
		if d.New {
			s.exposed++
		}
	}
	if d.New && !entry.cut {
		s.lastNewInTouch = s.at
	} else if d.New {
		s.lastNewWhenCut = s.at
	}
	bad := s.isBad(t, route)
	failed := s.random.Float64() < simFailShare
	millis := simMedians[route] * math.Exp(simDeviation*s.random.NormFloat64())
	if !s.noFaults && t.isNew && s.at-t.readyAt < simColdTime {
		millis *= simCold
	}
	if s.at >= t.slowFrom && s.at < t.slowTo {
		millis *= simSlow
	}
	if bad && (s.kind == slowing || s.slowKind) {
		millis *= 8
	} else if bad {
		bad = s.random.Float64() < 0.5
		failed = failed || bad
	}
	t.running++
	end := simEnd{entry, entry.incarn, d.Attempt, failed, bad, t}
	s.after(time.Duration(millis*float64(time.Millisecond)), func() { s.ended(end) })
}

func (s *sim) ended(e simEnd) {
	e.target.running--
	if e.bad {
		s.badResponses++
		if s.badResponses == 50 {
			s.fiftiethBadAt = s.at
		}
	}
	if e.node.incarn != e.inc {
		return
	}
	outcome := Succeeded
	if e.failed {
		outcome = Failed
	}
	e.node.node.Observe(s.now(), e.attempt, outcome)
}

func (s *sim) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Announce:
			if a.Record.Phase == RolledBack {
				s.badWhenDecided = s.badResponses
			}
			cut := s.coordCut
			s.after(5*time.Millisecond, func() {
				for _, n := range s.nodes {
					if n.cut == cut {
						n.node.Learn(s.now(), a.Record)
					}
				}
			})
		case WriteRecord:
			s.write(a.Record)
		}
	}
}

// write is a conditional append: it fails if the store has a result.
func (s *sim) write(r Record) {
	s.writes++
	c := s.coordinator
	s.after(40*time.Millisecond, func() {
		if s.storeAway {
			return
		}
		if !s.store.Phase.Final() && r.Phase > s.store.Phase {
			s.store = r
			if r.Phase.Final() {
				s.results, s.resultAt = append(s.results, r.Phase), s.at
				for _, n := range s.nodes {
					if n.target.exists && !n.target.isNew && n.cut == s.coordCut {
						s.atOldWhenDone += n.target.running
					}
				}
			}
		}
		if s.loseNextAnswer && r.Phase.Final() {
			s.loseNextAnswer = false
			return
		}
		stored := s.store
		s.after(40*time.Millisecond, func() {
			if c == s.coordinator && c != nil {
				s.perform(c.Written(s.now(), stored))
			}
		})
	})
}

func (s *sim) report(n *simNode) {
	inUse := 0
	if n.target.exists {
		inUse = n.target.running
	}
	r := n.node.Report(s.now(), n.version(), inUse)
	if n.cut != s.coordCut || s.coordinator == nil {
		return
	}
	c, node := s.coordinator, n.node
	s.after(5*time.Millisecond, func() {
		if c != s.coordinator {
			return
		}
		s.perform(c.Receive(s.now(), r))
		d := c.Directive(s.now(), n.id)
		s.after(5*time.Millisecond, func() {
			if n.node == node && n.cut == s.coordCut {
				n.node.Apply(s.now(), r, d)
			}
		})
	})
}

// kill ends the coordinator; its successor starts from the store after a gap.
func (s *sim) kill(gap time.Duration) {
	s.coordinator = nil
	s.after(gap, func() {
		record := s.store
		for _, n := range s.nodes {
			if n.cut == s.coordCut {
				record = Merge(record, n.node.Record())
			}
		}
		record.AcceptedAt = simStart
		s.coordinator = NewCoordinator(s.now(), record, s.settings, s.members(), false)
	})
}

// play runs until two seconds after the time limit.
func (s *sim) play() *sim {
	nextStep := time.Duration(0)
	for ; s.at < s.duration+2*time.Second; s.at += simTick {
		for _, f := range s.events[int64(s.at/simTick)] {
			f()
		}
		delete(s.events, int64(s.at/simTick))
		if s.event != nil {
			s.event(s, s.at)
		}
		mean := s.rate * simTick.Seconds()
		for p := s.random.ExpFloat64(); p < mean; p += s.random.ExpFloat64() {
			s.call()
		}
		for _, n := range s.nodes {
			if s.at >= n.nextRep {
				n.nextRep += 250 * time.Millisecond
				s.report(n)
			}
		}
		if s.at >= nextStep && s.coordinator != nil {
			nextStep += 250 * time.Millisecond
			s.coordinator.SetMembers(s.now(), s.members())
			s.perform(s.coordinator.Step(s.now()))
			s.checkCharge()
		}
	}
	return s
}

// checkCharge compares the coordinator's charge with the calls that were really sent.
func (s *sim) checkCharge() {
	if s.coordinator.Record().Phase >= Shifting || s.coordinator.inherits {
		return
	}
	charge := s.coordinator.ledger.charged()
	if charge < float64(s.exposed) {
		s.undercharged = true
	}
}

func (s *sim) budget() float64 {
	return s.settings.ExposeShare*float64(s.calls) + float64(s.settings.ExposeSlack)
}

// problems returns which requirements of the page the run violates.
func (s *sim) problems() []string {
	var found []string
	note := func(violated bool, text string, args ...any) {
		if violated {
			found = append(found, fmt.Sprintf(text, args...))
		}
	}
	wanted := RolledBack
	if s.kind == good {
		wanted = Completed
	}
	note(len(s.results) != 1, "%d results", len(s.results))
	note(s.store.Phase != wanted, "result %s (%s) instead of %s", s.store.Phase, s.store.Reason, wanted)
	note(len(s.results) > 0 && s.resultAt > s.duration, "result at %s", s.resultAt)
	if s.kind != good {
		note(s.badWhenDecided > 50, "%d bad responses at the rollback", s.badWhenDecided)
		note(float64(s.exposed) > s.budget(), "%d calls exposed, budget %.0f", s.exposed, s.budget())
		note(s.fiftiethBadAt > 0 && s.lastNewInTouch > s.fiftiethBadAt+s.settings.RollbackBound,
			"call at %s after the 50th bad response at %s", s.lastNewInTouch, s.fiftiethBadAt)
	} else if s.store.Phase == Completed {
		note(s.atOldWhenDone > 0, "%d calls at old targets at the completion", s.atOldWhenDone)
	}
	note(s.undercharged, "more calls exposed than charged")
	return found
}
