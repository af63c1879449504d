package repeats

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminegate/internal/coordination/call"
)

const window = 10 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestGateAllowsMoreThanItsPart plays calls of all kinds at one gate, with restarts, and counts at
// each repeat what came within a window.
func TestGateAllowsMoreThanItsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 40).Draw(t, "slack"), Window: window}
		gates := rapid.IntRange(1, 20).Draw(t, "gates")
		budget := New(start, "n", limits)
		var first, taken []time.Time
		within := func(times []time.Time, now time.Time) (count int) {
			for _, at := range times {
				if now.Sub(at) < window {
					count++
				}
			}
			return count
		}
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			budget.SetGates(now, gates)
			switch kind := call.Repeat(rapid.IntRange(0, 4).Draw(t, "kind")); kind {
			case call.First:
				budget.CountFirst(now)
				first = append(first, now)
			case call.Resent + 1:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					budget = New(now, "n", limits)
				}
			default:
				if !budget.Take(now, kind) {
					continue
				}
				taken = append(taken, now)
				part := limits.Ratio*float64(within(first, now)) + limits.Slack/float64(gates)
				// Each restart may round up once more.
				if most := inheritedFactor*part + 1; budget.started.Equal(start) && float64(within(taken, now)) > most {
					t.Fatalf("%d repeats within a window, at most %.2f are the gate's part", within(taken, now), most)
				}
			}
		}
	})
}

// TestPartsBelowOneAllowNothing verifies that gates with parts below one allow their sum together, and
// that some of them allow one repeat.
func TestPartsBelowOneAllowNothing(t *testing.T) {
	is := is.New(t)
	const gates, slack = 1500, 150
	allowed := 0
	for i := range gates {
		budget := New(start, fmt.Sprintf("n-%d", i), Limits{Slack: slack, Window: window})
		budget.SetGates(start, gates)
		for budget.Take(start.Add(window), call.Retried) {
			allowed++
		}
	}
	is.True(allowed > slack/2)
	is.True(allowed < slack*5/4)
}

// TestGatesBehindCutAreForgotten verifies that a gate keeps to its part while others are cut off.
func TestGatesBehindCutAreForgotten(t *testing.T) {
	is := is.New(t)
	budget := New(start, "n", Limits{Slack: 30, Window: window})
	budget.SetGates(start, 30)
	budget.SetGates(start.Add(gatesMemory/2), 3)
	is.Equal(budget.gates, 30)
	budget.SetGates(start.Add(gatesMemory+time.Second), 3)
	is.Equal(budget.gates, 3)
}

// TestUnsentRepeatIsCharged verifies that a repeat that has not reached the target is given back.
func TestUnsentRepeatIsCharged(t *testing.T) {
	is := is.New(t)
	budget := New(start, "n", Limits{Slack: 1, Window: window})
	now := start.Add(2 * window)
	is.True(budget.Take(now, call.Retried))
	is.True(!budget.Allows(now, call.Retried))
	budget.Return(now)
	is.True(budget.Take(now.Add(time.Second), call.Retried))
	is.True(budget.Take(now, call.First))
}

// TestRestartedGateUsesSlackAgain verifies that a gate has no part of the slack in its first window.
func TestRestartedGateUsesSlackAgain(t *testing.T) {
	is := is.New(t)
	budget := New(start, "n", Limits{Slack: 100, Window: window})
	is.True(!budget.Allows(start.Add(window-time.Millisecond), call.Retried))
	is.True(budget.Allows(start.Add(window), call.Retried))
}
