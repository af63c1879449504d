package node

import (
	"context"
	"sync"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/state"
)

// expiryCheckInterval is how often an expired announcement is looked for.
const expiryCheckInterval = 200 * time.Millisecond

// targetRegistry holds the announcement of the target beside this node and
// passes each change on to membership and calls.
type targetRegistry struct {
	node *node

	mu sync.Mutex
	// announced is the target's own word, target what is in force: within the
	// limits that the configuration sets for the service.
	announced calls.Target
	effective calls.Target
	expires   time.Time
	draining  bool
	// reported is set once the target said something to this process.
	reported bool
}

func newTargetRegistry(n *node) *targetRegistry {
	return &targetRegistry{node: n}
}

// Announce implements Targets.
func (r *targetRegistry) Announce(target calls.Target, ttl time.Duration) {
	r.announce(target, ttl, time.Now())
}

// Withdraw implements Targets.
func (r *targetRegistry) Withdraw() { r.remove() }

// announce takes or renews an announcement that is valid for ttl.
func (r *targetRegistry) announce(target calls.Target, ttl time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = true
	r.expires = now.Add(ttl)
	if r.draining && target.State == membership.TargetReady {
		target.State = membership.TargetDraining
	}
	r.apply(target)
}

// hasReported reports whether the target said anything to this process.
func (r *targetRegistry) hasReported() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reported
}

// addRediscovered takes a target that was addRediscovered well, unless it has spoken itself.
func (r *targetRegistry) addRediscovered(target calls.Target, ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported || r.draining {
		return
	}
	r.expires = time.Now().Add(ttl)
	r.apply(target)
}

// remove forgets the target after it left by itself.
func (r *targetRegistry) remove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = true
	r.apply(calls.Target{})
}

// drain announces the target as draining for as long as the node runs.
func (r *targetRegistry) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	target := r.announced
	if target.State != membership.TargetReady {
		return
	}
	target.State = membership.TargetDraining
	r.apply(target)
}

// run forgets a target whose announcement was not renewed in time.
func (r *targetRegistry) run(ctx context.Context) error {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.refresh(now)
		}
	}
}

// refresh takes in that time has passed and that the configuration may have
// changed.
func (r *targetRegistry) refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	r.apply(r.announced)
}

func (r *targetRegistry) expire(now time.Time) {
	if r.effective.State == membership.TargetAbsent || now.Before(r.expires) {
		return
	}
	r.node.logger.Event(logging.TargetGone).Str("service", r.effective.Service).Send()
	r.announced = calls.Target{}
}

// apply puts an announcement in force and passes a changed target on. The gate
// learns of a drain before the fleet does, and of a new target before the fleet
// sends it work.
func (r *targetRegistry) apply(announced calls.Target) {
	r.announced = announced
	target := r.withinLimits(announced)
	if target == r.effective {
		return
	}
	previousState := r.effective.State
	r.effective = target
	r.node.calls.SetTarget(target)
	r.node.members.SetTarget(target.Service, uint32(target.Slots), target.State)
	if previousState == target.State {
		return
	}
	switch target.State {
	case membership.TargetReady:
		r.node.logger.Event(logging.TargetReady).Str("service", target.Service).Send()
	case membership.TargetDraining:
		r.node.logger.Event(logging.TargetDraining).Str("service", target.Service).Send()
	}
}

// withinLimits applies the configuration's limits of the target's service.
func (r *targetRegistry) withinLimits(target calls.Target) calls.Target {
	snapshot := r.node.configuration.Snapshot()
	if snapshot == nil {
		return target
	}
	service, ok := snapshot.Service(target.Service)
	if !ok {
		return target
	}
	return limitTarget(target, service)
}

// limitTarget takes the lower of what the target announces and what the
// configuration allows.
func limitTarget(target calls.Target, service state.Service) calls.Target {
	target.Slots = min(target.Slots, service.Slots)
	target.Connections = min(target.Connections, service.Connections)
	return target
}
