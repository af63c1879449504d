package target

import (
	"net/http"
	"sync"
	"time"
)

// maxLedgerEntries bounds the ids of each kind that a ledger keeps.
const maxLedgerEntries = 2 << 20

// Entry is what a target did for one id. Times are in milliseconds since 1970.
type Entry struct {
	ID string `json:"id"`
	// Count is how often a request of this id was started.
	Count int `json:"count"`
	// Finished is how often one ran to its end.
	Finished int `json:"finished"`
	// Cancelled is how often one was cancelled while it ran.
	Cancelled int `json:"cancelled"`
	// StartedMS is when the first one started.
	StartedMS int64 `json:"started_ms"`
	// EndedMS is when the last one finished or was cancelled; 0 while none has.
	EndedMS int64 `json:"ended_ms"`
}

// Totals sum up a ledger.
type Totals struct {
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	// Shed counts requests refused for want of a slot.
	Shed int64 `json:"shed"`
	// Abandoned counts requests that ended while they waited for a slot.
	Abandoned int64 `json:"abandoned"`
	// StartedAfterDrain counts requests started after the target began to drain.
	StartedAfterDrain int64 `json:"late"`
	// LastStartAfterDrainMS is how long after that the last of them was started.
	LastStartAfterDrainMS int64 `json:"last_late_ms"`
	// PeakBusy is the greatest number of slots in use at once.
	PeakBusy int `json:"peak_busy"`
	// Dropped counts ids for which the ledger had no room.
	Dropped int64 `json:"dropped"`
}

// Ledger is the JSON of GET /ledger.
type Ledger struct {
	Totals Totals `json:"totals"`
	// Calls has an entry for each Jasminegate-Call-Id.
	Calls []Entry `json:"calls"`
	// Tests has an entry for each X-Test-Id.
	Tests []Entry `json:"tests"`
}

type ledger struct {
	now func() time.Time

	mu       sync.Mutex
	totals   Totals
	draining time.Time // zero while the target is ready
	calls    map[string]*Entry
	tests    map[string]*Entry
}

// run is one request in a slot.
type run struct {
	entries []*Entry
}

func newLedger(now func() time.Time) *ledger {
	return &ledger{now: now, calls: make(map[string]*Entry), tests: make(map[string]*Entry)}
}

func (l *ledger) start(callID, testID string) run {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.totals.Started++
	if !l.draining.IsZero() {
		l.totals.StartedAfterDrain++
		l.totals.LastStartAfterDrainMS = now.Sub(l.draining).Milliseconds()
	}
	var r run
	r.entries = l.open(r.entries, l.calls, callID, now)
	r.entries = l.open(r.entries, l.tests, testID, now)
	return r
}

func (l *ledger) open(entries []*Entry, table map[string]*Entry, id string, now time.Time) []*Entry {
	if id == "" {
		return entries
	}
	entry := table[id]
	if entry == nil && len(table) >= maxLedgerEntries {
		l.totals.Dropped++
		return entries
	}
	if entry == nil {
		entry = &Entry{ID: id, StartedMS: now.UnixMilli()}
		table[id] = entry
	}
	entry.Count++
	return append(entries, entry)
}

func (l *ledger) finish(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Finished++
	for _, entry := range r.entries {
		entry.Finished++
		entry.EndedMS = l.now().UnixMilli()
	}
}

func (l *ledger) cancel(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Cancelled++
	for _, entry := range r.entries {
		entry.Cancelled++
		entry.EndedMS = l.now().UnixMilli()
	}
}

func (l *ledger) shed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Shed++
}

func (l *ledger) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Abandoned++
}

func (l *ledger) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = l.now()
}

// snapshot returns a copy, without entries if totalsOnly.
func (l *ledger) snapshot(totalsOnly bool) Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := Ledger{Totals: l.totals}
	if !totalsOnly {
		result.Calls = entries(l.calls)
		result.Tests = entries(l.tests)
	}
	return result
}

func entries(table map[string]*Entry) []Entry {
	list := make([]Entry, 0, len(table))
	for _, entry := range table {
		list = append(list, *entry)
	}
	return list
}

// Ledger returns a copy of what the target ran.
func (t *Target) Ledger() Ledger {
	ledger := t.ledger.snapshot(false)
	ledger.Totals.PeakBusy = t.slots.occupancy().peak
	return ledger
}

func (t *Target) handleLedger(w http.ResponseWriter, r *http.Request) {
	ledger := t.ledger.snapshot(r.URL.Query().Has("totals"))
	ledger.Totals.PeakBusy = t.slots.occupancy().peak
	writeJSON(w, http.StatusOK, ledger)
}
