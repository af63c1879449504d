// Package load is an open-loop load generator: it sends calls at a fixed rate
// regardless of response times, verifies the content of each response, and
// compares the outcomes with the ledgers of the targets. The number of calls, the
// calls in flight and the duration are limited.
package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Call is one call to send.
type Call struct {
	// ID is unique in a run. It is sent as target.HeaderTestID.
	ID     string
	Method string
	// URI is the path and query.
	URI  string
	Body []byte
	// MinResponseBytes is the minimum size of the response body that URI asks
	// the target for.
	MinResponseBytes int
	// Key is the idempotency key; empty sends none.
	Key string
	// Timeout is the call's timeout, which is also sent in a header.
	Timeout time.Duration
	// NonIdempotent marks a call that must run at most once.
	NonIdempotent bool
	// Group names the group of a report that counts the call.
	Group string
}

// Plan configures one run of the load generator.
type Plan struct {
	// Rate is in calls a second.
	Rate     float64
	Duration time.Duration
	// Entries are the addresses that entry nodes offer to callers, used in turn.
	Entries []string
	// EntryFor returns the entry address of the i-th call if Entries is empty.
	EntryFor func(i int) string
	// Next returns the i-th call.
	Next func(i int) Call
	// MaxAttempts is the maximum number of times that a call is sent until it is
	// answered; 0 means 1. Values above 1 simulate callers that retry after
	// any other outcome.
	MaxAttempts int
	// MaxInFlight limits the calls in flight; calls above it are not sent and
	// count as Skipped.
	MaxInFlight int
}

// Outcome is the outcome of a call as its caller sees it.
type Outcome string

// Values of Outcome.
const (
	Answered Outcome = "answered"        // complete and correct response of the target
	NotRun   Outcome = "not-run"         // the entry node reports that the call did not run
	Unknown  Outcome = "outcome-unknown" // the entry node reports that the call may have run
	Refused  Outcome = "refused"         // any other response
	Failed   Outcome = "failed"          // truncated, wrong or missing response
)

// Report holds the results of one run.
type Report struct {
	Groups map[string]*Group
	// Calls holds each call with its outcome by call ID.
	Calls map[string]CallResult
	// Failures describes the first calls with the outcomes Failed and Refused.
	Failures []string
	// Skipped counts calls not sent because MaxInFlight was reached.
	Skipped int
}

// CallResult is one call and its outcome.
type CallResult struct {
	Call    Call
	Outcome Outcome
	// Due is the scheduled send time. Latency is the time from then to the end
	// of the response, so that it includes delays of the load generator.
	Due     time.Time
	Latency time.Duration
}

// Group is the part of a report for one group of calls.
type Group struct {
	Outcomes map[Outcome]int
	// Latency is the latency of answered calls in microseconds, measured from
	// their scheduled send times.
	Latency *hdrhistogram.Histogram
	// NotRunLatency is the latency of not-run responses in microseconds,
	// measured in the same way.
	NotRunLatency *hdrhistogram.Histogram
	// NotRunOrUnknown describes the first calls with the outcomes NotRun and
	// Unknown.
	NotRunOrUnknown []string
	// MissingRetryAfter counts not-run responses without a Retry-After header.
	MissingRetryAfter int
}

const (
	maxLatencyMicros     = int64(5 * time.Minute / time.Microsecond)
	histogramDigits      = 3
	maxDescriptions      = 20
	maxIdleConnsPerEntry = 512
)

// NewClient returns an HTTP client for Run. It does not retry calls.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry, DisableCompression: true}}
}

// Run sends the plan's calls and returns after the last one has ended. When ctx
// ends, Run sends no further calls but does not cancel those in flight.
func Run(ctx context.Context, client *http.Client, plan Plan) *Report {
	recorder := newRecorder()
	interval := time.Duration(float64(time.Second) / plan.Rate)
	total := int(plan.Rate * plan.Duration.Seconds())
	slots := make(chan struct{}, plan.MaxInFlight)
	start := time.Now()
	var inFlight sync.WaitGroup
	for i := range total {
		due := start.Add(time.Duration(i) * interval)
		if !sleepUntil(ctx, due) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			recorder.skip()
			continue
		}
		inFlight.Go(func() {
			defer func() { <-slots }()
			call := plan.Next(i)
			recorder.add(call, due, plan.send(context.WithoutCancel(ctx), client, i, call, due))
		})
	}
	inFlight.Wait()
	return recorder.report
}

// send sends the call, and retries it until it is answered or no attempts are
// left.
func (p Plan) send(ctx context.Context, client *http.Client, i int, call Call, due time.Time) result {
	for attempt := 1; ; attempt++ {
		attemptResult := send(ctx, client, p.entry(i+attempt-1), call, due)
		if attemptResult.outcome == Answered || attempt >= p.MaxAttempts {
			return attemptResult
		}
	}
}

func (p Plan) entry(i int) string {
	if len(p.Entries) == 0 {
		return p.EntryFor(i)
	}
	return p.Entries[i%len(p.Entries)]
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Total returns the number of calls with the outcome in all groups.
func (r *Report) Total(outcome Outcome) int {
	total := 0
	for _, group := range r.Groups {
		total += group.Outcomes[outcome]
	}
	return total
}

// Group returns the named group, or an empty one if it has no calls.
func (r *Report) Group(name string) *Group {
	if group := r.Groups[name]; group != nil {
		return group
	}
	return newGroup()
}

// PercentileMillis returns a percentile (0 to 100) of a latency histogram, in
// milliseconds.
func PercentileMillis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}

// recorder builds a report from concurrent calls.
type recorder struct {
	mu     sync.Mutex
	report *Report
}

func newRecorder() *recorder {
	return &recorder{report: &Report{Groups: make(map[string]*Group), Calls: make(map[string]CallResult)}}
}

func newGroup() *Group {
	return &Group{
		Outcomes:      make(map[Outcome]int),
		Latency:       hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		NotRunLatency: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
	}
}

func (r *recorder) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Skipped++
}

func (r *recorder) add(call Call, due time.Time, result result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	group := r.report.Groups[call.Group]
	if group == nil {
		group = newGroup()
		r.report.Groups[call.Group] = group
	}
	group.Outcomes[result.outcome]++
	r.report.Calls[call.ID] = CallResult{Call: call, Outcome: result.outcome, Due: due, Latency: result.latency}
	micros := max(1, result.latency.Microseconds())
	switch result.outcome {
	case Answered:
		_ = group.Latency.RecordValue(micros)
	case Unknown:
		group.NotRunOrUnknown = appendDescription(group.NotRunOrUnknown, call, result)
	case NotRun:
		group.NotRunOrUnknown = appendDescription(group.NotRunOrUnknown, call, result)
		_ = group.NotRunLatency.RecordValue(micros)
		if !result.retryAfter {
			group.MissingRetryAfter++
		}
	case Failed, Refused:
		r.report.Failures = appendDescription(r.report.Failures, call, result)
	}
}

// appendDescription appends a description of the call, up to maxDescriptions.
func appendDescription(descriptions []string, call Call, result result) []string {
	if len(descriptions) == maxDescriptions {
		return descriptions
	}
	return append(descriptions, call.ID+": "+result.detail)
}
