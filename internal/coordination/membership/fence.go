package membership

import "time"

// contact is when this node was last heard by others, as far as it knows.
type contact struct {
	// domain is when the last probe was sent that a node of the own domain,
	// counting this one as alive, answered.
	domain time.Time
	// outside is the same for another domain's node, or the platform.
	outside time.Time
	// introduced is set once every relay of the own domain has counted this
	// process.
	introduced bool
}

// noteContact takes in an answer. The time is that of the probe: the other node
// cannot have heard this one earlier than that. While this node does not serve,
// only contact with a node that is not ahead of it counts, so that it comes
// back with the version that the others run.
func (m *Machine) noteContact(now time.Time, sent *pendingProbe, ack Ack) {
	r := m.table.records[ack.From]
	if r == nil || r.Incarnation != ack.FromIncarnation || !ack.Known {
		return
	}
	ahead := ack.Version.Position > m.version.Position
	if r.Domain != m.self.Domain {
		if !ahead {
			m.contact.outside = later(m.contact.outside, sent.sentAt)
		}
		return
	}
	if ahead && !m.Serving(now) {
		return
	}
	m.contact.domain = later(m.contact.domain, sent.sentAt)
}

// platformContacted takes in an answer of the platform. One that was read right
// after a pause may have waited for as long as the process was stopped.
func (m *Machine) platformContacted(event PlatformContacted) {
	if !m.resumed.IsZero() && event.SentAt.Sub(m.resumed) < m.pauseBound() {
		return
	}
	m.contact.outside = later(m.contact.outside, event.SentAt)
}

// Serving reports whether calls may be served at now: whether no other node can
// have stopped counting this one. The node has to be heard in its own domain,
// and by another domain or the platform too when its part of the domain is the
// smaller one. With no other live member in its domain the outside is enough;
// one that knows no other node at all needs nothing. Without a fence timeout a
// node serves also while nobody hears it.
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
	heardOutside := m.recent(now, m.contact.outside)
	if len(m.livePeers()) == 0 {
		return heardOutside && m.searched(now) || m.survivesAlone(now)
	}
	if !m.contact.introduced || !m.recent(now, m.contact.domain) {
		return false
	}
	return heardOutside || m.quorate()
}

// NeedsExternalContact reports whether the fence needs contact with another domain or
// the platform.
func (m *Machine) NeedsExternalContact() bool {
	return len(m.livePeers()) == 0 || !m.quorate()
}

func (m *Machine) recent(now, contact time.Time) bool {
	return !contact.IsZero() && now.Sub(contact) <= m.settings.FenceTimeout
}

// searched reports whether this node found the fleet, or looked for its domain
// for long enough.
func (m *Machine) searched(now time.Time) bool {
	return m.join.done || !m.ownDomainSeeds() || now.Sub(m.started) >= m.settings.ForgetTimeout
}

// survivesAlone reports whether this node is what is left of its domain and was
// running long enough to have been found by another part of it.
func (m *Machine) survivesAlone(now time.Time) bool {
	paused := now.Sub(m.lastStep) > m.pauseBound()
	awake := m.resumed.IsZero() || now.Sub(m.resumed) > m.settings.FenceTimeout
	return !m.contact.domain.IsZero() && !paused && awake && m.quorate()
}
