package spread

import (
	"time"

	"jasminegate/internal/state"
)

// joinState tracks the join of a starting node. The node installs no configuration
// before it has applied the tickets stream up to the join offset, which is the end
// of the stream as the platform reported it after the start. A restarted node
// therefore never serves with an older configuration than its earlier incarnations. A log
// that was restored from a copy may lack their configuration (Options.AcceptedNumber).
type joinState struct {
	startedAt     time.Time
	joined        bool
	offsetRequest requestState
	// offsetRequestedAt is when the join offset was last requested.
	offsetRequestedAt time.Time
	// registeredReader is true if this node is a reader among the registered nodes. In a
	// fleet that starts as a whole it then reads the log at once, before it knows which
	// nodes run.
	registeredReader bool
	// offsetKnown is true once the platform has reported the join offset.
	offsetKnown bool
	offset      int64
	// peerWaitEnd is when a joining node that is not a reader stops relying on
	// peers and reads the log.
	peerWaitEnd time.Time
	// installed is the version of the installed configuration.
	installed state.Version
}

func (m *Machine) recordStart(now time.Time) {
	if !m.join.startedAt.IsZero() {
		return
	}
	m.join.startedAt = now
	maxDelay := joinJitter
	if m.options.CompactedLog {
		maxDelay = compactedLogJoinJitter
	}
	m.join.offsetRequest.notBefore = now.Add(jitter(m.random, maxDelay))
}

func (m *Machine) maybeReadJoinOffset(now time.Time) {
	if m.join.offsetKnown || !m.ready(now, &m.join.offsetRequest) {
		return
	}
	m.join.offsetRequest.inFlight = true
	m.join.offsetRequestedAt = now
	m.emit(ReadBounds{Stream: StreamTickets})
}

func (m *Machine) setJoinOffset(now time.Time, next int64) {
	m.join.offsetRequest.succeeded()
	if m.join.offsetKnown {
		return
	}
	m.join.offsetKnown = true
	m.join.offset = next
	m.join.peerWaitEnd = now.Add(joinPeerWait + jitter(m.random, joinPeerWait))
	m.installIfJoined(now)
}

// installIfJoined installs the newest configuration if the join offset is reached
// and the configuration is not installed yet.
func (m *Machine) installIfJoined(now time.Time) {
	if !m.join.offsetKnown || m.fold.NextOffset() < m.join.offset {
		return
	}
	if m.options.CompactedLog && m.position() == 0 {
		return // no configuration has been published yet
	}
	if m.join.joined && !m.fold.Version().Newer(m.join.installed) {
		return
	}
	if m.awaitsAcceptedTicket(now) {
		return
	}
	first := !m.join.joined
	m.join.joined = true
	m.join.installed = m.fold.Version()
	m.emit(Install{Snapshot: m.fold.Snapshot()})
	if first {
		m.reportCurrent(m.join.offsetRequestedAt)
	}
}

// awaitsAcceptedTicket reports whether a joining node has an older configuration than one
// that was in force, and still waits for its peers to send that.
func (m *Machine) awaitsAcceptedTicket(now time.Time) bool {
	return !m.join.joined && m.fold.HighestNumber() < m.options.AcceptedNumber &&
		!m.dueOrWake(now, m.join.startedAt.Add(acceptedTicketWait))
}

// reportCurrent reports that the installed configuration was the newest when a request was
// sent. The response may have been delivered much later than it was sent.
func (m *Machine) reportCurrent(requestedAt time.Time) {
	m.emit(ReportCurrent{At: requestedAt, Version: m.fold.Version()})
}

// shouldReadLog reports whether this node reads the tickets stream: as a reader,
// or to join if its peers have not brought it to the join offset in time.
func (m *Machine) shouldReadLog(now time.Time) bool {
	isReader := m.topology.isReader(m.options.Readers)
	switch {
	case !m.join.offsetKnown:
		return false
	case m.join.joined:
		return isReader
	case m.join.registeredReader:
		return true
	case m.topology.isAlone():
		return m.dueOrWake(now, m.join.startedAt.Add(memberTableWait))
	case isReader:
		return m.dueOrWake(now, m.join.startedAt.Add(readerJoinWait))
	default:
		return m.dueOrWake(now, m.join.peerWaitEnd) && !m.peersWillDeliver(now)
	}
}

// peersWillDeliver reports whether a joining node goes on waiting for its peers after
// peerWaitEnd: some have a newer version, so that they only lack the time to send it.
func (m *Machine) peersWillDeliver(now time.Time) bool {
	return len(m.pulling.newerPeers) > 0 && !m.dueOrWake(now, m.join.startedAt.Add(maxJoinPeerWait))
}
