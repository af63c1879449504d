package membership

import "time"

// probeReceived merges what a probe carries and acks it, or forwards the probe
// when this node is its intermediary.
func (m *Machine) probeReceived(now time.Time, event ProbeReceived) {
	probe := event.Probe
	m.mergeAll(now, probe.Members)
	m.recordPeerStatus(now, probe.From, probe.FromIncarnation, peerStatus{probe.Version, probe.Load})
	m.countMismatches(probe.From, probe.TableDigest)
	if probe.Via == m.self.ID && probe.To != m.self.ID {
		m.forward(now, event)
		return
	}
	compared := m.compareBuckets(probe)
	if probe.FullTable {
		compared.Members = m.fullTable(now)
	}
	ack := m.ack(probe, compared.Members)
	ack.DifferingBuckets = compared.DifferingBuckets
	ack.Reached = probe.To == "" || probe.To == m.self.ID
	if probe.WantSummaries {
		ack.Summaries = m.summariesFor(now, probe.From)
	}
	m.emit(RespondToProbe{Token: event.Token, Ack: ack})
}

// ack returns an Ack with the fields that all acks have. A prober whose contact
// this node does not confirm gets the record that this node has of it, so that
// it can refute it. An empty probe is passed for the ack to a forwarded probe: Known is
// then false, and the queued updates are always added.
func (m *Machine) ack(probe Probe, members []Member) Ack {
	known := m.confirmsContact(probe.From, probe.FromIncarnation)
	if !known && probe.From != "" {
		members = append(members, m.recordsOf(probe.From)...)
	}
	// A prober with the same table already has the queued updates.
	if probe.From == "" || probe.TableDigest != m.table.digest {
		members = m.piggyback(probe.From, members)
	}
	return Ack{
		From:            m.self.ID,
		FromIncarnation: m.self.Incarnation,
		Version:         m.version,
		Load:            m.load,
		TableDigest:     m.table.digest,
		Known:           known,
		CurrentAge:      m.currentAge(),
		Members:         members,
	}
}

// ackReceived processes the ack of a probe. An ack from a node other than the
// one probed, or from this node itself, counts as a failure.
func (m *Machine) ackReceived(now time.Time, event AckReceived) {
	sent := m.prober.pending[event.Token]
	if sent == nil {
		return
	}
	ack := event.Ack
	m.mergeAll(now, ack.Members)
	if m.replaced {
		return
	}
	if sent.to != "" && ack.From != sent.to || ack.From == m.self.ID {
		m.probeFailed(now, event.Token)
		return
	}
	m.recordPeerStatus(now, ack.From, ack.FromIncarnation, peerStatus{ack.Version, ack.Load})
	m.recordContact(now, sent, ack)
	m.recordCurrent(sent, ack)
	m.recordRelayAck(sent, ack)
	m.countMismatches(ack.From, ack.TableDigest)
	m.storeSummaries(sent, ack.Summaries)
	delete(m.prober.pending, event.Token)
	m.finishProbe(now, sent, ack)
}

// finishProbe does what the kind of the acknowledged probe requires.
func (m *Machine) finishProbe(now time.Time, sent *pendingProbe, ack Ack) {
	switch sent.kind {
	case kindIndirect:
		m.finishIndirect(now, sent.round, ack.Reached)
	case kindForward:
		forwarded := m.ack(Probe{}, nil)
		forwarded.Reached = ack.Reached
		m.emit(RespondToProbe{Token: sent.forwardedToken, Ack: forwarded})
	case kindJoin:
		m.recordJoinAck(now, ack)
	case kindRelay:
		m.relayAcked(now, sent, ack)
	case kindLeave:
		m.emit(LeaveCompleted{})
	}
	if sent.kind != kindRecords {
		m.sendNewerRecords(now, sent, ack)
	}
	m.sendOwnRecord(now, sent, ack)
}

// sendOwnRecord sends this node's record to a node that does not know this
// process, unless the probe's kind excludes it.
func (m *Machine) sendOwnRecord(now time.Time, sent *pendingProbe, ack Ack) {
	if ack.Known || sent.kind == kindRecords || sent.kind == kindLeave || sent.kind == kindForward {
		return
	}
	m.send(now, ack.From, sent.address, pendingProbe{kind: kindRecords, incarnation: ack.FromIncarnation}, Probe{Members: m.recordsOf(m.self.ID)})
}
