package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// Options bounds a Machine.
type Options struct {
	// Incarnation is this gate's process incarnation.
	Incarnation uint64
	// MaxRecords is how many finished non-idempotent calls are remembered.
	MaxRecords int
	// MaxRetainedBytes bounds the kept answers.
	MaxRetainedBytes int64
	// Retention is how long finished non-idempotent calls are remembered.
	Retention time.Duration
}

// Machine decides for one target. It is not safe for concurrent use.
type Machine struct {
	options  Options
	target   SetTarget
	draining bool
	limit    limiter
	queue    queue
	arrivals map[call.ID]Arrive
	// waitingKeys names the waiting call of each idempotency key.
	waitingKeys map[string]call.ID
	ledger      ledger
	windows     map[string]*window
	refusals    uint64
	// admitted is the share of the latest calls that found room.
	admitted float64
}

// New returns a machine without a target.
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

// Load returns how many calls run or wait.
func (m *Machine) Load() int { return m.ledger.running + m.queue.len() }

// Running returns how many calls run.
func (m *Machine) Running() int { return m.ledger.running }

// Limit returns how many calls may run at present.
func (m *Machine) Limit() int { return m.limit.current() }

// NextWake returns when the next Tick is due, if any.
func (m *Machine) NextWake() (time.Time, bool) { return m.queue.earliest() }

// Step takes in one event and returns what is to be done.
func (m *Machine) Step(now time.Time, event Event) []Action {
	actions := m.expire(now)
	switch e := event.(type) {
	case Arrive:
		actions = append(actions, m.arrive(now, e)...)
	case Finished:
		actions = append(actions, m.finished(now, e)...)
	case Cancelled:
		actions = append(actions, m.cancelled(e.ID)...)
	case CancelledIfQueued:
		actions = append(actions, m.recalled(e.ID)...)
	case Disconnected:
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

// leaveQueue forgets a waiting call that was taken out of the queue.
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

func (m *Machine) refusal(item waiting, reason call.Reason) Action {
	m.noteAdmitted(0)
	return Refuse{ID: item.id, Outcome: call.NotRun, Reason: reason, RetryAfter: m.retryAfter(item)}
}
