package membership

import "time"

// probeReceived takes in a probe and answers it.
func (m *Machine) probeReceived(now time.Time, event ProbeReceived) {
	probe := event.Probe
	m.mergeAll(now, probe.Members)
	m.hear(now, probe.From, probe.FromIncarnation, heardReport{probe.Version, probe.Load})
	m.noteDigest(probe.From, probe.TableDigest)
	if probe.Via == m.self.ID && probe.To != m.self.ID {
		m.forward(now, event)
		return
	}
	answer := m.answerComparison(probe)
	if probe.FullTable {
		answer.Members = m.fullTable(now)
	}
	ack := m.ack(probe, answer.Members)
	ack.DifferingBuckets = answer.DifferingBuckets
	ack.Reached = probe.To == "" || probe.To == m.self.ID
	if probe.WantSummaries {
		ack.Summaries = m.summariesFor(now, probe.From)
	}
	m.act(Reply{Token: event.Token, Ack: ack})
}

// ack fills in what every answer carries. A prober that is not held as running
// gets the record that says so.
func (m *Machine) ack(probe Probe, members []Member) Ack {
	known := m.vouches(probe.From, probe.FromIncarnation)
	if !known && probe.From != "" {
		members = append(members, m.recordsOf(probe.From)...)
	}
	// A prober whose table is the same has the news already.
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
		Members:         members,
	}
}

// ackReceived takes in the answer to a probe.
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
	m.hear(now, ack.From, ack.FromIncarnation, heardReport{ack.Version, ack.Load})
	m.noteContact(now, sent, ack)
	m.noteTold(sent, ack)
	m.noteDigest(ack.From, ack.TableDigest)
	m.holdSummaries(sent, ack.Summaries)
	delete(m.prober.pending, event.Token)
	m.conclude(now, sent, ack)
}

// conclude does what the kind of the answered probe asks for.
func (m *Machine) conclude(now time.Time, sent *pendingProbe, ack Ack) {
	switch sent.kind {
	case kindIndirect:
		m.closeIndirect(now, sent.round, ack.Reached)
	case kindForward:
		answer := m.ack(Probe{}, nil)
		answer.Reached = ack.Reached
		m.act(Reply{Token: sent.reply, Ack: answer})
	case kindJoin:
		m.joined(now, ack)
	case kindRelay:
		m.relayAnswered(now, sent, ack)
	case kindLeave:
		m.act(LeaveCompleted{})
	}
	if sent.kind != kindCompare {
		m.answerDiffering(now, sent, ack)
	}
	m.introduce(now, sent, ack)
}

// introduce sends the own record to a node that does not hold it.
func (m *Machine) introduce(now time.Time, sent *pendingProbe, ack Ack) {
	if ack.Known || sent.kind == kindCompare || sent.kind == kindLeave || sent.kind == kindForward {
		return
	}
	m.send(now, ack.From, sent.address, pendingProbe{kind: kindCompare, incarnation: ack.FromIncarnation}, Probe{Members: m.recordsOf(m.self.ID)})
}
