package calls

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/repeats"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
)

// repeatLinesPerSecond bounds the log lines about repeats.
const repeatLinesPerSecond rate.Limit = 1

// repeatBudget holds the retry budget of this node's gate, and counts what reaches its target.
type repeatBudget struct {
	mu      sync.Mutex
	budget  *repeats.Budget
	service string
	members func() *membership.View
	// counted is the member table whose gates were counted last.
	counted  *membership.View
	arrivals map[call.Repeat]*metrics.Counter
	refused  *metrics.Counter
	log      *sampledLog
}

func newRepeatBudget(options Options, counters *requestMetrics) *repeatBudget {
	settings := options.Settings
	limits := repeats.Limits{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow}
	return &repeatBudget{
		budget:   repeats.New(options.Now(), options.Self.ID, limits),
		service:  options.Service,
		members:  options.View,
		arrivals: counters.arrivals,
		refused:  counters.repeatsRefused,
		log:      newSampledLog(options.Logger, repeatLinesPerSecond, 1),
	}
}

// repeatOf returns the kind of the attempt. One of a later release counts as a retry.
func repeatOf(start *wire.CallStart) call.Repeat {
	if kind := start.Repeat; kind < uint32(call.Resent) {
		return call.Repeat(kind)
	}
	return call.Retried
}

// allows reports whether an attempt of the kind may reach the target.
func (b *repeatBudget) allows(now time.Time, kind call.Repeat) bool {
	if kind == call.First {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countGates(now)
	if b.budget.Allows(now, kind) {
		return true
	}
	b.refused.Inc()
	return false
}

// take counts an attempt of the kind if it may reach the target.
func (b *repeatBudget) take(now time.Time, kind call.Repeat) bool {
	if kind == call.First {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countGates(now)
	if b.budget.Take(now, kind) {
		return true
	}
	b.refused.Inc()
	return false
}

// giveBack takes back what take counted at the given time, since it has not reached the target.
func (b *repeatBudget) giveBack(takenAt time.Time, kind call.Repeat) {
	if kind == call.First {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Return(takenAt)
}

// countGates tells the budget how many gates the service has.
func (b *repeatBudget) countGates(now time.Time) {
	view := b.members()
	if view == b.counted {
		return
	}
	b.counted = view
	gates := 0
	for _, member := range view.Members {
		if member.Service == b.service {
			gates++
		}
	}
	b.budget.SetGates(now, gates)
}

// written counts an attempt of the kind that was written to the target.
func (b *repeatBudget) written(now time.Time, kind call.Repeat) {
	b.arrivals[kind].Inc()
	if kind == call.First {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.budget.CountFirst(now)
		return
	}
	line := b.log.event(logging.RepeatsAtTarget)
	for kind := call.First; kind <= call.Resent; kind++ {
		line.Uint(kind.String(), b.arrivals[kind].Get())
	}
	line.Send()
}

// noteResent handles a call that was written to the target once more.
func (r *Runner) noteResent(c *gateCall) {
	r.runningRequests.markRepeated(r.runningID(c))
	r.repeats.written(r.options.Now(), call.Resent)
	r.gate.notify(gate.Resent{ID: c.id})
}
