package processtest

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
	"jasminegate/internal/standin/target"
)

const (
	// limitWindow is the window over which the calls at a target are counted, and
	// limitSlack how many calls it may have above the limit.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// limitLearnTime is the time until the fleet keeps to a limit that a target has
	// begun to state.
	limitLearnTime = 500 * time.Millisecond
	// leavingBound is the time after which a target that states that it is leaving
	// gets no new calls.
	leavingBound = 2 * time.Second
)

// reads sends only reads. The name of the run makes the call IDs unique.
func reads(run string) func(int) load.Call {
	return func(i int) load.Call {
		return load.Call{
			ID: fmt.Sprintf("%s-read-%d", run, i), Method: http.MethodGet, Group: groupReads, Timeout: callTimeout,
			URI: fmt.Sprintf("/riders/%d?service_ms=20", i),
		}
	}
}

// sendReads sends reads at loadRate through the entries, which callers that get no
// answer try up to three times at once.
func (h *harness) sendReads(duration time.Duration, entries ...string) *load.Report {
	h.runs.Add(1)
	return h.sendCalls(duration, 3, reads(fmt.Sprintf("run%d", h.runs.Load())), entries...)
}

// sendCalls sends calls at loadRate through the entries, each up to attempts times
// until it is answered.
func (h *harness) sendCalls(duration time.Duration, attempts int, next func(int) load.Call, entries ...string) *load.Report {
	return load.Run(context.Background(), load.NewClient(), load.Plan{
		Rate: loadRate, Duration: duration, Entries: entries, MaxInFlight: maxInFlight, MaxAttempts: attempts, Next: next,
	})
}

func (h *harness) entries() []string {
	var entries []string
	for _, node := range h.Nodes {
		entries = append(entries, node.CallersAddress)
	}
	return entries
}

func (h *harness) stateLimit(node *fleet.Node, limit float64) {
	h.must(node.SetTargetMode(h.ctx(), target.Mode{RateLimit: &limit}))
}

// starts returns when the node's target started calls, in order. The target must not
// have restarted.
func (h *harness) starts(node *fleet.Node) []time.Time {
	ledger, err := node.Ledger(h.ctx())
	h.must(err)
	var starts []time.Time
	for _, entry := range ledger.Calls {
		for range entry.Count {
			starts = append(starts, time.UnixMilli(entry.StartedMS))
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

// checkLimit checks that between from and to the node's target started at most what
// the limit allows in any window, and at least the given share of it, but some calls.
func (h *harness) checkLimit(node *fleet.Node, limit float64, from, to time.Time, share float64) {
	h.t.Helper()
	var within []time.Time
	for _, at := range h.starts(node) {
		if !at.Before(from) && at.Before(to) {
			within = append(within, at)
		}
	}
	window := min(limitWindow, to.Sub(from))
	allowed := limit*window.Seconds() + limitSlack
	for i, first := range within {
		count := 0
		for _, at := range within[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		if float64(count) > allowed {
			h.t.Errorf("%s: %d calls started in %v at a limit of %v a second, allowed %v", node.ID, count, window, limit, allowed)
			return
		}
	}
	if least := limit * to.Sub(from).Seconds() * share; float64(len(within)) < max(1, least) {
		h.t.Errorf("%s: %d calls started in %v at a limit of %v a second, at least %v expected", node.ID, len(within), to.Sub(from), limit, least)
	}
}

// TestTargetGetsMoreCallsThanItsRateLimit sends reads to targets that state a rate
// limit in their responses. Over the calls of all entries together, and while gates
// restart or the limit changes, the target gets no more than it states; callers over
// the limit get another target's response, or are told at once that their call did
// not run.
func TestTargetGetsMoreCallsThanItsRateLimit(t *testing.T) {
	const limit = 10.0
	const duration = 8 * time.Second
	cases := map[string]struct {
		// steps runs from the start of the calls on, with the victim's limit stated.
		steps func(h *harness, victim *fleet.Node)
		// change is the time after which the victim states changedLimit; 0 is never.
		change       time.Duration
		changedLimit float64
		// all says that every target of the service states the limit.
		all bool
		// share is the least part of the limit that is used. Where other targets have
		// room, entries prefer them to a target that is near its limit.
		share float64
	}{
		"one target": {},
		"gate killed and restarted twice": {steps: func(h *harness, victim *fleet.Node) {
			for range 2 {
				time.Sleep(2 * time.Second)
				victim.Process().Kill()
				h.must(victim.Start())
			}
		}},
		"gate stopped as planned and restarted": {steps: func(h *harness, victim *fleet.Node) {
			time.Sleep(2 * time.Second)
			h.must(victim.Process().Terminate(h.ctx()))
			h.must(victim.Start())
		}},
		"limit lowered": {change: duration / 2, changedLimit: 3},
		"limit raised":  {change: duration / 2, changedLimit: 20},
		"every target":  {all: true, share: 0.8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, fleetPlan(4))
			victim := h.NodesInDomain(domains[1])[0]
			limited := []*fleet.Node{victim}
			if tc.all {
				limited = slices.DeleteFunc(slices.Clone(h.Nodes), func(n *fleet.Node) bool { return n.Service != victim.Service })
			}
			for _, node := range limited {
				h.stateLimit(node, limit)
			}
			begun := time.Now()
			reports := make(chan *load.Report, 1)
			go func() { reports <- h.sendReads(duration, h.entries()...) }()
			if tc.steps != nil {
				tc.steps(h, victim)
			}
			until := begun.Add(duration)
			if tc.change > 0 {
				time.Sleep(tc.change)
				until = time.Now()
				h.stateLimit(victim, tc.changedLimit)
			}
			report := <-reports
			for _, node := range limited {
				h.checkLimit(node, limit, begun.Add(limitLearnTime), until, tc.share)
			}
			if tc.change > 0 {
				h.checkLimit(victim, tc.changedLimit, until.Add(limitLearnTime), begun.Add(duration), tc.share)
			}
			h.checkLedgers(report, false)
			h.checkRefusals(report, tc.all)
		})
	}
}

// checkRefusals checks that calls are refused only if every target is limited, and
// then without a queue time beyond the service's queue timeout and with the time
// after which to retry.
func (h *harness) checkRefusals(report *load.Report, expected bool) {
	h.t.Helper()
	group := report.Group(groupReads)
	if refused := group.Outcomes[load.NotRun]; (refused > 0) != expected {
		h.t.Errorf("%d calls were refused: %v", refused, group.NotRunOrUnknown)
	}
	if group.MissingRetryAfter > 0 {
		h.t.Errorf("%d refusals had no Retry-After", group.MissingRetryAfter)
	}
	if unknown := group.Outcomes[load.Unknown]; unknown > 0 && expected {
		h.t.Errorf("%d calls had an unknown outcome: %v", unknown, group.NotRunOrUnknown)
	}
}

// TestTargetThatStatesItIsLeavingGetsCalls sends reads through one entry to targets
// of which one states in its responses that it is leaving, while it still announces
// itself as ready: after leavingBound it gets no call, although its gate restarts.
func TestTargetThatStatesItIsLeavingGetsCalls(t *testing.T) {
	const duration = 10 * time.Second // long enough for calls to return to a restarted gate
	for name, restart := range map[string]bool{"gate runs on": false, "gate killed and restarted": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, fleetPlan(4))
			victim := h.NodesInDomain(domains[1])[0]
			reports := make(chan *load.Report, 1)
			go func() { reports <- h.sendReads(duration, h.NodesInDomain(domains[1])[1].CallersAddress) }()
			time.Sleep(time.Second)
			h.must(victim.SetTargetMode(h.ctx(), target.Mode{Leaving: true}))
			stated := time.Now()
			if restart {
				time.Sleep(leavingBound / 2)
				victim.Process().Kill()
				h.must(victim.Start())
			}
			report := <-reports
			starts := h.starts(victim)
			late := slices.DeleteFunc(slices.Clone(starts), func(at time.Time) bool { return at.Before(stated.Add(leavingBound)) })
			if len(late) > 0 || len(starts) == 0 {
				t.Errorf("%d of %d calls started later than %v after the target stated that it is leaving", len(late), len(starts), leavingBound)
			}
			h.checkLedgers(report, false)
			if !restart {
				h.checkAllAnswered(report)
			}
		})
	}
}
