package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// relay exchanges with the other domains while this node is a relay of its own.
type relay struct {
	domains map[string]*relayLink
	// since is when this node became a relay; zero while it is none.
	since time.Time
	// wanted is until when this node's own reader wants summaries, pullAt when
	// the relays are asked next.
	wanted time.Time
	pullAt time.Time
	// samples are the least positions of the last fence timeout, in order.
	samples []sample
	// chosen holds each domain's relays as of the table's epoch.
	chosen map[string][]*record
	epoch  uint64
}

// relayLink is the exchange with one other domain.
type relayLink struct {
	// last is when the last exchange began.
	last time.Time
	// turn picks among the other domain's relays.
	turn int
	// failed counts exchanges in a row without an answer.
	failed int
	// changes are the own domain's members that changed since the last answer.
	changes map[string]struct{}
}

// changed notes a change that the other domains have to learn.
func (r *relay) changed(id string) {
	for _, link := range r.domains {
		link.changes[id] = struct{}{}
	}
}

// relaysOf returns the live nodes of a domain that come first by rendezvous
// hash. The caller does not change the result.
func (m *Machine) relaysOf(domain string) []*record {
	if m.relay.epoch != m.table.epoch || m.relay.chosen == nil {
		m.relay.epoch = m.table.epoch
		m.relay.chosen = make(map[string][]*record)
	}
	chosen, known := m.relay.chosen[domain]
	if !known {
		chosen = m.chooseRelays(domain)
		m.relay.chosen[domain] = chosen
	}
	return chosen
}

func (m *Machine) chooseRelays(domain string) []*record {
	var live []*record
	for _, r := range m.table.sortedDomain(domain) {
		if r.State.live() {
			live = append(live, r)
		}
	}
	slices.SortStableFunc(live, func(a, b *record) int { return cmp.Compare(a.rank, b.rank) })
	return slices.Clip(live[:min(m.settings.Relays, len(live))])
}

// rankOf orders the members of a domain by highest random weight (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).
func rankOf(m Member) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, m.ID...)
	buffer = append(buffer, 0)
	buffer = append(buffer, m.Domain...)
	return xxhash.Sum64(buffer)
}

// isRelay reports whether this node is a relay of its domain.
func (m *Machine) isRelay() bool {
	for _, r := range m.relaysOf(m.self.Domain) {
		if r.ID == m.self.ID {
			return true
		}
	}
	return false
}

// relayWhenDue exchanges with each other domain on its schedule.
func (m *Machine) relayWhenDue(now time.Time) {
	if m.self.State == Left || !m.isRelay() {
		m.relay.since, m.relay.samples = time.Time{}, nil
		return
	}
	if m.relay.since.IsZero() {
		m.relay.since = now
	}
	m.sampleLeast(now)
	for _, domain := range m.table.domains() {
		if domain == m.self.Domain {
			continue
		}
		link := m.link(now, domain)
		if now.Sub(link.last) >= m.relayPause(now, link) {
			m.exchange(now, domain, link)
		}
	}
}

func (m *Machine) link(now time.Time, domain string) *relayLink {
	link := m.relay.domains[domain]
	if link == nil {
		link = &relayLink{last: now.Add(-m.jitter(m.settings.RelayInterval)), changes: make(map[string]struct{})}
		m.relay.domains[domain] = link
	}
	return link
}

// relayPause is how long this relay waits between two exchanges with a domain.
func (m *Machine) relayPause(now time.Time, link *relayLink) time.Duration {
	pause := m.settings.RelayInterval * time.Duration(m.settings.Relays)
	switch {
	case link.failed > 0:
		return pause
	case len(link.changes) > 0:
		return m.settings.RelayInterval
	case m.demand.After(now) && m.smallFleet():
		return m.settings.RelayInterval / demandSpeedUp
	case m.demand.After(now):
		return pause
	default:
		return pause * idleRelayFactor
	}
}

// smallFleet reports whether few domains make it cheap to ask them often.
func (m *Machine) smallFleet() bool { return len(m.table.domains()) <= smallFleetDomains+1 }

// exchange sends the changes of the own domain to nodes of the other.
func (m *Machine) exchange(now time.Time, domain string, link *relayLink) {
	link.last = now
	wanted := m.demand.After(now)
	count := 1
	if wanted && m.smallFleet() {
		count = m.settings.Relays
	}
	changes := link.take()
	for _, peer := range m.relayPeers(domain, link, count) {
		probe := Probe{Members: m.recordsOf(changes...), WantSummaries: wanted}
		m.send(now, peer.ID, peer.ControlAddress, pendingProbe{kind: kindRelay, incarnation: peer.Incarnation, domain: domain, changes: changes}, probe)
	}
}

// take returns up to a message's worth of changes; they come back when the
// exchange fails.
func (l *relayLink) take() []string {
	var ids []string
	for id := range l.changes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	ids = ids[:min(len(ids), maxCompared)]
	for _, id := range ids {
		delete(l.changes, id)
	}
	return ids
}

// relayPeers picks relays of the other domain in turn, or any of its nodes
// after a failure, since its relays may have changed unheard.
func (m *Machine) relayPeers(domain string, link *relayLink, count int) []*record {
	var live []*record
	for _, r := range m.table.sortedDomain(domain) {
		if r.State.live() {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		return nil
	}
	if link.failed > 0 {
		return []*record{live[m.random.IntN(len(live))]}
	}
	relays := m.relaysOf(domain)
	var peers []*record
	for i := range min(count, len(relays)) {
		peers = append(peers, relays[(link.turn+i)%len(relays)])
	}
	link.turn++
	return peers
}

func (m *Machine) relayFailed(now time.Time, sent *pendingProbe) {
	link := m.link(now, sent.domain)
	link.failed++
	for _, id := range sent.changes {
		link.changes[id] = struct{}{}
	}
}

// relayAnswered compares the tables when they differ.
func (m *Machine) relayAnswered(now time.Time, sent *pendingProbe, ack Ack) {
	m.link(now, sent.domain).failed = 0
	if ack.TableDigest == m.table.digest {
		return
	}
	m.send(now, ack.From, sent.address, pendingProbe{kind: kindOutside, incarnation: ack.FromIncarnation}, Probe{BucketDigests: m.bucketDigests()})
}
