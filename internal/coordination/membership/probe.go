package membership

import (
	"slices"
	"time"

	"jasminegate/internal/state"
)

// probeKind says why a probe was sent.
type probeKind uint8

const (
	kindDirect      probeKind = iota + 1 // regular probe of the local domain
	kindIndirect                         // request to an intermediary to probe a node
	kindForward                          // probe on behalf of another node
	kindRecords                          // records that the other node lacks
	kindJoin                             // request for the full table from a seed
	kindReconnect                        // attempt to reach a dead node or an absent seed
	kindCrossDomain                      // contact or table comparison with another domain
	kindRelay                            // periodic exchange between relays
	kindPull                             // request for summaries from a relay of the local domain
	kindLeave                            // notification that this node leaves
)

// pendingProbe is a probe that waits for its ack.
type pendingProbe struct {
	kind        probeKind
	to          string
	incarnation uint64
	address     string
	sentAt      time.Time
	deadline    time.Time
	version     state.Version
	// revision is that of this node's record in a probe that notifies a relay.
	revision uint64
	// round is the round that an indirect probe belongs to.
	round *indirectRound
	// forwardedToken is the token of the received probe that a kindForward probe
	// forwards.
	forwardedToken uint64
	// domain and changes are the other domain and the IDs of the records sent in
	// a kindRelay probe.
	domain  string
	changes []string
}

// indirectRound collects the results of the indirect probes of one member.
type indirectRound struct {
	target      string
	incarnation uint64
	// outstanding is how many intermediaries have not responded yet.
	outstanding int
	reached     bool
}

// peerStatus is the sender's state in a probe or ack.
type peerStatus struct {
	version state.Version
	load    uint32
}

// prober is the state of the probes of the local domain.
type prober struct {
	lastToken uint64
	pending   map[uint64]*pendingProbe
	// next is when the next probe is sent. scheduled is when it is due by the
	// regular schedule.
	next      time.Time
	scheduled time.Time
	// order is the shuffled list of member IDs of the current round; cursor is the
	// index of the next one.
	order  []string
	cursor int
	// relayNotices counts the consecutive probes that went to a relay ahead
	// of the round.
	relayNotices int
	// probeCount counts the probes of the local domain, for probesPerReconnect.
	probeCount int
	// mismatches counts the consecutive peers whose table digest differs.
	mismatches int
}

// expediteProbe moves the next probe earlier, so that updates are sent soon, unless
// this node has already probed maxProbesAhead intervals ahead of its schedule. Every
// probe moves the schedule on by one interval, so the mean probe rate stays the same.
func (m *Machine) expediteProbe(now time.Time) {
	limit := time.Duration(maxProbesAhead) * m.settings.ProbeInterval
	if m.prober.scheduled.Sub(now) >= limit {
		return
	}
	window := time.Duration(expediteFraction * float64(m.settings.ProbeInterval))
	expedited := now.Add(m.jitter(window))
	if expedited.Before(m.prober.next) {
		m.prober.next = expedited
	}
}

// jitter returns a random duration in [0, bound).
func (m *Machine) jitter(bound time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(max(bound, 1))))
}

func (m *Machine) probeWhenDue(now time.Time) {
	if m.prober.scheduled.IsZero() {
		m.prober.scheduled = now.Add(m.jitter(m.settings.ProbeInterval))
		m.prober.next = m.prober.scheduled
	}
	if now.Before(m.prober.next) {
		return
	}
	m.prober.scheduled = later(m.prober.scheduled, now).Add(m.settings.ProbeInterval)
	// After a late step, such as after a pause, probes sent ahead no longer count.
	if m.prober.next.Add(m.settings.ProbeInterval).Before(now) {
		m.prober.scheduled = now.Add(m.settings.ProbeInterval)
	}
	m.prober.next = m.prober.scheduled
	m.probeLocalDomain(now)
	m.reconnect(now)
	m.probeOtherDomain(now)
	if m.updates.hasPending() {
		m.expediteProbe(now)
	}
}

// probeLocalDomain probes one member: a relay that has not acknowledged this node's
// current version and record, or the next in the shuffled round. At most Relays
// consecutive probes go to relays ahead of the round.
func (m *Machine) probeLocalDomain(now time.Time) {
	if relay := m.relayToNotify(); relay != nil && m.prober.relayNotices < m.settings.Relays {
		m.prober.relayNotices++
		m.notifyRelay(now, relay)
		return
	}
	m.prober.relayNotices = 0
	target := m.nextInRound()
	if target == nil {
		return
	}
	m.send(now, target.ID, target.ControlAddress, pendingProbe{kind: kindDirect, incarnation: target.Incarnation}, m.comparison())
}

// comparison returns a probe. It carries the bucket digests if the table digests
// of mismatchesBeforeCompare consecutive peers differed.
func (m *Machine) comparison() Probe {
	if m.prober.mismatches < mismatchesBeforeCompare {
		return Probe{}
	}
	m.prober.mismatches = 0
	return Probe{BucketDigests: m.bucketDigests()}
}

// nextInRound returns the next live member of the local domain in the shuffled
// round; each member is returned once per round.
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

// livePeers returns the other live members of the local domain, ordered by ID.
func (m *Machine) livePeers() []*record {
	var peers []*record
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.ID != m.self.ID && r.State.live() {
			peers = append(peers, r)
		}
	}
	return peers
}

// randomPeers returns up to count random alive, unsuspected members of the local
// domain, excluding this node and the given ID.
func (m *Machine) randomPeers(count int, except string) []*record {
	var peers []*record
	for _, r := range m.livePeers() {
		if r.ID != except && r.State == Alive {
			peers = append(peers, r)
		}
	}
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// send fills in the fields that all probes have, and sends the probe.
func (m *Machine) send(now time.Time, to, address string, sent pendingProbe, probe Probe) {
	timeout := m.settings.ProbeTimeout
	switch sent.kind {
	case kindIndirect:
		timeout *= 2
	case kindJoin:
		timeout = max(timeout, fullTableTimeout)
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
	m.emit(SendProbe{Token: m.prober.lastToken, Address: address, Probe: probe, Timeout: timeout})
}

// expireProbes fails the probes whose result was not reported in time.
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

// probeFailed handles a probe without an ack. A failure of a kind without a case needs
// no handling: such probes are sent again when they are next due.
func (m *Machine) probeFailed(now time.Time, token uint64) {
	sent := m.prober.pending[token]
	if sent == nil {
		return
	}
	delete(m.prober.pending, token)
	switch sent.kind {
	case kindDirect, kindRecords:
		m.probeIndirectly(now, sent)
	case kindIndirect:
		m.finishIndirect(now, sent.round, false)
	case kindForward:
		m.emit(RespondToProbe{Token: sent.forwardedToken, Ack: m.ack(Probe{}, nil)})
	case kindRelay:
		m.relayFailed(now, sent)
	case kindLeave:
		m.emit(LeaveCompleted{})
	}
}

// probeIndirectly asks other nodes to probe a member that did not respond to this
// node, or suspects it if there are none to ask.
func (m *Machine) probeIndirectly(now time.Time, sent *pendingProbe) {
	target := m.table.records[sent.to]
	if target == nil || target.Incarnation != sent.incarnation || target.State != Alive {
		return
	}
	if target.Domain != m.self.Domain {
		return
	}
	intermediaries := m.randomPeers(indirectProbes, sent.to)
	if len(intermediaries) == 0 {
		m.suspect(now, sent.to, sent.incarnation)
		return
	}
	round := &indirectRound{target: sent.to, incarnation: sent.incarnation, outstanding: len(intermediaries)}
	for _, intermediary := range intermediaries {
		probe := Probe{To: sent.to, Via: intermediary.ID}
		m.send(now, intermediary.ID, intermediary.ControlAddress, pendingProbe{kind: kindIndirect, round: round}, probe)
	}
}

// finishIndirect records one intermediary's result, and suspects the target once
// all have responded and none reached it.
func (m *Machine) finishIndirect(now time.Time, round *indirectRound, reached bool) {
	round.outstanding--
	round.reached = round.reached || reached
	if round.outstanding == 0 && !round.reached {
		m.suspect(now, round.target, round.incarnation)
	}
}

// forward probes a member on behalf of another node.
func (m *Machine) forward(now time.Time, event ProbeReceived) {
	target := m.table.records[event.Probe.To]
	if target == nil {
		m.emit(RespondToProbe{Token: event.Token, Ack: m.ack(event.Probe, nil)})
		return
	}
	m.send(now, target.ID, target.ControlAddress, pendingProbe{kind: kindForward, forwardedToken: event.Token}, Probe{})
}

// reconnect tries a dead member or an absent seed once every probesPerReconnect
// probes, so that the partitions of a split domain merge again once they can connect.
func (m *Machine) reconnect(now time.Time) {
	m.prober.probeCount++
	if m.prober.probeCount%probesPerReconnect != 0 {
		return
	}
	var candidates []Seed
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.State == Dead {
			candidates = append(candidates, Seed{ID: r.ID, Domain: r.Domain, ControlAddress: r.ControlAddress})
		}
	}
	candidates = append(candidates, m.absentSeeds()...)
	if len(candidates) == 0 {
		return
	}
	pick := candidates[m.random.IntN(len(candidates))]
	m.send(now, "", pick.ControlAddress, pendingProbe{kind: kindReconnect}, Probe{Members: m.recordsOf(pick.ID, m.self.ID), BucketDigests: m.bucketDigests()})
}

// probeOtherDomain seeks contact with another domain while Serving depends on
// it.
func (m *Machine) probeOtherDomain(now time.Time) {
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
	m.send(now, pick.ID, pick.ControlAddress, pendingProbe{kind: kindCrossDomain}, Probe{Members: m.recordsOf(m.self.ID)})
}
