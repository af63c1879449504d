package spread

import (
	"time"

	"jasminegate/internal/coordination/membership"
)

// pushingState is the sending of updates through the own domain.
type pushingState struct {
	progress map[string]*pushProgress
	// inFlight counts the pushes in flight.
	inFlight int
	// base is the position before the newest update: where most peers stand.
	base uint64
	// backupAt is when this reader pushes because no other did; zero for never.
	backupAt time.Time
}

// pushProgress is the sending to one peer. At most one push is in flight; what comes
// meanwhile goes together in the next.
type pushProgress struct {
	pending  bool
	inFlight bool
	// peerPosition is the position that the peer reported, 0 when unknown, and next the
	// log offset that it was brought to.
	peerPosition uint64
	peerNext     int64
	// sentPosition is what the push in flight leads to.
	sentPosition uint64
	sentNext     int64
	resends      int
}

// pushNewTickets starts the spread of what this node read from the platform. Each
// reader pushes to its own children at once. The first one is the root of the
// tree; the others push in its place when they get no push from it in time.
func (m *Machine) pushNewTickets(now time.Time) {
	if !m.join.joined {
		return
	}
	m.pushToChildren()
	if m.topology.readerRank > 0 {
		m.pushing.backupAt = now.Add(time.Duration(m.topology.readerRank) * backupPushDelay)
	}
}

// maybePushBackup pushes in place of the first reader, whose own reading has not
// been seen: that one's children are sent to directly.
func (m *Machine) maybePushBackup(now time.Time) {
	if m.pushing.backupAt.IsZero() || !m.dueOrWake(now, m.pushing.backupAt) {
		return
	}
	m.pushing.backupAt = time.Time{}
	m.queuePushes(m.topology.children(0, m.options.FanOut))
}

// pushFromRoot spreads what came from another domain, from the root on.
func (m *Machine) pushFromRoot() {
	if m.topology.treeIndex != 0 {
		m.queuePushes(m.topology.tree[:1])
	}
	m.pushToChildren()
}

// pushToChildren sends on what was received along the tree.
func (m *Machine) pushToChildren() {
	m.queuePushes(m.topology.children(m.topology.treeIndex, m.options.FanOut))
}

func (m *Machine) queuePushes(peers []membership.Member) {
	if !m.join.joined {
		return
	}
	for _, peer := range peers {
		if peer.ID == m.options.Self.ID {
			continue
		}
		if m.pushing.progress[peer.ID] == nil {
			m.pushing.progress[peer.ID] = &pushProgress{}
		}
		m.pushing.progress[peer.ID].pending = true
		m.pushing.progress[peer.ID].resends = 0
	}
}

func (m *Machine) startPushes(now time.Time) {
	m.maybePushBackup(now)
	for _, peer := range m.topology.tree {
		progress := m.pushing.progress[peer.ID]
		if progress == nil || !progress.pending || progress.inFlight || m.pushing.inFlight >= MaxPushes {
			continue
		}
		progress.pending = false
		m.startPush(peer, progress)
	}
}

func (m *Machine) startPush(peer membership.Member, progress *pushProgress) {
	if progress.peerPosition >= m.position() && progress.peerNext >= m.fold.Next() {
		return
	}
	base := progress.peerPosition
	if base == 0 {
		base = m.pushing.base
	}
	update, fullState := m.updateSince(min(base, m.position()))
	if fullState && base > 0 {
		return // the peer pulls it, under its token limit
	}
	progress.inFlight = true
	progress.sentPosition = m.position()
	progress.sentNext = m.fold.Next()
	m.pushing.inFlight++
	m.emit(PushUpdate{Peer: peer, Update: update})
}

func (m *Machine) handlePushDone(e PushDone) {
	m.pushing.inFlight--
	progress := m.pushing.progress[e.Peer]
	if progress == nil {
		return
	}
	progress.inFlight = false
	if e.Failed {
		m.handlePushFailure(e.Peer, progress)
		return
	}
	progress.peerPosition = e.Version.Position
	if progress.peerPosition >= progress.sentPosition {
		progress.peerNext = max(progress.peerNext, progress.sentNext)
		return
	}
	progress.peerNext = 0
	progress.resends++
	if progress.peerPosition > 0 && progress.resends <= maxResends {
		progress.pending = true
	}
}

// handlePushFailure sends to the peer's children in its place, and once more to the
// peer itself, since the connection may have been at fault.
func (m *Machine) handlePushFailure(id string, progress *pushProgress) {
	progress.peerPosition, progress.peerNext = 0, 0
	m.queuePushes(m.topology.childrenOf(id, m.options.FanOut))
	if progress.resends == 0 {
		progress.resends++
		progress.pending = true
	}
}

// pruneProgress forgets peers that are gone. A push in flight to one of them is
// still counted and ends by its PushDone.
func (m *Machine) pruneProgress() {
	live := make(map[string]bool, len(m.topology.tree))
	for _, member := range m.topology.tree {
		live[member.ID] = true
	}
	for id := range m.pushing.progress {
		if !live[id] {
			delete(m.pushing.progress, id)
		}
	}
}

// handlePush takes an update that a peer pushed and sends it on when it was new.
func (m *Machine) handlePush(now time.Time, e PushReceived) {
	advanced, err := m.adopt(e.Update)
	m.installIfJoined()
	if advanced {
		m.pushToChildren()
	}
	if e.Update.To.Position >= m.position() && e.Update.Next >= m.fold.Next() {
		m.pushing.backupAt = time.Time{}
	}
	if err != nil {
		m.handleUpdateError(now, err)
	}
	m.emit(AnswerPush{Token: e.Token, Version: m.fold.Version()})
}
