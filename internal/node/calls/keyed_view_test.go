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

// TestGatesWithoutTargetStayAsked lets the targets of another gate and of this
// one go before their nodes do: both gates still hold claims, so the other one is
// asked and this one has whom to hand its claims to.
func TestGatesWithoutTargetStayAsked(t *testing.T) {
	is := is.New(t)
	gateOf := func(id, service string, incarnation uint64) membership.Member {
		return membership.Member{ID: id, Incarnation: incarnation, Domain: "d", State: membership.Alive, Service: service, CallsAddress: id + ":1"}
	}
	var view *membership.View
	setMembers := func(members ...membership.Member) { view = &membership.View{Members: members} }
	d := New(Options{
		Self: gateOf("a", "", 1), Settings: testSettings(), Logger: logging.Discard(), Now: time.Now, BootTime: clock.Boot,
		View:     func() *membership.View { return view },
		Snapshot: func() *state.Snapshot { return nil },
	})
	d.target.Store(newTarget(Target{Service: "depot"}))
	knowsGateB := func() bool {
		d.keyed.syncView(time.Now())
		_, ok := d.keyed.addresses["b"]
		return ok
	}
	setMembers(gateOf("a", "depot", 1), gateOf("b", "depot", 1), gateOf("c", "other", 1))
	is.True(knowsGateB())
	setMembers(gateOf("a", "depot", 1), gateOf("b", "", 1))
	is.True(knowsGateB()) // its target left
	d.target.Store(newTarget(Target{}))
	setMembers(gateOf("a", "", 1), gateOf("b", "", 1))
	is.True(knowsGateB()) // this one's too
	setMembers(gateOf("a", "", 1), gateOf("b", "", 2))
	is.True(!knowsGateB()) // a later process without a target holds nothing
}
