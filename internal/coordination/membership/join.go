package membership

import (
	"slices"
	"time"
)

// join is the state of this node's search for the fleet, and of the limit on the full
// tables that it sends to other joining nodes.
type join struct {
	seeds []Seed
	index map[seedKey]int
	// tableReceived is set when a full table has been received, at tableReceivedAt.
	tableReceived   bool
	tableReceivedAt time.Time
	nextAttempt     time.Time
	backoff         int
	// fullTableTokens is a token bucket that limits the full tables sent to joining
	// nodes; tokensRefilledAt is when it was last updated.
	fullTableTokens  float64
	tokensRefilledAt time.Time
}

// takeFullTableToken takes a token for one full table, or returns false when none
// is left.
func (j *join) takeFullTableToken(now time.Time) bool {
	elapsed := now.Sub(j.tokensRefilledAt).Seconds()
	j.tokensRefilledAt = now
	j.fullTableTokens = min(fullTablesPerSecond, j.fullTableTokens+max(elapsed, 0)*fullTablesPerSecond)
	if j.fullTableTokens < 1 {
		return false
	}
	j.fullTableTokens--
	return true
}

// seedKey identifies a seed: by ID and address if it comes from the settings, by
// ID alone if it comes from the platform, where a later incarnation replaces an
// earlier one.
type seedKey struct {
	id, address string
}

func (m *Machine) addSeeds(seeds []Seed) {
	for _, seed := range seeds {
		if seed.ControlAddress == m.self.ControlAddress {
			continue
		}
		key := seedKey{id: seed.ID}
		if seed.Incarnation == 0 {
			key.address = seed.ControlAddress
		}
		at, known := m.join.index[key]
		switch {
		case known && seed.Incarnation > m.join.seeds[at].Incarnation:
			m.join.seeds[at] = seed
		case !known && len(m.join.seeds) < maxSeeds:
			m.join.nextAttempt, m.join.backoff = time.Time{}, 0
			m.join.index[key] = len(m.join.seeds)
			m.join.seeds = append(m.join.seeds, seed)
		}
	}
}

// joinWhenDue asks seeds and known nodes for a full table until one is received,
// with exponential backoff and jitter.
func (m *Machine) joinWhenDue(now time.Time) {
	if m.join.tableReceived || now.Before(m.join.nextAttempt) {
		return
	}
	m.join.backoff = min(max(1, m.join.backoff*2), maxJoinBackoff)
	delay := time.Duration(m.join.backoff) * m.settings.ProbeInterval
	m.join.nextAttempt = now.Add(delay/2 + m.jitter(delay))
	for _, seed := range m.joinTargets() {
		m.send(now, "", seed.ControlAddress, pendingProbe{kind: kindJoin}, Probe{FullTable: true, Members: m.recordsOf(m.self.ID)})
	}
}

// joinTargets returns a few nodes to join through, those of the local domain
// first.
func (m *Machine) joinTargets() []Seed {
	targets := m.absentSeeds()
	for _, r := range m.table.sorted() {
		if r.ID != m.self.ID && r.State.live() {
			targets = append(targets, Seed{ID: r.ID, Domain: r.Domain, ControlAddress: r.ControlAddress})
		}
	}
	m.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	slices.SortStableFunc(targets, func(a, b Seed) int { return m.domainOrder(a) - m.domainOrder(b) })
	// The last target is drawn from all remaining ones, other domains included,
	// so that a domain whose own seeds are all gone still finds the fleet.
	if count := len(targets); count > joinProbes {
		targets[joinProbes-1] = targets[joinProbes-1+m.random.IntN(count-joinProbes+1)]
		targets = targets[:joinProbes]
	}
	return targets
}

func (m *Machine) domainOrder(seed Seed) int {
	if seed.Domain == m.self.Domain {
		return 0
	}
	return 1
}

// absentSeeds returns the seeds through which unknown nodes may be found: those
// that are not live members, and those that name a later or unknown process at
// another address.
func (m *Machine) absentSeeds() []Seed {
	var absent []Seed
	for _, seed := range m.join.seeds {
		if m.absent(seed) {
			absent = append(absent, seed)
		}
	}
	return absent
}

func (m *Machine) absent(seed Seed) bool {
	r := m.table.records[seed.ID]
	if r == nil || !r.State.live() {
		return true
	}
	notLater := seed.Incarnation != 0 && seed.Incarnation <= r.Incarnation
	return seed.ControlAddress != r.ControlAddress && !notLater
}

// hasLocalDomainSeeds reports whether a seed names another node of the local
// domain.
func (m *Machine) hasLocalDomainSeeds() bool {
	return slices.ContainsFunc(m.join.seeds, func(seed Seed) bool {
		return seed.Domain == m.self.Domain && seed.ID != m.self.ID
	})
}

// recordJoinAck ends the search if the ack appears to hold a full table. The sign of
// one is the sender's own record: the random peers that fullTable returns above its
// rate limit do not include the sender. A piggybacked record of the sender is taken
// for a full table too.
func (m *Machine) recordJoinAck(now time.Time, ack Ack) {
	if m.join.tableReceived {
		return
	}
	for _, member := range ack.Members {
		if member.ID == ack.From {
			m.join.tableReceived, m.join.tableReceivedAt = true, now
		}
	}
}
