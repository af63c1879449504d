package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// Options sets the identity and the limits of a Machine.
type Options struct {
	// Incarnation is this gate's process incarnation.
	Incarnation uint64
	// MaxRecords limits the number of recorded finished non-idempotent calls.
	MaxRecords int
	// KeptBytes limits the total size of the retained answers.
	KeptBytes int64
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
	queue    queue
	// arrivals holds the queued calls.
	arrivals map[call.ID]Arrive
	// waitingKeys maps each idempotency key to its queued call.
	waitingKeys map[string]call.ID
	ledger      ledger
	// windows holds the ID window of each entry.
	windows map[string]*window
	// refusals counts refusals to step through the jitter of retryAfter.
	refusals uint64
	// admitted is the admission ratio: the moving average share of recent calls that
	// were admitted.
	admitted float64
}

// New returns a machine that has no target until a SetTarget.
func New(options Options) *Machine {
	m := &Machine{
		options:     options,
		arrivals:    make(map[call.ID]Arrive),
		waitingKeys: make(map[string]call.ID),
		ledger:      newLedger(),
		windows:     make(map[string]*window),
		admitted:    1,
	}
	m.queue.setBound(initialMean, initialMean)
	return m
}

// Load returns the number of running and queued calls.
func (m *Machine) Load() int { return m.ledger.running + m.queue.len() }

// Running returns the number of running calls.
func (m *Machine) Running() int { return m.ledger.running }

// Limit returns how many calls may currently run at once.
func (m *Machine) Limit() int { return m.limit.current() }

// Wake returns when the next Tick is due, and false if none is.
func (m *Machine) Wake() (time.Time, bool) { return m.queue.earliest() }

// Step processes one event and returns the resulting actions in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	actions := m.expire(now)
	switch e := event.(type) {
	case Arrive:
		actions = append(actions, m.arrive(now, e)...)
	case Finished:
		actions = append(actions, m.finished(now, e)...)
	case Cancelled:
		actions = append(actions, m.cancelled(e.ID)...)
	case Recalled:
		actions = append(actions, m.recalled(e.ID)...)
	case Detached:
		actions = append(actions, m.detached(e.ID)...)
	case Resolve:
		actions = append(actions, m.resolve(e)...)
	case SetTarget:
		actions = append(actions, m.setTarget(e)...)
	case Drain:
		m.draining = true
		actions = append(actions, m.refuseWaiting(call.ReasonLeaving)...)
	}
	actions = append(actions, m.startWaiting(now)...)
	return append(actions, m.ledger.evict(now, m.options)...)
}

func (m *Machine) setTarget(e SetTarget) []Action {
	m.target = e
	m.limit.setSlots(e.Slots)
	m.limit.fixed = e.FixedLimit
	if e.Ready {
		return nil
	}
	return m.refuseWaiting(call.ReasonLeaving)
}

func (m *Machine) expire(now time.Time) []Action {
	var actions []Action
	for _, item := range m.queue.expire(now) {
		m.leaveQueue(item.id)
		actions = append(actions, m.refusal(item, call.ReasonTooLate))
	}
	return actions
}

func (m *Machine) refuseWaiting(reason call.Reason) []Action {
	var actions []Action
	for _, item := range m.queue.takeAll() {
		m.leaveQueue(item.id)
		actions = append(actions, Refuse{ID: item.id, Outcome: call.NotRun, Reason: reason, RetryAfter: leavingRetryAfter})
	}
	return actions
}

func (m *Machine) startWaiting(now time.Time) []Action {
	var actions []Action
	m.queue.setBound(m.limit.meanOf(false), m.limit.meanOf(true))
	for m.ledger.running < m.limit.current() {
		item, ok := m.queue.pop()
		if !ok {
			break
		}
		actions = append(actions, m.start(now, m.leaveQueue(item.id)))
	}
	return actions
}

// leaveQueue deletes and returns the state of a call that was removed from the
// queue.
func (m *Machine) leaveQueue(id call.ID) Arrive {
	arrival := m.arrivals[id]
	delete(m.arrivals, id)
	if arrival.Key != "" {
		delete(m.waitingKeys, arrival.Key)
	}
	return arrival
}

func (m *Machine) start(now time.Time, e Arrive) Action {
	if w := m.windowOf(e.ID); w != nil {
		w.setStarted(e.ID.Counter, true)
	}
	m.ledger.start(&record{
		id: e.ID, background: e.Background, idempotent: e.Idempotent, route: e.Route,
		started: now, key: e.Key, fingerprint: e.Fingerprint,
	})
	return Start{ID: e.ID}
}

// refusal refuses a call because of load and updates the admission ratio.
func (m *Machine) refusal(item waiting, reason call.Reason) Action {
	m.noteAdmitted(0)
	return Refuse{ID: item.id, Outcome: call.NotRun, Reason: reason, RetryAfter: m.retryAfter(item)}
}
