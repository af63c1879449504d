package membership

import (
	"slices"
	"time"
)

// mergeAll takes in records from another node.
func (m *Machine) mergeAll(now time.Time, members []Member) {
	for _, member := range members {
		if member.ID == m.self.ID {
			m.heardOfSelf(now, member)
			continue
		}
		if m.table.records[member.ID] == nil && len(m.table.records) >= maxMembers {
			continue
		}
		m.mergeOne(now, member)
	}
}

// mergeOne takes in one record of another node, and spreads it when it is new.
func (m *Machine) mergeOne(now time.Time, member Member) {
	former, changed := m.table.merge(now, member)
	if !changed {
		return
	}
	r := m.table.records[member.ID]
	r.suspicionEnds = now.Add(m.settings.SuspicionTimeout)
	m.act(MemberChanged{Previous: former, Current: member})
	m.spread(member)
	m.hurry(now)
}

// heardOfSelf answers what others hold of this node. A record that says that
// this process is gone is refuted by a greater revision; one of a later process
// ends this one's part in the fleet.
func (m *Machine) heardOfSelf(now time.Time, member Member) {
	if member.Incarnation > m.self.Incarnation {
		m.replaced = true
		m.act(Replaced{Incarnation: member.Incarnation})
		return
	}
	if member.Incarnation < m.self.Incarnation || !member.supersedes(m.self) {
		return
	}
	m.self.Revision = member.Revision
	m.revise(now)
}

// hear notes that the process of the record was heard.
func (m *Machine) hear(now time.Time, id string, incarnation uint64, p heardReport) {
	r := m.table.records[id]
	if r == nil || r.Incarnation != incarnation || id == m.self.ID {
		return
	}
	r.heard = now
	r.position = max(r.position, p.version.Position)
	m.act(PeerStatusReceived{Peer: r.Member, Version: p.version, Load: p.load})
}

// knows reports whether the process counts as running here.
func (m *Machine) knows(id string, incarnation uint64) bool {
	r := m.table.records[id]
	return r != nil && r.Incarnation == incarnation && r.State.live()
}

// vouches reports whether the process may rely on this node's contact: it counts
// as running, and a node of another domain can rely only on one whose part of
// its domain is the one that counts.
func (m *Machine) vouches(id string, incarnation uint64) bool {
	if !m.knows(id, incarnation) {
		return false
	}
	return m.table.records[id].Domain == m.self.Domain || m.quorate()
}

// expireSuspicions declares suspects of the own domain dead. Only a node's own
// domain may do that.
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

// suspect starts the suspicion of a member of the own domain that did not
// answer.
func (m *Machine) suspect(now time.Time, id string, incarnation uint64) {
	r := m.table.records[id]
	if r == nil || r.Incarnation != incarnation || r.State != Alive || r.Domain != m.self.Domain {
		return
	}
	suspect := r.Member
	suspect.State = Suspect
	m.mergeOne(now, suspect)
}

// sweep forgets members that are gone, and drops old tombstones.
func (m *Machine) sweep(now time.Time) {
	if now.Before(m.sweepAt) {
		return
	}
	m.sweepAt = now.Add(sweepInterval)
	m.forget(now)
	m.table.dropTombstones(now)
}

// forget stops counting dead members of the own domain. Their fence has closed
// by then. A part that does not hold at least half of the domain forgets none:
// the silent ones may be the larger part of a domain that is split.
func (m *Machine) forget(now time.Time) {
	if !m.quorate() {
		return
	}
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if r.State != Dead || r.forgotten {
			continue
		}
		if now.Sub(later(r.since, r.heard)) >= m.settings.ForgetTimeout {
			r.forgotten = true
		}
	}
}

// quorate reports whether the live part of the own domain is more than half of
// its counted members, or the half with the lowest ID.
func (m *Machine) quorate() bool {
	counted, live := 0, 0
	lowestLives := false
	for _, r := range m.table.sortedDomain(m.self.Domain) {
		if !r.counts() {
			continue
		}
		if r.State.live() {
			live++
			lowestLives = lowestLives || counted == 0
		}
		counted++
	}
	return 2*live > counted || 2*live == counted && lowestLives
}

// counts reports whether the record's node may still run a version.
func (r *record) counts() bool {
	return r.State.live() || r.State == Dead && !r.forgotten
}

func (m *Machine) leave(now time.Time) {
	m.self.State = Left
	m.revise(now)
	peers := append(m.randomPeers(indirectProbes, ""), m.relaysOf(m.self.Domain)...)
	peers = slices.DeleteFunc(peers, func(r *record) bool { return r.ID == m.self.ID })
	if len(peers) == 0 {
		m.act(LeaveCompleted{})
		return
	}
	for _, peer := range peers {
		m.send(now, peer.ID, peer.ControlAddress, pendingProbe{kind: kindLeave}, Probe{})
	}
}
