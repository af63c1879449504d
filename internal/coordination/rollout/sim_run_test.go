package rollout

import (
	"strings"
	"testing"
	"time"
)

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
