// Package repeats bounds how often the targets of a service get calls that may have reached one of
// them before. The bound is one of the whole fleet: retries, calls made by runs that are repeats
// themselves, and requests that a gate sends again count together, in a sliding window.
//
// Each gate holds a Budget for its target and decides alone, without a message: what all gates of
// a service allow adds up to the fleet's bound, whatever the number of entries. Entries come and
// go, but each arrival passes one gate.
package repeats

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminegate/internal/coordination/call"
)

const (
	// slots is the number of parts of a window in which arrivals are counted.
	slots = 20
	// inheritedFactor is by how much more repeats a gate allows if the next one is a call of a run
	// that is a repeat: without it that run, which was paid for already, fails.
	inheritedFactor = 1.1
	// gatesMemory is how long the largest number of gates counts: gates that are cut off from
	// this one still use their parts.
	gatesMemory = 10 * time.Minute
	// roundingPeriod is the time, in windows, in which every gate has rounded up once.
	roundingPeriod = 60
)

// Limits is the bound on the repeats of a service at all its gates together.
type Limits struct {
	// Ratio is the part of the calls of a Window that may be repeated.
	Ratio float64
	// Slack is the number of repeats in a Window in addition to those of Ratio.
	Slack float64
	// Window is the time over which calls and repeats are counted; 0 limits nothing.
	Window time.Duration
}

// Budget is one gate's part of the Limits: Ratio of the calls that reached its target first here,
// and an equal part of the Slack. It is not safe for concurrent use. A nil Budget limits nothing.
//
// Load pattern: a part of a service's targets fails requests after they have reached them, so that
// many calls are retried for longer than a window; nodes restart meanwhile.
type Budget struct {
	limits  Limits
	started time.Time
	// rounding is the gate's place in the order in which gates round up, from 0 to 1.
	rounding float64
	counts   [slots + 1]count
	// gates is the largest number of gates within gatesMemory, and gatesAt when it was reported.
	gates   int
	gatesAt time.Time
}

// count is what reached the target in one slot of time.
type count struct {
	slot           int64
	first, repeats int
}

// New returns the budget of the gate of the node, nil if the limits have no window.
func New(now time.Time, node string, limits Limits) *Budget {
	if limits.Window <= 0 {
		return nil
	}
	return &Budget{limits: limits, started: now, gates: 1, rounding: float64(xxhash.Sum64String(node)) / math.MaxUint64}
}

// SetGates reports how many gates the service has, this one included.
func (b *Budget) SetGates(now time.Time, gates int) {
	if b != nil && (gates >= b.gates || now.Sub(b.gatesAt) > gatesMemory) {
		b.gates, b.gatesAt = max(1, gates), now
	}
}

// CountFirst counts a call that reached the target and had reached none before.
func (b *Budget) CountFirst(now time.Time) {
	if b != nil {
		b.slot(now).first++
	}
}

// Allows reports whether a call of the kind may reach the target.
func (b *Budget) Allows(now time.Time, kind call.Repeat) bool {
	if b == nil || kind == call.First {
		return true
	}
	first, repeats := b.totals(now)
	allowed := b.limits.Ratio*float64(first) + b.slack(now)
	if kind == call.Inherited {
		allowed *= inheritedFactor
	}
	// A gate's part may be below one for a whole window. Rounded up at some gates and down at
	// the others, the parts keep their sum.
	return float64(repeats+1) <= allowed+b.roundUp(now)
}

// Take counts a repeat of the kind if it is allowed.
func (b *Budget) Take(now time.Time, kind call.Repeat) bool {
	if !b.Allows(now, kind) {
		return false
	}
	if b != nil && kind != call.First {
		b.slot(now).repeats++
	}
	return true
}

// Return takes back a repeat that was taken at the given time and has not reached the target.
func (b *Budget) Return(takenAt time.Time) {
	if b == nil {
		return
	}
	if c := &b.counts[b.index(b.number(takenAt))]; c.slot == b.number(takenAt) && c.repeats > 0 {
		c.repeats--
	}
}

// slack returns the gate's part of the slack. A gate has none in its first window: the process
// before it may have used it.
func (b *Budget) slack(now time.Time) float64 {
	if now.Sub(b.started) < b.limits.Window {
		return 0
	}
	return b.limits.Slack / float64(b.gates)
}

// roundUp returns what the gate adds to its part before it rounds down. The gates' values are spread
// evenly between 0 and 1, and move on together.
func (b *Budget) roundUp(now time.Time) float64 {
	_, fraction := math.Modf(b.rounding + float64(now.UnixNano())/float64(roundingPeriod*b.limits.Window))
	return fraction
}

// totals returns the calls of the last window, at most, and the repeats of the last window, at
// least.
func (b *Budget) totals(now time.Time) (first, repeats int) {
	newest := b.number(now)
	for _, c := range b.counts {
		if c.slot > newest-slots {
			first += c.first
		}
		if c.slot >= newest-slots {
			repeats += c.repeats
		}
	}
	return first, repeats
}

// number returns the slot of a time, counted from the start: a step of the wall clock moves none.
func (b *Budget) number(at time.Time) int64 {
	return int64(at.Sub(b.started) / (b.limits.Window / slots))
}

func (b *Budget) index(number int64) int { return int(number % (slots + 1)) }

// slot returns the count of the present slot.
func (b *Budget) slot(now time.Time) *count {
	number := b.number(now)
	c := &b.counts[b.index(number)]
	if c.slot != number {
		*c = count{slot: number}
	}
	return c
}
