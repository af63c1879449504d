package stopping

import (
	"fmt"
	"math/rand/v2"
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
		left     bool // callers had the time to leave
		want     bool
	}{
		"not about to stop":                {0, "other", never, true, 0, false, true},
		"deadline before the stop":         {2 * time.Second, "other", time.Second, true, 0, false, true},
		"route without known calls":        {2 * time.Second, "other", 3 * time.Second, false, 0, false, false},
		"usual call fits":                  {500 * time.Millisecond, "file", never, false, 0, false, true},
		"usual call does not fit":          {90 * time.Millisecond, "file", never, false, 0, false, false},
		"longest call fits":                {1200 * time.Millisecond, "file", never, true, 0, false, true},
		"longest call does not fit":        {900 * time.Millisecond, "file", never, true, 0, false, false},
		"calls still count":                {100 * time.Second, "file", 200 * time.Second, true, 2*window - time.Second, false, true},
		"calls are too long ago":           {100 * time.Second, "file", 200 * time.Second, true, 2 * window, false, false},
		"late, deadline before the stop":   {2 * time.Second, "other", time.Second, true, 0, true, true},
		"late, usual call fits":            {900 * time.Millisecond, "file", never, false, 0, true, false},
		"late, longest call fits":          {1200 * time.Millisecond, "file", never, false, 0, true, false},
		"late, longest call fits twice":    {2500 * time.Millisecond, "file", never, false, 0, true, true},
		"late, cautious, longest fits":     {1200 * time.Millisecond, "file", never, true, 0, true, false},
		"late, route without known calls":  {2 * time.Second, "other", 3 * time.Second, false, 0, true, false},
		"after the end, and it would last": {time.Second, "file", never, false, 2 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := observed()
			if row.stopIn > 0 {
				leave := start.Add(row.stopIn)
				if row.left {
					leave = start
				}
				m.Stop(leave, start.Add(row.stopIn))
			}
			call := Call{Route: row.route, Deadline: start.Add(row.deadline), Cautious: row.cautious}
			is.New(t).Equal(m.Judge(start.Add(row.later), call).Take, row.want)
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
		m.Stop(end, end)
		call := Call{Route: "file", Deadline: end.Add(time.Hour), Cautious: true}
		usual := call
		usual.Cautious = false
		if m.Judge(now, call).Take && now.Add(longest).After(end) {
			t.Fatalf("taken %v before the end, the longest took %v", end.Sub(now), longest)
		}
		if m.Judge(now, call).Take && !m.Judge(now, usual).Take {
			t.Fatal("a call that may be sent again was refused where another one was taken")
		}
	})
}

// TestLateCallIsCutOff draws calls whose durations are exponential and a stop after which callers had the
// time to leave. The calls that are taken must end in time but for 1 in 50, and none may be taken whose
// refusal was due before.
func TestLateCallIsCutOff(t *testing.T) {
	const mean, rounds, known, allowed = 500.0, 5_000, 10, 0.02
	random := rand.New(rand.NewPCG(1, 2))
	draw := func() time.Duration { return time.Duration(random.ExpFloat64() * mean * float64(time.Millisecond)) }
	taken, cut := 0, 0
	for range rounds {
		m := New()
		for range known {
			m.Observe(start, "file", draw())
		}
		end := start.Add(time.Duration(random.IntN(2800)) * time.Millisecond)
		call := Call{Route: "file", Deadline: end.Add(time.Hour)}
		m.Stop(end, end)
		early := m.Judge(start, call).Take
		m.Stop(start, end)
		if !m.Judge(start, call).Take {
			continue
		}
		if !early {
			t.Fatal("a call is taken late that is refused before")
		}
		taken++
		if start.Add(draw()).After(end) {
			cut++
		}
	}
	t.Logf("taken %d, cut off %d", taken, cut)
	if float64(cut) > allowed*float64(taken) {
		t.Fatalf("of %d calls taken, %d are cut off", taken, cut)
	}
}
