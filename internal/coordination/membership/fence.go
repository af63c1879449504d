package membership

import "time"

// contact is when other nodes last confirmed that they count this process as
// live, or the platform last responded to it.
type contact struct {
	// localDomain is the send time of the latest probe that a node of the local
	// domain acknowledged with Known set.
	localDomain time.Time
	// external is the same for nodes of other domains, or the SentAt of the latest
	// PlatformContacted.
	external time.Time
	// knownToRelays is set once every relay of the local domain has acknowledged that it
	// knows this process.
	knownToRelays bool
}

// recordContact records the contact that an ack confirms. It uses the time when
// the probe was sent, a lower bound for when the other node received it. While
// this node is fenced, contact with a node that runs a later version does not
// count, so that this node resumes serving only with the version that the
// others run. If that node is of another domain, its contact does not count while
// this node serves either.
func (m *Machine) recordContact(now time.Time, sent *pendingProbe, ack Ack) {
	r := m.table.records[ack.From]
	if r == nil || r.Incarnation != ack.FromIncarnation || !ack.Known {
		return
	}
	ahead := ack.Version.Newer(m.version)
	if r.Domain != m.self.Domain {
		if !ahead {
			m.contact.external = later(m.contact.external, sent.sentAt)
		}
		return
	}
	if ahead && !m.Serving(now) {
		return
	}
	m.contact.localDomain = later(m.contact.localDomain, sent.sentAt)
}

// platformContacted records contact with the platform. A response read right
// after a pause is ignored: it may have been received long before.
func (m *Machine) platformContacted(event PlatformContacted) {
	if !m.resumedAt.IsZero() && event.SentAt.Sub(m.resumedAt) < m.pauseBound() {
		return
	}
	m.contact.external = later(m.contact.external, event.SentAt)
}

// Serving reports whether calls may be served at now, that is, whether all other
// nodes are certain to still count this one as a member.
//
// With live peers in the local domain, this requires that every relay of the domain
// has acknowledged this process, that this node had contact with the domain within
// the fence timeout, and that its partition of the domain has a quorum or it also
// had external contact within the fence timeout.
//
// Without live peers, it requires external contact within the fence timeout and that
// the search for the domain has finished, or mayServeAlone.
//
// A node that has left or was replaced never serves. Any other node serves without
// contact if its fence timeout is 0 or if it knows no other node and no seed.
func (m *Machine) Serving(now time.Time) bool {
	if m.replaced || m.self.State == Left {
		return false
	}
	if m.settings.FenceTimeout == 0 {
		return true
	}
	if len(m.table.records) == 1 && len(m.join.seeds) == 0 {
		return true
	}
	externalContact := m.recent(now, m.contact.external)
	if len(m.livePeers()) == 0 {
		return externalContact && m.searchFinished(now) || m.mayServeAlone(now)
	}
	if !m.contact.knownToRelays || !m.recent(now, m.contact.localDomain) {
		return false
	}
	return externalContact || m.hasQuorum()
}

// NeedsExternalContact reports whether this node seeks contact with another domain or
// the platform: it has no live peers, or its partition has no quorum. It may be true
// although Serving requires no such contact (mayServeAlone).
func (m *Machine) NeedsExternalContact() bool {
	return len(m.livePeers()) == 0 || !m.hasQuorum()
}

func (m *Machine) recent(now, contact time.Time) bool {
	return !contact.IsZero() && now.Sub(contact) <= m.settings.FenceTimeout
}

// searchFinished reports whether this node received a full table, has no seed to find its
// domain by, or searched for the domain for the forget timeout.
func (m *Machine) searchFinished(now time.Time) bool {
	return m.join.tableReceived || !m.hasLocalDomainSeeds() || now.Sub(m.startedAt) >= m.settings.ForgetTimeout
}

// mayServeAlone reports whether this node, without live peers in its domain, may
// serve without contact: it had contact with the domain earlier, has a quorum of the
// domain's counted members, and has not been paused within the fence timeout. Within
// that time, another running partition of the domain would have reached it.
func (m *Machine) mayServeAlone(now time.Time) bool {
	paused := now.Sub(m.lastStep) > m.pauseBound()
	settled := m.resumedAt.IsZero() || now.Sub(m.resumedAt) > m.settings.FenceTimeout
	return !m.contact.localDomain.IsZero() && !paused && settled && m.hasQuorum()
}
