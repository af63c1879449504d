package spread

import "time"

// joinState is how a starting node comes to serve. It serves only once it has folded
// the tickets stream to the end that the platform reported after the start: no
// earlier process of this node can have run a later configuration.
type joinState struct {
	startedAt     time.Time
	joined        bool
	offsetRequest requestState
	// offsetKnown says that floor is offsetKnown.
	offsetKnown bool
	offset      int64
	// peerWaitEnd is when a node that is no reader stops to wait for peers.
	peerWaitEnd time.Time
	// installedPosition is the position that the node serves with.
	installedPosition uint64
}

func (m *Machine) recordStart(now time.Time) {
	if !m.join.startedAt.IsZero() {
		return
	}
	m.join.startedAt = now
	maxDelay := joinJitter
	if m.options.Keyed {
		maxDelay = keyedJoinJitter
	}
	m.join.offsetRequest.notBefore = now.Add(jitter(m.random, maxDelay))
}

func (m *Machine) maybeReadJoinOffset(now time.Time) {
	if m.join.offsetKnown || !m.ready(now, &m.join.offsetRequest) {
		return
	}
	m.join.offsetRequest.inFlight = true
	if m.options.Keyed {
		m.emit(ReadNewest{Floor: true})
		return
	}
	m.emit(ReadBounds{Stream: Tickets})
}

func (m *Machine) setJoinOffset(now time.Time, next int64) {
	m.join.offsetRequest.succeeded()
	if m.join.offsetKnown {
		return
	}
	m.join.offsetKnown = true
	m.join.offset = next
	m.join.peerWaitEnd = now.Add(joinPeerWait + jitter(m.random, joinPeerWait))
	m.installIfJoined()
}

// installIfJoined installs the folded configuration once the floor is reached, and
// each later one.
func (m *Machine) installIfJoined() {
	if !m.join.offsetKnown || m.fold.Next() < m.join.offset {
		return
	}
	if m.options.Keyed && m.position() == 0 {
		return // the operators have not written a configuration yet
	}
	if m.join.joined && m.position() <= m.join.installedPosition {
		return
	}
	m.join.joined = true
	m.join.installedPosition = m.position()
	m.emit(Install{Snapshot: m.fold.Snapshot()})
}

// shouldReadLog reports whether this node reads the tickets stream: as a reader,
// or to join when peers do not bring it to the floor.
func (m *Machine) shouldReadLog(now time.Time) bool {
	isReader := m.topology.isReader(m.options.Readers)
	switch {
	case !m.join.offsetKnown:
		return false
	case m.join.joined:
		return isReader
	case m.topology.isAlone():
		return m.dueOrWake(now, m.join.startedAt.Add(memberTableWait))
	default:
		return isReader || m.dueOrWake(now, m.join.peerWaitEnd)
	}
}
