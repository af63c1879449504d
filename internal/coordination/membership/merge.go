package membership

import (
	"slices"
	"time"
)

// mergeAll merges records from another node into the table. It drops records of
// unknown members when the table is full.
func (m *Machine) mergeAll(now time.Time, members []Member) {
	for _, member := range members {
		if member.ID == m.self.ID {
			m.mergeOwnRecord(now, member)
			continue
		}
		if m.table.records[member.ID] == nil && len(m.table.records) >= maxMembers {
			continue
		}
		m.mergeOne(now, member)
	}
}

// mergeOne merges the record of one other member, and disseminates it if it
// supersedes the known one.
func (m *Machine) mergeOne(now time.Time, member Member) {
	previous, changed := m.table.merge(now, member)
	if !changed {
		return
	}
	r := m.table.records[member.ID]
	r.suspicionEnds = now.Add(m.settings.SuspicionTimeout)
	m.emit(MemberChanged{Previous: previous, Current: member})
	m.disseminate(member)
	m.expediteProbe(now)
}

// mergeOwnRecord handles another node's record of this node. It refutes a record
// that supersedes this process's own by publishing a greater revision. A record
// of a later incarnation means that this process was replaced.
func (m *Machine) mergeOwnRecord(now time.Time, member Member) {
	if member.Incarnation > m.self.Incarnation {
		m.replaced = true
		m.emit(Replaced{Incarnation: member.Incarnation})
		return
	}
	if member.Incarnation < m.self.Incarnation || !member.supersedes(m.self) {
		return
	}
	m.self.Revision = member.Revision
	m.publishOwnRecord(now)
}

// recordPeerStatus records contact with a peer, and the version and load that it
// sent, if the incarnation is the one in the table.
func (m *Machine) recordPeerStatus(now time.Time, id string, incarnation uint64, p peerStatus) {
	r := m.table.records[id]
	if r == nil || r.Incarnation != incarnation || id == m.self.ID {
		return
	}
	r.lastContact = now
	r.position = max(r.position, p.version.Position)
	m.emit(PeerStatusReceived{Peer: r.Member, Version: p.version, Load: p.load})
}

// isLive reports whether the table has this process as live.
func (m *Machine) isLive(id string, incarnation uint64) bool {
	r := m.table.records[id]
	return r != nil && r.Incarnation == incarnation && r.State.live()
}

// confirmsContact reports whether an ack from this node confirms contact to the
// process: this node must have it as live. For a process of another domain, this
// node's partition of its own domain must also have a quorum.
func (m *Machine) confirmsContact(id string, incarnation uint64) bool {
	if !m.isLive(id, incarnation) {
		return false
	}
	return m.table.records[id].Domain == m.self.Domain || m.hasQuorum()
}

// expireSuspicions declares suspects of the local domain dead after the suspicion
// timeout. Only nodes of the suspect's domain may do that.
func (m *Machine) expireSuspicions(now time.Time) {
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.State != Suspect || now.Before(r.suspicionEnds) {
			continue
		}
		dead := r.Member
		dead.State = Dead
		m.mergeOne(now, dead)
	}
}

// suspect marks a member of the local domain that did not respond as suspect.
func (m *Machine) suspect(now time.Time, id string, incarnation uint64) {
	r := m.table.records[id]
	if r == nil || r.Incarnation != incarnation || r.State != Alive || r.Domain != m.self.Domain {
		return
	}
	suspect := r.Member
	suspect.State = Suspect
	m.mergeOne(now, suspect)
}

// sweep excludes members that have been dead for long from the count, and drops
// old tombstones.
func (m *Machine) sweep(now time.Time) {
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(sweepInterval)
	m.stopCountingDead(now)
	m.table.dropTombstones(now)
}

// stopCountingDead stops counting the members of the local domain that have been dead
// for the forget timeout, which is longer than the fence timeout: by then they no
// longer serve. A partition without a quorum keeps counting them, since the
// unreachable members may be the majority of a split domain and still serve.
func (m *Machine) stopCountingDead(now time.Time) {
	if !m.hasQuorum() {
		return
	}
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.State != Dead || r.uncounted {
			continue
		}
		if now.Sub(later(r.stateSince, r.lastContact)) >= m.settings.ForgetTimeout {
			r.uncounted = true
		}
	}
}

// hasQuorum reports whether more than half of the counted members of the local
// domain are live, or exactly half including the one with the lowest ID.
func (m *Machine) hasQuorum() bool {
	counted, live := 0, 0
	lowestLive := false
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if !r.isCounted() {
			continue
		}
		if r.State.live() {
			live++
			lowestLive = lowestLive || counted == 0
		}
		counted++
	}
	return 2*live > counted || 2*live == counted && lowestLive
}

// isCounted reports whether the record's node is a counted member, that is, may
// still serve calls with some version.
func (r *record) isCounted() bool {
	return r.State.live() || r.State == Dead && !r.uncounted
}

func (m *Machine) leave(now time.Time) {
	m.self.State = Left
	m.publishOwnRecord(now)
	peers := append(m.randomPeers(indirectProbes, ""), m.relaysOf(m.self.Domain)...)
	peers = slices.DeleteFunc(peers, func(r *record) bool { return r.ID == m.self.ID })
	if len(peers) == 0 {
		m.emit(LeaveCompleted{})
		return
	}
	for _, peer := range peers {
		m.send(now, peer.ID, peer.ControlAddress, pendingProbe{kind: kindLeave}, Probe{})
	}
}
