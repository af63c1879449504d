package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func testRecord(phase Phase) Record {
	return Record{Service: "s", Order: 7, TargetVersion: "v2", PreviousVersion: "v1", Duration: 14 * time.Second, AcceptedAt: simStart, Phase: phase}
}

func testSettings() Settings {
	s := DefaultSettings()
	s.ExposeShare = 0.1
	return s
}

// testMembers are nodes with 3 old and 3 new targets among them.
func testMembers(count int) []Member {
	var members []Member
	for i := range count {
		m := Member{ID: fmt.Sprint("n", i), Ready: true, Slots: 8, Alive: true}
		if i < 6 {
			m.Version = []string{"v1", "v2"}[i%2]
		}
		members = append(members, m)
	}
	return members
}

func testReport(i int, calls, exposed uint64) Report {
	return Report{
		Node: fmt.Sprint("n", i), Incarnation: 1, Service: "s", Order: 7, Calls: calls, Exposed: exposed,
		Stats: []VersionStats{
			{Version: "v1", Route: "a", Successes: calls - exposed, LogSum: 4 * float64(calls-exposed), LogSquares: 16 * float64(calls-exposed)},
			{Version: "v2", Route: "a", Endpoint: "n1", Successes: exposed, LogSum: 4 * float64(exposed), LogSquares: 16 * float64(exposed)},
		},
	}
}

// TestGrantsStayWithinBudget guards against grants that exceed the budget for the calls so far if
// nodes use them all and some then stop reporting.
func TestGrantsStayWithinBudget(t *testing.T) {
	is := is.New(t)
	c := NewCoordinator(simStart, testRecord(Pending), testSettings(), testMembers(12), true)
	var calls, exposed [12]uint64
	for step := range 50 {
		now := simStart.Add(time.Duration(step) * 250 * time.Millisecond)
		c.Step(now)
		if c.Record().Phase >= Shifting {
			break
		}
		for i := range calls {
			if i >= 10 && step >= 12 {
				continue // these have failed, after they used their last grants
			}
			calls[i] += 4
			c.Receive(now, testReport(i, calls[i], exposed[i]))
			exposed[i] += uint64(c.Directive(now, fmt.Sprint("n", i)).Grant)
			calls[i] = max(calls[i], exposed[i])
		}
		used, all := 0.0, 0.0
		for i := range calls {
			used += float64(exposed[i])
			all += float64(calls[i])
		}
		is.True(used <= 0.7*0.1*all+50)
	}
	is.Equal(c.Record().Phase, Shifting)
}

// TestSuccessorWaitsForGrants guards against a successor that grants while its predecessor's grants are
// in use, or forgets them.
func TestSuccessorWaitsForGrants(t *testing.T) {
	is := is.New(t)
	c := NewCoordinator(simStart, testRecord(Canary), testSettings(), testMembers(12), false)
	for step := range 5 {
		now := simStart.Add(time.Duration(step) * 250 * time.Millisecond)
		c.Step(now)
		for i := range 6 {
			c.Receive(now, testReport(i, uint64(100+25*step), 2))
			if now.Sub(simStart) < time.Second {
				is.Equal(c.Directive(now, fmt.Sprint("n", i)).Grant, uint32(0))
			}
		}
	}
	// 6 nodes report 2 exposed calls each, 6 do not report and count as much, and the predecessor may
	// have granted 0.07 of 600 calls per second in its last second.
	is.True(c.ledger.charged() >= 24+40)

	lost := NewCoordinator(simStart, testRecord(Canary), testSettings(), testMembers(12), false)
	lost.Receive(simStart, testReport(0, 1000, 0))
	lost.Step(simStart.Add(time.Second))
	is.True(lost.ledger.charged() > 119) // no node remembers: the whole budget of the phase
}

// TestCallsWithoutResponseCountAsSlow guards against slowness that shows only when the slow
// responses arrive.
func TestCallsWithoutResponseCountAsSlow(t *testing.T) {
	is := is.New(t)
	n := NewNode("n0", 1, "d", testRecord(Canary), testSettings(), rand.New(rand.NewPCG(1, 1)))
	n.Apply(simStart, n.Report(simStart, "", 0), Directive{
		Record: testRecord(Canary), Grant: 2, GrantFor: time.Second, Share: 1, SlowLimits: map[string]time.Duration{"a": 300 * time.Millisecond},
	})
	slow, quick := n.Route(simStart, "a"), n.Route(simStart, "a")
	is.True(slow.New && quick.New)
	third := n.Route(simStart, "a")
	is.True(!third.New) // the grant is used up
	n.Cancel(third.Attempt)
	n.Sent(slow.Attempt, "n1")
	n.Sent(quick.Attempt, "n1")
	n.Observe(simStart.Add(100*time.Millisecond), quick.Attempt, Succeeded)
	for _, at := range []time.Duration{400 * time.Millisecond, 900 * time.Millisecond} {
		r := n.Report(simStart.Add(at), "", 0)
		is.Equal(len(r.Stats), 1)
		is.Equal([3]uint64{r.Stats[0].Successes, r.Stats[0].Failures, r.Stats[0].Slow}, [3]uint64{1, 0, 1})
		n.Observe(simStart.Add(at), slow.Attempt, Succeeded) // the late response is not counted again
	}
}

// TestGateRefuses guards against gates of old targets that refuse calls without contact, and
// against ones that accept calls after they have reported idle.
func TestGateRefuses(t *testing.T) {
	is := is.New(t)
	at := func(millis int) time.Time { return simStart.Add(time.Duration(millis) * time.Millisecond) }
	n := NewNode("n0", 1, "d", testRecord(Expanding), testSettings(), rand.New(rand.NewPCG(1, 1)))
	n.Apply(at(10), n.Report(at(0), "v1", 0), Directive{Record: testRecord(Shifting), Grant: unlimited, GrantFor: time.Second, Share: 1})
	is.True(!n.Refuses(at(100), "v1")) // other entries may not have their grants yet
	is.True(n.Refuses(at(300), "v1"))
	is.True(!n.Refuses(at(300), "v2"))
	is.True(!n.Report(at(300), "v1", 1).Idle)
	is.True(!n.Refuses(at(1001), "v1")) // no contact
	is.True(!n.Route(at(1001), "a").New)
	n.Apply(at(1110), n.Report(at(1100), "v1", 1), Directive{Record: testRecord(Shifting), Grant: unlimited, GrantFor: time.Second, Share: 1})
	is.True(n.Report(at(1200), "v1", 0).Idle)
	is.True(n.Refuses(at(5000), "v1")) // the completion may be written at any time
	n.Learn(at(5000), testRecord(RolledBack))
	is.True(!n.Refuses(at(5000), "v1"))
}
