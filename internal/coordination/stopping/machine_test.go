package stopping

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// observed returns a machine that knows 99 calls of 100 ms and one of 1 s of the route.
func observed() *Machine {
	m := New()
	for range 99 {
		m.Observe(start, "file", 100*time.Millisecond)
	}
	m.Observe(start, "file", time.Second)
	return m
}

// TestMayTake covers what decides about a call.
func TestMayTake(t *testing.T) {
	const never = time.Minute
	for name, row := range map[string]struct {
		stopIn   time.Duration // 0 if the node is not about to stop
		route    string
		deadline time.Duration
		cautious bool
		later    time.Duration
		want     bool
	}{
		"not about to stop":                {0, "other", never, true, 0, true},
		"deadline before the stop":         {2 * time.Second, "other", time.Second, true, 0, true},
		"route without known calls":        {2 * time.Second, "other", 3 * time.Second, false, 0, false},
		"usual call fits":                  {500 * time.Millisecond, "file", never, false, 0, true},
		"usual call does not fit":          {90 * time.Millisecond, "file", never, false, 0, false},
		"longest call fits":                {1200 * time.Millisecond, "file", never, true, 0, true},
		"longest call does not fit":        {900 * time.Millisecond, "file", never, true, 0, false},
		"calls still count":                {100 * time.Second, "file", 200 * time.Second, true, 2*window - time.Second, true},
		"calls are too long ago":           {100 * time.Second, "file", 200 * time.Second, true, 2 * window, false},
		"after the end, and it would last": {time.Second, "file", never, false, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := observed()
			if row.stopIn > 0 {
				m.Stop(start.Add(row.stopIn))
			}
			call := Call{Route: row.route, Deadline: start.Add(row.deadline), Cautious: row.cautious}
			is.New(t).Equal(m.MayTake(start.Add(row.later), call), row.want)
		})
	}
}

// TestManyRoutesTakeMemory: routes beyond the bound are not measured, and those without recent calls make
// room.
func TestManyRoutesTakeMemory(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := range 2 * maxRoutes {
		m.Observe(start, fmt.Sprint(i), time.Second)
	}
	is.Equal(len(m.routes), maxRoutes)
	m.Observe(start.Add(2*window), "new", time.Second)
	is.Equal(len(m.routes), 1)
}

// TestCautiousCallIsTakenWhereLongestDoesNotFit draws calls and stops: a cautious call may be taken only if
// the longest of the last window would end in time, and never where another one is refused.
func TestCautiousCallIsTakenWhereLongestDoesNotFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now, longest := New(), start, time.Duration(0)
		for range rapid.IntRange(minCalls, 200).Draw(t, "calls") {
			took := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "took")) * time.Millisecond
			longest = max(longest, took)
			m.Observe(now, "file", took)
			now = now.Add(window / 250)
		}
		end := now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "left")) * time.Millisecond)
		m.Stop(end)
		call := Call{Route: "file", Deadline: end.Add(time.Hour), Cautious: true}
		usual := call
		usual.Cautious = false
		if m.MayTake(now, call) && now.Add(longest).After(end) {
			t.Fatalf("taken %v before the end, the longest took %v", end.Sub(now), longest)
		}
		if m.MayTake(now, call) && !m.MayTake(now, usual) {
			t.Fatal("a call that may be sent again was refused where another one was taken")
		}
	})
}
