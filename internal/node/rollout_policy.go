package node

import (
	"fmt"
	"io"
	"time"

	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/rollout"
	"jasminegate/internal/logging"
	"jasminegate/internal/node/calls"
)

// maxCountedVersions bounds the versions for which outcomes are counted one by one.
const maxCountedVersions = 256

// otherVersions stands for all versions beyond maxCountedVersions.
var otherVersions = serviceVersion{"other", "other"}

// serviceVersion names one version of one service.
type serviceVersion struct{ service, version string }

// versionOutcomes counts the attempts of calls by version and outcome since the node started.
type versionOutcomes map[serviceVersion]*[rollout.NotCounted + 1]uint64

func (o versionOutcomes) add(key serviceVersion, outcome rollout.Outcome) {
	counts := o[key]
	if counts == nil {
		if len(o) >= maxCountedVersions {
			key = otherVersions
		}
		if counts = o[key]; counts == nil {
			counts = new([rollout.NotCounted + 1]uint64)
			o[key] = counts
		}
	}
	counts[outcome]++
}

// outcomeNames are the values of the label outcome.
var outcomeNames = [rollout.NotCounted + 1]string{"succeeded", "failed", "not-counted"}

// writeMetrics writes the attempts by version, and the rollouts by phase.
func (r *rollouts) writeMetrics(w io.Writer) {
	outcomes := versionOutcomes{otherVersions: {}}
	phases := make(map[rollout.Phase]int)
	if r != nil {
		r.mu.Lock()
		for key, counts := range r.outcomes {
			copied := *counts
			outcomes[key] = &copied
		}
		for _, record := range r.table.Records() {
			phases[record.Phase]++
		}
		r.mu.Unlock()
	}
	for phase := rollout.Pending; phase <= rollout.Completed; phase++ {
		fmt.Fprintf(w, "jasminegate_rollouts{phase=%q} %d\n", phase.String(), phases[phase])
	}
	for key, counts := range outcomes {
		for outcome, name := range outcomeNames {
			fmt.Fprintf(w, "jasminegate_version_attempts_total{service=%q,version=%q,outcome=%q} %d\n", key.service, key.version, name, counts[outcome])
		}
	}
}

// SetEndpoints implements entry.VersionPolicy.
func (r *rollouts) SetEndpoints(now time.Time, endpoints []entry.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.SetEndpoints(now, endpoints)
}

// Route implements entry.VersionPolicy.
func (r *rollouts) Route(now time.Time, service, route string) entry.VersionChoice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.Route(now, service, route)
}

// Fallback implements entry.VersionPolicy.
func (r *rollouts) Fallback(now time.Time, service string) entry.VersionChoice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.Fallback(now, service)
}

// Sent implements entry.VersionPolicy.
func (r *rollouts) Sent(choice entry.VersionChoice, endpoint entry.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.Sent(choice, endpoint)
}

// Cancel implements entry.VersionPolicy.
func (r *rollouts) Cancel(choice entry.VersionChoice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.Cancel(choice)
}

// Observe implements entry.VersionPolicy. If this node then finds the new version bad by its own
// responses, it reports that at once.
func (r *rollouts) Observe(now time.Time, choice entry.VersionChoice, service, version string, outcome rollout.Outcome) {
	r.mu.Lock()
	r.versions.Observe(now, choice, service, version, outcome)
	r.outcomes.add(serviceVersion{service, version}, outcome)
	part := r.versions.Node(service)
	reason, stopped := "", false
	var record rollout.Record
	if choice.Running && part != nil {
		reason, stopped = part.Stopped()
		record = part.Record()
	}
	news := stopped && r.stops[service] < record.Order
	if news {
		r.stops[service] = record.Order
	}
	r.mu.Unlock()
	if news {
		r.node.logger.Event(logging.RolloutStopped).Str("service", service).Uint("order", record.Order).
			Str("version", record.TargetVersion).Str("reason", reason).Send()
		r.wakeUp()
	}
}

// refusesTarget reports whether the gate must refuse new calls for the target.
func (r *rollouts) refusesTarget(now time.Time, target calls.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.Refuses(now, target.Service, target.Version)
}
