package spread

import (
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/state"
)

// readingState tracks the reads of the tickets stream and the checkpoints.
type readingState struct {
	request requestState
	// requestedAt and requestedFrom are when the last read was sent, and the log offset
	// that this node had reached then.
	requestedAt   time.Time
	requestedFrom int64
	// recordsMissing is true if the next records cannot be read: retention dropped them, or
	// a read skipped some (acceptance.ErrGap). Only a checkpoint or a peer can then
	// supply the missing state; on a compacted log, the newest ticket or a peer.
	recordsMissing bool
	// checkpointTried is true once a checkpoint read got a response, found or not.
	checkpointTried bool
	// platformUnreachable is true if the last request to the platform failed, or has no
	// response in time.
	platformUnreachable bool
	// unreachableSince is when the platform was last found unreachable.
	unreachableSince time.Time
	// confirmed is true if the log responded to this node's last request as a reader.
	confirmed bool
	// sent is the last read, and wait how long it may wait for a ticket.
	sent Action
	wait time.Duration
	// responding is true once its response has begun, at respondedAt.
	responding  bool
	respondedAt time.Time
	// delay is how much longer than the wait responses took to begin of late.
	delay time.Duration
}

func (m *Machine) maybeReadLog(now time.Time) {
	if !m.shouldReadLog(now) || !m.ready(now, &m.reading.request) {
		return
	}
	m.reading.request.inFlight = true
	m.reading.requestedAt, m.reading.requestedFrom = now, m.fold.NextOffset()
	m.reading.sent, m.reading.wait = m.nextRead()
	m.reading.responding = false
	m.emit(m.reading.sent)
}

// nextRead returns the next read and how long it may wait for a ticket.
func (m *Machine) nextRead() (read Action, wait time.Duration) {
	switch {
	case m.needsFullState() && m.options.CompactedLog:
		return ReadNewestTicket{}, 0
	case m.needsFullState():
		return ReadCheckpoint{}, 0
	case m.join.joined && !m.reading.confirmed:
		// A read that does not wait shows soon whether the log responds at all.
		return ReadTickets{From: m.fold.NextOffset()}, 0
	case m.join.joined || m.options.CompactedLog:
		// On a compacted log, the join offset is already applied: a node that has not
		// joined awaits the first ticket.
		return ReadTickets{From: m.fold.NextOffset(), Wait: true}, m.options.ReadWait
	}
	return ReadTickets{From: m.fold.NextOffset()}, 0
}

// LogUnreachable reports whether this node is a reader, and its last request to the
// platform's log failed or has no response in time. Others then read in its place.
func (m *Machine) LogUnreachable() bool {
	return m.reading.platformUnreachable && m.topology.isReader(m.options.Readers)
}

// noticeOverdueRead takes the log for unreachable while the response to a read of tickets
// or of the newest ticket is overdue. The read goes on: a slow log still responds. The newest
// ticket gets more time, as it is large and may be on a slow link.
func (m *Machine) noticeOverdueRead(now time.Time) {
	r := &m.reading
	if !r.request.inFlight || r.platformUnreachable {
		return
	}
	delay := overdueDelay
	switch r.sent.(type) {
	case ReadTickets:
	case ReadNewestTicket:
		if r.responding {
			return
		}
		delay = m.options.RequestTimeout
	default:
		return
	}
	due := r.requestedAt.Add(r.wait + min(max(delay, 2*r.delay), m.options.ResponseLimit))
	if r.responding {
		due = r.respondedAt.Add(transferLimit)
	}
	if m.dueOrWake(now, due) {
		m.loseLog(now, r.sent, "the response is overdue")
	}
}

// loseLog notes that a request to the log failed or is overdue.
func (m *Machine) loseLog(now time.Time, failed Action, reason string) {
	m.reading.confirmed = false
	if !m.reading.platformUnreachable {
		m.reading.platformUnreachable, m.reading.unreachableSince = true, now
		m.emit(ReportCondition{Condition: PlatformUnreachable, Failed: failed, Reason: reason})
	}
}

// needsFullState reports whether to read a checkpoint or, on a compacted log, the newest
// ticket next: if records are missing, or once before the stream would be read from its
// start.
func (m *Machine) needsFullState() bool {
	coldStart := m.fold.NextOffset() == 0 && m.join.offset > 0 && !m.reading.checkpointTried
	return m.reading.recordsMissing || coldStart
}

func (m *Machine) handleTickets(now time.Time, records []Record) {
	if len(records) == 0 {
		m.handleEmptyRead()
		return
	}
	before, next := m.position(), m.fold.NextOffset()
	for _, record := range records {
		result, decided, err := m.applyRecord(record)
		if err != nil {
			m.reading.recordsMissing = true
			break
		}
		if decided {
			m.emit(ReportVerdict{Verdict: result.Verdict})
			m.addToHistory(result.Verdict.Position, result.Changes)
		}
	}
	m.finishRead(now)
	if m.fold.NextOffset() == next {
		return
	}
	m.checkpoints.recordsSinceCheckpoint += int(m.fold.NextOffset() - next)
	m.installAndPush(now, before)
}

// handleEmptyRead handles a read that found no ticket. The next one may follow at once if
// this one did not wait.
func (m *Machine) handleEmptyRead() {
	m.reading.request.succeeded()
	if m.reading.wait > 0 || !m.join.joined {
		m.reading.request.notBefore = m.reading.requestedAt.Add(emptyReadDelay)
	}
	if m.join.joined {
		m.reportCurrent(m.reading.requestedAt)
	}
}

// finishRead ends a read that had a response with records. If this node is still where it
// was when the read was sent, they were of no use, and the next read is delayed like after
// a failure.
func (m *Machine) finishRead(now time.Time) {
	if m.fold.NextOffset() > m.reading.requestedFrom {
		m.reading.request.succeeded()
		return
	}
	m.reading.request.failed(now, m.readRetryLimit(), m.random)
}

func (m *Machine) applyRecord(record Record) (result acceptance.Result, decided bool, err error) {
	if record.Skip {
		return acceptance.Result{}, false, m.fold.Skip(record.Offset)
	}
	return m.fold.Apply(record.Offset, record.Data)
}

// installAndPush installs and pushes tickets read from the log. The position was
// base before the read.
func (m *Machine) installAndPush(now time.Time, base uint64) {
	m.pushing.base = base
	m.installIfJoined(now)
	m.pushNewTickets(now)
}

// handleNewestTicket applies the newest ticket without the tickets before it, which
// it replaces.
func (m *Machine) handleNewestTicket(now time.Time, e NewestTicketRead) {
	before, next := m.position(), m.fold.NextOffset()
	for _, record := range e.Records {
		result, decided, err := m.fold.ApplyReplacement(record.Offset, record.Data)
		if err != nil {
			m.emit(ReportRefusedUpdate{Err: err})
			continue
		}
		if decided {
			m.emit(ReportVerdict{Verdict: result.Verdict})
			m.addReplacement(before, result.Changes)
		}
	}
	// This also skips a ticket that could not be applied; reading continues at Next.
	m.fold.SkipTo(e.Next)
	m.reading.recordsMissing = false
	m.finishRead(now)
	if m.fold.NextOffset() > next {
		m.installAndPush(now, before)
	}
}

// addReplacement adds the changes by the newest ticket to the history, so that it is pushed
// to the peers that are where this node was.
func (m *Machine) addReplacement(before uint64, changes []state.Resource) {
	switch {
	case before == 0:
		m.history.reset(m.position())
	case m.position() > before:
		m.history.addReplacement(m.position(), changes)
	}
}

func (m *Machine) addToHistory(position uint64, changes []state.Resource) {
	if len(changes) > 0 {
		m.history.add(position, changes)
	}
}

func (m *Machine) handleCheckpoint(now time.Time, e CheckpointRead) {
	m.reading.request.succeeded()
	m.reading.checkpointTried = true
	advanced := false
	if e.Found {
		advanced, _ = m.applyUpdate(e.Update)
	}
	if m.reading.recordsMissing && !advanced {
		m.emit(ReportCondition{Condition: LogTrimmed})
		m.reading.request.failed(now, maxRetryDelay, m.random)
	}
}

// noteReadResponse notes that the response to a read has begun, and how late.
func (m *Machine) noteReadResponse(now time.Time, delay time.Duration) {
	if r := &m.reading; !r.responding {
		r.responding, r.respondedAt = true, now
		r.delay = max(delay, r.delay/2)
	}
}

func (m *Machine) handlePlatformResponse(now time.Time) {
	r := &m.reading
	r.confirmed = m.topology.isReader(m.options.Readers)
	if r.platformUnreachable {
		r.platformUnreachable = false
		m.emit(ReportCondition{Condition: PlatformReachable, Delay: r.delay, Lasted: now.Sub(r.unreachableSince)})
	}
}

func (m *Machine) handlePlatformFailure(now time.Time, e PlatformFailed) {
	m.loseLog(now, e.Request, e.Reason)
	limit := m.readRetryLimit()
	switch r := e.Request.(type) {
	case ReadBounds:
		if r.Stream == StreamTickets {
			m.join.offsetRequest.failed(now, limit, m.random)
			return
		}
		m.checkpoints.request.failed(now, m.options.CheckpointInterval/10+initialRetryDelay, m.random)
	case WriteCheckpoint:
		m.checkpoints.request.failed(now, m.options.CheckpointInterval/10+initialRetryDelay, m.random)
	default:
		m.reading.request.failed(now, limit, m.random)
	}
}

// readRetryLimit limits the delay between two reads of the platform's log. For nodes that read in
// place of others it grows with the size of the domain, so that the calls of a domain that the log
// turns away stay few.
func (m *Machine) readRetryLimit() time.Duration {
	if m.topology.isDesignatedReader(m.options.Readers) {
		return maxReaderRetryDelay
	}
	return min(maxRetryDelay, maxReaderRetryDelay*time.Duration(len(m.topology.tree)))
}

func (m *Machine) handleBounds(now time.Time, e BoundsRead) {
	if e.Stream == StreamTickets {
		m.setJoinOffset(now, e.Next)
		return
	}
	m.handleCheckpointBounds(now, e.Next)
}
