package entry

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// reportRetention is how long the report on the target of an endpoint that is gone is
// kept: an instance whose node restarts is back earlier.
const reportRetention = 10 * time.Minute

func (m *Machine) recordReport(ep *endpoint, report *call.TargetReport) {
	if report != nil {
		m.targetReports[ep.ID] = *report
	}
}

// reportFor returns the report that a call to the endpoint carries, or nil if its
// target states nothing.
func (m *Machine) reportFor(ep *endpoint) *call.TargetReport {
	report := m.targetReports[ep.ID]
	if report.Signals == (call.TargetSignals{}) {
		return nil
	}
	return &report
}

// forgetOldReports drops the old reports on endpoints that are gone.
func (m *Machine) forgetOldReports(now time.Time) {
	for id, report := range m.targetReports {
		if m.endpoints[id] == nil && now.Sub(report.At) > reportRetention {
			delete(m.targetReports, id)
		}
	}
}
