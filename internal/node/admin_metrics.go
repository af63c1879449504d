package node

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/node/configuration"
	"jasminegate/internal/transport/peer"
)

// newMetrics registers the metrics of the node and the counters of its runners.
// The calls runner keeps its histograms and labelled counters in its own set.
func (n *node) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	for _, path := range []struct {
		name    string
		traffic *peer.Traffic
	}{
		{"nodes", n.controlTraffic},
		{"platform", n.platformTraffic},
	} {
		set.NewGauge(fmt.Sprintf(`jasminegate_control_bytes_total{path=%q,direction="sent"}`, path.name), func() float64 {
			return float64(path.traffic.Sent())
		})
		set.NewGauge(fmt.Sprintf(`jasminegate_control_bytes_total{path=%q,direction="received"}`, path.name), func() float64 {
			return float64(path.traffic.Received())
		})
	}
	set.NewGauge("jasminegate_applied_position", func() float64 {
		return float64(n.configuration.AppliedVersion().Position)
	})
	set.NewGauge("jasminegate_serving", func() float64 {
		return boolGauge(n.configuration.Snapshot() != nil && n.members.Serving(time.Now()))
	})
	set.NewGauge("jasminegate_members", func() float64 {
		return float64(len(n.members.View().Members))
	})
	for state, name := range memberStateNames {
		set.NewGauge(fmt.Sprintf("jasminegate_members_in_state{state=%q}", name), func() float64 {
			return float64(n.countMembers(state))
		})
	}
	set.NewGauge("jasminegate_log_lines_left_out_total", func() float64 {
		return float64(n.logger.DroppedLines())
	})
	set.NewGauge("jasminegate_panics_total", func() float64 {
		return float64(n.logger.Panics())
	})
	set.NewGauge("jasminegate_calls_in_flight", func() float64 {
		return float64(n.calls.Stats().InFlight)
	})
	set.NewGauge("jasminegate_calls_queued", func() float64 {
		return float64(n.queuedCalls())
	})
	set.NewGauge("jasminegate_target_rate_limited", func() float64 {
		return boolGauge(n.calls.Stats().TargetSignals.RateLimited)
	})
	set.NewGauge("jasminegate_target_rate_limit", func() float64 {
		return n.calls.Stats().TargetSignals.RateLimit
	})
	set.NewGauge("jasminegate_target_crashes_total", func() float64 {
		return float64(n.calls.QuarantineStats().TargetCrashes)
	})
	set.NewGauge(`jasminegate_quarantine_requests{state="refused"}`, func() float64 {
		return float64(n.calls.QuarantineStats().Refused)
	})
	set.NewGauge(`jasminegate_quarantine_requests{state="suspected"}`, func() float64 {
		return float64(n.calls.QuarantineStats().Suspected)
	})
	set.NewGauge("jasminegate_held_bytes", func() float64 { return float64(n.account.Usage().Bytes) })
	set.NewGauge("jasminegate_caller_connections", func() float64 { return float64(n.account.Usage().Connections) })
	set.NewGauge("jasminegate_room_refused_total", func() float64 { return float64(n.account.Usage().Refused) })
	set.NewGauge("jasminegate_room_shed_total", func() float64 { return float64(n.account.Usage().Shed) })
	n.addCallMetrics(set)
	n.addConfigurationMetrics(set)
	return set
}

// addCallMetrics registers the counters of the calls runner.
func (n *node) addCallMetrics(set *metrics.Set) {
	for _, counter := range []struct {
		name string
		get  func(calls.Stats) uint64
	}{
		{"jasminegate_requests_total", func(s calls.Stats) uint64 { return s.Requests }},
		{"jasminegate_retries_total", func(s calls.Stats) uint64 { return s.Retries }},
		{`jasminegate_outcomes_total{outcome="answered"}`, func(s calls.Stats) uint64 { return s.Answered }},
		{`jasminegate_outcomes_total{outcome="not-run"}`, func(s calls.Stats) uint64 { return s.NotRun }},
		{`jasminegate_outcomes_total{outcome="outcome-unknown"}`, func(s calls.Stats) uint64 { return s.OutcomeUnknown }},
		{`jasminegate_outcomes_total{outcome="ran"}`, func(s calls.Stats) uint64 { return s.Ran }},
		{`jasminegate_outcomes_total{outcome="aborted"}`, func(s calls.Stats) uint64 { return s.Aborted }},
		{"jasminegate_paths_silent_total", func(s calls.Stats) uint64 { return s.ConnectionsLost }},
		{"jasminegate_gate_started_total", func(s calls.Stats) uint64 { return s.Started }},
		{"jasminegate_gate_refused_total", func(s calls.Stats) uint64 { return s.Refused }},
	} {
		set.NewGauge(counter.name, func() float64 { return float64(counter.get(n.calls.Stats())) })
	}
}

func (n *node) countMembers(state membership.State) int {
	count := 0
	for _, member := range n.members.View().Members {
		if member.State == state {
			count++
		}
	}
	return count
}

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// getMetrics writes all metrics in the Prometheus text format.
func (n *node) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	n.metrics.WritePrometheus(w)
	n.calls.WriteMetrics(w)
	n.rollouts.writeMetrics(w)
	n.usage.writeMetrics(w, n.configuration.Snapshot())
	metrics.WritePrometheus(w, true)
}

// addConfigurationMetrics registers the counters of the configuration runner.
func (n *node) addConfigurationMetrics(set *metrics.Set) {
	for _, counter := range []struct {
		event string
		get   func(configuration.Stats) uint64
	}{
		{"installs", func(s configuration.Stats) uint64 { return s.Installs }},
		{"pushes_sent", func(s configuration.Stats) uint64 { return s.PushesSent }},
		{"pushes_failed", func(s configuration.Stats) uint64 { return s.PushesFailed }},
		{"pushes_received", func(s configuration.Stats) uint64 { return s.PushesReceived }},
		{"pulls_sent", func(s configuration.Stats) uint64 { return s.PullsSent }},
		{"pulls_served", func(s configuration.Stats) uint64 { return s.PullsServed }},
		{"pulls_refused", func(s configuration.Stats) uint64 { return s.PullsRefused }},
		{"updates_refused", func(s configuration.Stats) uint64 { return s.UpdatesRefused }},
		{"platform_reads", func(s configuration.Stats) uint64 { return s.PlatformReads }},
		{"platform_appends", func(s configuration.Stats) uint64 { return s.PlatformAppends }},
		{"platform_failures", func(s configuration.Stats) uint64 { return s.PlatformFailures }},
		{"tickets_rejected", func(s configuration.Stats) uint64 { return s.TicketsRejected }},
		{"messages_dropped", func(s configuration.Stats) uint64 { return s.MessagesDropped }},
	} {
		name := fmt.Sprintf("jasminegate_configuration_total{event=%q}", counter.event)
		set.NewGauge(name, func() float64 { return float64(counter.get(n.configuration.Stats())) })
	}
}
