package calls

import (
	"math"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/protocol/wire"
)

// toWireReport returns the report with its age, as clocks of nodes differ.
func toWireReport(now time.Time, report call.TargetReport) *wire.TargetReport {
	return &wire.TargetReport{
		Instance:    report.Process.Instance,
		StartedMs:   report.Process.StartedMS,
		RateLimited: report.Signals.RateLimited,
		RateLimit:   report.Signals.RateLimit,
		Leaving:     report.Signals.Leaving,
		AgeMs:       uint32(max(0, now.Sub(report.At).Milliseconds())),
	}
}

// fromWireReport returns the received report, or nil if there is none or its rate limit
// is no number of 0 or more.
func fromWireReport(now time.Time, report *wire.TargetReport) *call.TargetReport {
	if report == nil || !(report.RateLimit >= 0) || math.IsInf(report.RateLimit, 0) {
		return nil
	}
	return &call.TargetReport{
		Process: call.TargetProcess{Instance: report.Instance, StartedMS: report.StartedMs},
		Signals: call.TargetSignals{RateLimited: report.RateLimited, RateLimit: report.RateLimit, Leaving: report.Leaving},
		At:      now.Add(-time.Duration(report.AgeMs) * time.Millisecond),
	}
}

// targetReport returns the gate's report on its target for an entry, or nil if the
// target never stated anything.
func (r *Runner) targetReport() *wire.TargetReport {
	report, reported := r.signals.forEntries()
	if !reported {
		return nil
	}
	return toWireReport(r.options.Now(), report)
}

// adoptReport takes over what the entry knows of the local target.
func (r *Runner) adoptReport(report *wire.TargetReport) {
	known := fromWireReport(r.options.Now(), report)
	if known == nil || !r.signals.adopt(*known) {
		return
	}
	if t := r.target.Load(); t != nil && t.Process() == known.Process {
		r.options.OnTargetLeaving(t.Target)
	}
}
