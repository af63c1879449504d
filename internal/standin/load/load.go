// Package load sends calls at a fixed rate regardless of how fast they are
// answered, checks each answer by its content, and holds the outcomes against
// the ledgers of the targets. It is bounded in number and time.
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
	// ID is unique in a run; it travels as the stand-in target's test id.
	ID     string
	Method string
	// URI is the path with its query.
	URI  string
	Body []byte
	// MinResponseBytes is the size of answer that URI asks the target for.
	MinResponseBytes int
	// Key is the Idempotency-Key; empty sends none.
	Key string
	// Timeout bounds the call at the caller and travels in its header.
	Timeout time.Duration
	// NonIdempotent says that the call must run at most once.
	NonIdempotent bool
	// Group names the calls that are reported together.
	Group string
}

// Plan is one run of calls.
type Plan struct {
	// Rate is in calls a second.
	Rate     float64
	Duration time.Duration
	// Entries are the callers' addresses, used in turn.
	Entries []string
	// EntryFor returns the entry of the i-th call when Entries is empty.
	EntryFor func(i int) string
	// Next returns the i-th call.
	Next func(i int) Call
	// MaxAttempts is how often a call is sent until it is answered; 0 and 1 send it
	// once. It stands for callers that repeat blindly.
	MaxAttempts int
	// MaxInFlight bounds the open calls; further ones count as Skipped.
	MaxInFlight int
}

// Outcome is what a caller saw of one call.
type Outcome string

// Outcomes of a call as seen by its caller.
const (
	Answered Outcome = "answered"        // the whole right answer of the target
	NotRun   Outcome = "not-run"         // the system says that it was not run
	Unknown  Outcome = "outcome-unknown" // the system says that it may have run
	Refused  Outcome = "refused"         // any other answer of the system
	Failed   Outcome = "failed"          // cut off, wrong content, or no answer
)

// Report holds what was seen in one run.
type Report struct {
	Groups map[string]*Group
	// Calls lists each call's outcome by its id.
	Calls map[string]CallResult
	// Failures holds the first calls that failed or were refused otherwise, in
	// words.
	Failures []string
	// Skipped counts calls that were not sent because too many were open.
	Skipped int
}

// CallResult is one call and its outcome.
type CallResult struct {
	Call    Call
	Outcome Outcome
	// Due is when the call was to be sent, Latency how long after that its
	// answer was whole.
	Due     time.Time
	Latency time.Duration
}

// Group is the part of a report for one group of calls.
type Group struct {
	Outcomes map[Outcome]int
	// Latency of answered calls in microseconds, from the time at which each
	// call was due.
	Latency *hdrhistogram.Histogram
	// NotRunLatency is the latency of not-run answers in microseconds.
	NotRunLatency *hdrhistogram.Histogram
	// NotRunOrUnknown holds the first calls that were not run or of unknown outcome.
	NotRunOrUnknown []string
	// MissingRetryAfter counts not-run answers without a time to come back.
	MissingRetryAfter int
}

const (
	maxLatencyMicros = int64(5 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	maxFailures      = 20
	idlePerEntry     = 512
)

// NewClient returns an HTTP client for Run. It never repeats a call by itself.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerEntry, DisableCompression: true}}
}

// Run sends the plan's calls until ctx ends and returns when the last one
// ended; a call that was sent is never given up because ctx ends.
func Run(ctx context.Context, client *http.Client, plan Plan) *Report {
	recorder := newRecorder()
	interval := time.Duration(float64(time.Second) / plan.Rate)
	total := int(plan.Rate * plan.Duration.Seconds())
	slots := make(chan struct{}, plan.MaxInFlight)
	start := time.Now()
	var open sync.WaitGroup
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
		open.Go(func() {
			defer func() { <-slots }()
			call := plan.Next(i)
			recorder.add(call, due, plan.send(context.WithoutCancel(ctx), client, i, call, due))
		})
	}
	open.Wait()
	return recorder.report
}

// send sends the call, again when it is not answered and attempts are left.
func (p Plan) send(ctx context.Context, client *http.Client, i int, call Call, due time.Time) result {
	for attempt := 1; ; attempt++ {
		got := send(ctx, client, p.entry(i+attempt-1), call, due)
		if got.outcome == Answered || attempt >= p.MaxAttempts {
			return got
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

// Total sums up one outcome over all groups.
func (r *Report) Total(outcome Outcome) int {
	total := 0
	for _, group := range r.Groups {
		total += group.Outcomes[outcome]
	}
	return total
}

// Group returns the named group, empty when no call was in it.
func (r *Report) Group(name string) *Group {
	if group := r.Groups[name]; group != nil {
		return group
	}
	return newGroup()
}

// PercentileMillis returns the latency at a quantile (0 to 100) in milliseconds.
func PercentileMillis(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

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
		group.NotRunOrUnknown = note(group.NotRunOrUnknown, call, result)
	case NotRun:
		group.NotRunOrUnknown = note(group.NotRunOrUnknown, call, result)
		_ = group.NotRunLatency.RecordValue(micros)
		if !result.retryAfter {
			group.MissingRetryAfter++
		}
	case Failed, Refused:
		r.report.Failures = note(r.report.Failures, call, result)
	}
}

// note adds the call in words up to a bound.
func note(notes []string, call Call, result result) []string {
	if len(notes) == maxFailures {
		return notes
	}
	return append(notes, call.ID+": "+result.detail)
}
