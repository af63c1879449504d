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
	retriedIfLost bool
	// connections counts the connections to entries that wait for the response.
	connections int
}

// ledger records the running calls and, up to limits on age, number and response
// bytes, the finished calls. Beyond the limits it evicts the oldest first.
type ledger struct {
	records map[call.ID]*record
	// keys finds the record of an idempotency key.
	keys map[string]*record
	// finished lists the finished records of non-idempotent calls in order of
	// completion, recent those of idempotent calls.
	finished []*record
	recent   []*record
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

// finish marks the call as finished and retains its record if keep is true: for
// Options.Retention, or for orphanGrace if the call is idempotent.
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
	if r.idempotent {
		l.recent = append(l.recent, r)
		return
	}
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
	actions := l.evictFrom(&l.recent, now, orphanGrace, o)
	return append(actions, l.evictFrom(&l.finished, now, o.Retention, o)...)
}

func (l *ledger) evictFrom(list *[]*record, now time.Time, retention time.Duration, o Options) []Action {
	var actions []Action
	for len(*list) > 0 {
		oldest := (*list)[0]
		old := now.Sub(oldest.finished) > retention
		if !old && len(*list) <= o.MaxRecords && l.retainedBytes <= o.MaxRetainedBytes {
			break
		}
		(*list)[0] = nil
		*list = (*list)[1:]
		l.retainedBytes -= max(0, oldest.retainedBytes)
		l.forget(oldest)
		actions = append(actions, Evict{ID: oldest.id})
	}
	return actions
}
