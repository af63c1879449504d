package spread

import (
	"time"

	"jasminegate/internal/coordination/membership"
)

// pushingState tracks the pushes of this node to peers of its domain.
type pushingState struct {
	progress map[string]*pushProgress
	// inFlight counts the pushes in flight.
	inFlight int
	// base is the position before the newest update. Peers whose position is unknown
	// are assumed to be there.
	base uint64
	// backupAt is when this reader pushes to the children of the tree's root in its
	// place, or zero if no backup push is scheduled.
	backupAt time.Time
}

// pushProgress tracks the pushes to one peer. At most one is in flight; updates that
// arrive meanwhile are combined into the next push.
type pushProgress struct {
	pending  bool
	inFlight bool
	// peerPosition is the position that the peer last reported, or 0 if unknown.
	// peerNext is the next log offset of the last push that the peer acknowledged.
	peerPosition uint64
	peerNext     int64
	// sentPosition and sentNext are the position and the next log offset of the push
	// in flight.
	sentPosition uint64
	sentNext     int64
	// resends counts the repeats since queuePushes: at most one after a failure, and
	// up to maxResends to a peer that is behind.
	resends int
}

// pushNewTickets pushes tickets that this node read from the log. Each reader pushes
// to its own children at once. The first one pushes to the root too if that does not reach
// the log. Readers of rank 1 and above also push to the children
// of the tree's root if they receive no push in time. The root is the reader of rank
// 0, unless it is suspected or does not reach the log: ranks leave out such nodes, the tree
// does not.
func (m *Machine) pushNewTickets(now time.Time) {
	if !m.join.joined {
		return
	}
	if m.topology.readerRank == 0 && m.topology.tree[0].LogUnreachable {
		m.pushToRootAndChildren()
	} else {
		m.pushToChildren()
	}
	if m.topology.readerRank > 0 {
		m.pushing.backupAt = now.Add(time.Duration(m.topology.readerRank) * backupPushDelay)
	}
}

// maybePushBackup pushes to the children of the tree's root if no push with the
// awaited state has arrived in time.
func (m *Machine) maybePushBackup(now time.Time) {
	if m.pushing.backupAt.IsZero() || !m.dueOrWake(now, m.pushing.backupAt) {
		return
	}
	m.pushing.backupAt = time.Time{}
	m.queuePushes(m.topology.children(0, m.options.FanOut))
}

// pushToRootAndChildren pushes an update from another domain to the root of the tree
// and to this node's children.
func (m *Machine) pushToRootAndChildren() {
	if m.topology.treeIndex != 0 {
		m.queuePushes(m.topology.tree[:1])
	}
	m.pushToChildren()
}

// pushToChildren pushes the newest state to this node's children in the tree.
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
		if progress == nil || !progress.pending || progress.inFlight || m.pushing.inFlight >= MaxPushesInFlight {
			continue
		}
		progress.pending = false
		m.startPush(peer, progress)
	}
}

func (m *Machine) startPush(peer membership.Member, progress *pushProgress) {
	if progress.peerPosition >= m.position() && progress.peerNext >= m.fold.NextOffset() {
		return
	}
	base := progress.peerPosition
	if base == 0 {
		base = m.pushing.base
	}
	update, fullState := m.updateSince(min(base, m.position()))
	// The full state is pushed only if base is 0, to a peer that is assumed to have
	// no configuration. Other peers pull it, at the rate that the serving node allows, and
	// their position is then no longer known.
	if fullState && base > 0 {
		progress.peerPosition, progress.peerNext = 0, 0
		return
	}
	progress.inFlight = true
	progress.sentPosition = m.position()
	progress.sentNext = m.fold.NextOffset()
	m.pushing.inFlight++
	m.emit(PushUpdate{Peer: peer, Update: update})
}

func (m *Machine) handlePushDone(e PushDone) {
	m.pushing.inFlight--
	progress := m.pushing.progress[e.PeerID]
	if progress == nil {
		return
	}
	progress.inFlight = false
	if e.Failed {
		m.handlePushFailure(e.PeerID, progress)
		return
	}
	progress.peerPosition = m.inLogEra(e.Version).Position
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

// handlePushFailure pushes to the peer's children in its place, and once more to the
// peer itself, because only the connection may have failed.
func (m *Machine) handlePushFailure(id string, progress *pushProgress) {
	progress.peerPosition, progress.peerNext = 0, 0
	m.queuePushes(m.topology.childrenOf(id, m.options.FanOut))
	if progress.resends == 0 {
		progress.resends++
		progress.pending = true
	}
}

// pruneProgress removes peers that left the tree. A push in flight to a removed peer
// counts until its PushDone.
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

// handlePush applies an update pushed by a peer and, if the state advanced, pushes
// the state on.
func (m *Machine) handlePush(now time.Time, e PushReceived) {
	advanced, err := m.applyUpdate(e.Update)
	m.installIfJoined(now)
	if advanced {
		m.pushToChildren()
	}
	if e.Update.To.Position >= m.position() && e.Update.NextOffset >= m.fold.NextOffset() {
		m.pushing.backupAt = time.Time{}
	}
	if err != nil {
		m.handleUpdateError(now, err)
	}
	m.emit(RespondToPush{Token: e.Token, Version: m.fold.Version()})
}
