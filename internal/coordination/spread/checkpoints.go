package spread

import "time"

// unknownOffset says that the end of the checkpoints stream was not read yet.
const unknownOffset int64 = -1

// checkpointState is the writing of checkpointState. Each reader looks at the end of
// the stream when a checkpoint is due and writes one only if nobody did since it
// last looked. The readers' times are staggered, so normally the first reader of
// the fleet writes; two that write at once do no harm.
type checkpointState struct {
	request requestState
	// streamEnd is the end of the stream at the last look.
	streamEnd int64
	due       time.Time
	// lastWrite is when this node last wrote.
	lastWrite time.Time
	// recordsSinceCheckpoint counts records since the last checkpoint that this node knows of.
	recordsSinceCheckpoint int
}

func (m *Machine) maybeCheckpoint(now time.Time) {
	c := &m.checkpoints
	if m.options.Keyed || !m.join.joined || !m.topology.isReader(m.options.Readers) {
		c.due = time.Time{}
		c.streamEnd = unknownOffset
		return
	}
	if c.due.IsZero() {
		c.due = now.Add(min(minCheckpointInterval, m.options.CheckpointInterval) + m.staggerDelay())
	}
	if c.recordsSinceCheckpoint >= maxRecordsSinceCheckpoint {
		c.recordsSinceCheckpoint = 0
		c.due = later(c.lastWrite.Add(minCheckpointInterval), earlier(c.due, now.Add(m.staggerDelay())))
	}
	if c.streamEnd != unknownOffset && !m.dueOrWake(now, c.due) {
		return
	}
	if m.ready(now, &c.request) {
		c.request.inFlight = true
		m.emit(ReadBounds{Stream: Checkpoints})
	}
}

func (m *Machine) handleCheckpointBounds(now time.Time, next int64) {
	c := &m.checkpoints
	c.request.succeeded()
	changed := c.streamEnd != next
	first := c.streamEnd == unknownOffset
	c.streamEnd = next
	switch {
	case first || now.Before(c.due):
	case changed || m.fold.Next() == 0:
		m.scheduleCheckpoint(now)
	default:
		c.request.inFlight = true
		m.emit(WriteCheckpoint{Update: m.fold.Whole()})
	}
}

func (m *Machine) handleCheckpointWritten(now time.Time, offset int64) {
	m.checkpoints.request.succeeded()
	m.checkpoints.streamEnd = offset + 1
	m.checkpoints.lastWrite = now
	m.scheduleCheckpoint(now)
}

func (m *Machine) scheduleCheckpoint(now time.Time) {
	m.checkpoints.recordsSinceCheckpoint = 0
	m.checkpoints.due = now.Add(m.options.CheckpointInterval + m.staggerDelay())
}

// staggerDelay grows with the readers of the fleet that are placed before this one.
func (m *Machine) staggerDelay() time.Duration {
	place := m.topology.readerRank*m.topology.domainCount + m.topology.domainRank
	unit := min(checkpointStagger, m.options.CheckpointInterval/checkpointStaggerDivisor)
	return time.Duration(place) * unit
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
