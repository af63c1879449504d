package spread

import (
	"time"

	"jasminegate/internal/coordination/membership"
)

// pushing is the sending of updates through the own domain.
type pushing struct {
	lanes map[string]*lane
	// running counts the pushes in flight.
	running int
	// base is the position before the newest update: where most peers stand.
	base uint64
	// backupAt is when this reader pushes because no other did; zero for never.
	backupAt time.Time
}

// lane is the sending to one peer. At most one push is in flight; what comes
// meanwhile goes together in the next.
type lane struct {
	wanted  bool
	running bool
	// known is the position that the peer reported, 0 when unknown, and next the
	// log offset that it was brought to.
	known uint64
	next  int64
	// sent is what the push in flight leads to.
	sent     uint64
	sentNext int64
	resends  int
}

// pushRead starts the spread of what this node read from the platform. Each
// reader pushes to its own children at once. The first one is the root of the
// tree; the others push in its place when they get no push from it in time.
func (m *Machine) pushRead(now time.Time) {
	if !m.join.joined {
		return
	}
	m.forward()
	if m.roster.rank > 0 {
		m.pushing.backupAt = now.Add(time.Duration(m.roster.rank) * backupDelay)
	}
}

// pushBackup pushes in place of the first reader, whose own reading has not
// been seen: that one's children are sent to directly.
func (m *Machine) pushBackup(now time.Time) {
	if m.pushing.backupAt.IsZero() || !m.due(now, m.pushing.backupAt) {
		return
	}
	m.pushing.backupAt = time.Time{}
	m.wantPushTo(m.roster.children(0, m.options.FanOut))
}

// pushEntry spreads what came from another domain, from the root on.
func (m *Machine) pushEntry() {
	if m.roster.index != 0 {
		m.wantPushTo(m.roster.order[:1])
	}
	m.forward()
}

// forward sends on what was received along the tree.
func (m *Machine) forward() {
	m.wantPushTo(m.roster.children(m.roster.index, m.options.FanOut))
}

func (m *Machine) wantPushTo(peers []membership.Member) {
	if !m.join.joined {
		return
	}
	for _, peer := range peers {
		if peer.ID == m.options.Self.ID {
			continue
		}
		if m.pushing.lanes[peer.ID] == nil {
			m.pushing.lanes[peer.ID] = &lane{}
		}
		m.pushing.lanes[peer.ID].wanted = true
		m.pushing.lanes[peer.ID].resends = 0
	}
}

func (m *Machine) wantPushes(now time.Time) {
	m.pushBackup(now)
	for _, peer := range m.roster.order {
		lane := m.pushing.lanes[peer.ID]
		if lane == nil || !lane.wanted || lane.running || m.pushing.running >= MaxPushesInFlight {
			continue
		}
		lane.wanted = false
		m.push(peer, lane)
	}
}

func (m *Machine) push(peer membership.Member, lane *lane) {
	if lane.known >= m.position() && lane.next >= m.fold.NextOffset() {
		return
	}
	base := lane.known
	if base == 0 {
		base = m.pushing.base
	}
	update, whole := m.updateSince(min(base, m.position()))
	if whole && base > 0 {
		return // the peer pulls it, under its token limit
	}
	lane.running = true
	lane.sent = m.position()
	lane.sentNext = m.fold.NextOffset()
	m.pushing.running++
	m.do(PushUpdate{Peer: peer, Update: update})
}

func (m *Machine) pushDone(e PushDone) {
	m.pushing.running--
	lane := m.pushing.lanes[e.PeerID]
	if lane == nil {
		return
	}
	lane.running = false
	if e.Failed {
		m.pushFailed(e.PeerID, lane)
		return
	}
	lane.known = e.Version.Position
	if lane.known >= lane.sent {
		lane.next = max(lane.next, lane.sentNext)
		return
	}
	lane.next = 0
	lane.resends++
	if lane.known > 0 && lane.resends <= maxResends {
		lane.wanted = true
	}
}

// pushFailed sends to the peer's children in its place, and once more to the
// peer itself, since the connection may have been at fault.
func (m *Machine) pushFailed(id string, lane *lane) {
	lane.known, lane.next = 0, 0
	m.wantPushTo(m.roster.childrenOf(id, m.options.FanOut))
	if lane.resends == 0 {
		lane.resends++
		lane.wanted = true
	}
}

// pruneLanes forgets peers that are gone. A push in flight to one of them is
// still counted and ends by its PushDone.
func (m *Machine) pruneLanes() {
	live := make(map[string]bool, len(m.roster.order))
	for _, member := range m.roster.order {
		live[member.ID] = true
	}
	for id := range m.pushing.lanes {
		if !live[id] {
			delete(m.pushing.lanes, id)
		}
	}
}

// takePush takes an update that a peer pushed and sends it on when it was new.
func (m *Machine) takePush(now time.Time, e PushReceived) {
	moved, err := m.adopt(e.Update)
	m.settleJoin()
	if moved {
		m.forward()
	}
	if e.Update.To.Position >= m.position() && e.Update.NextOffset >= m.fold.NextOffset() {
		m.pushing.backupAt = time.Time{}
	}
	if err != nil {
		m.refuse(now, err)
	}
	m.do(RespondToPush{Token: e.Token, Version: m.fold.Version()})
}
