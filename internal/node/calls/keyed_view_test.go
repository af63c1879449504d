package calls

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/clock"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/state"
)

// TestGatesWithoutTargetKeepClaims removes the targets of another gate and of
// this one before their nodes leave. Both gates still have claims, so the other
// one must still get requests, and this one must know a gate to hand its claims
// over to.
func TestGatesWithoutTargetKeepClaims(t *testing.T) {
	is := is.New(t)
	gateOf := func(id, service string, incarnation uint64) membership.Member {
		return membership.Member{ID: id, Incarnation: incarnation, Domain: "d", State: membership.Alive, Service: service, CallsAddress: id + ":1"}
	}
	var view *membership.View
	setMembers := func(members ...membership.Member) { view = &membership.View{Members: members} }
	r := New(Options{
		Self: gateOf("a", "", 1), Settings: testSettings(), Logger: logging.Discard(), Now: time.Now, BootTime: clock.BootTime,
		View:     func() *membership.View { return view },
		Snapshot: func() *state.Snapshot { return nil },
	})
	r.target.Store(newTarget(Target{Service: "depot"}))
	knowsGateB := func() bool {
		r.keyed.syncView(time.Now())
		_, ok := r.keyed.addresses["b"]
		return ok
	}
	setMembers(gateOf("a", "depot", 1), gateOf("b", "depot", 1), gateOf("c", "other", 1))
	is.True(knowsGateB())
	setMembers(gateOf("a", "depot", 1), gateOf("b", "", 1))
	is.True(knowsGateB()) // gate b is dropped after its target left
	r.target.Store(newTarget(Target{}))
	setMembers(gateOf("a", "", 1), gateOf("b", "", 1))
	is.True(knowsGateB()) // gate b is dropped after this gate's target left too
	setMembers(gateOf("a", "", 1), gateOf("b", "", 2))
	is.True(!knowsGateB()) // a later incarnation without a target has no claims
}
