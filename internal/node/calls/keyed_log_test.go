package calls

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/keyed"
)

// TestCandidatesText holds that the line on an uncertain key tells what spoke
// against each gate.
func TestCandidatesText(t *testing.T) {
	is := is.New(t)
	text := candidatesText([]keyed.Candidate{
		{Note: keyed.Note{Gate: keyed.Gate{ID: "gate-a", Running: true}, Changed: 1500 * time.Millisecond}, Recorded: true},
		{Note: keyed.Note{Gate: keyed.Gate{ID: "gate-b"}, LostMemory: 2 * time.Second}, Unheard: true},
	})
	is.Equal(text, "gate-a running=true recorded=true unheard=false changed=1.5s, "+
		"gate-b running=false recorded=false unheard=true lost_memory=2s")
}
