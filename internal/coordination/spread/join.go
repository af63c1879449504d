package spread

import "time"

// join is how a starting node comes to serve. It serves only once it has folded
// the tickets stream to the end that the platform reported after the start: no
// earlier process of this node can have run a later configuration.
type join struct {
	begun  time.Time
	joined bool
	bounds attempt
	// known says that floor is known.
	known bool
	floor int64
	// patience is when a node that is no reader stops to wait for peers.
	patience time.Time
	// installed is the position that the node serves with.
	installed uint64
}

func (m *Machine) begin(now time.Time) {
	if !m.join.begun.IsZero() {
		return
	}
	m.join.begun = now
	spread := joinJitter
	if m.options.CompactedLog {
		spread = keyedJoinJitter
	}
	m.join.bounds.notBefore = now.Add(jitter(m.random, spread))
}

func (m *Machine) wantFloor(now time.Time) {
	if m.join.known || !m.ready(now, &m.join.bounds) {
		return
	}
	m.join.bounds.running = true
	if m.options.CompactedLog {
		m.do(ReadNewestTicket{ForJoin: true})
		return
	}
	m.do(ReadBounds{Stream: StreamTickets})
}

func (m *Machine) takeFloor(now time.Time, next int64) {
	m.join.bounds.succeeded()
	if m.join.known {
		return
	}
	m.join.known = true
	m.join.floor = next
	m.join.patience = now.Add(joinPatience + jitter(m.random, joinPatience))
	m.settleJoin()
}

// settleJoin installs the folded configuration once the floor is reached, and
// each later one.
func (m *Machine) settleJoin() {
	if !m.join.known || m.fold.NextOffset() < m.join.floor {
		return
	}
	if m.options.CompactedLog && m.position() == 0 {
		return // the operators have not written a configuration yet
	}
	if m.join.joined && m.position() <= m.join.installed {
		return
	}
	m.join.joined = true
	m.join.installed = m.position()
	m.do(Install{Snapshot: m.fold.Snapshot()})
}

// wantsPlatform reports whether this node reads the tickets stream: as a reader,
// or to join when peers do not bring it to the floor.
func (m *Machine) wantsPlatform(now time.Time) bool {
	reader := m.roster.reader(m.options.Readers)
	switch {
	case !m.join.known:
		return false
	case m.join.joined:
		return reader
	case m.roster.alone():
		return m.due(now, m.join.begun.Add(aloneDelay))
	default:
		return reader || m.due(now, m.join.patience)
	}
}
