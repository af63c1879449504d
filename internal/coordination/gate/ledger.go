package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// record is a started call, running or finished.
type record struct {
	id         call.ID
	background bool
	route      string
	idempotent bool
	started    time.Time
	done       bool
	finished   time.Time
	// retainedBytes is the size of the retained response; negative means that no
	// response is retained.
	retainedBytes int64
	key           string
	fingerprint   uint64
}

// ledger records the running calls and, up to limits on age, number and response
// bytes, the finished non-idempotent calls. Beyond the limits it evicts the oldest
// first.
type ledger struct {
	records map[call.ID]*record
	// keys finds the record of an idempotency key.
	keys map[string]*record
	// finished lists the finished records in order of completion.
	finished []*record
	running  int
	// retainedBytes is the total size of the retained responses.
	retainedBytes int64
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

// finish marks the call as finished and retains its record if keep is true.
func (l *ledger) finish(now time.Time, r *record, keep bool, bytes int64) {
	l.running--
	if !keep {
		l.forget(r)
		return
	}
	r.done = true
	r.finished = now
	r.retainedBytes = bytes
	l.retainedBytes += max(0, bytes)
	l.finished = append(l.finished, r)
}

func (l *ledger) forget(r *record) {
	delete(l.records, r.id)
	if l.keys[r.key] == r {
		delete(l.keys, r.key)
	}
}

// evict drops the oldest finished records beyond the limits.
func (l *ledger) evict(now time.Time, o Options) []Action {
	var actions []Action
	for len(l.finished) > 0 {
		oldest := l.finished[0]
		old := now.Sub(oldest.finished) > o.Retention
		if !old && len(l.finished) <= o.MaxRecords && l.retainedBytes <= o.MaxRetainedBytes {
			break
		}
		l.finished[0] = nil
		l.finished = l.finished[1:]
		l.retainedBytes -= max(0, oldest.retainedBytes)
		l.forget(oldest)
		actions = append(actions, Evict{ID: oldest.id})
	}
	return actions
}
