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

// TestJudge covers what decides about a call.
func TestJudge(t *testing.T) {
	const never = time.Minute
	early := func(c Call) Call { return c }
	cautious := func(c Call) Call { c.Cautious = true; return c }
	strict := func(c Call) Call { c.Strict = true; return c }
	ofRunning := func(c Call) Call { c.OfRunning = true; return c }
	repeated := func(c Call) Call { c.Repeated = true; return c }
	repeatedCautious := func(c Call) Call { return repeated(cautious(c)) }
	for name, row := range map[string]struct {
		stopIn   time.Duration // 0 if the node is not about to stop
		route    string
		deadline time.Duration
		kind     func(Call) Call
		later    time.Duration
		left     bool // callers had the time to leave
		want     bool
		basis    Basis
	}{
		"not about to stop":                           {0, "other", never, cautious, 0, false, true, NotStopping},
		"deadline before the stop":                    {2 * time.Second, "other", time.Second, cautious, 0, false, true, EndsByDeadline},
		"route without known calls":                   {2 * time.Second, "other", 3 * time.Second, early, 0, false, false, TooFewCalls},
		"usual call fits":                             {500 * time.Millisecond, "file", never, early, 0, false, true, RecentCalls},
		"usual call does not fit":                     {90 * time.Millisecond, "file", never, early, 0, false, false, RecentCalls},
		"longest call fits":                           {1200 * time.Millisecond, "file", never, cautious, 0, false, true, RecentCalls},
		"longest call does not fit":                   {900 * time.Millisecond, "file", never, cautious, 0, false, false, RecentCalls},
		"calls still count":                           {100 * time.Second, "file", 200 * time.Second, cautious, 2*window - time.Second, false, true, RecentCalls},
		"calls are too long ago":                      {100 * time.Second, "file", 200 * time.Second, cautious, 2 * window, false, false, TooFewCalls},
		"strict, deadline before the stop":            {2 * time.Second, "other", time.Second, strict, 0, false, true, EndsByDeadline},
		"strict, longest call fits":                   {100 * time.Second, "file", 200 * time.Second, strict, 0, false, false, MayOutlastNode},
		"late, deadline before the stop":              {2 * time.Second, "other", time.Second, cautious, 0, true, true, EndsByDeadline},
		"late, deadline at the stop":                  {2 * time.Second, "other", 2 * time.Second, cautious, 0, true, true, EndsByDeadline},
		"late, deadline just behind the stop":         {2 * time.Second, "file", 2*time.Second + time.Millisecond, early, 0, true, false, MayOutlastNode},
		"late, usual call fits":                       {900 * time.Millisecond, "file", never, early, 0, true, false, MayOutlastNode},
		"late, longest call fits":                     {1200 * time.Millisecond, "file", never, early, 0, true, false, MayOutlastNode},
		"late, longest call fits twice":               {2500 * time.Millisecond, "file", never, early, 0, true, false, MayOutlastNode},
		"late, cautious, longest fits":                {1200 * time.Millisecond, "file", never, cautious, 0, true, false, MayOutlastNode},
		"late, cautious, longest fits twice":          {2500 * time.Millisecond, "file", never, cautious, 0, true, false, MayOutlastNode},
		"late, route without known calls":             {2 * time.Second, "other", 3 * time.Second, early, 0, true, false, MayOutlastNode},
		"late, of a running call, longest fits":       {1200 * time.Millisecond, "file", never, ofRunning, 0, true, false, RecentCalls},
		"late, of a running call, longest fits twice": {2500 * time.Millisecond, "file", never, ofRunning, 0, true, true, RecentCalls},
		"late, of a running call, no known calls":     {2 * time.Second, "other", 3 * time.Second, ofRunning, 0, true, false, TooFewCalls},
		"late, repeated, usual call fits":             {500 * time.Millisecond, "file", never, repeated, 0, true, true, RecentCalls},
		"late, repeated, usual call does not fit":     {90 * time.Millisecond, "file", never, repeated, 0, true, false, RecentCalls},
		"late, repeated, longest call fits":           {1200 * time.Millisecond, "file", never, repeatedCautious, 0, true, true, RecentCalls},
		"late, repeated, longest call does not fit":   {900 * time.Millisecond, "file", never, repeatedCautious, 0, true, false, RecentCalls},
		"late, repeated, no known calls":              {2 * time.Second, "other", 3 * time.Second, repeated, 0, true, false, TooFewCalls},
		"after the end, and it would last":            {time.Second, "file", never, early, 2 * time.Second, false, false, MayOutlastNode},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := observed()
			if row.stopIn > 0 {
				leave := start.Add(row.stopIn)
				if row.left {
					leave = start
				}
				m.Stop(leave, start.Add(row.stopIn))
			}
			call := row.kind(Call{Route: row.route, Deadline: start.Add(row.deadline)})
			verdict := m.Judge(start.Add(row.later), call)
			is.Equal(verdict.Take, row.want)
			is.Equal(verdict.Basis, row.basis)
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
// time to leave. None that is taken may outlast the node, whatever it was expected to last.
func TestLateCallIsCutOff(t *testing.T) {
	const mean, rounds, known = 500.0, 5_000, 10
	random := rand.New(rand.NewPCG(1, 2))
	draw := func() time.Duration { return time.Duration(random.ExpFloat64() * mean * float64(time.Millisecond)) }
	taken, refused := 0, 0
	for range rounds {
		m := New()
		for range known {
			m.Observe(start, "file", draw())
		}
		end := start.Add(time.Duration(random.IntN(2800)) * time.Millisecond)
		m.Stop(start, end)
		call := Call{Route: "file", Deadline: start.Add(time.Duration(random.IntN(5600)) * time.Millisecond), Cautious: random.IntN(2) == 0}
		runs := min(draw(), call.Deadline.Sub(start))
		if !m.Judge(start, call).Take {
			refused++
			continue
		}
		taken++
		if start.Add(runs).After(end) {
			t.Fatalf("a call of %v is taken %v before the end", runs, end.Sub(start))
		}
	}
	t.Logf("taken %d, refused %d", taken, refused)
	if taken == 0 || refused == 0 {
		t.Fatal("the drawn calls are all taken or all refused")
	}
}

// TestLateCallOfRunningCallIsCutOff draws calls like TestLateCallIsCutOff, made by calls that run. Those
// that are taken must end in time but for 1 in 50, and none may be taken whose refusal was due before.
func TestLateCallOfRunningCallIsCutOff(t *testing.T) {
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
		call := Call{Route: "file", Deadline: end.Add(time.Hour), OfRunning: true}
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
