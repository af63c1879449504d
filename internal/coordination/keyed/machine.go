package keyed

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// Options sets up a Machine.
type Options struct {
	// Self is this gate.
	Self Gate
	// Retention is how long after its admission a call's claim, and former gates,
	// are remembered at least.
	Retention time.Duration
	// Settle is how long after its own start a gate takes those it hears of as
	// new to its table only: afterwards it takes them as settled.
	Settle time.Duration
	// Patience bounds how long a claim may wait for answers.
	Patience time.Duration
}

// member is a gate with its past.
type member struct {
	Gate
	// changedAt is when it last came or went; restartedAt is when a later process of it
	// appeared, which does not remember what the former one recorded.
	changedAt   time.Time
	restartedAt time.Time
	weight      uint64
	// handedOverIncarnation is the incarnation that handed its claims to this gate when it left.
	handedOverIncarnation uint64
}

// claim is a key that is held.
type claim struct {
	id         Holder
	recordedAt time.Time
	// contested says that another claim came with a hand-over. It is not known
	// which of the two ran, so neither claimant's word frees the key.
	contested bool
}

// attempt is a claim of this gate that waits for answers.
type attempt struct {
	key         string
	claimID     Holder
	tokens      []uint64
	outstanding map[string]bool
	recorded    map[string]bool
	// unanswered are those whose question got no answer; it is put once more.
	unanswered map[string]bool
	// confirming is the claim in the way, and whom it was met at.
	confirming   Holder
	released     map[Holder]bool
	lastReleased Holder
	startedAt    time.Time
}

// expiry is when a claim is looked at for its age.
type expiry struct {
	key        string
	recordedAt time.Time
}

// Machine decides for one gate. It is not safe for concurrent use.
type Machine struct {
	options   Options
	startedAt time.Time
	// firstTableAt is when the first table came.
	firstTableAt  time.Time
	now           time.Time
	members       map[string]*member
	claims        map[string]claim
	expiries      []expiry
	attempts      map[uint64]*attempt
	attemptsByKey map[string]*attempt
	serial        uint64
	// historySynced is set once every running gate has told its history;
	// historyRequests holds those asked, true for those that answered.
	historySynced   bool
	historyRequests map[string]bool
	handOver        handOverState
}

// New returns a machine of a gate that starts now.
func New(now time.Time, options Options) *Machine {
	// A call may be admitted as late as Patience after its claim was recorded.
	options.Retention += options.Patience
	m := &Machine{
		options: options, startedAt: now, now: now,
		members:       make(map[string]*member),
		claims:        make(map[string]claim),
		attempts:      make(map[uint64]*attempt),
		attemptsByKey: make(map[string]*attempt),

		historyRequests: make(map[string]bool),
	}
	m.members[options.Self.ID] = &member{Gate: options.Self, changedAt: now}
	return m
}

// Introduced reports whether the machine has learned of former gates; before,
// it admits nothing.
func (m *Machine) Introduced() bool { return m.historySynced }

// Claims returns how many claims are kept.
func (m *Machine) Claims() int { return len(m.claims) }

// Step takes in one event and returns what is to be done.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.now = now
	m.expireClaims()
	actions := m.syncHistory()
	return append(actions, m.handle(event)...)
}

func (m *Machine) handle(event Event) []Action {
	switch e := event.(type) {
	case SetGates:
		m.setGates(e.Gates)
		return m.syncHistory()
	case Admit:
		return m.admit(e)
	case Answered:
		return m.handleResponse(e)
	case Lost:
		return m.handleFailedRequest(e)
	case Asked:
		return []Action{Reply{Token: e.Token, Answer: m.handleRequest(e.Request)}}
	case Release:
		return m.release(e)
	case Leave:
		return m.leave()
	}
	return nil
}

func (m *Machine) withinRetention(at time.Time) bool {
	return !at.IsZero() && m.now.Sub(at) <= m.options.Retention
}

func (m *Machine) expireClaims() {
	for len(m.expiries) > 0 && m.now.Sub(m.expiries[0].recordedAt) > m.options.Retention {
		key := m.expiries[0].key
		if recorded, ok := m.claims[key]; ok && !m.withinRetention(recorded.recordedAt) && m.attemptsByKey[key] == nil {
			delete(m.claims, key)
		}
		m.expiries = m.expiries[1:]
	}
}

func (m *Machine) recordClaim(key string, id Holder) {
	m.claims[key] = claim{id: id, recordedAt: m.now}
	m.expiries = append(m.expiries, expiry{key: key, recordedAt: m.now})
}

// removeClaim forgets a claim that its holder gave up.
func (m *Machine) removeClaim(key string, id Holder) {
	if recorded, ok := m.claims[key]; ok && recorded.id == id && !recorded.contested {
		delete(m.claims, key)
	}
}

func (m *Machine) admit(e Admit) []Action {
	if pending := m.attemptsByKey[e.Key]; pending != nil {
		pending.tokens = append(pending.tokens, e.Token)
		return nil
	}
	if recorded, ok := m.claims[e.Key]; ok && m.isOwnClaim(recorded.id) {
		return []Action{Admitted{Token: e.Token, Repeat: true}}
	}
	if e.Closed || m.handOver.started {
		return []Action{Admitted{Token: e.Token}}
	}
	if !m.historySynced {
		return []Action{Refused{Token: e.Token, Outcome: call.NotRun, Reason: call.ReasonKeyUncertain}}
	}
	m.serial++
	a := &attempt{
		key: e.Key, startedAt: m.now, tokens: []uint64{e.Token},
		claimID:     Holder{Gate: m.options.Self.ID, Incarnation: m.options.Self.Incarnation, Serial: m.serial},
		outstanding: make(map[string]bool), recorded: make(map[string]bool),
		unanswered: make(map[string]bool), released: make(map[Holder]bool),
	}
	m.attempts[m.serial], m.attemptsByKey[e.Key] = a, a
	if recorded, ok := m.claims[e.Key]; ok && recorded.contested {
		return m.refuse(a, call.ReasonKeyClaimed)
	} else if ok {
		return m.confirmConflict(a, recorded.id)
	}
	m.recordClaim(e.Key, a.claimID)
	a.recorded[m.options.Self.ID] = true
	return m.advanceAttempt(a)
}

func (m *Machine) isOwnClaim(id Holder) bool {
	return id.Gate == m.options.Self.ID && id.Incarnation == m.options.Self.Incarnation
}

// advanceAttempt asks the candidates that were not asked, and decides once the answers
// suffice or no more can come.
func (m *Machine) advanceAttempt(a *attempt) []Action {
	candidates := m.candidates(a.key)
	if m.now.Sub(a.startedAt) > m.options.Patience {
		return m.refuseUncertain(a, candidates)
	}
	if a.recorded[m.options.Self.ID] && m.hasMajorities(candidates, a.recorded) {
		return m.finish(a, Admitted{})
	}
	var actions []Action
	for _, g := range candidates {
		_, asked := a.recorded[g.ID]
		if asked || a.outstanding[g.ID] || !g.Running {
			continue
		}
		a.outstanding[g.ID] = true
		request := Request{Kind: Record, Key: a.key, Holder: a.claimID, Dismissed: a.lastReleased, ToIncarnation: g.Incarnation, Notes: m.historyOf(candidates)}
		actions = append(actions, Ask{Serial: a.claimID.Serial, To: g.ID, Request: request})
	}
	if len(a.outstanding) > 0 {
		return actions
	}
	// An earlier call with the key may have run at gates that cannot be asked.
	return m.refuseUncertain(a, candidates)
}
