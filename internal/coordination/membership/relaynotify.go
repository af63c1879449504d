package membership

import "time"

// relayAck is the latest state of this node that a peer of the local domain, in
// the given incarnation of the peer, has acknowledged. It is read for relays.
type relayAck struct {
	incarnation uint64
	position    uint64
	revision    uint64
}

// relayToNotify returns a relay of the local domain that has not acknowledged
// this node's process, version or record, or nil.
func (m *Machine) relayToNotify() *record {
	for _, r := range m.relaysOf(m.self.Domain) {
		if r.ID == m.self.ID {
			continue
		}
		acked := m.relayAcks[r.ID]
		if acked.incarnation != r.Incarnation || acked.position < m.version.Position || acked.revision < m.self.Revision {
			return r
		}
	}
	return nil
}

// notifyRelay probes a relay, and sends this node's record if the relay has not
// acknowledged it.
func (m *Machine) notifyRelay(now time.Time, relay *record) {
	var probe Probe
	if acked := m.relayAcks[relay.ID]; acked.incarnation != relay.Incarnation || acked.revision < m.self.Revision {
		probe.Members = m.recordsOf(m.self.ID)
	}
	m.send(now, relay.ID, relay.ControlAddress, pendingProbe{kind: kindDirect, incarnation: relay.Incarnation, revision: m.self.Revision}, probe)
}

// recordRelayAck records which state of this node a peer of the local domain
// acknowledged, relay or not: any of them may become a relay.
func (m *Machine) recordRelayAck(sent *pendingProbe, ack Ack) {
	r := m.table.records[ack.From]
	if !ack.Known || r == nil || r.Domain != m.self.Domain || r.Incarnation != ack.FromIncarnation {
		return
	}
	acked := m.relayAcks[ack.From]
	if acked.incarnation != ack.FromIncarnation {
		acked = relayAck{incarnation: ack.FromIncarnation}
	}
	acked.position = max(acked.position, sent.version.Position)
	acked.revision = max(acked.revision, sent.revision)
	m.relayAcks[ack.From] = acked
	if !m.contact.knownToRelays {
		m.contact.knownToRelays = m.knownToAllRelays()
	}
}

// knownToAllRelays reports whether every relay of the local domain has
// acknowledged that it knows this process, so that every summary of the domain
// includes it.
func (m *Machine) knownToAllRelays() bool {
	for _, r := range m.relaysOf(m.self.Domain) {
		if r.ID != m.self.ID && m.relayAcks[r.ID].incarnation != r.Incarnation {
			return false
		}
	}
	return true
}
