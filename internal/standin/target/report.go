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

// reportHistory keeps past reports for ReportLagging.
type reportHistory struct {
	now func() time.Time

	mu   sync.Mutex
	past []pastReport
}

func newReportHistory(now func() time.Time) *reportHistory {
	return &reportHistory{now: now}
}

func (r *reportHistory) add(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.past) == maxReports {
		r.past = append(r.past[:0], r.past[maxReports/2:]...)
	}
	r.past = append(r.past, pastReport{r.now(), report})
}

// olderThan returns the newest report that is at least lag old, or the oldest
// one if there is none.
func (r *reportHistory) olderThan(lag time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.now().Add(-lag)
	for i := len(r.past) - 1; i > 0; i-- {
		if !r.past[i].at.After(latest) {
			return r.past[i].report
		}
	}
	return r.past[0].report
}

// currentReport returns the current report. The caller holds t.mu.
func (t *Target) currentReport() Report {
	use := t.slots.occupancy()
	return Report{State: t.state, Slots: t.options.AnnouncedSlots, Busy: use.busy, Queued: use.queued}
}

// recordReport adds the current report to the history.
func (t *Target) recordReport() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportHistory.add(t.currentReport())
}

// Report returns the report that the endpoints give in the current mode.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.mode.Reporting {
	case ReportLagging:
		return t.reportHistory.olderThan(t.mode.lag())
	case ReportIdle:
		return Report{State: StateReady, Slots: t.options.AnnouncedSlots}
	case ReportFailed:
		return Report{State: StateDraining, Slots: t.options.AnnouncedSlots, Busy: t.options.AnnouncedSlots}
	}
	return t.currentReport()
}

func (t *Target) handleLoad(w http.ResponseWriter, r *http.Request) {
	t.delayProbe(r)
	writeJSON(w, http.StatusOK, t.Report())
}

func (t *Target) handleHealth(w http.ResponseWriter, r *http.Request) {
	t.delayProbe(r)
	report := t.Report()
	status := http.StatusOK
	if report.State != StateReady {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, report)
}

// delayProbe waits for the response time of the health and load endpoints.
func (t *Target) delayProbe(r *http.Request) {
	sleep(r.Context(), time.Duration(t.Mode().ProbeMS)*time.Millisecond)
}
