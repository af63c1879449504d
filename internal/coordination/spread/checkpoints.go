package spread

import "time"

// unknownOffset says that the end of the checkpoints stream was not read yet.
const unknownOffset int64 = -1

// checkpoints is the writing of checkpoints. Each reader looks at the end of
// the stream when a checkpoint is due and writes one only if nobody did since it
// last looked. The readers' times are staggered, so normally the first reader of
// the fleet writes; two that write at once do no harm.
type checkpoints struct {
	request attempt
	// known is the end of the stream at the last look.
	known int64
	due   time.Time
	// written is when this node last wrote.
	written time.Time
	// folded counts records since the last checkpoint that this node knows of.
	folded int
}

func (m *Machine) wantCheckpoint(now time.Time) {
	c := &m.checkpoints
	if m.options.CompactedLog || !m.join.joined || !m.roster.reader(m.options.Readers) {
		c.due = time.Time{}
		c.known = unknownOffset
		return
	}
	if c.due.IsZero() {
		c.due = now.Add(min(checkpointSettle, m.options.CheckpointInterval) + m.stagger())
	}
	if c.folded >= checkpointRecords {
		c.folded = 0
		c.due = later(c.written.Add(checkpointSettle), earlier(c.due, now.Add(m.stagger())))
	}
	if c.known != unknownOffset && !m.due(now, c.due) {
		return
	}
	if m.ready(now, &c.request) {
		c.request.running = true
		m.do(ReadBounds{Stream: StreamCheckpoints})
	}
}

func (m *Machine) takeCheckpointBounds(now time.Time, next int64) {
	c := &m.checkpoints
	c.request.succeeded()
	changed := c.known != next
	first := c.known == unknownOffset
	c.known = next
	switch {
	case first || now.Before(c.due):
	case changed || m.fold.NextOffset() == 0:
		m.scheduleCheckpoint(now)
	default:
		c.request.running = true
		m.do(WriteCheckpoint{Update: m.fold.FullUpdate()})
	}
}

func (m *Machine) checkpointWritten(now time.Time, offset int64) {
	m.checkpoints.request.succeeded()
	m.checkpoints.known = offset + 1
	m.checkpoints.written = now
	m.scheduleCheckpoint(now)
}

func (m *Machine) scheduleCheckpoint(now time.Time) {
	m.checkpoints.folded = 0
	m.checkpoints.due = now.Add(m.options.CheckpointInterval + m.stagger())
}

// stagger grows with the readers of the fleet that are placed before this one.
func (m *Machine) stagger() time.Duration {
	place := m.roster.rank*m.roster.domains + m.roster.domainRank
	unit := min(checkpointStagger, m.options.CheckpointInterval/checkpointPlaces)
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
