package spread

import (
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/state"
)

// reading is the state of reading the platform's log.
type reading struct {
	tail    attempt
	started time.Time
	// trimmed says that the next records are past the log's retention, so that a
	// checkpoint or a peer has to bridge the gap.
	trimmed bool
	// checkpointRead says that a cold node has looked for a checkpoint.
	checkpointRead bool
	// lost says that the platform did not answer the last request.
	lost bool
}

func (m *Machine) wantTail(now time.Time) {
	if !m.wantsPlatform(now) || !m.ready(now, &m.reading.tail) {
		return
	}
	m.reading.tail.running = true
	m.reading.started = now
	switch {
	case m.reading.trimmed && m.options.CompactedLog:
		m.do(ReadNewestTicket{})
		return
	case m.needsCheckpoint():
		m.do(ReadCheckpoint{})
		return
	}
	m.do(ReadTickets{From: m.fold.NextOffset(), Wait: m.join.joined || m.options.CompactedLog})
}

func (m *Machine) needsCheckpoint() bool {
	cold := m.fold.NextOffset() == 0 && m.join.floor > 0 && !m.reading.checkpointRead
	return m.reading.trimmed || cold
}

func (m *Machine) takeTickets(now time.Time, records []Record) {
	m.reading.tail.succeeded()
	if len(records) == 0 {
		m.reading.tail.notBefore = m.reading.started.Add(emptyReadDelay)
	}
	before, next := m.position(), m.fold.NextOffset()
	for _, record := range records {
		result, done, err := m.foldRecord(record)
		if err != nil {
			m.reading.trimmed = true
			break
		}
		if done {
			m.do(ReportVerdict{Verdict: result.Verdict})
			m.remember(result.Verdict.Position, result.Changes)
		}
	}
	if m.fold.NextOffset() == next {
		return
	}
	m.checkpoints.folded += int(m.fold.NextOffset() - next)
	m.spreadRead(now, before)
}

func (m *Machine) foldRecord(record Record) (result acceptance.Result, done bool, err error) {
	if record.Skip {
		return acceptance.Result{}, false, m.fold.Skip(record.Offset)
	}
	return m.fold.Apply(record.Offset, record.Data)
}

// spreadRead installs and pushes what was read, which before was the base of.
func (m *Machine) spreadRead(now time.Time, before uint64) {
	m.pushing.base = before
	m.settleJoin()
	m.pushRead(now)
}

// takeNewest folds the newest ticket without those before it.
func (m *Machine) takeNewest(now time.Time, e NewestTicketRead) {
	if !e.ForJoin {
		m.reading.tail.succeeded()
	}
	before, next := m.position(), m.fold.NextOffset()
	for _, record := range e.Records {
		result, done, err := m.fold.ApplyReplacement(record.Offset, record.Data)
		if err != nil {
			m.do(ReportRefusedUpdate{Err: err})
			continue
		}
		if done {
			m.do(ReportVerdict{Verdict: result.Verdict})
			m.history.reset(m.position())
		}
	}
	m.fold.SkipTo(e.Next)
	m.reading.trimmed = false
	if e.ForJoin {
		m.takeFloor(now, e.Next)
	}
	if m.fold.NextOffset() > next {
		m.spreadRead(now, before)
	}
}

func (m *Machine) remember(position uint64, changes []state.Resource) {
	if len(changes) > 0 {
		m.history.add(position, changes)
	}
}

func (m *Machine) takeCheckpoint(now time.Time, e CheckpointRead) {
	m.reading.tail.succeeded()
	m.reading.checkpointRead = true
	moved := false
	if e.Found {
		moved, _ = m.adopt(e.Update)
	}
	if m.reading.trimmed && !moved {
		m.do(ReportCondition{Condition: LogTrimmed})
		m.reading.tail.failed(now, joinRetryMax, m.random)
	}
}

func (m *Machine) platformAnswered() {
	if m.reading.lost {
		m.reading.lost = false
		m.do(ReportCondition{Condition: PlatformReachable})
	}
}

func (m *Machine) platformFailed(now time.Time, request Action) {
	if !m.reading.lost {
		m.reading.lost = true
		m.do(ReportCondition{Condition: PlatformUnreachable})
	}
	limit := joinRetryMax
	if m.roster.reader(m.options.Readers) {
		limit = readerRetryMax
	}
	switch r := request.(type) {
	case ReadNewestTicket:
		if r.ForJoin {
			m.join.bounds.failed(now, limit, m.random)
			return
		}
		m.reading.tail.failed(now, limit, m.random)
	case ReadBounds:
		if r.Stream == StreamTickets {
			m.join.bounds.failed(now, limit, m.random)
			return
		}
		m.checkpoints.request.failed(now, m.options.CheckpointInterval/10+retryBase, m.random)
	case WriteCheckpoint:
		m.checkpoints.request.failed(now, m.options.CheckpointInterval/10+retryBase, m.random)
	default:
		m.reading.tail.failed(now, limit, m.random)
	}
}

func (m *Machine) takeBounds(now time.Time, e BoundsRead) {
	if e.Stream == StreamTickets {
		m.takeFloor(now, e.Next)
		return
	}
	m.takeCheckpointBounds(now, e.Next)
}
