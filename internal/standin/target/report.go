package target

import (
	"net/http"
	"sync"
	"time"
)

// maxReports limits the past reports that are kept.
const maxReports = 4096

// Report is the JSON body of GET /load and GET /health. GET /health has status
// 200 if State is ready and 503 otherwise.
type Report struct {
	State  State `json:"state"`
	Slots  int   `json:"slots"`
	Busy   int   `json:"busy"`
	Queued int   `json:"queued"`
}

type pastReport struct {
	at     time.Time
	report Report
}

// reports keeps past reports for ReportLagging.
type reports struct {
	now func() time.Time

	mu   sync.Mutex
	past []pastReport
}

func newReports(now func() time.Time) *reports {
	return &reports{now: now}
}

func (r *reports) add(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.past) == maxReports {
		r.past = append(r.past[:0], r.past[maxReports/2:]...)
	}
	r.past = append(r.past, pastReport{r.now(), report})
}

// before returns the newest report that is at least lag old, or the oldest one if
// there is none.
func (r *reports) before(lag time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.now().Add(-lag)
	for i := len(r.past) - 1; i > 0; i-- {
		if !r.past[i].at.After(limit) {
			return r.past[i].report
		}
	}
	return r.past[0].report
}

// report returns the current report. The caller holds t.mu.
func (t *Target) report() Report {
	use := t.slots.occupancy()
	return Report{State: t.state, Slots: t.options.AnnouncedSlots, Busy: use.busy, Queued: use.queued}
}

// record adds the current report to the past reports.
func (t *Target) record() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports.add(t.report())
}

// Report returns the report that the endpoints give in the current mode.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.mode.Reporting {
	case ReportLagging:
		return t.reports.before(t.mode.lag())
	case ReportIdle:
		return Report{State: StateReady, Slots: t.options.AnnouncedSlots}
	case ReportFailed:
		return Report{State: StateDraining, Slots: t.options.AnnouncedSlots, Busy: t.options.AnnouncedSlots}
	}
	return t.report()
}

func (t *Target) handleLoad(w http.ResponseWriter, r *http.Request) {
	t.probe(r)
	writeJSON(w, http.StatusOK, t.Report())
}

func (t *Target) handleHealth(w http.ResponseWriter, r *http.Request) {
	t.probe(r)
	report := t.Report()
	status := http.StatusOK
	if report.State != StateReady {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, report)
}

// probe waits for the response time of a probe.
func (t *Target) probe(r *http.Request) {
	sleep(r.Context(), time.Duration(t.Mode().ProbeMS)*time.Millisecond)
}
