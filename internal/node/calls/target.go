package calls

import (
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/coordination/membership"
)

// Target describes the target beside this node.
type Target struct {
	Service string
	// Slots is how many calls the target runs at once.
	Slots int
	// Connections is how many connections to the target may be open.
	Connections int
	// Address is the host and port on which the target serves HTTP.
	Address string
	// Instance is the ID of the target's process, if the target reported one, and
	// StartedMS its start time in Unix milliseconds, if known.
	Instance  string
	StartedMS int64
	State     membership.TargetState
	// Version is the version of the target's software, empty if not announced.
	Version string
}

// Process returns the identity of the target's process.
func (t Target) Process() call.TargetProcess {
	return call.TargetProcess{Instance: t.Instance, StartedMS: t.StartedMS}
}

// target is a Target with its connections.
type target struct {
	Target
	conns *targetConns
}

func newTarget(announced Target) *target {
	return &target{Target: announced, conns: newTargetConns(announced.Connections)}
}

// SetTarget applies what the target announced. If its address, instance or
// connection limit changed, idle connections are closed and new requests use new
// ones; requests in flight continue.
func (r *Runner) SetTarget(announced Target) {
	if announced.State == membership.TargetAbsent {
		r.signals.endAnnouncement()
	} else {
		r.signals.setProcess(announced.Process())
	}
	current := r.target.Load()
	switch {
	case current == nil || current.Address != announced.Address || !current.Process().Same(announced.Process()) || current.Connections != announced.Connections:
		next := newTarget(announced)
		next.conns.targetRefuses = r.options.Contract.NotRun != ""
		r.target.Store(next)
		r.targetLosses.reset()
		if current != nil {
			current.conns.closeIdle()
		}
	case current.Target != announced:
		r.target.Store(&target{Target: announced, conns: current.conns})
	}
	r.updateGateLimits()
}

// UpdateGate passes on a change of Options.RefusesTarget. Queued calls are refused with the new ones.
func (r *Runner) UpdateGate() { r.updateGateLimits() }

// GateInUse returns the number of calls that run or are queued at this gate, and one more if it
// still accepts calls, so that 0 means that there are none and will be none.
func (r *Runner) GateInUse() int {
	accepts := r.gate.accepts.Load()
	inUse := int(r.gate.load.Load())
	if accepts {
		inUse++
	}
	return inUse
}

// updateGateLimits passes the target's state and its service's limits to the
// gate machine.
func (r *Runner) updateGateLimits() {
	t := r.target.Load()
	if t == nil {
		return
	}
	event := gate.SetTarget{Slots: t.Slots, FixedLimit: r.options.Settings.FixedLimit, Ready: t.State == membership.TargetReady && !r.options.RefusesTarget(r.options.Now(), t.Target)}
	if index := r.currentRoutes(); index != nil {
		if service, ok := index.snapshot.Service(t.Service); ok {
			event.QueueLength = service.QueueLength
			event.QueueTimeout = time.Duration(service.QueueTimeout)
		}
	}
	r.gate.notify(event)
}
