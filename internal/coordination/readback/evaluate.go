package readback

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
)

// Evaluate returns the read-back of the queried ticket. A ticket is in force
// only when every known domain has a fresh summary and every fresh summary of
// every reporter is at or past the ticket's position.
func Evaluate(query Query, known LocalState) Status {
	verdict, found := find(query, known.Verdicts)
	if pending(query, known) && !(found && verdict.Outcome.Effective()) {
		return Status{Number: query.Number, State: Pending, Reason: "appended to the log, not decided here yet: ask again"}
	}
	if !found {
		return unknown(query, known)
	}
	if !verdict.Outcome.Effective() {
		return Status{Number: query.Number, State: Rejected, Position: verdict.Position, Reason: verdict.Reason}
	}
	return progress(verdict, known)
}

// find returns the verdict that speaks for the query: an accepted one before
// a repeat of it, and the newest among rejected ones.
func find(query Query, verdicts []acceptance.Verdict) (acceptance.Verdict, bool) {
	var best acceptance.Verdict
	found := false
	for _, verdict := range verdicts {
		if verdict.Number != query.Number || (query.ContentHash != 0 && verdict.ContentHash != query.ContentHash) {
			continue
		}
		if !found || weight(verdict) >= weight(best) {
			best, found = verdict, true
		}
	}
	return best, found
}

func weight(verdict acceptance.Verdict) int {
	switch verdict.Outcome {
	case acceptance.Accepted:
		return 2
	case acceptance.Repeated:
		return 1
	default:
		return 0
	}
}

func pending(query Query, known LocalState) bool {
	for _, published := range known.Published {
		same := published.Number == query.Number && (query.ContentHash == 0 || published.ContentHash == query.ContentHash)
		if same && published.Offset >= known.NextOffset {
			return true
		}
	}
	return false
}

func unknown(query Query, known LocalState) Status {
	status := Status{Number: query.Number, State: Unknown}
	if query.Number <= known.HighestNumber {
		status.Reason = fmt.Sprintf("no verdict with this number and content is kept; number %d was accepted already: read the newest state", known.HighestNumber)
		return status
	}
	status.Reason = fmt.Sprintf("no such ticket up to log offset %d: check that the publish was answered, or publish it again", known.NextOffset)
	return status
}

func progress(verdict acceptance.Verdict, known LocalState) Status {
	status := Status{Number: verdict.Number, Position: verdict.Position, State: InForce}
	var unheard, behind []string
	for _, name := range domainNames(known) {
		domain := domainProgress(name, verdict.Position, known.Summaries)
		status.Domains = append(status.Domains, domain)
		switch {
		case !domain.HasFreshSummary:
			unheard = append(unheard, domain.silence())
			status.LongestSummaryAge = max(status.LongestSummaryAge, domain.Age)
		case !domain.Reached:
			behind = append(behind, name)
		}
	}
	switch {
	case len(status.Domains) == 0:
		status.State = Unconfirmed
		status.Reason = "no failure domain has reported yet: ask again"
	case len(unheard) > 0:
		status.State = Unconfirmed
		status.Reason = fmt.Sprintf("nodes there may run an older version: %s", strings.Join(unheard, ", "))
	case len(behind) > 0:
		status.State = Accepted
		status.Reason = fmt.Sprintf("some nodes do not run it yet in %s", strings.Join(behind, ", "))
	}
	return status
}

// silence says since when the domain is not heard.
func (d Domain) silence() string {
	if d.Age == 0 {
		return d.Name + " not heard yet"
	}
	return fmt.Sprintf("%s not heard for %s", d.Name, d.Age.Round(time.Millisecond))
}

func domainNames(known LocalState) []string {
	names := slices.Clone(known.Domains)
	for _, summary := range known.Summaries {
		names = append(names, summary.Domain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func domainProgress(name string, position uint64, summaries []membership.Summary) Domain {
	domain := Domain{Name: name, Reached: true}
	held := false
	for _, summary := range summaries {
		if summary.Domain != name {
			continue
		}
		if !held || summary.Age < domain.Age {
			domain.Age = summary.Age
		}
		held = true
		if summary.Age <= MaxSummaryAge {
			domain.count(summary, position)
		}
	}
	domain.Reached = domain.Reached && domain.HasFreshSummary
	return domain
}

// count adds one reporter's fresh summary: the worst of all reporters holds.
func (d *Domain) count(summary membership.Summary, position uint64) {
	if !d.HasFreshSummary || summary.LeastPosition < d.LeastPosition {
		d.LeastPosition = summary.LeastPosition
	}
	d.HasFreshSummary = true
	d.Members = max(d.Members, summary.Members)
	d.LeftOut = merge(d.LeftOut, summary.LeftOut)
	if summary.LeastPosition < position {
		d.Reached = false
		d.Laggards = merge(d.Laggards, summary.Laggards)
	}
}

func merge(names, more []string) []string {
	names = append(slices.Clone(names), more...)
	slices.Sort(names)
	return slices.Compact(names)
}
