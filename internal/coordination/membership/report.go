package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// receivedSummary is a summary with the earliest time at which it can have been
// made.
type receivedSummary struct {
	Summary
	notBefore time.Time
}

// requestSummaries gathers summaries for a while, since someone reads them.
func (m *Machine) requestSummaries(now time.Time) {
	if !m.relay.pullUntil.After(now) {
		m.relay.nextPull = now
	}
	m.relay.pullUntil = now.Add(collectPeriod)
	m.collectSummaries(now)
	m.pullSummariesWhenDue(now)
}

// collectSummaries makes this node, when it is a relay, ask the other domains.
func (m *Machine) collectSummaries(now time.Time) {
	begins := !m.collectUntil.After(now)
	m.collectUntil = now.Add(collectPeriod)
	if !begins || !m.isRelay() {
		return
	}
	for _, domain := range m.table.domains() {
		if domain != m.self.Domain {
			m.linkTo(now, domain).lastExchange = time.Time{}
		}
	}
	m.relayWhenDue(now)
}

// pullSummariesWhenDue asks the own domain's relays for what they hold.
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

// storeSummaries keeps the later ones of what an answer carried. A summary
// cannot be older than the probe that it answers, less its own age.
func (m *Machine) storeSummaries(sent *pendingProbe, summaries []Summary) {
	for _, s := range summaries {
		if s.Reporter == m.self.ID || s.Reporter == "" {
			continue
		}
		made := sent.sentAt.Add(-s.Age)
		held, known := m.receivedSummaries[s.Reporter]
		if !known || s.Sequence > held.Sequence || s.Sequence == held.Sequence && made.After(held.notBefore) {
			m.receivedSummaries[s.Reporter] = receivedSummary{Summary: s, notBefore: made}
		}
	}
}

// summariesFor returns what a prober may rely on: a node of the own domain gets
// all that are held, a relay of another the account of this domain.
func (m *Machine) summariesFor(now time.Time, from string) []Summary {
	r := m.table.records[from]
	if r == nil || r.Domain != m.self.Domain {
		return m.ownSummary(now)
	}
	m.collectSummaries(now)
	return m.Summaries(now)
}

// Summaries returns the summaries that this node holds, ordered by domain and
// reporter, the own one included when this node is a relay. A known domain of
// which none is held has one without a reporter and with an age that confirms
// nothing.
func (m *Machine) Summaries(now time.Time) []Summary {
	summaries := m.ownSummary(now)
	for reporter, held := range m.receivedSummaries {
		age := now.Sub(held.notBefore)
		if age > summaryRetention {
			delete(m.receivedSummaries, reporter)
			continue
		}
		s := held.Summary
		s.Age = age
		summaries = append(summaries, s)
	}
	summaries = append(summaries, m.domainsWithoutSummary(summaries)...)
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Reporter, b.Reporter))
	})
	return summaries
}

// domainsWithoutSummary returns a summary without a reporter, too old to confirm
// anything, for each known domain that has none.
func (m *Machine) domainsWithoutSummary(heard []Summary) []Summary {
	known := make(map[string]bool)
	for _, r := range m.table.sorted() {
		if r.State != Left {
			known[r.Domain] = true
		}
	}
	for _, seed := range m.join.seeds {
		known[seed.Domain] = true
	}
	for _, s := range heard {
		delete(known, s.Domain)
	}
	var unheard []Summary
	for domain := range known {
		unheard = append(unheard, Summary{Domain: domain, Age: summaryRetention})
	}
	return unheard
}

// ownSummary is this node's account of its domain; empty when it is no relay,
// or has not gathered positions for long enough.
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
		if r.forgotten && r.State == Dead {
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

// isReporter isReporter whether this node accounts for its domain. A new process
// waits until a former one of its ID, of which it knows nothing, can no longer
// serve, and until the domain that it found had time to find the rest; one that
// never found its domain does not know whom to count.
func (m *Machine) isReporter(now time.Time) bool {
	if m.relay.since.IsZero() || m.replaced {
		return false
	}
	grace := reporterWarmUp
	if m.table.hasDead() {
		grace = max(grace, m.settings.FenceTimeout)
	}
	if now.Sub(m.relay.since) < grace {
		return false
	}
	settled := now.Sub(later(m.startedAt, m.join.doneAt)) >= m.settings.ForgetTimeout
	return settled && (m.join.done || !m.hasOwnDomainSeeds())
}

// leastPosition returns the lowest position that a counted member may run.
func (m *Machine) leastPosition(now time.Time) uint64 {
	least := m.version.Position
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.isCounted() {
			least = min(least, m.positionOf(now, r))
		}
	}
	return least
}

// sample is the least position at a time.
type sample struct {
	at    time.Time
	least uint64
}

// sampleLeastPosition keeps the least positions of the last fence timeout.
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

// confirmedPosition is the position that this node reports. While a node of the
// fleet is dead, one that was cut off may serve on contact that it had up to a
// fence timeout ago, so the domain must have run the position for that long.
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
// present process or in a replaced one that its fence has not stopped yet.
func (m *Machine) positionOf(now time.Time, r *record) uint64 {
	if r.ID == m.self.ID {
		return m.version.Position
	}
	if !r.replacedAt.IsZero() && now.Sub(r.replacedAt) < m.settings.ForgetTimeout {
		return min(r.position, r.replacedPosition)
	}
	return r.position
}

// laggards names the members that run the least version while others run a
// later one, and those that are not heard.
func (m *Machine) laggards(now time.Time, least, greatest uint64) []string {
	var named []string
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if !r.isCounted() {
			continue
		}
		behind := least < greatest && m.positionOf(now, r) == least
		if behind || !r.State.live() {
			named = appendListed(named, r.ID)
		}
	}
	return named
}

func appendListed(names []string, name string) []string {
	if len(names) >= maxListedMembers {
		return names
	}
	return append(names, name)
}
