package rollout

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// once returns an event that is played once, at a time after the order.
func once(at time.Duration, play func(s *sim)) func(*sim, time.Duration) {
	done := false
	return func(s *sim, now time.Duration) {
		if !done && now >= at {
			done = true
			play(s)
		}
	}
}

func both(events ...func(*sim, time.Duration)) func(*sim, time.Duration) {
	return func(s *sim, now time.Duration) {
		for _, e := range events {
			e(s, now)
		}
	}
}

// faultOptions is a fleet without faults of its own, so that the result shows the fault of the test.
func faultOptions(nodes int, kind badness, event func(*sim, time.Duration)) simOptions {
	return simOptions{seed: 5, nodes: nodes, rate: 10 * float64(nodes), duration: 14 * time.Second, kind: kind, noFaults: true, event: event}
}

func expectNoProblems(t *testing.T, name string, s *sim) {
	t.Helper()
	t.Logf("%s: %s at %s, %d calls exposed, budget %.0f: %s", name, s.store.Phase, s.resultAt, s.exposed, s.budget(), s.store.Reason)
	if problems := s.problems(); len(problems) > 0 {
		t.Errorf("%s: %s", name, strings.Join(problems, ", "))
	}
	for _, n := range s.nodes {
		if n.node.Record().Phase != s.store.Phase {
			t.Errorf("%s: node %s has %s, the store %s", name, n.id, n.node.Record().Phase, s.store.Phase)
			return
		}
	}
}

// TestCoordinatorKilledAfterWrite guards against a second result, and against nodes that never learn
// of the first one, when the coordinator fails before it has the store's response.
func TestCoordinatorKilledAfterWrite(t *testing.T) {
	for _, kind := range []badness{good, failing} {
		killed := false
		s := newSim(faultOptions(12, kind, func(s *sim, _ time.Duration) {
			if !killed && s.store.Phase.Final() {
				killed = true
				s.kill(time.Second)
			}
		}))
		s.loseNextAnswer = true
		s.play()
		expectNoProblems(t, badnessNames[kind], s)
	}
}

// TestCoordinatorKilledMidway guards against a successor that grants the budget a second time, or
// that does not come to a result.
func TestCoordinatorKilledMidway(t *testing.T) {
	for _, kind := range []badness{good, failing, late} {
		for _, at := range []time.Duration{1700 * time.Millisecond, 4 * time.Second, 9 * time.Second} {
			s := newSim(faultOptions(79, kind, once(at, func(s *sim) { s.kill(700 * time.Millisecond) }))).play()
			expectNoProblems(t, badnessNames[kind]+" "+at.String(), s)
		}
	}
}

// cutOff cuts the last third of each kind of targets and their nodes off the coordinator.
func cutOff(cut bool) func(*sim) {
	return func(s *sim) {
		for i, n := range s.nodes {
			n.cut = cut && i%3 == 2
		}
	}
}

// TestDomainCutOffMidway guards against nodes without contact that go on using the new version, and
// against a rollout that waits for them beyond its time limit.
func TestDomainCutOffMidway(t *testing.T) {
	is := is.New(t)
	for _, kind := range []badness{good, late} {
		for _, back := range []time.Duration{8 * time.Second, 15 * time.Second} {
			cutAt := 5 * time.Second
			s := newSim(faultOptions(79, kind, both(once(cutAt, cutOff(true)), once(back, cutOff(false))))).play()
			is.True(s.lastNewWhenCut <= cutAt+s.settings.GrantValidity) // a grant ends with its validity
			if back > s.duration {
				t.Logf("%s: %s at %s: %s", badnessNames[kind], s.store.Phase, s.resultAt, s.store.Reason)
				is.Equal(s.problems(), nil)
				continue
			}
			expectNoProblems(t, badnessNames[kind]+" back at "+back.String(), s)
		}
	}
}

// TestDomainCutOffInShift guards against nodes that send all calls to the new version without contact.
func TestDomainCutOffInShift(t *testing.T) {
	is := is.New(t)
	cutAt := time.Duration(0)
	s := newSim(faultOptions(79, good, func(s *sim, now time.Duration) {
		if cutAt == 0 && s.store.Phase == Shifting {
			cutAt = now
			cutOff(true)(s)
		}
	})).play()
	is.True(cutAt > 0)
	is.True(s.lastNewWhenCut > cutAt)
	is.True(s.lastNewWhenCut <= cutAt+s.settings.GrantValidity)
	is.Equal(s.problems(), nil)
}

// TestStoreAwayThroughLimit guards against a bad version that is used until the store can be
// written, against nodes that act on a completion that is not written, and against an order that stays without a
// result.
func TestStoreAwayThroughLimit(t *testing.T) {
	is := is.New(t)
	for _, kind := range []badness{good, failing} {
		completedEarly, notRolledBack := false, 0
		s := newSim(faultOptions(12, kind, both(
			once(0, func(s *sim) { s.storeAway = true }),
			once(14500*time.Millisecond, func(s *sim) { s.storeAway = false }),
			func(s *sim, _ time.Duration) {
				for _, n := range s.nodes {
					completedEarly = completedEarly || s.storeAway && n.node.Record().Phase == Completed
				}
			},
			once(13500*time.Millisecond, func(s *sim) {
				for _, n := range s.nodes {
					if n.node.Record().Phase != RolledBack {
						notRolledBack++
					}
				}
			})))).play()
		is.True(!completedEarly)
		is.Equal(len(s.results), 1)
		if kind == good {
			is.Equal(s.store.Phase, Completed)
			continue
		}
		is.Equal(s.store.Phase, RolledBack)
		is.Equal(notRolledBack, 0) // nodes act on a rollback that is not written
		is.True(float64(s.exposed) <= s.budget())
		is.True(s.lastNewInTouch < s.fiftiethBadAt+s.settings.RollbackBound || s.badResponses < 50)
	}
}

// TestNodesRestartedWithoutMemory guards against exposure that is forgotten with the counters of a
// node, and against idle reports of an earlier incarnation.
func TestNodesRestartedWithoutMemory(t *testing.T) {
	for _, kind := range []badness{good, failing, oneRoute} {
		next := 500 * time.Millisecond
		s := newSim(faultOptions(12, kind, func(s *sim, now time.Duration) {
			if now >= next && now < 13*time.Second {
				next += 400 * time.Millisecond
				s.startNode(s.nodes[s.random.IntN(len(s.nodes))])
			}
		})).play()
		expectNoProblems(t, badnessNames[kind], s)
	}
}
