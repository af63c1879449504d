package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// record is a call that was started and is running or done.
type record struct {
	id          call.ID
	background  bool
	route       string
	idempotent  bool
	started     time.Time
	done        bool
	finished    time.Time
	keptBytes   int64
	key         string
	fingerprint uint64
}

// ledger keeps running calls, and finished non-idempotent ones up to a bound
// of time, number and answer bytes, the oldest leaving first.
type ledger struct {
	records map[call.ID]*record
	keys    map[string]*record
	// finished lists done records in the order of their ends.
	finished  []*record
	running   int
	keptBytes int64
}

func newLedger() ledger {
	return ledger{records: make(map[call.ID]*record), keys: make(map[string]*record)}
}

func (l *ledger) start(r *record) {
	l.records[r.id] = r
	l.running++
	if r.key != "" {
		l.keys[r.key] = r
	}
}

// finish marks the call done. It is kept when keep is true.
func (l *ledger) finish(now time.Time, r *record, keep bool, bytes int64) {
	l.running--
	if !keep {
		l.forget(r)
		return
	}
	r.done = true
	r.finished = now
	r.keptBytes = bytes
	l.keptBytes += max(0, bytes)
	l.finished = append(l.finished, r)
}

func (l *ledger) forget(r *record) {
	delete(l.records, r.id)
	if l.keys[r.key] == r {
		delete(l.keys, r.key)
	}
}

// evict drops the oldest done records beyond the bounds.
func (l *ledger) evict(now time.Time, o Options) []Action {
	var actions []Action
	for len(l.finished) > 0 {
		oldest := l.finished[0]
		old := now.Sub(oldest.finished) > o.Retention
		if !old && len(l.finished) <= o.MaxRecords && l.keptBytes <= o.MaxRetainedBytes {
			break
		}
		l.finished[0] = nil
		l.finished = l.finished[1:]
		l.keptBytes -= max(0, oldest.keptBytes)
		l.forget(oldest)
		actions = append(actions, Evict{ID: oldest.id})
	}
	return actions
}
