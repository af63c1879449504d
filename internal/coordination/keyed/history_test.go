package keyed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnreachableGatesAreAskedWithoutPause lets the requests to two gates fail at once that are known from
// the history of a third one only. The machine must not ask them again before the next tick.
func TestUnreachableGatesAreAskedWithoutPause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	gate := func(id string) Gate { return Gate{ID: id, Incarnation: 1, Running: true} }
	m := New(now, Options{Self: gate("a"), Retention: time.Minute, ClaimTimeout: time.Second})
	m.Step(now, SetGates{Gates: []Gate{gate("a"), gate("b")}})
	now = now.Add(time.Second)
	m.Step(now, Tick{})
	history := []GateHistory{{Gate: gate("c"), SinceMembershipChange: time.Second}, {Gate: gate("d"), SinceMembershipChange: time.Second}}
	events := []Event{ResponseReceived{From: "b", Kind: SyncHistory, Response: Response{State: Recorded, History: history}}}
	asked := make(map[string]int)
	for steps := 0; len(events) > 0 && steps < 100; steps++ {
		actions := m.Step(now, events[0])
		events = events[1:]
		for _, action := range actions {
			request := action.(SendRequest)
			asked[request.To]++
			events = append(events, RequestFailed{From: request.To, Kind: SyncHistory})
		}
	}
	is.Equal(asked, map[string]int{"c": 1, "d": 1})
	is.Equal(len(m.Step(now, Tick{})), 2) // both are asked again
}
