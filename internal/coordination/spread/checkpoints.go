package spread

import "time"

// unknownOffset means that the end of the checkpoints stream was not read yet.
const unknownOffset int64 = -1

// checkpointState schedules the writing of checkpoints. A new reader first reads
// the end of the checkpoints stream, for comparison. When a checkpoint is due, it
// reads the end again and writes only if the end is unchanged, that is, if no other
// node has written in between. The due times of the readers are
// staggered, so normally only the first reader of the fleet writes. Two
// simultaneous writes are harmless.
type checkpointState struct {
	request requestState
	// streamEnd is the end of the checkpoints stream as last read or written.
	streamEnd int64
	// due is when the next checkpoint is due, or zero while this node writes none.
	due time.Time
	// lastWrite is when this node last wrote a checkpoint.
	lastWrite time.Time
	// recordsSinceCheckpoint counts the records read since the newest checkpoint
	// that this node knows of.
	recordsSinceCheckpoint int
}

func (m *Machine) maybeCheckpoint(now time.Time) {
	c := &m.checkpoints
	if m.options.CompactedLog || !m.join.joined || !m.topology.isReader(m.options.Readers) {
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
		m.emit(ReadBounds{Stream: StreamCheckpoints})
	}
}

func (m *Machine) handleCheckpointBounds(now time.Time, next int64) {
	c := &m.checkpoints
	c.request.succeeded()
	changed := c.streamEnd != next
	firstRead := c.streamEnd == unknownOffset
	c.streamEnd = next
	switch {
	case firstRead || now.Before(c.due):
		// A first read only records the end; otherwise no checkpoint is due.
	case changed || m.fold.NextOffset() == 0:
		m.scheduleCheckpoint(now)
	default:
		c.request.inFlight = true
		m.emit(WriteCheckpoint{Update: m.fold.FullUpdate()})
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

// staggerDelay returns a delay that grows with the number of readers of the fleet
// that come before this one.
func (m *Machine) staggerDelay() time.Duration {
	precedingReaders := m.topology.readerRank*m.topology.domainCount + m.topology.domainRank
	unit := min(checkpointStagger, m.options.CheckpointInterval/checkpointStaggerDivisor)
	return time.Duration(precedingReaders) * unit
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
