package target

import (
	"net/http"
	"sync"
	"time"
)

// maxLedgerEntries limits the call IDs and the test IDs of a ledger, each.
const maxLedgerEntries = 2 << 20

// RunRecord records the requests that a target ran for one ID. Times are in Unix
// milliseconds.
type RunRecord struct {
	ID string `json:"id"`
	// Count is the number of requests with this ID that were started.
	Count int `json:"count"`
	// Finished is the number of them that ran to completion.
	Finished int `json:"finished"`
	// Cancelled is the number of them that were cancelled while they ran.
	Cancelled int `json:"cancelled"`
	// StartedMS is when the first one started.
	StartedMS int64 `json:"started_ms"`
	// EndedMS is when the last one finished or was cancelled; 0 if none has
	// ended.
	EndedMS int64 `json:"ended_ms"`
}

// Totals are the counters of a ledger over all requests.
type Totals struct {
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	// Shed counts requests refused because no slot was free.
	Shed int64 `json:"shed"`
	// Abandoned counts requests cancelled before they got a slot.
	Abandoned int64 `json:"abandoned"`
	// StartedAfterDrain counts requests started after the target began to drain.
	StartedAfterDrain int64 `json:"late"`
	// LastStartAfterDrainMS is the time from the start of the drain to the
	// start of the last such request, in milliseconds.
	LastStartAfterDrainMS int64 `json:"last_late_ms"`
	// PeakBusy is the largest number of slots in use at once.
	PeakBusy int `json:"peak_busy"`
	// Dropped counts IDs that were not recorded because the ledger was full.
	Dropped int64 `json:"dropped"`
}

// Ledger is the JSON body of GET /ledger: the requests that the simulated target
// ran. It is not the ledger of a gate.
type Ledger struct {
	Totals Totals `json:"totals"`
	// Calls has an entry for each Jasminegate-Call-Id.
	Calls []RunRecord `json:"calls"`
	// Tests has an entry for each X-Test-Id.
	Tests []RunRecord `json:"tests"`
}

// ledger counts the requests of a target by call ID and by test ID.
type ledger struct {
	now func() time.Time

	mu         sync.Mutex
	totals     Totals
	drainStart time.Time // zero until the target drains
	calls      map[string]*RunRecord
	tests      map[string]*RunRecord
}

// run is a request that occupies a slot, with the ledger entries to update when
// it ends.
type run struct {
	entries []*RunRecord
}

func newLedger(now func() time.Time) *ledger {
	return &ledger{now: now, calls: make(map[string]*RunRecord), tests: make(map[string]*RunRecord)}
}

func (l *ledger) start(callID, testID string) run {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.totals.Started++
	if !l.drainStart.IsZero() {
		l.totals.StartedAfterDrain++
		l.totals.LastStartAfterDrainMS = now.Sub(l.drainStart).Milliseconds()
	}
	var r run
	r.entries = l.countStart(r.entries, l.calls, callID, now)
	r.entries = l.countStart(r.entries, l.tests, testID, now)
	return r
}

// countStart counts a started request in the entry of id, which it creates if
// needed, and appends the entry to entries. An empty id is ignored; an id that a
// full table has no room for is counted as dropped.
func (l *ledger) countStart(entries []*RunRecord, table map[string]*RunRecord, id string, now time.Time) []*RunRecord {
	if id == "" {
		return entries
	}
	entry := table[id]
	if entry == nil && len(table) >= maxLedgerEntries {
		l.totals.Dropped++
		return entries
	}
	if entry == nil {
		entry = &RunRecord{ID: id, StartedMS: now.UnixMilli()}
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
	l.drainStart = l.now()
}

// snapshot returns a copy of the ledger, without entries if totalsOnly.
func (l *ledger) snapshot(totalsOnly bool) Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := Ledger{Totals: l.totals}
	if !totalsOnly {
		result.Calls = copyEntries(l.calls)
		result.Tests = copyEntries(l.tests)
	}
	return result
}

func copyEntries(table map[string]*RunRecord) []RunRecord {
	list := make([]RunRecord, 0, len(table))
	for _, entry := range table {
		list = append(list, *entry)
	}
	return list
}

// Ledger returns a copy of the target's ledger.
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
