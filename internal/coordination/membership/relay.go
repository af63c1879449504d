package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// relay is the state of the exchanges with other domains, of the requests for
// summaries, and of the choice of relays.
type relay struct {
	// domains are the other domains with which this node has exchanged as a relay.
	domains map[string]*relayLink
	// since is when this node became a relay; zero while it is not one.
	since time.Time
	// pullUntil is the end of the period in which this node, relay or not, requests
	// summaries from the local domain's relays for a local client; nextPull is the
	// time of the next request.
	pullUntil time.Time
	nextPull  time.Time
	// samples are the least positions within the last fence timeout, oldest first;
	// empty while this node is not a relay.
	samples []sample
	// chosen caches the relays of each domain for the table epoch.
	chosen map[string][]*record
	epoch  uint64
}

// relayLink is the state of the exchanges with one other domain.
type relayLink struct {
	// lastExchange is the start of the last exchange.
	lastExchange time.Time
	// nextRelay is the round-robin index into the other domain's relays.
	nextRelay int
	// failures counts the probes of exchanges that failed since the last ack.
	failures int
	// changes are the IDs of the local domain's members whose records changed since
	// they were last sent; those of a failed exchange are added again.
	changes map[string]struct{}
}

// recordChange marks a member's record to be sent to all other domains.
func (r *relay) recordChange(id string) {
	for _, link := range r.domains {
		link.changes[id] = struct{}{}
	}
}

// relaysOf returns the relays of a domain: its first live nodes by rendezvous
// hash. The result must not be modified.
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

// rankOf returns the rendezvous hash of a member (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998). The live members of a domain with
// the lowest ranks are its relays.
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

// relayWhenDue starts the exchanges with other domains that are due.
func (m *Machine) relayWhenDue(now time.Time) {
	if m.self.State == Left || !m.isRelay() {
		m.relay.since, m.relay.samples = time.Time{}, nil
		return
	}
	if m.relay.since.IsZero() {
		m.relay.since = now
	}
	m.sampleLeastPosition(now)
	for _, domain := range m.table.domains() {
		if domain == m.self.Domain {
			continue
		}
		link := m.linkTo(now, domain)
		if now.Sub(link.lastExchange) >= m.exchangeInterval(now, link) {
			m.exchange(now, domain, link)
		}
	}
}

func (m *Machine) linkTo(now time.Time, domain string) *relayLink {
	link := m.relay.domains[domain]
	if link == nil {
		link = &relayLink{lastExchange: now.Add(-m.jitter(m.settings.RelayInterval)), changes: make(map[string]struct{})}
		m.relay.domains[domain] = link
	}
	return link
}

// exchangeInterval returns the time between two exchanges of this relay with a
// domain. The base is RelayInterval times the number of relays, since each of them
// exchanges. It applies after a failure, and while a fleet of many domains collects
// summaries. The interval is shorter while there are updates to send or a fleet of
// few domains collects summaries, and idleRelayFactor times the base otherwise.
func (m *Machine) exchangeInterval(now time.Time, link *relayLink) time.Duration {
	base := m.settings.RelayInterval * time.Duration(m.settings.Relays)
	switch {
	case link.failures > 0:
		return base
	case len(link.changes) > 0:
		return m.settings.RelayInterval
	case m.collectUntil.After(now) && m.hasFewDomains():
		return m.settings.RelayInterval / activeRelayDivisor
	case m.collectUntil.After(now):
		return base
	default:
		return base * idleRelayFactor
	}
}

// hasFewDomains reports whether the other domains are few enough to ask all their
// relays often.
func (m *Machine) hasFewDomains() bool { return len(m.table.domains()) <= fewDomains+1 }

// exchange sends the changed records of the local domain to relays of the other
// domain, or to a random node of it after a failure. While summaries are collected,
// it also requests theirs.
func (m *Machine) exchange(now time.Time, domain string, link *relayLink) {
	link.lastExchange = now
	wanted := m.collectUntil.After(now)
	count := 1
	if wanted && m.hasFewDomains() {
		count = m.settings.Relays
	}
	changes := link.takeChanges()
	for _, peer := range m.relayPeers(domain, link, count) {
		probe := Probe{Members: m.recordsOf(changes...), WantSummaries: wanted}
		m.send(now, peer.ID, peer.ControlAddress, pendingProbe{kind: kindRelay, incarnation: peer.Incarnation, domain: domain, changes: changes}, probe)
	}
}

// takeChanges removes and returns up to maxComparedRecords changes. relayFailed
// puts them back.
func (l *relayLink) takeChanges() []string {
	var ids []string
	for id := range l.changes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	ids = ids[:min(len(ids), maxComparedRecords)]
	for _, id := range ids {
		delete(l.changes, id)
	}
	return ids
}

// relayPeers picks relays of the other domain round-robin, or a random live node
// after a failure, since the domain's relays may have changed in the meantime.
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
	if link.failures > 0 {
		return []*record{live[m.random.IntN(len(live))]}
	}
	relays := m.relaysOf(domain)
	var peers []*record
	for i := range min(count, len(relays)) {
		peers = append(peers, relays[(link.nextRelay+i)%len(relays)])
	}
	link.nextRelay++
	return peers
}

func (m *Machine) relayFailed(now time.Time, sent *pendingProbe) {
	link := m.linkTo(now, sent.domain)
	link.failures++
	for _, id := range sent.changes {
		link.changes[id] = struct{}{}
	}
}

// relayAcked starts a table comparison if the digests differ.
func (m *Machine) relayAcked(now time.Time, sent *pendingProbe, ack Ack) {
	m.linkTo(now, sent.domain).failures = 0
	if ack.TableDigest == m.table.digest {
		return
	}
	m.send(now, ack.From, sent.address, pendingProbe{kind: kindCrossDomain, incarnation: ack.FromIncarnation}, Probe{BucketDigests: m.bucketDigests()})
}
