package rollout

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// manyRollouts is the number of good and of bad versions whose results are counted.
const manyRollouts = 1000

// randomOptions draws a fleet of 12 nodes, its load and, if bad is set, a kind of bad version.
func randomOptions(seed uint64, bad bool) simOptions {
	random := rand.New(rand.NewPCG(seed, 99))
	o := simOptions{
		seed: seed, nodes: 12, rate: 30 + random.Float64()*270,
		duration: 12*time.Second + time.Duration(random.IntN(5))*time.Second,
	}
	if bad {
		o.kind = failing + badness(random.IntN(int(oneRoute)))
		o.slowKind = o.kind >= late && random.IntN(2) == 0
	}
	return o
}

// TestManyRollouts counts good versions that are rolled back and bad ones that are completed, and
// compares the exposure of the bad ones with the budget. It guards against tests of the evidence
// that find bad versions only by taking good ones for bad.
func TestManyRollouts(t *testing.T) {
	falseRollbacks, letThrough, overBudget, lateCalls, lateFound, other := 0, 0, 0, 0, 0, 0
	var use []float64
	for seed := range uint64(manyRollouts) {
		for _, bad := range []bool{false, true} {
			s := newSim(randomOptions(seed, bad)).play()
			problems := s.problems()
			if bad {
				use = append(use, float64(s.exposed)/s.budget())
			}
			for _, p := range problems {
				switch {
				case strings.HasPrefix(p, "result rolled_back"):
					falseRollbacks++
				case strings.HasPrefix(p, "result completed"):
					letThrough++
				case strings.Contains(p, "budget"):
					overBudget++
				case strings.Contains(p, "50th"):
					lateCalls++
				case strings.Contains(p, "at the rollback"):
					lateFound++
				default:
					other++
				}
			}
			if len(problems) > 0 {
				t.Errorf("seed %d, rate %.0f, %s, %s slow=%v late after %s: %s; %s", seed, s.rate, s.duration, badnessNames[s.kind], s.slowKind, s.lateAfter, strings.Join(problems, ", "), s.store.Reason)
			}
		}
	}
	slices.Sort(use)
	t.Logf("of %d good versions %d rolled back; of %d bad ones %d completed, %d over the budget, %d called too late, %d found after more than 50 bad responses; %d other problems; exposure of bad versions / budget: median %.2f, 99 %% %.2f, most %.2f",
		manyRollouts, falseRollbacks, manyRollouts, letThrough, overBudget, lateCalls, lateFound, other,
		use[len(use)/2], use[len(use)*99/100], use[len(use)-1])
}

// fleets are the sizes that are played, with the calls of the service per second.
var fleets = []struct {
	nodes int
	rate  float64
}{{12, 60}, {79, 800}, {300, 2000}}

// TestRollouts plays good versions and each kind of bad ones. It guards against versions that get
// the wrong result or none in time, exposure over the budget, calls to a version that is known
// to be bad, and a completion while old targets have calls.
func TestRollouts(t *testing.T) {
	for _, fleet := range fleets {
		for kind := good; kind <= oneRoute; kind++ {
			for _, slowKind := range []bool{false, true} {
				if slowKind && kind < late {
					continue
				}
				s := newSim(simOptions{seed: 3, nodes: fleet.nodes, rate: fleet.rate, duration: 14 * time.Second, kind: kind, slowKind: slowKind}).play()
				t.Logf("%d nodes, %s, slow=%v: %s at %s, %d calls exposed (budget %.0f), %d bad responses: %s", fleet.nodes, badnessNames[kind],
					slowKind, s.store.Phase, s.resultAt, s.exposed, s.budget(), s.badResponses, s.store.Reason)
				if problems := s.problems(); len(problems) > 0 {
					t.Errorf("%d nodes, %s, slow=%v: %s", fleet.nodes, badnessNames[kind], slowKind, strings.Join(problems, ", "))
				}
			}
		}
	}
}

// TestServiceWithFewCalls guards against grants that lie at nodes without calls: a bad version then
// gets too few calls to be noticed.
func TestServiceWithFewCalls(t *testing.T) {
	for seed := range uint64(20) {
		for _, kind := range []badness{good, failing, slowing} {
			s := newSim(simOptions{seed: seed, nodes: 40, rate: 5, duration: 14 * time.Second, kind: kind, noFaults: true}).play()
			if problems := s.problems(); len(problems) > 0 {
				t.Errorf("seed %d, %s: %s; %s", seed, badnessNames[kind], strings.Join(problems, ", "), s.store.Reason)
			}
		}
	}
}
