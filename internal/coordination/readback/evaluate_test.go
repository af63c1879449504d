package readback

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
)

// Content hashes of two operators' tickets with the same number.
const (
	mine   = 100
	theirs = 200
)

func summary(domain, reporter string, least uint64, age time.Duration) membership.Summary {
	return membership.Summary{Domain: domain, Reporter: reporter, Members: 3, LeastPosition: least, Laggards: []string{domain + "-x"}, Age: age}
}

func TestEvaluate(t *testing.T) {
	verdicts := []acceptance.Verdict{
		{Number: 6, ContentHash: theirs, Position: 1, Outcome: acceptance.Dangling, Reason: "add the service"},
		{Number: 6, ContentHash: theirs, Position: 2, Outcome: acceptance.Accepted},
		{Number: 7, ContentHash: theirs, Position: 3, Outcome: acceptance.Accepted},
		{Number: 7, ContentHash: mine, Position: 4, Outcome: acceptance.Conflicting, Reason: "number above 7"},
		{Number: 7, ContentHash: theirs, Position: 5, Outcome: acceptance.Repeated},
		{Number: 9, ContentHash: mine, Position: 6, Outcome: acceptance.Dangling, Reason: "add the service"},
		{Number: 3, ContentHash: mine, Position: 7, Outcome: acceptance.Repeated},
	}
	everywhere := []membership.Summary{summary("a", "a1", 3, 0), summary("a", "a2", 9, time.Second), summary("b", "b1", 3, MaxSummaryAge)}
	with := func(more ...membership.Summary) []membership.Summary {
		return append(append([]membership.Summary(nil), everywhere...), more...)
	}
	cases := map[string]struct {
		query     Query
		published []Publication
		summaries []membership.Summary
		state     State
		position  uint64
		reason    string
	}{
		"never seen":                    {query: Query{12, mine}, state: Unknown, reason: "up to log offset 8"},
		"old, verdict not kept":         {query: Query{2, mine}, state: Unknown, reason: "7 was accepted already"},
		"published here, not processed": {query: Query{12, mine}, published: []Publication{{12, mine, 8}}, state: Pending},
		"other content is pending":      {query: Query{12, mine}, published: []Publication{{12, theirs, 8}}, state: Unknown},
		"published here, processed":     {query: Query{9, mine}, published: []Publication{{9, mine, 5}}, state: Rejected, position: 6, reason: "add the service"},
		"rejected, published again":     {query: Query{9, mine}, published: []Publication{{9, mine, 8}}, state: Pending},
		"accepted, published again":     {query: Query{7, theirs}, published: []Publication{{7, theirs, 8}}, summaries: everywhere, state: InForce, position: 3},
		"conflict, rejected ticket":     {query: Query{7, mine}, state: Rejected, position: 4, reason: "number above 7"},
		"conflict, accepted ticket":     {query: Query{7, theirs}, summaries: everywhere, state: InForce, position: 3},
		"by number alone":               {query: Query{Number: 7}, summaries: everywhere, state: InForce, position: 3},
		"accepted after a rejection":    {query: Query{6, theirs}, summaries: everywhere, state: InForce, position: 2},
		"only the repeat is kept":       {query: Query{3, mine}, summaries: everywhere, state: Accepted, position: 7},
		"one reporter is behind":        {query: Query{7, theirs}, summaries: with(summary("a", "a3", 2, 0)), state: Accepted, position: 3, reason: "in a"},
		"stale summary is ignored":      {query: Query{7, theirs}, summaries: with(summary("a", "a3", 2, MaxSummaryAge+1)), state: InForce, position: 3},
		"domain has stale summary only": {query: Query{7, theirs}, summaries: with(summary("c", "c1", 9, MaxSummaryAge+time.Second)), state: Unconfirmed, position: 3, reason: "c (last summary 4s ago)"},
		"domain never reported":         {query: Query{7, theirs}, summaries: everywhere[:2], state: Unconfirmed, position: 3, reason: "b (no summary yet)"},
		"no summary outweighs behind":   {query: Query{7, theirs}, summaries: []membership.Summary{summary("a", "a1", 1, 0)}, state: Unconfirmed, position: 3},
		"no domain reported":            {query: Query{7, theirs}, state: Unconfirmed, position: 3},
		"domain known by summary only":  {query: Query{7, theirs}, summaries: with(summary("z", "z1", 1, 0)), state: Accepted, position: 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status := Evaluate(tc.query, LocalState{
				Verdicts: verdicts, NextOffset: 8, HighestNumber: 7, Published: tc.published,
				Domains: []string{"a", "b"}, Summaries: tc.summaries,
			})
			is.Equal(status.State, tc.state)
			is.Equal(status.Position, tc.position)
			is.True(strings.Contains(status.Reason, tc.reason)) // reason states the cause
			if status.State == Accepted || status.State == Unconfirmed {
				is.True(len(status.Domains) >= 2) // progress of each known domain
			}
		})
	}
}
