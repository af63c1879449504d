package gate

import (
	"math"
	"time"

	"jasminegate/internal/coordination/call"
)

// Options sets the identity and the limits of a Machine.
type Options struct {
	// Incarnation is this gate's process incarnation.
	Incarnation uint64
	// MaxRecords limits the number of recorded finished non-idempotent calls.
	MaxRecords int
	// MaxRetainedBytes limits the total size of the retained responses.
	MaxRetainedBytes int64
	// Shedding enables the ordering and refusal of calls by what they cost callers; see
	// shedding.
	Shedding bool
	// Retention is how long finished non-idempotent calls stay recorded.
	Retention time.Duration
}

// Machine is the admission state machine of one target. It is not safe for
// concurrent use.
type Machine struct {
	options  Options
	target   SetTarget
	draining bool
	limit    limiter
	rate     rateLimiter
	queue    queue
	// queuedArrivals holds the Arrive event of each queued call.
	queuedArrivals map[call.ID]Arrive
	// queuedKeys maps each idempotency key to its queued call.
	queuedKeys map[string]call.ID
	ledger     ledger
	// orphans lists the running idempotent calls without a connection, in the order in
	// which they lost it.
	orphans []orphan
	// windows holds the ID window of each entry.
	windows map[string]*window
	// refusals counts refusals to step through the jitter of retryAfter.
	refusals uint64
	// admissionRatio is the share of recent calls that were admitted, as a moving
	// average.
	admissionRatio float64
	// shed is nil without Options.Shedding.
	shed *shedding
}

// New returns a machine that has no target until a SetTarget.
func New(options Options) *Machine {
	m := &Machine{
		options:        options,
		queuedArrivals: make(map[call.ID]Arrive),
		queuedKeys:     make(map[string]call.ID),
		ledger:         newLedger(),
		windows:        make(map[string]*window),
		admissionRatio: 1,
	}
	m.queue.setOvertakeLimit(initialServiceTime, initialServiceTime)
	if options.Shedding {
		m.shed = newShedding()
	}
	return m
}

// Load returns the number of running and queued calls.
func (m *Machine) Load() int { return m.ledger.running + m.queue.len() }

// Queued returns the number of queued calls.
func (m *Machine) Queued() int { return m.queue.len() }

// ReportedLoad returns the load for the choice between gates: that of Load, or as many
// slots as correspond to the used share of the target's rate limit.
func (m *Machine) ReportedLoad() int {
	byRate := math.Round(m.rate.utilization() * float64(m.target.Slots))
	return max(m.Load(), min(int(byRate), m.target.Slots))
}

// Running returns the number of running calls.
func (m *Machine) Running() int { return m.ledger.running }

// Limit returns how many calls may currently run at once.
func (m *Machine) Limit() int { return m.limit.current() }

// NextWake returns when the next Tick is due, and false if none is.
func (m *Machine) NextWake() (time.Time, bool) {
	at, wake := m.nextOrphan()
	expiry, queued := m.queue.earliestExpiry()
	if !queued {
		return at, wake
	}
	if !wake || expiry.Before(at) {
		at = expiry
	}
	if byRate := m.rate.updated.Add(m.rate.wait(1)); m.ledger.running < m.limit.current() && byRate.Before(at) {
		at = byRate
	}
	return at, true
}

// Step processes one event and returns the resulting actions in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.rate.advance(now)
	actions := m.refuseExpired(now)
	actions = append(actions, m.cancelOrphans(now)...)
	switch e := event.(type) {
	case Arrive:
		actions = append(actions, m.arrive(now, e)...)
	case Finished:
		actions = append(actions, m.finished(now, e)...)
	case Cancelled:
		actions = append(actions, m.cancelled(e.ID)...)
	case CancelledIfQueued:
		actions = append(actions, m.cancelledIfQueued(e.ID)...)
	case Disconnected:
		actions = append(actions, m.disconnected(now, e.ID)...)
	case Resolve:
		actions = append(actions, m.resolve(e)...)
	case SetTarget:
		actions = append(actions, m.setTarget(e)...)
	case SetRateLimit:
		m.setRateLimit(now, e)
	case ForgetRateLimit:
		m.rate.clear()
	case Resent:
		m.rate.take()
	case Drain:
		m.draining = true
		actions = append(actions, m.refuseQueued(call.ReasonLeaving)...)
	}
	actions = append(actions, m.startQueued(now)...)
	return append(actions, m.ledger.evict(now, m.options)...)
}

func (m *Machine) setTarget(e SetTarget) []Action {
	m.target = e
	m.limit.setSlots(e.Slots, e.FixedLimit)
	if e.Ready {
		return nil
	}
	return m.refuseQueued(call.ReasonLeaving)
}

// setRateLimit applies the limit that the target names. A target that withdraws it
// carries one call per mean service time in each slot.
func (m *Machine) setRateLimit(now time.Time, e SetRateLimit) {
	if e.Limited {
		m.rate.set(now, e.PerSecond)
		return
	}
	m.rate.withdraw(now, float64(m.limit.current())/m.limit.meanServiceTime(false).Seconds())
}

func (m *Machine) refuseExpired(now time.Time) []Action {
	var actions []Action
	for _, item := range m.queue.removeExpired(now) {
		m.forgetQueued(item.id)
		actions = append(actions, m.refusal(item, m.overloadReason(item, call.ReasonTooLate)))
	}
	return actions
}

func (m *Machine) refuseQueued(reason call.Reason) []Action {
	var actions []Action
	for _, item := range m.queue.removeAll() {
		m.forgetQueued(item.id)
		actions = append(actions, Refuse{ID: item.id, Outcome: call.NotRun, Reason: reason, RetryAfter: unavailableRetryAfter})
	}
	return actions
}

func (m *Machine) startQueued(now time.Time) []Action {
	var actions []Action
	m.queue.setOvertakeLimit(m.limit.meanServiceTime(false), m.limit.meanServiceTime(true))
	if m.shed != nil {
		m.sortQueue(now)
	}
	for m.ledger.running < m.limit.current() && m.rate.allows() {
		item, ok := m.queue.pop()
		if !ok {
			break
		}
		actions = append(actions, m.start(now, m.forgetQueued(item.id), m.reachedTag(item)))
	}
	return actions
}

// forgetQueued deletes and returns the Arrive event of a call that was removed from
// the queue.
func (m *Machine) forgetQueued(id call.ID) Arrive {
	arrival := m.queuedArrivals[id]
	delete(m.queuedArrivals, id)
	if arrival.Key != "" {
		delete(m.queuedKeys, arrival.Key)
	}
	return arrival
}

// start starts a call; tag is its start tag if shedding is enabled.
func (m *Machine) start(now time.Time, e Arrive, tag float64) Action {
	if m.shed != nil {
		m.shed.started(now, e, tag)
	}
	if w := m.windowOf(e.ID); w != nil {
		w.setStarted(e.ID.Counter, true)
	}
	m.rate.take()
	m.ledger.start(&record{
		id: e.ID, background: e.Background, idempotent: e.Idempotent, route: e.Route,
		started: now, key: e.Key, fingerprint: e.Fingerprint, connections: 1, retriedIfLost: e.RetriedIfLost,
	})
	return Start{ID: e.ID}
}

// refusal refuses a call because of load or because it would be too late, and updates
// the admission ratio. Of item it uses only the ID, class and rank.
func (m *Machine) refusal(item queuedCall, reason call.Reason) Action {
	m.updateAdmissionRatio(0)
	if m.shed != nil && reason != call.ReasonRateLimited {
		after := m.shed.retryAfter(m.rate.updated, item.serviceTime, item.left, max(1, m.limit.current()), m.estimateQueueTime(item))
		return Refuse{ID: item.id, Outcome: call.NotRun, Reason: reason, RetryAfter: after}
	}
	return Refuse{ID: item.id, Outcome: call.NotRun, Reason: reason, RetryAfter: m.retryAfter(item)}
}
