package config

import (
	"math"
	"time"

	"jasminegate/internal/strictyaml"
)

const (
	// stopReserve is the part of deployment.stop_grace that is left when the drain times out:
	// for leaving, for the last responses, and for the end of the process.
	stopReserve = 700 * time.Millisecond
	// stopReserveShare bounds stopReserve to a part of a short deployment.stop_grace.
	stopReserveShare = 0.15
	// maxLeaveDelay is a platform's time for noticing that a node is not ready: two checks, one
	// a second, and half a second for the second one's response. leaveShare bounds it to a
	// part of deployment.stop_grace.
	maxLeaveDelay = 2500 * time.Millisecond
	leaveShare    = 0.45
	// retryShare is the part of deployment.retry_ratio that nodes use. The rest is for calls that
	// arrive twice without a retry of theirs, and for the difference between windows.
	retryShare = 0.75
	// countedRetryShare is the part that they use of it, and of deployment.retry_slack, if gates count
	// everything that arrives twice (calls.retry_window). The rest is for calls of runs that are
	// repeats.
	countedRetryShare = 0.9
	// readReserve is what a change needs besides the wait of the read that is under way when
	// the log recovers: the request timeout, and the distribution to the nodes.
	readReserve = 2500 * time.Millisecond
	// silenceDivisor divides the change bound to give the longest wait of a read. The rest of
	// the bound is for another node to read in the place of one that the log leaves without
	// a response.
	silenceDivisor = 2
	// minReadWait and maxReadWait bound the wait of a read.
	minReadWait = 500 * time.Millisecond
	maxReadWait = 5 * time.Second
	// readsPerRevokeBound is how often a reader finds the log's end within
	// tenants.revoke_bound with tenants.revoke_strict. A read that finds nothing tells that the
	// configuration was the newest when it was sent, so this information is up to two waits
	// old; the rest of the bound is for its way to the other nodes.
	readsPerRevokeBound = 8
	minStrictReadWait   = 50 * time.Millisecond
)

// Derived is a setting that follows from what the deployment states.
type Derived struct {
	// Key is the setting's key, Value its value as in a settings file.
	Key, Value string
	// From names the keys that it follows from.
	From string
}

// derivation is the rule for one setting. apply returns false if too little is stated.
type derivation struct {
	key, from string
	apply     func(*Settings, Deployment) bool
}

// derivations are applied in order; a setting that is given by hand is left alone.
var derivations = []derivation{
	{"calls.drain_timeout", "deployment.stop_grace", func(s *Settings, d Deployment) bool {
		s.Calls.DrainTimeout = longestDrain(d.StopGrace)
		return d.StopGrace > 0
	}},
	{"calls.leave_delay", "deployment.stop_grace", func(s *Settings, d Deployment) bool {
		s.Calls.LeaveDelay = min(maxLeaveDelay, time.Duration(leaveShare*float64(d.StopGrace)))
		return d.StopGrace > 0
	}},
	{"calls.retry_ratio", "deployment.retry_ratio", func(s *Settings, d Deployment) bool {
		share := retryShare
		if d.RetryWindow > 0 {
			share = countedRetryShare
		}
		s.Calls.RetryRatio = min(1, math.Round(share*d.RetryRatio*1000)/1000)
		return d.RetryRatio > 0
	}},
	{"calls.retry_window", "deployment.retry_window", func(s *Settings, d Deployment) bool {
		s.Calls.RetryWindow = min(maxRetryWindow, max(minRetryWindow, d.RetryWindow))
		return d.RetryWindow > 0
	}},
	{"calls.retry_slack", "deployment.retry_slack", func(s *Settings, d Deployment) bool {
		s.Calls.RetrySlack = countedRetryShare * d.RetrySlack
		return d.RetrySlack > 0
	}},
	{"tenants.revoke_bound", "deployment.revoke_bound", func(s *Settings, d Deployment) bool {
		s.Tenants.RevokeBound = min(maxRevokeBound, max(minRevokeBound, d.RevokeBound))
		return d.RevokeBound > 0
	}},
	{"tenants.revoke_strict", "deployment.revoke_strict", func(s *Settings, d Deployment) bool {
		s.Tenants.RevokeStrict = true
		return d.RevokeStrict
	}},
	{"platform.read_wait", "deployment.change_bound, deployment.settle_time, tenants.revoke_bound", func(s *Settings, d Deployment) bool {
		stated := d.ChangeBound > 0 && d.SettleTime > 0
		if stated {
			wait := min(d.ChangeBound+d.SettleTime-readReserve, d.ChangeBound/silenceDivisor)
			s.Platform.ReadWait = min(maxReadWait, max(minReadWait, wait))
		}
		if s.Tenants.RevokeStrict {
			s.Platform.ReadWait = min(s.Platform.ReadWait, max(minStrictReadWait, s.Tenants.RevokeBound/readsPerRevokeBound))
		}
		return stated || s.Tenants.RevokeStrict
	}},
	{"platform.heartbeat", "deployment.heartbeat", func(s *Settings, d Deployment) bool {
		s.Platform.Heartbeat = min(maxHeartbeat, max(minHeartbeat, d.Heartbeat))
		return d.Heartbeat > 0
	}},
	{"node.bandwidth_mbps", "deployment.bandwidth_mbps", func(s *Settings, d Deployment) bool {
		s.Node.BandwidthMbps = min(maxBandwidth, d.BandwidthMbps)
		return d.BandwidthMbps > 0
	}},
	{"node.memory_bytes", "deployment.memory_bytes", func(s *Settings, d Deployment) bool {
		s.Node.MemoryBytes = min(maxMemory, max(minMemory, d.MemoryBytes))
		return d.MemoryBytes > 0
	}},
	{"node.descriptors", "deployment.descriptors", func(s *Settings, d Deployment) bool {
		s.Node.Descriptors = min(maxDescriptors, max(minDescriptors, d.Descriptors))
		return d.Descriptors > 0
	}},
	{"rollout.expose_share", "deployment.expose_share", func(s *Settings, d Deployment) bool {
		s.Rollout.ExposeShare = d.ExposeShare
		return d.ExposeShare > 0
	}},
	{"rollout.expose_slack", "deployment.expose_share, deployment.expose_slack", func(s *Settings, d Deployment) bool {
		s.Rollout.ExposeSlack = d.ExposeSlack
		return d.ExposeShare > 0 && d.ExposeSlack > 0
	}},
	{"rollout.rollback_bound", "deployment.expose_share, deployment.rollback_bound", func(s *Settings, d Deployment) bool {
		s.Rollout.RollbackBound = min(maxRollbackBound, max(minRollbackBound, d.RollbackBound))
		return d.ExposeShare > 0 && d.RollbackBound > 0
	}},
}

// longestDrain returns the longest calls.drain_timeout for a grace.
func longestDrain(grace time.Duration) time.Duration {
	reserve := min(stopReserve, time.Duration(stopReserveShare*float64(grace)))
	return min(maxDrainTimeout, max(minDrainTimeout, grace-reserve))
}

// derive sets the settings that follow from what the deployment states, and returns them.
func derive(settings *Settings, given func(key string) bool) []Derived {
	var derived []Derived
	for _, d := range derivations {
		changed := *settings
		if given(d.key) || !d.apply(&changed, settings.Deployment) {
			continue
		}
		*settings = changed
		derived = append(derived, Derived{Key: d.key, Value: valueOf(settings, d.key), From: d.from})
	}
	return derived
}

// valueOf returns the value of a scalar setting as in a settings file.
func valueOf(settings *Settings, key string) string {
	for _, scalar := range strictyaml.Scalars(*settings) {
		if scalar.Key == key {
			return FormatScalar(scalar)
		}
	}
	return ""
}

// FormatScalar writes a setting as in a settings file.
func FormatScalar(scalar strictyaml.Scalar) string {
	if size, ok := scalar.Value.(int64); ok {
		return strictyaml.FormatSize(size)
	}
	return formatValue(scalar.Value)
}
