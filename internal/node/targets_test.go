package node

import (
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/state"
)

func TestLimitTarget(t *testing.T) {
	cases := map[string]struct {
		announced calls.Target
		allowed   state.Service
		slots     int
		conns     int
	}{
		"configuration is lower": {calls.Target{Slots: 20, Connections: 110}, state.Service{Slots: 6, Connections: 50}, 6, 50},
		"target is lower":        {calls.Target{Slots: 4, Connections: 10}, state.Service{Slots: 6, Connections: 50}, 4, 10},
		"one of each":            {calls.Target{Slots: 4, Connections: 110}, state.Service{Slots: 6, Connections: 50}, 4, 50},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := limitTarget(tc.announced, tc.allowed)
			is.Equal(got.Slots, tc.slots)
			is.Equal(got.Connections, tc.conns)
		})
	}
}

// TestLeavingTargetIsAnnouncedReady guards against new calls to a target that stated in
// a response that it is leaving and goes on announcing itself as ready.
func TestLeavingTargetIsAnnouncedReady(t *testing.T) {
	ready := calls.Target{Service: "depot", Address: "10.0.0.1:80", Instance: "i-1", StartedMS: 5, State: membership.TargetReady}
	restarted, unknownStart, other := ready, ready, ready
	restarted.StartedMS, unknownStart.StartedMS, other.Instance = 6, 0, "i-2"
	unnamed := calls.Target{Service: "depot", Address: "10.0.0.1:80", State: membership.TargetReady}
	moved := unnamed
	moved.Address = "10.0.0.1:81"
	for name, tc := range map[string]struct {
		leaving   calls.Target
		announced calls.Target
		want      bool
	}{
		"same process":        {ready, ready, true},
		"start time unknown":  {ready, unknownStart, true},
		"restarted":           {ready, restarted, false},
		"another instance":    {ready, other, false},
		"no instance":         {unnamed, unnamed, true},
		"no instance, moved":  {unnamed, moved, false},
		"instance is unknown": {ready, unnamed, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			registry := &targetRegistry{leaving: &tc.leaving}
			is.Equal(registry.isLeaving(tc.announced), tc.want)
		})
	}
}
