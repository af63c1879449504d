package gate

import (
	"math"
	"time"
)

// Constants of the target's rate limit.
const (
	// burstTime and maxBurst bound the calls that may start at once after a pause: as
	// many as the limit allows in burstTime, but at least one and at most maxBurst.
	// Over any period a target gets at most maxBurst calls above its limit.
	burstTime = 250 * time.Millisecond
	maxBurst  = 4.0
	// minRateLimit replaces lower limits, in calls per second. Only responses name,
	// change and withdraw a limit, so that some calls must still be started.
	minRateLimit = 0.2
	// riseDoubling is the time in which the rate doubles after the target has
	// withdrawn its limit, and riseStartShare the share of the target's capacity at
	// which it starts, unless the limit was higher.
	riseDoubling   = time.Second
	riseStartShare = 1.0 / 8
	// usageWindow is the time constant of the moving average of the start rate.
	usageWindow = time.Second
)

// rateLimiter holds the rate at which calls may start at a target that limits the
// calls per second: a token bucket. Its zero value does not limit.
type rateLimiter struct {
	limited bool
	// rate is in calls per second.
	rate float64
	// rising is set after the target has withdrawn its limit: the rate grows up to
	// ceiling, from which calls are no longer limited.
	rising  bool
	ceiling float64
	// tokens is how many calls may start at the time updated. It is negative after
	// calls that were sent without a token.
	tokens  float64
	updated time.Time
	// usage is the moving average of the start rate, in calls per second.
	usage float64
}

// set limits the rate from now on. A limiter that did not limit before has no tokens
// at first: the target has just had more calls than it takes.
func (l *rateLimiter) set(now time.Time, rate float64) {
	l.advance(now)
	if !l.limited {
		l.tokens = 0
		l.limited = true
	}
	l.rising = false
	l.rate = max(rate, minRateLimit)
	l.tokens = min(l.tokens, l.burst())
}

// withdraw ends the limit: the rate rises to the capacity, in calls per second, so
// that callers do not all return at once to a target that has just recovered.
func (l *rateLimiter) withdraw(now time.Time, capacity float64) {
	l.advance(now)
	if !l.limited || l.rising {
		return
	}
	l.rising = true
	l.ceiling = capacity
	l.rate = max(l.rate, capacity*riseStartShare)
}

// clear ends the limit at once.
func (l *rateLimiter) clear() { *l = rateLimiter{} }

func (l *rateLimiter) burst() float64 {
	return min(maxBurst, max(1, l.rate*burstTime.Seconds()))
}

// advance adds the tokens of the time since the last call.
func (l *rateLimiter) advance(now time.Time) {
	elapsed := now.Sub(l.updated)
	l.updated = now
	if elapsed <= 0 || !l.limited {
		return
	}
	l.usage *= math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	l.tokens = min(l.burst(), l.tokens+l.rate*elapsed.Seconds())
	if !l.rising {
		return
	}
	l.rate *= math.Exp2(elapsed.Seconds() / riseDoubling.Seconds())
	if l.rate >= l.ceiling {
		l.clear()
		l.updated = now
	}
}

// tokenTolerance absorbs rounding errors of the token count.
const tokenTolerance = 1e-6

// allows reports whether a call may start at the time of the last advance.
func (l *rateLimiter) allows() bool { return !l.limited || l.tokens >= 1-tokenTolerance }

// take counts a call that is sent to the target.
func (l *rateLimiter) take() {
	if !l.limited {
		return
	}
	l.tokens--
	l.usage += 1 / usageWindow.Seconds()
}

// wait returns the time from the last advance until the n-th further call may start.
func (l *rateLimiter) wait(n int) time.Duration {
	missing := float64(n) - l.tokens
	if !l.limited || missing <= tokenTolerance {
		return 0
	}
	return time.Duration(math.Ceil(missing / l.rate * float64(time.Second)))
}

// utilization returns the start rate as a share of the limit.
func (l *rateLimiter) utilization() float64 {
	if !l.limited {
		return 0
	}
	return l.usage / l.rate
}
