package calls

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/keyed"
	"jasminegate/internal/protocol/wire"
)

// silentStream is a stream of an entry that sends nothing more and stays connected.
type silentStream struct{ ctx context.Context }

func (s silentStream) Context() context.Context       { return s.ctx }
func (s silentStream) Send(*wire.AnswerFrame) error   { return nil }
func (s silentStream) Recv() (*wire.CallFrame, error) { <-s.ctx.Done(); return nil, s.ctx.Err() }

// TestKeyedCallRunsUnclaimed verifies that a keyed call without a claim is never started:
// neither when the keyed loop ends before its decision, nor when the gate, which was
// expected to refuse the call, has become ready meanwhile.
func TestKeyedCallRunsUnclaimed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) {})
	runner := f.nodes[0].runner
	start := &wire.CallStart{Id: &wire.CallID{Entry: "node-9", EntryIncarnation: 1, Counter: 1}, Key: "k", Service: "depot", TimeoutMs: 1000}

	admitted := runner.newGateCall(&wire.CallFrame{Start: start, Last: true}, func() {})
	defer admitted.cancelRun()
	is.True(runner.applyKeyDecision(admitted, keyed.Admitted{}) == nil)
	is.Equal(runner.refuseReason(start), call.Reason(""))               // the gate is ready now
	is.Equal(runner.arrival(admitted).RefuseReason, call.ReasonLeaving) // and refuses the call all the same

	f.nodes[0].stop()
	undecided := runner.newGateCall(&wire.CallFrame{Start: start, Last: true}, func() {})
	defer undecided.cancelRun()
	refused := runner.admitKey(silentStream{context.Background()}, undecided)
	is.True(refused != nil)
	is.Equal(call.Outcome(refused.Start.Outcome), call.Unknown)
}
