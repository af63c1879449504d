package membership

import (
	"slices"
	"time"

	"jasminegate/internal/state"
)

// probeKind says why a probe was sent.
type probeKind uint8

const (
	kindDirect    probeKind = iota + 1 // regular probe of the own domain
	kindIndirect                       // probe through an intermediary
	kindForward                        // probe for another node
	kindCompare                        // comparison of tables
	kindJoin                           // whole table from a seed
	kindReconnect                      // attempt to reach a node that is gone
	kindOutside                        // contact of a part of a split domain
	kindRelay                          // exchange with another domain
	kindPull                           // summaries from an own relay
	kindLeave                          // farewell
)

// pendingProbe is a probe that waits for its answer.
type pendingProbe struct {
	kind        probeKind
	to          string
	incarnation uint64
	address     string
	sentAt      time.Time
	deadline    time.Time
	version     state.Version
	// revision is that of the own record, when a relay is told of it.
	revision uint64
	// round is that of an indirect probe.
	round *indirectRound
	// reply is the token of the probe that a forwarded one answers.
	reply uint64
	// domain and changes are those of an exchange with another domain.
	domain  string
	changes []string
}

// indirectRound asks several nodes about one that did not answer.
type indirectRound struct {
	target      string
	incarnation uint64
	waiting     int
	reached     bool
}

// heardReport is what a probe or answer says of its sender.
type heardReport struct {
	version state.Version
	load    uint32
}

// prober probes the own domain.
type prober struct {
	lastToken uint64
	pending   map[uint64]*pendingProbe
	// next is when the next probe is sent; slot is when the schedule has it.
	next time.Time
	slot time.Time
	// order is the shuffled round of member IDs, cursor the place in it.
	order  []string
	cursor int
	// tells counts the probes in a row that went to a relay out of turn.
	tells int
	// rounds counts probes, for what happens every few of them.
	rounds     int
	mismatches int
}

// hurry moves the next probe forward, so that news leaves soon. The schedule
// stays: the probes after it come later.
func (m *Machine) hurry(now time.Time) {
	limit := time.Duration(maxProbeDebt) * m.settings.ProbeInterval
	if m.prober.slot.Sub(now) >= limit {
		return
	}
	share := time.Duration(hurryShare * float64(m.settings.ProbeInterval))
	soon := now.Add(m.jitter(share))
	if soon.Before(m.prober.next) {
		m.prober.next = soon
	}
}

// jitter returns a random duration in [0, bound).
func (m *Machine) jitter(bound time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(max(bound, 1))))
}

func (m *Machine) probeWhenDue(now time.Time) {
	if m.prober.slot.IsZero() {
		m.prober.slot = now.Add(m.jitter(m.settings.ProbeInterval))
		m.prober.next = m.prober.slot
	}
	if now.Before(m.prober.next) {
		return
	}
	m.prober.slot = later(m.prober.slot, now).Add(m.settings.ProbeInterval)
	if m.prober.next.Add(m.settings.ProbeInterval).Before(now) {
		m.prober.slot = now.Add(m.settings.ProbeInterval)
	}
	m.prober.next = m.prober.slot
	m.probeOwnDomain(now)
	m.reconnect(now)
	m.reachOutside(now)
	if m.news.any() {
		m.hurry(now)
	}
}

// probeOwnDomain probes one member: a relay that has not heard of this node's
// present version, or the next in the shuffled round.
func (m *Machine) probeOwnDomain(now time.Time) {
	if relay := m.untoldRelay(); relay != nil && m.prober.tells < m.settings.Relays {
		m.prober.tells++
		m.tell(now, relay)
		return
	}
	m.prober.tells = 0
	target := m.nextInRound()
	if target == nil {
		return
	}
	m.send(now, target.ID, target.ControlAddress, pendingProbe{kind: kindDirect, incarnation: target.Incarnation}, m.comparison())
}

// comparison is a probe that carries the bucket digests when the tables of
// several peers in a row differed.
func (m *Machine) comparison() Probe {
	if m.prober.mismatches < mismatchesBeforeCompare {
		return Probe{}
	}
	m.prober.mismatches = 0
	return Probe{BucketDigests: m.bucketDigests()}
}

// nextInRound returns the next live member of the own domain; each comes once
// before any comes again.
func (m *Machine) nextInRound() *record {
	for tries := 0; tries < 2; tries++ {
		for m.prober.cursor < len(m.prober.order) {
			r := m.table.records[m.prober.order[m.prober.cursor]]
			m.prober.cursor++
			if r != nil && r.State.live() {
				return r
			}
		}
		m.shuffleRound()
	}
	return nil
}

func (m *Machine) shuffleRound() {
	order := make([]string, 0, len(m.prober.order))
	for _, r := range m.livePeers() {
		order = append(order, r.ID)
	}
	m.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	m.prober.order, m.prober.cursor = order, 0
}

// livePeers returns the other live members of the own domain, ordered by ID.
func (m *Machine) livePeers() []*record {
	var peers []*record
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.ID != m.self.ID && r.State.live() {
			peers = append(peers, r)
		}
	}
	return peers
}

// randomPeers returns up to count live members of the own domain but one.
func (m *Machine) randomPeers(count int, but string) []*record {
	var peers []*record
	for _, r := range m.livePeers() {
		if r.ID != but && r.State == Alive {
			peers = append(peers, r)
		}
	}
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// send fills in what every probe carries and sends it.
func (m *Machine) send(now time.Time, to, address string, sent pendingProbe, probe Probe) {
	timeout := m.settings.ProbeTimeout
	if sent.kind == kindIndirect {
		timeout *= 2
	}
	probe.From, probe.FromIncarnation = m.self.ID, m.self.Incarnation
	if probe.To == "" {
		probe.To = to
	}
	probe.Version, probe.Load = m.version, m.load
	probe.TableDigest = m.table.digest
	if sent.kind != kindForward {
		probe.Members = m.piggyback(to, probe.Members)
	}
	sent.to, sent.address = to, address
	sent.sentAt = now
	sent.deadline = now.Add(timeout + m.settings.ProbeTimeout)
	sent.version = m.version
	m.prober.lastToken++
	m.prober.pending[m.prober.lastToken] = &sent
	m.act(SendProbe{Token: m.prober.lastToken, Address: address, Probe: probe, Timeout: timeout})
}

// expireProbes gives up probes whose outcome was not reported.
func (m *Machine) expireProbes(now time.Time) {
	var expired []uint64
	for token, sent := range m.prober.pending {
		if now.After(sent.deadline) {
			expired = append(expired, token)
		}
	}
	slices.Sort(expired)
	for _, token := range expired {
		m.probeFailed(now, token)
	}
}

func (m *Machine) probeFailed(now time.Time, token uint64) {
	sent := m.prober.pending[token]
	if sent == nil {
		return
	}
	delete(m.prober.pending, token)
	switch sent.kind {
	case kindDirect, kindCompare:
		m.askOthers(now, sent)
	case kindIndirect:
		m.closeIndirect(now, sent.round, false)
	case kindForward:
		m.act(Reply{Token: sent.reply, Ack: m.ack(Probe{}, nil)})
	case kindRelay:
		m.relayFailed(now, sent)
	case kindLeave:
		m.act(LeaveCompleted{})
	}
}

// askOthers has other nodes probe one that did not answer this node.
func (m *Machine) askOthers(now time.Time, sent *pendingProbe) {
	target := m.table.records[sent.to]
	if target == nil || target.Incarnation != sent.incarnation || target.State != Alive {
		return
	}
	if target.Domain != m.self.Domain {
		return
	}
	helpers := m.randomPeers(indirectProbes, sent.to)
	if len(helpers) == 0 {
		m.suspect(now, sent.to, sent.incarnation)
		return
	}
	round := &indirectRound{target: sent.to, incarnation: sent.incarnation, waiting: len(helpers)}
	for _, helper := range helpers {
		probe := Probe{To: sent.to, Via: helper.ID}
		m.send(now, helper.ID, helper.ControlAddress, pendingProbe{kind: kindIndirect, round: round}, probe)
	}
}

// closeIndirect takes in one intermediary's answer, and suspects the target
// when none reached it.
func (m *Machine) closeIndirect(now time.Time, round *indirectRound, reached bool) {
	round.waiting--
	round.reached = round.reached || reached
	if round.waiting == 0 && !round.reached {
		m.suspect(now, round.target, round.incarnation)
	}
}

// forward probes a member for another node.
func (m *Machine) forward(now time.Time, event ProbeReceived) {
	target := m.table.records[event.Probe.To]
	if target == nil {
		m.act(Reply{Token: event.Token, Ack: m.ack(event.Probe, nil)})
		return
	}
	m.send(now, target.ID, target.ControlAddress, pendingProbe{kind: kindForward, reply: event.Token}, Probe{})
}

// reconnect tries a node that is gone, or a seed that is no member, so that a
// split domain finds itself again.
func (m *Machine) reconnect(now time.Time) {
	m.prober.rounds++
	if m.prober.rounds%reconnectProbes != 0 {
		return
	}
	var gone []Seed
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.State == Dead {
			gone = append(gone, Seed{ID: r.ID, Domain: r.Domain, ControlAddress: r.ControlAddress})
		}
	}
	gone = append(gone, m.absentSeeds()...)
	if len(gone) == 0 {
		return
	}
	pick := gone[m.random.IntN(len(gone))]
	m.send(now, "", pick.ControlAddress, pendingProbe{kind: kindReconnect}, Probe{Members: m.recordsOf(pick.ID, m.self.ID), BucketDigests: m.bucketDigests()})
}

// reachOutside looks for contact with another domain while this part of the own
// domain does not hold at least half of it.
func (m *Machine) reachOutside(now time.Time) {
	if !m.NeedsExternalContact() {
		return
	}
	var others []*record
	for _, r := range m.table.sorted() {
		if r.Domain != m.self.Domain && r.State.live() {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return
	}
	pick := others[m.random.IntN(len(others))]
	m.send(now, pick.ID, pick.ControlAddress, pendingProbe{kind: kindOutside}, Probe{Members: m.recordsOf(m.self.ID)})
}
