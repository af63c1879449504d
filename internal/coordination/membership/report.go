package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// receivedSummary is a summary from another node. notBefore is the earliest time
// at which it can have been made.
type receivedSummary struct {
	Summary
	notBefore time.Time
}

// requestSummaries starts both steps of collecting summaries for a local client, each
// for collectPeriod: this node, if it is a relay, collects those of other domains,
// and it pulls those that the local domain's relays have.
func (m *Machine) requestSummaries(now time.Time) {
	if !m.relay.pullUntil.After(now) {
		m.relay.nextPull = now
	}
	m.relay.pullUntil = now.Add(collectPeriod)
	m.collectSummaries(now)
	m.pullSummariesWhenDue(now)
}

// collectSummaries makes this node collect the summaries of other domains for
// collectPeriod, if it is a relay.
func (m *Machine) collectSummaries(now time.Time) {
	starts := !m.collectUntil.After(now)
	m.collectUntil = now.Add(collectPeriod)
	if !starts || !m.isRelay() {
		return
	}
	for _, domain := range m.table.domains() {
		if domain != m.self.Domain {
			m.linkTo(now, domain).lastExchange = time.Time{}
		}
	}
	m.relayWhenDue(now)
}

// pullSummariesWhenDue asks the local domain's relays for their summaries.
func (m *Machine) pullSummariesWhenDue(now time.Time) {
	if !m.relay.pullUntil.After(now) || now.Before(m.relay.nextPull) {
		return
	}
	m.relay.nextPull = now.Add(m.settings.RelayInterval / activeRelayDivisor)
	for _, r := range m.relaysOf(m.self.Domain) {
		if r.ID != m.self.ID {
			m.send(now, r.ID, r.ControlAddress, pendingProbe{kind: kindPull, incarnation: r.Incarnation}, Probe{WantSummaries: true})
		}
	}
}

// storeSummaries stores the summaries of an ack that are later than the stored
// ones. A summary was made no earlier than its Age before the probe was sent.
func (m *Machine) storeSummaries(sent *pendingProbe, summaries []Summary) {
	for _, s := range summaries {
		if s.Reporter == m.self.ID || s.Reporter == "" {
			continue
		}
		notBefore := sent.sentAt.Add(-s.Age)
		stored, known := m.receivedSummaries[s.Reporter]
		if !known || s.Sequence > stored.Sequence || s.Sequence == stored.Sequence && notBefore.After(stored.notBefore) {
			m.receivedSummaries[s.Reporter] = receivedSummary{Summary: s, notBefore: notBefore}
		}
	}
}

// summariesFor returns the summaries for a prober: all known ones for a node of
// the local domain, and this relay's own summary for any other node.
func (m *Machine) summariesFor(now time.Time, from string) []Summary {
	r := m.table.records[from]
	if r == nil || r.Domain != m.self.Domain {
		return m.ownSummary(now)
	}
	m.collectSummaries(now)
	return m.Summaries(now)
}

// Summaries returns the summaries that this node has, ordered by domain and
// reporter, including its own if it is a relay that reports. For a known domain
// without a summary it returns one without a reporter whose age is too great to
// confirm a version.
func (m *Machine) Summaries(now time.Time) []Summary {
	summaries := m.ownSummary(now)
	for reporter, stored := range m.receivedSummaries {
		age := now.Sub(stored.notBefore)
		if age > summaryRetention {
			delete(m.receivedSummaries, reporter)
			continue
		}
		s := stored.Summary
		s.Age = age
		summaries = append(summaries, s)
	}
	summaries = append(summaries, m.domainsWithoutSummary(summaries)...)
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Reporter, b.Reporter))
	})
	return summaries
}

// domainsWithoutSummary returns, for each known domain that has no summary, one
// without a reporter that is too old to confirm a version.
func (m *Machine) domainsWithoutSummary(present []Summary) []Summary {
	known := make(map[string]bool)
	for _, r := range m.table.sorted() {
		if r.State != Left {
			known[r.Domain] = true
		}
	}
	for _, seed := range m.join.seeds {
		known[seed.Domain] = true
	}
	for _, s := range present {
		delete(known, s.Domain)
	}
	var missing []Summary
	for domain := range known {
		missing = append(missing, Summary{Domain: domain, Age: summaryRetention})
	}
	return missing
}

// ownSummary returns this node's summary of its domain, or none if isReporter
// returns false.
func (m *Machine) ownSummary(now time.Time) []Summary {
	if !m.isReporter(now) {
		return nil
	}
	s := Summary{
		Domain:        m.self.Domain,
		Reporter:      m.self.ID,
		Sequence:      uint64(now.UnixNano()),
		LeastPosition: m.confirmedPosition(now),
		Age:           max(0, now.Sub(m.lastStep)),
	}
	least, greatest := m.leastPosition(now), m.version.Position
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.uncounted && r.State == Dead {
			s.LeftOut = appendListed(s.LeftOut, fmt.Sprintf("%s: not heard for %v", r.ID, m.settings.ForgetTimeout))
		}
		if !r.isCounted() {
			continue
		}
		s.Members++
		greatest = max(greatest, m.positionOf(now, r))
	}
	s.Laggards = m.laggards(now, least, greatest)
	return []Summary{s}
}

// isReporter reports whether this node issues summaries of its domain. A new relay
// first gathers positions for reporterWarmUp, or for the fence timeout if that is
// longer and any member is dead. After its start and its join, a new process waits
// for the forget timeout: until then an earlier process of its ID, unknown to this
// one, may still serve, and the domain may not have found all its members. A
// process that has seeds of its domain but has not joined does not know which
// members to count.
func (m *Machine) isReporter(now time.Time) bool {
	if m.relay.since.IsZero() || m.replaced {
		return false
	}
	warmUp := reporterWarmUp
	if m.table.hasDead() {
		warmUp = max(warmUp, m.settings.FenceTimeout)
	}
	if now.Sub(m.relay.since) < warmUp {
		return false
	}
	settled := now.Sub(later(m.startedAt, m.join.tableReceivedAt)) >= m.settings.ForgetTimeout
	return settled && (m.join.tableReceived || !m.hasLocalDomainSeeds())
}

// leastPosition returns the lowest position that a counted member may still run.
func (m *Machine) leastPosition(now time.Time) uint64 {
	least := m.version.Position
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.isCounted() {
			least = min(least, m.positionOf(now, r))
		}
	}
	return least
}

// sample is the least position of the domain at a point in time.
type sample struct {
	at    time.Time
	least uint64
}

// sampleLeastPosition samples the least position and drops samples older than the
// fence timeout.
func (m *Machine) sampleLeastPosition(now time.Time) {
	samples := m.relay.samples
	if count := len(samples); count > 0 && now.Sub(samples[count-1].at) < sampleInterval {
		return
	}
	samples = append(samples, sample{at: now, least: m.leastPosition(now)})
	begin := now.Add(-m.settings.FenceTimeout)
	for len(samples) > 1 && !samples[1].at.After(begin) {
		samples = samples[1:]
	}
	m.relay.samples = samples
}

// confirmedPosition returns the position that this node reports for its domain.
// While any member of the fleet is dead, an isolated node may still serve on
// contact that it had up to a fence timeout ago. The result is then the lowest
// position sampled within that time.
func (m *Machine) confirmedPosition(now time.Time) uint64 {
	least := m.leastPosition(now)
	if !m.table.hasDead() {
		return least
	}
	for _, s := range m.relay.samples {
		least = min(least, s.least)
	}
	return least
}

// positionOf returns the lowest position that the member may still run, in its
// current process or in a replaced one that may not be fenced yet.
func (m *Machine) positionOf(now time.Time, r *record) uint64 {
	if r.ID == m.self.ID {
		return m.version.Position
	}
	if !r.replacedAt.IsZero() && now.Sub(r.replacedAt) < m.settings.ForgetTimeout {
		return min(r.position, r.replacedPosition)
	}
	return r.position
}

// laggards returns the IDs of the counted members that run the least version
// while others run a later one, and of those that are dead.
func (m *Machine) laggards(now time.Time, least, greatest uint64) []string {
	var ids []string
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if !r.isCounted() {
			continue
		}
		behind := least < greatest && m.positionOf(now, r) == least
		if behind || !r.State.live() {
			ids = appendListed(ids, r.ID)
		}
	}
	return ids
}

func appendListed(names []string, name string) []string {
	if len(names) >= maxListedMembers {
		return names
	}
	return append(names, name)
}
