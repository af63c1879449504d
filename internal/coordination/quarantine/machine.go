// Package quarantine decides which requests are refused because targets crash under them.
//
// Load pattern: a request that crashes each target that begins to run it comes again and again, at
// any node, while other calls run at the same targets.
//
// A crash ends every run at its target, so that it alone proves nothing about one of them. A gate
// therefore notes a crash with each request that ran, and drops what it noted when the same request
// ends well at any target. A request that was known to be suspected when it was started again, and
// under which a target crashed again, is refused: after two crashes if no other suspect ran there,
// otherwise after three.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxRecords bounds the requests that are suspected or refused.
	maxRecords = 256
	// lostWindow is how long a run without a response still counts as one that ran when its
	// target crashed.
	lostWindow = 500 * time.Millisecond
)

// Event is an input of the machine.
type Event interface{ event() }

// Started says that a run begins at the local target. Known is the number of crashes under the
// request that its entry knows of.
type Started struct {
	Run         uint64
	Fingerprint uint64
	Description Description
	Known       int
}

// Ended says that a run ended. Answered is set if the target sent a whole response to it.
type Ended struct {
	Run      uint64
	Answered bool
}

// Lost says that a run ended without a response because the target's connection broke, or because
// it was cancelled.
type Lost struct{ Run uint64 }

// TargetCrashed says that the local target is gone, unplanned. Crash is unique in the fleet.
type TargetCrashed struct{ Crash uint64 }

// Learned holds another node's records.
type Learned struct{ Records []Record }

// Lifted drops what is known about a request, for an operator.
type Lifted struct{ Fingerprint uint64 }

func (Started) event()       {}
func (Ended) event()         {}
func (Lost) event()          {}
func (TargetCrashed) event() {}
func (Learned) event()       {}
func (Lifted) event()        {}

// Action is an output of the machine.
type Action interface{ action() }

// Share sends records to all nodes.
type Share struct{ Records []Record }

// Refuse says that the request is in quarantine from now on. Observed is set if this node's target
// crashed, and not set for a record learned from another node.
type Refuse struct {
	Record   Record
	Observed bool
}

// Allow says that a request is no longer in quarantine. Observed is as in Refuse, for a request
// that ended well here or was lifted here.
type Allow struct {
	Record   Record
	Observed bool
}

func (Share) action()  {}
func (Refuse) action() {}
func (Allow) action()  {}

// run is one run at the local target. lostAt is zero while it runs.
type run struct {
	fingerprint uint64
	description Description
	known       int
	lostAt      time.Time
}

// Machine is not safe for concurrent use.
type Machine struct {
	// lifetime is how long a record is kept after the last crash.
	lifetime time.Duration
	records  map[uint64]Record
	runs     map[uint64]*run
	// lastCrash is the last crash of the local target.
	lastCrash uint64
}

// New returns a machine that keeps a record for lifetime after the last crash.
func New(lifetime time.Duration) *Machine {
	return &Machine{lifetime: lifetime, records: make(map[uint64]Record), runs: make(map[uint64]*run)}
}

// Step applies an event.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.expire(now)
	switch e := event.(type) {
	case Started:
		m.start(e)
	case Ended:
		return m.end(e)
	case Lost:
		if r := m.runs[e.Run]; r != nil {
			r.lostAt = now
		}
	case TargetCrashed:
		return m.targetCrashed(now, e)
	case Learned:
		return m.learn(now, e.Records)
	case Lifted:
		return m.lift(e.Fingerprint)
	}
	return nil
}

// Refused returns how long the request is refused, and whether it is.
func (m *Machine) Refused(now time.Time, fingerprint uint64) (time.Duration, bool) {
	record, ok := m.records[fingerprint]
	if !ok || !record.Refused() || !now.Before(record.ExpiresAt) {
		return 0, false
	}
	return record.ExpiresAt.Sub(now), true
}

// Known returns the number of crashes noted with the request.
func (m *Machine) Known(fingerprint uint64) int { return len(m.records[fingerprint].Crashes) }

// Records returns all records, ordered by fingerprint.
func (m *Machine) Records(now time.Time) []Record {
	m.expire(now)
	return slices.SortedFunc(maps.Values(m.records), func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}

// Digest is equal for nodes with the same evidence, and 0 without any.
func (m *Machine) Digest() uint64 {
	digest := uint64(0)
	for _, record := range m.records {
		digest ^= record.digest()
	}
	return digest
}

// Empty reports whether there is nothing to refuse, to share or to expire.
func (m *Machine) Empty() bool { return len(m.records) == 0 }

func (m *Machine) start(e Started) {
	if e.Fingerprint == 0 {
		return // sent by an entry of an earlier release
	}
	known := max(e.Known, len(m.records[e.Fingerprint].Crashes))
	m.runs[e.Run] = &run{fingerprint: e.Fingerprint, description: e.Description, known: known}
}

func (m *Machine) end(e Ended) []Action {
	ended := m.runs[e.Run]
	delete(m.runs, e.Run)
	if ended == nil || !e.Answered {
		return nil
	}
	record, ok := m.records[ended.fingerprint]
	if !ok || len(record.Crashes) == 0 {
		return nil
	}
	actions := m.drop(record)
	if len(record.Crashes) < crashesIfAlone {
		return nil // refused nowhere: the next exchange tells the others
	}
	return actions
}

// drop clears the evidence against a request.
func (m *Machine) drop(record Record) []Action {
	cleared := record.clear()
	m.records[record.Fingerprint] = cleared
	actions := []Action{Share{Records: []Record{cleared}}}
	if record.Refused() {
		actions = append(actions, Allow{Record: cleared, Observed: true})
	}
	return actions
}

func (m *Machine) lift(fingerprint uint64) []Action {
	record, ok := m.records[fingerprint]
	if !ok || len(record.Crashes) == 0 {
		return nil
	}
	return m.drop(record)
}

// targetCrashed notes the crash with all requests that ran.
func (m *Machine) targetCrashed(now time.Time, e TargetCrashed) []Action {
	if e.Crash == m.lastCrash {
		return nil // another run of the same crash
	}
	m.lastCrash = e.Crash
	ran := m.ranAtCrash(now)
	again := 0
	for _, r := range ran {
		if r.known > 0 {
			again++
		}
	}
	var changed []Record
	var actions []Action
	for _, fingerprint := range slices.Sorted(maps.Keys(ran)) {
		r := ran[fingerprint]
		previous := m.records[fingerprint]
		previous.Fingerprint, previous.Description = fingerprint, r.description
		record := previous.withCrash(e.Crash, r.known > 0, r.known > 0 && again == 1, now.Add(m.lifetime))
		m.store(record)
		changed = append(changed, record)
		if record.Refused() && !previous.Refused() {
			actions = append(actions, Refuse{Record: record, Observed: true})
		}
	}
	if len(changed) > 0 {
		actions = append(actions, Share{Records: changed})
	}
	return actions
}

// ranAtCrash returns the requests that ran, by fingerprint, and ends their runs. Of several runs
// of a request it returns the one that was started knowing most.
func (m *Machine) ranAtCrash(now time.Time) map[uint64]*run {
	ran := make(map[uint64]*run)
	for id, r := range m.runs {
		delete(m.runs, id)
		if !r.lostAt.IsZero() && now.Sub(r.lostAt) > lostWindow {
			continue
		}
		if other := ran[r.fingerprint]; other == nil || r.known > other.known {
			ran[r.fingerprint] = r
		}
	}
	return ran
}

// learn merges records of another node.
func (m *Machine) learn(now time.Time, records []Record) []Action {
	var actions []Action
	for _, learned := range records {
		if learned.Fingerprint == 0 || !now.Before(learned.ExpiresAt) {
			continue
		}
		learned.ExpiresAt = earlier(learned.ExpiresAt, now.Add(m.lifetime))
		previous, known := m.records[learned.Fingerprint]
		record := learned
		if known {
			record = merge(previous, learned)
		}
		m.store(record)
		switch {
		case record.Refused() && !previous.Refused():
			actions = append(actions, Refuse{Record: record})
		case previous.Refused() && !record.Refused():
			actions = append(actions, Allow{Record: record})
		}
	}
	return actions
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// store keeps the record. If there are too many, the one with the fewest crashes goes, of these
// the one that expires first.
func (m *Machine) store(record Record) {
	m.records[record.Fingerprint] = record
	if len(m.records) <= maxRecords {
		return
	}
	least := record
	for _, r := range m.records {
		if cmp.Or(cmp.Compare(len(r.Crashes), len(least.Crashes)), r.ExpiresAt.Compare(least.ExpiresAt), cmp.Compare(r.Fingerprint, least.Fingerprint)) < 0 {
			least = r
		}
	}
	delete(m.records, least.Fingerprint)
}

// expire drops what is out of date.
func (m *Machine) expire(now time.Time) {
	for fingerprint, record := range m.records {
		if !now.Before(record.ExpiresAt) {
			delete(m.records, fingerprint)
		}
	}
	for id, r := range m.runs {
		if !r.lostAt.IsZero() && now.Sub(r.lostAt) > lostWindow {
			delete(m.runs, id)
		}
	}
}
