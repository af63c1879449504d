package calls

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/gate"
)

// TestNewProcessOfTargetInheritsLosses verifies that a gate reports the losses of its target, and
// forgets them with the process.
func TestNewProcessOfTargetInheritsLosses(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	runner := f.nodes[0].runner
	for range 20 {
		f.call(0, "GET", "/read", "")
	}
	is.True(runner.targetLosses.percent() > 50)
	runner.targetLosses.observe(gate.RunCancelled)
	is.True(runner.targetLosses.percent() > 50)
	next := runner.target.Load().Target
	next.Instance = "next"
	runner.SetTarget(next)
	is.Equal(runner.targetLosses.percent(), uint32(0))
}
