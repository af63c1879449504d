package calls

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/keyed"
)

// TestCandidatesText verifies that the text on an uncertain key lists the state
// of each candidate.
func TestCandidatesText(t *testing.T) {
	is := is.New(t)
	text := candidatesText([]keyed.Candidate{
		{GateHistory: keyed.GateHistory{Gate: keyed.Gate{ID: "gate-a", Running: true}, SinceMembershipChange: 1500 * time.Millisecond}, Recorded: true},
		{GateHistory: keyed.GateHistory{Gate: keyed.Gate{ID: "gate-b"}, SinceRestart: 2 * time.Second}, NoResponse: true},
	})
	is.Equal(text, "gate-a running=true recorded=true unheard=false changed=1.5s, "+
		"gate-b running=false recorded=false unheard=true lost_memory=2s")
}
