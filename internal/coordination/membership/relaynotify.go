package membership

import "time"

// relayAck is what a relay of the own domain has acknowledged of this node.
type relayAck struct {
	incarnation uint64
	position    uint64
	revision    uint64
}

// relayToNotify returns a relay of the own domain that does not know this node's
// process, version or record yet.
func (m *Machine) relayToNotify() *record {
	for _, r := range m.relaysOf(m.self.Domain) {
		if r.ID == m.self.ID {
			continue
		}
		told := m.relayAcks[r.ID]
		if told.incarnation != r.Incarnation || told.position < m.version.Position || told.revision < m.self.Revision {
			return r
		}
	}
	return nil
}

// notifyRelay probes a relay, with the own record when the relay lacks it.
func (m *Machine) notifyRelay(now time.Time, relay *record) {
	var probe Probe
	if held := m.relayAcks[relay.ID]; held.incarnation != relay.Incarnation || held.revision < m.self.Revision {
		probe.Members = m.recordsOf(m.self.ID)
	}
	m.send(now, relay.ID, relay.ControlAddress, pendingProbe{kind: kindDirect, incarnation: relay.Incarnation, revision: m.self.Revision}, probe)
}

// recordRelayAck takes in what a node acknowledged.
func (m *Machine) recordRelayAck(sent *pendingProbe, ack Ack) {
	r := m.table.records[ack.From]
	if !ack.Known || r == nil || r.Domain != m.self.Domain || r.Incarnation != ack.FromIncarnation {
		return
	}
	held := m.relayAcks[ack.From]
	if held.incarnation != ack.FromIncarnation {
		held = relayAck{incarnation: ack.FromIncarnation}
	}
	held.position = max(held.position, sent.version.Position)
	held.revision = max(held.revision, sent.revision)
	m.relayAcks[ack.From] = held
	if !m.contact.knownToRelays {
		m.contact.knownToRelays = m.knownToAllRelays()
	}
}

// knownToAllRelays reports whether every relay of the own domain counts this
// process, so that no summary leaves it out.
func (m *Machine) knownToAllRelays() bool {
	for _, r := range m.relaysOf(m.self.Domain) {
		if r.ID != m.self.ID && m.relayAcks[r.ID].incarnation != r.Incarnation {
			return false
		}
	}
	return true
}
