package node

import (
	"math"
	"time"

	"jasminegate/internal/coordination/rollout"
	"jasminegate/internal/protocol/wire"
)

func recordsToWire(now time.Time, records []rollout.Record) []*wire.RolloutRecord {
	encoded := make([]*wire.RolloutRecord, len(records))
	for i, r := range records {
		encoded[i] = &wire.RolloutRecord{
			Service: r.Service, Order: r.Order, TargetVersion: r.TargetVersion, PreviousVersion: r.PreviousVersion,
			DurationMs: milliseconds(r.Duration), ElapsedMs: milliseconds(r.Elapsed(now)), Phase: uint32(r.Phase), Reason: r.Reason,
		}
	}
	return encoded
}

// storedRecord encodes a record for the platform, where it may be read much later.
func storedRecord(r rollout.Record) *wire.RolloutRecord {
	encoded := recordsToWire(r.AcceptedAt, []rollout.Record{r})[0]
	encoded.AcceptedMs = r.AcceptedAt.UnixMilli()
	return encoded
}

// recordsFromWire skips invalid records, which no node could have written.
func recordsFromWire(now time.Time, encoded []*wire.RolloutRecord) []rollout.Record {
	var records []rollout.Record
	for _, r := range encoded {
		if r.GetService() == "" || r.GetOrder() == 0 || r.GetTargetVersion() == "" || r.GetPhase() > uint32(rollout.Completed) {
			continue
		}
		record := rollout.Record{
			Service: r.GetService(), Order: r.GetOrder(), TargetVersion: r.GetTargetVersion(), PreviousVersion: r.GetPreviousVersion(),
			Duration:   time.Duration(r.GetDurationMs()) * time.Millisecond,
			AcceptedAt: now.Add(-time.Duration(r.GetElapsedMs()) * time.Millisecond),
			Phase:      rollout.Phase(r.GetPhase()), Reason: r.GetReason(),
		}
		if r.GetAcceptedMs() > 0 {
			// The difference of two wall-clock times, applied to a time with a monotonic clock.
			record.AcceptedAt = now.Add(-max(0, now.Sub(time.UnixMilli(r.GetAcceptedMs()))))
		}
		records = append(records, record)
	}
	return records
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func rolloutReportToWire(r rollout.Report) *wire.RolloutReport {
	encoded := &wire.RolloutReport{
		Node: r.Node, Incarnation: r.Incarnation, Domain: r.Domain, Service: r.Service, Order: r.Order,
		Calls: r.Calls, Exposed: r.Exposed, Idle: r.Idle, Stopped: r.Stopped,
	}
	for _, s := range r.Stats {
		encoded.Stats = append(encoded.Stats, &wire.VersionStats{
			Version: s.Version, Route: s.Route, Endpoint: s.Endpoint, Successes: s.Successes, Failures: s.Failures,
			Slow: s.Slow, LogSum: s.LogSum, LogSquares: s.LogSquares,
		})
	}
	return encoded
}

func reportFromWire(now time.Time, r *wire.RolloutReport) rollout.Report {
	report := rollout.Report{
		Node: r.GetNode(), Incarnation: r.GetIncarnation(), Domain: r.GetDomain(), Service: r.GetService(), Order: r.GetOrder(),
		Calls: r.GetCalls(), Exposed: r.GetExposed(), Idle: r.GetIdle(), Stopped: r.GetStopped(), SentAt: now,
	}
	for _, s := range r.GetStats() {
		report.Stats = append(report.Stats, rollout.VersionStats{
			Version: s.GetVersion(), Route: s.GetRoute(), Endpoint: s.GetEndpoint(), Successes: s.GetSuccesses(), Failures: s.GetFailures(),
			Slow: s.GetSlow(), LogSum: s.GetLogSum(), LogSquares: s.GetLogSquares(),
		})
	}
	return report
}

func directiveToWire(now time.Time, d rollout.Directive) *wire.RolloutDirective {
	encoded := &wire.RolloutDirective{
		Record: recordsToWire(now, []rollout.Record{d.Record})[0],
		Grant:  d.Grant, GrantMs: milliseconds(d.GrantFor), Share: d.Share, Endpoints: d.Endpoints, RouteShares: d.RouteShares,
	}
	if len(d.SlowLimits) > 0 {
		encoded.SlowMs = make(map[string]uint32, len(d.SlowLimits))
		for route, limit := range d.SlowLimits {
			encoded.SlowMs[route] = milliseconds(limit)
		}
	}
	return encoded
}

func directiveFromWire(now time.Time, d *wire.RolloutDirective) rollout.Directive {
	directive := rollout.Directive{
		Grant: d.GetGrant(), GrantFor: time.Duration(d.GetGrantMs()) * time.Millisecond, Share: d.GetShare(),
		Endpoints: d.GetEndpoints(), RouteShares: d.GetRouteShares(), SlowLimits: make(map[string]time.Duration),
	}
	for _, record := range recordsFromWire(now, []*wire.RolloutRecord{d.GetRecord()}) {
		directive.Record = record
	}
	for route, limit := range d.GetSlowMs() {
		directive.SlowLimits[route] = time.Duration(limit) * time.Millisecond
	}
	return directive
}
