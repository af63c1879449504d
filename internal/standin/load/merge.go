package load

import "time"

// Merge adds the other report to r and returns r.
func (r *Report) Merge(other *Report) *Report {
	for name, group := range other.Groups {
		if r.Groups[name] == nil {
			r.Groups[name] = newGroup()
		}
		r.Groups[name].merge(group)
	}
	for id, seen := range other.Calls {
		r.Calls[id] = seen
	}
	r.Failures = append(r.Failures, other.Failures...)
	r.Skipped += other.Skipped
	return r
}

func (g *Group) merge(other *Group) {
	for outcome, count := range other.Outcomes {
		g.Outcomes[outcome] += count
	}
	g.Latency.Merge(other.Latency)
	g.NotRunLatency.Merge(other.NotRunLatency)
	g.NotRunOrUnknown = append(g.NotRunOrUnknown, other.NotRunOrUnknown...)
	g.MissingRetryAfter += other.MissingRetryAfter
}

// LastSlowOrUnanswered returns when the last call was due that was not answered or took
// longer than slow; the zero time when there was none.
func (r *Report) LastSlowOrUnanswered(slow time.Duration) time.Time {
	var last time.Time
	for _, seen := range r.Calls {
		trouble := seen.Outcome != Answered || seen.Latency > slow
		if trouble && seen.Due.After(last) {
			last = seen.Due
		}
	}
	return last
}

// NotRunOrUnknown lists the first refusals of all groups.
func (r *Report) NotRunOrUnknown() []string {
	var refusals []string
	for _, group := range r.Groups {
		refusals = append(refusals, group.NotRunOrUnknown...)
	}
	return refusals
}
