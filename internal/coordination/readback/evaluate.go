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
// only if every known domain has a fresh summary and every fresh summary of
// every reporter is at or past the ticket's position.
//
// A rejected ticket that was published again is pending until this node has
// processed its new record, which may be accepted. An accepted ticket that was
// published again stays accepted: a later record with its number has no effect.
func Evaluate(query Query, local LocalState) Status {
	verdict, found := findVerdict(query, local.Verdicts)
	if isPending(query, local) && !(found && verdict.Outcome.Effective()) {
		return Status{Number: query.Number, State: Pending, Reason: "appended to the log, but not processed by this node yet: ask again"}
	}
	if !found {
		return unknownStatus(query, local)
	}
	if !verdict.Outcome.Effective() {
		return Status{Number: query.Number, State: Rejected, Position: verdict.Position, Reason: verdict.Reason}
	}
	return acceptedStatus(verdict, local)
}

// findVerdict returns the verdict that applies to the query: an accepted one in
// preference to a repeated one, and that in preference to a rejected one. Among
// equals it returns the newest.
func findVerdict(query Query, verdicts []acceptance.Verdict) (acceptance.Verdict, bool) {
	var best acceptance.Verdict
	found := false
	for _, verdict := range verdicts {
		if verdict.Number != query.Number || (query.ContentHash != 0 && verdict.ContentHash != query.ContentHash) {
			continue
		}
		if !found || precedence(verdict) >= precedence(best) {
			best, found = verdict, true
		}
	}
	return best, found
}

func precedence(verdict acceptance.Verdict) int {
	switch verdict.Outcome {
	case acceptance.Accepted:
		return 2
	case acceptance.Repeated:
		return 1
	default:
		return 0
	}
}

// isPending reports whether this node has appended the queried ticket, but not
// processed the log up to that record.
func isPending(query Query, local LocalState) bool {
	for _, published := range local.Published {
		same := published.Number == query.Number && (query.ContentHash == 0 || published.ContentHash == query.ContentHash)
		if same && published.Offset >= local.NextOffset {
			return true
		}
	}
	return false
}

// unknownStatus returns the status of a ticket without a verdict.
func unknownStatus(query Query, local LocalState) Status {
	status := Status{Number: query.Number, State: Unknown}
	if query.Number <= local.HighestNumber {
		status.Reason = fmt.Sprintf("no verdict for this number and content is kept; number %d was accepted already: read the newest state", local.HighestNumber)
		return status
	}
	// The search covers the records before NextOffset.
	status.Reason = fmt.Sprintf("no such ticket up to log offset %d: check that the publish succeeded, or publish it again", local.NextOffset)
	return status
}

// acceptedStatus returns the status of an accepted or repeated ticket by the
// progress of each failure domain.
func acceptedStatus(verdict acceptance.Verdict, local LocalState) Status {
	status := Status{Number: verdict.Number, Position: verdict.Position, State: InForce}
	var noFreshSummary, behind []string
	for _, name := range domainNames(local) {
		domain := domainProgress(name, verdict.Position, local.Summaries)
		status.Domains = append(status.Domains, domain)
		switch {
		case !domain.HasFreshSummary:
			noFreshSummary = append(noFreshSummary, domain.describeAge())
			status.LongestSummaryAge = max(status.LongestSummaryAge, domain.Age)
		case !domain.Reached:
			behind = append(behind, name)
		}
	}
	switch {
	case len(status.Domains) == 0:
		status.State = Unconfirmed
		status.Reason = "no failure domain has reported yet: ask again"
	case len(noFreshSummary) > 0:
		status.State = Unconfirmed
		status.Reason = fmt.Sprintf("nodes may still run an older version in failure domains without a fresh summary: %s", strings.Join(noFreshSummary, ", "))
	case len(behind) > 0:
		status.State = Accepted
		status.Reason = fmt.Sprintf("some nodes have not applied the ticket yet in %s", strings.Join(behind, ", "))
	}
	return status
}

// describeAge returns the domain's name with the age of its newest summary. For a
// domain that never reported, this is normally the age of package membership's
// stand-in.
func (d Domain) describeAge() string {
	if d.Age == 0 {
		return d.Name + " (no summary yet)"
	}
	return fmt.Sprintf("%s (last summary %s ago)", d.Name, d.Age.Round(time.Millisecond))
}

// domainNames returns the sorted names of the known domains and of those that only
// a summary names.
func domainNames(local LocalState) []string {
	names := slices.Clone(local.Domains)
	for _, summary := range local.Summaries {
		names = append(names, summary.Domain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func domainProgress(name string, position uint64, summaries []membership.Summary) Domain {
	domain := Domain{Name: name, Reached: true}
	found := false
	for _, summary := range summaries {
		if summary.Domain != name {
			continue
		}
		if !found || summary.Age < domain.Age {
			domain.Age = summary.Age
		}
		found = true
		if summary.Age <= MaxSummaryAge {
			domain.addSummary(summary, position)
		}
	}
	domain.Reached = domain.Reached && domain.HasFreshSummary
	return domain
}

// addSummary merges one reporter's fresh summary. Where reporters differ, the lowest
// position and the highest member count apply, and Reached needs all of them.
func (d *Domain) addSummary(summary membership.Summary, position uint64) {
	if !d.HasFreshSummary || summary.LeastPosition < d.LeastPosition {
		d.LeastPosition = summary.LeastPosition
	}
	d.HasFreshSummary = true
	d.Members = max(d.Members, summary.Members)
	d.LeftOut = mergeNames(d.LeftOut, summary.LeftOut)
	if summary.LeastPosition < position {
		d.Reached = false
		d.Laggards = mergeNames(d.Laggards, summary.Laggards)
	}
}

// mergeNames returns the sorted union of both lists.
func mergeNames(names, more []string) []string {
	names = append(slices.Clone(names), more...)
	slices.Sort(names)
	return slices.Compact(names)
}
