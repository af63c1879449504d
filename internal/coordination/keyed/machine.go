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
	// StartupPeriod is how long after its own start a gate takes those it hears of as
	// new to its table only: afterwards it takes them as settled.
	StartupPeriod time.Duration
	// ClaimTimeout bounds how long a claim may wait for answers.
	ClaimTimeout time.Duration
}

// member is a gate with its past.
type member struct {
	Gate
	// changed is when it last came or went; lost is when a later process of it
	// appeared, which does not remember what the former one recorded.
	changed time.Time
	lost    time.Time
	weight  uint64
	// handed is the incarnation that handed its claims to this gate when it left.
	handed uint64
}

// claim is a key that is held.
type claim struct {
	holder ClaimID
	at     time.Time
	// contested says that another claim came with a hand-over. It is not known
	// which of the two ran, so neither claimant's word frees the key.
	contested bool
}

// attempt is a claim of this gate that waits for answers.
type attempt struct {
	key         string
	holder      ClaimID
	tokens      []uint64
	outstanding map[string]bool
	recorded    map[string]bool
	// unheard are those whose question got no answer; it is put once more.
	unheard map[string]bool
	// confirming is the claim in the way, and whom it was met at.
	confirming ClaimID
	dismissed  map[ClaimID]bool
	gone       ClaimID
	at         time.Time
}

// expiry is when a claim is looked at for its age.
type expiry struct {
	key string
	at  time.Time
}

// Machine decides for one gate. It is not safe for concurrent use.
type Machine struct {
	options Options
	started time.Time
	// begun is when the first table came.
	begun    time.Time
	now      time.Time
	members  map[string]*member
	claims   map[string]claim
	expiries []expiry
	attempts map[uint64]*attempt
	byKey    map[string]*attempt
	serial   uint64
	// introduced is set once every running gate has told its history;
	// introductions holds those asked, true for those that answered.
	introduced    bool
	introductions map[string]bool
	handingOver   handingOver
}

// New returns a machine of a gate that starts now.
func New(now time.Time, options Options) *Machine {
	// A call may be admitted as late as Patience after its claim was recorded.
	options.Retention += options.ClaimTimeout
	m := &Machine{
		options: options, started: now, now: now,
		members:  make(map[string]*member),
		claims:   make(map[string]claim),
		attempts: make(map[uint64]*attempt),
		byKey:    make(map[string]*attempt),

		introductions: make(map[string]bool),
	}
	m.members[options.Self.ID] = &member{Gate: options.Self, changed: now}
	return m
}

// HistorySynced reports whether the machine has learned of former gates; before,
// it admits nothing.
func (m *Machine) HistorySynced() bool { return m.introduced }

// ClaimCount returns how many claims are kept.
func (m *Machine) ClaimCount() int { return len(m.claims) }

// Step takes in one event and returns what is to be done.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.now = now
	m.expire()
	actions := m.introduce()
	return append(actions, m.take(event)...)
}

func (m *Machine) take(event Event) []Action {
	switch e := event.(type) {
	case SetGates:
		m.setGates(e.Gates)
		return m.introduce()
	case Admit:
		return m.admit(e)
	case ResponseReceived:
		return m.answered(e)
	case RequestFailed:
		return m.missed(e)
	case RequestReceived:
		return []Action{SendResponse{Token: e.Token, Response: m.answer(e.Request)}}
	case Release:
		return m.release(e)
	case Leave:
		return m.leave()
	}
	return nil
}

func (m *Machine) recent(at time.Time) bool {
	return !at.IsZero() && m.now.Sub(at) <= m.options.Retention
}

func (m *Machine) expire() {
	for len(m.expiries) > 0 && m.now.Sub(m.expiries[0].at) > m.options.Retention {
		key := m.expiries[0].key
		if held, ok := m.claims[key]; ok && !m.recent(held.at) && m.byKey[key] == nil {
			delete(m.claims, key)
		}
		m.expiries = m.expiries[1:]
	}
}

func (m *Machine) hold(key string, holder ClaimID) {
	m.claims[key] = claim{holder: holder, at: m.now}
	m.expiries = append(m.expiries, expiry{key: key, at: m.now})
}

// drop forgets a claim that its holder gave up.
func (m *Machine) drop(key string, holder ClaimID) {
	if held, ok := m.claims[key]; ok && held.holder == holder && !held.contested {
		delete(m.claims, key)
	}
}

func (m *Machine) admit(e Admit) []Action {
	if waits := m.byKey[e.Key]; waits != nil {
		waits.tokens = append(waits.tokens, e.Token)
		return nil
	}
	if held, ok := m.claims[e.Key]; ok && m.mine(held.holder) {
		return []Action{Admitted{Token: e.Token, ReplayOnly: true}}
	}
	if e.RefusesCalls || m.handingOver.begun {
		return []Action{Admitted{Token: e.Token}}
	}
	if !m.introduced {
		return []Action{Refused{Token: e.Token, Outcome: call.NotRun, Reason: call.ReasonKeyUncertain}}
	}
	m.serial++
	a := &attempt{
		key: e.Key, at: m.now, tokens: []uint64{e.Token},
		holder:      ClaimID{Gate: m.options.Self.ID, Incarnation: m.options.Self.Incarnation, Serial: m.serial},
		outstanding: make(map[string]bool), recorded: make(map[string]bool),
		unheard: make(map[string]bool), dismissed: make(map[ClaimID]bool),
	}
	m.attempts[m.serial], m.byKey[e.Key] = a, a
	if held, ok := m.claims[e.Key]; ok && held.contested {
		return m.refuse(a, call.ReasonKeyClaimed)
	} else if ok {
		return m.inTheWay(a, held.holder)
	}
	m.hold(e.Key, a.holder)
	a.recorded[m.options.Self.ID] = true
	return m.pursue(a)
}

func (m *Machine) mine(h ClaimID) bool {
	return h.Gate == m.options.Self.ID && h.Incarnation == m.options.Self.Incarnation
}

// pursue asks the candidates that were not asked, and decides once the answers
// suffice or no more can come.
func (m *Machine) pursue(a *attempt) []Action {
	candidates := m.candidates(a.key)
	if m.now.Sub(a.at) > m.options.ClaimTimeout {
		return m.uncertain(a, candidates)
	}
	if a.recorded[m.options.Self.ID] && m.covered(candidates, a.recorded) {
		return m.finish(a, Admitted{})
	}
	var actions []Action
	for _, g := range candidates {
		_, asked := a.recorded[g.ID]
		if asked || a.outstanding[g.ID] || !g.Running {
			continue
		}
		a.outstanding[g.ID] = true
		request := Request{Kind: Record, Key: a.key, ClaimID: a.holder, Released: a.gone, ToIncarnation: g.Incarnation, History: m.notes(candidates)}
		actions = append(actions, SendRequest{Serial: a.holder.Serial, To: g.ID, Request: request})
	}
	if len(a.outstanding) > 0 {
		return actions
	}
	// An earlier call with the key may have run at gates that cannot be asked.
	return m.uncertain(a, candidates)
}
