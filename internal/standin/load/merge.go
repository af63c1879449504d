package load

import "time"

// Merge adds the results of other to r and returns r.
func (r *Report) Merge(other *Report) *Report {
	for name, group := range other.Groups {
		if r.Groups[name] == nil {
			r.Groups[name] = newGroup()
		}
		r.Groups[name].merge(group)
	}
	for id, callResult := range other.Calls {
		r.Calls[id] = callResult
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

// LastSlowOrUnanswered returns the latest scheduled send time among the calls
// that were not answered or took longer than slow; the zero time if there are
// none.
func (r *Report) LastSlowOrUnanswered(slow time.Duration) time.Time {
	var last time.Time
	for _, callResult := range r.Calls {
		slowOrUnanswered := callResult.Outcome != Answered || callResult.Latency > slow
		if slowOrUnanswered && callResult.Due.After(last) {
			last = callResult.Due
		}
	}
	return last
}

// NotRunOrUnknown describes the first calls of each group with the outcomes
// NotRun and Unknown.
func (r *Report) NotRunOrUnknown() []string {
	var descriptions []string
	for _, group := range r.Groups {
		descriptions = append(descriptions, group.NotRunOrUnknown...)
	}
	return descriptions
}
