package keyed

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// Options configures a Machine.
type Options struct {
	// Self is this gate.
	Self Gate
	// Retention is the least time for which a claim is kept after the admission of
	// its call. Gate histories are kept for at least the same time.
	Retention time.Duration
	// StartupPeriod starts with the first member table. A running gate first seen
	// within this period is taken as established, one first seen later as newly
	// joined. No claim is made before the period ends.
	StartupPeriod time.Duration
	// ClaimTimeout is the age from which an attempt is refused at its next response or
	// failed request. No timer enforces it: each SendRequest of an attempt must be
	// followed by ResponseReceived or RequestFailed.
	ClaimTimeout time.Duration
}

// member is a gate with its history.
type member struct {
	Gate
	// changedAt is when the gate last joined or left.
	changedAt time.Time
	// restartedAt is when a later incarnation of the gate last appeared, which does
	// not have the claims that the earlier one recorded.
	restartedAt time.Time
	// weight is the gate's rendezvous weight for the key of the last ranking.
	weight uint64
	// handedOverIncarnation is the incarnation that handed all its claims over to
	// this gate when it left; 0 if none has.
	handedOverIncarnation uint64
}

// claim is the recorded claim on a key.
type claim struct {
	id         ClaimID
	recordedAt time.Time
	// contested is true if a handover brought a different claim on the key. Either
	// call may have run, so neither claimant can release the key.
	contested bool
}

// attempt is a claim of this gate that waits for responses. Its maps are by gate,
// except for released.
type attempt struct {
	key     string
	claimID ClaimID
	tokens  []uint64
	// outstanding holds the gates whose response to a request is awaited.
	outstanding map[string]bool
	// results holds the result of each gate that has one: true if it recorded the
	// claim, false if it declined or failed to respond twice.
	results map[string]bool
	// noResponse holds the gates that did not respond to a request. Each is asked
	// once more.
	noResponse map[string]bool
	// confirming is the conflicting claim whose claimant is being asked; zero if
	// there is none.
	confirming ClaimID
	// released holds the conflicting claims that their claimants do not hold any
	// more.
	released map[ClaimID]bool
	// lastReleased is the one of them that was confirmed last, sent as Released in
	// further requests; zero if there is none.
	lastReleased ClaimID
	startedAt    time.Time
}

// expiry is an entry in the queue of claims to check for expiry. The queue is in the
// order of recording here, so a handed-over claim, which may be older than the entries
// before it, may be removed late.
type expiry struct {
	key        string
	recordedAt time.Time
}

// Machine is the state machine that decides on keyed calls for one gate. It is not
// safe for concurrent use.
type Machine struct {
	options   Options
	startedAt time.Time
	// firstTableAt is when the first member table arrived.
	firstTableAt  time.Time
	now           time.Time
	members       map[string]*member
	claims        map[string]claim
	expiries      []expiry
	attempts      map[uint64]*attempt
	attemptsByKey map[string]*attempt
	serial        uint64
	// historySynced is set once every running gate has sent the gate histories that it
	// knows.
	historySynced bool
	// historyRequests holds the gates that were asked for gate histories; the value
	// is true for those that have responded.
	historyRequests map[string]bool
	handOver        handOverState
}

// New returns the machine of a gate that starts now.
func New(now time.Time, options Options) *Machine {
	// A call may be admitted up to ClaimTimeout after its claim was recorded. From here
	// on, the retention is the time from the recording of a claim.
	options.Retention += options.ClaimTimeout
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

// HistorySynced reports whether the machine has received the gate histories that
// every running gate knows. Until then it makes no new claims.
func (m *Machine) HistorySynced() bool { return m.historySynced }

// ClaimCount returns the number of recorded claims.
func (m *Machine) ClaimCount() int { return len(m.claims) }

// Step processes one event at the given time and returns the resulting actions.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.now = now
	m.expireClaims()
	return m.handle(event)
}

func (m *Machine) handle(event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return m.syncHistory()
	case SetGates:
		m.setGates(e.Gates)
		return m.syncHistory()
	case Admit:
		return m.admit(e)
	case ResponseReceived:
		return m.handleResponse(e)
	case RequestFailed:
		return m.handleFailedRequest(e)
	case RequestReceived:
		return []Action{SendResponse{Token: e.Token, Response: m.handleRequest(e.Request)}}
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

// expireClaims removes the claims that are older than the retention. The claim of a
// key with a pending attempt is kept, and not checked again unless it is recorded
// again.
func (m *Machine) expireClaims() {
	for len(m.expiries) > 0 && m.now.Sub(m.expiries[0].recordedAt) > m.options.Retention {
		key := m.expiries[0].key
		if recorded, ok := m.claims[key]; ok && !m.withinRetention(recorded.recordedAt) && m.attemptsByKey[key] == nil {
			delete(m.claims, key)
		}
		m.expiries = m.expiries[1:]
	}
}

func (m *Machine) recordClaim(key string, id ClaimID) {
	m.claims[key] = claim{id: id, recordedAt: m.now}
	m.expiries = append(m.expiries, expiry{key: key, recordedAt: m.now})
}

// removeClaim removes a claim that its claimant released, unless it is contested.
func (m *Machine) removeClaim(key string, id ClaimID) {
	if recorded, ok := m.claims[key]; ok && recorded.id == id && !recorded.contested {
		delete(m.claims, key)
	}
}

// admit decides on a call, or starts an attempt to claim its key. A call whose key
// is being claimed here waits for that attempt.
func (m *Machine) admit(e Admit) []Action {
	if pending := m.attemptsByKey[e.Key]; pending != nil {
		pending.tokens = append(pending.tokens, e.Token)
		return nil
	}
	if recorded, ok := m.claims[e.Key]; ok && m.isOwnClaim(recorded.id) {
		return []Action{Admitted{Token: e.Token, ReplayOnly: true}}
	}
	if e.RefusesCalls || m.handOver.started {
		return []Action{Admitted{Token: e.Token}}
	}
	if !m.historySynced {
		// NotRun is about this call only: the entry reports it as unknown, since no
		// earlier call with the key is ruled out (keyChecked in package entry).
		return []Action{Refused{Token: e.Token, Outcome: call.NotRun, Reason: call.ReasonKeyUncertain}}
	}
	m.serial++
	a := &attempt{
		key: e.Key, startedAt: m.now, tokens: []uint64{e.Token},
		claimID:     ClaimID{Gate: m.options.Self.ID, Incarnation: m.options.Self.Incarnation, Serial: m.serial},
		outstanding: make(map[string]bool), results: make(map[string]bool),
		noResponse: make(map[string]bool), released: make(map[ClaimID]bool),
	}
	m.attempts[m.serial], m.attemptsByKey[e.Key] = a, a
	if recorded, ok := m.claims[e.Key]; ok && recorded.contested {
		return m.refuse(a, call.ReasonKeyClaimed)
	} else if ok {
		return m.confirmConflict(a, recorded.id)
	}
	m.recordClaim(e.Key, a.claimID)
	a.results[m.options.Self.ID] = true
	return m.advanceAttempt(a)
}

func (m *Machine) isOwnClaim(id ClaimID) bool {
	return id.Gate == m.options.Self.ID && id.Incarnation == m.options.Self.Incarnation
}

// advanceAttempt sends the claim to the running candidates that have no result yet.
// It ends the attempt once the responses suffice, none is outstanding, or the
// attempt has timed out.
func (m *Machine) advanceAttempt(a *attempt) []Action {
	candidates := m.candidates(a.key)
	if m.now.Sub(a.startedAt) > m.options.ClaimTimeout {
		return m.refuseUncertain(a, candidates)
	}
	if a.results[m.options.Self.ID] && m.hasMajorities(candidates, a.results) {
		return m.finish(a, Admitted{})
	}
	var actions []Action
	for _, g := range candidates {
		_, hasResult := a.results[g.ID]
		if hasResult || a.outstanding[g.ID] || !g.Running {
			continue
		}
		a.outstanding[g.ID] = true
		request := Request{Kind: Record, Key: a.key, ClaimID: a.claimID, Released: a.lastReleased, ToIncarnation: g.Incarnation, History: m.historyOf(candidates)}
		actions = append(actions, SendRequest{Serial: a.claimID.Serial, To: g.ID, Request: request})
	}
	if len(a.outstanding) > 0 {
		return actions
	}
	// An earlier claim may be recorded only at gates that cannot be asked.
	return m.refuseUncertain(a, candidates)
}
