package entry

import (
	"time"
)

// Settings of load balancing and outlier ejection.
const (
	// loadMaxAge is how long a load from a response or from membership is used.
	loadMaxAge = time.Second
	// slowStartWindow is how long a new or recovered endpoint takes until it counts
	// with all its slots.
	slowStartWindow = 10 * time.Second
	// minSlowStartFactor is the fraction of its slots that a new or recovered endpoint
	// counts with at first.
	minSlowStartFactor = 0.1
	// ejectAfterFailures is how many consecutive failures eject an endpoint.
	ejectAfterFailures = 5
	// baseEjectionTime and maxEjectionTime bound the time of an ejection, which
	// doubles with each further ejection until the count is reset.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// ejectionResetAfter is how long after the end of an ejection a successful
	// response resets the endpoint's count of ejections.
	ejectionResetAfter = time.Minute
	// maxEjectedShare is the fraction of a service's endpoints that may be ejected
	// at the same time.
	maxEjectedShare = 0.5
	// unavailableTime is how long an endpoint gets no calls after it refused one
	// because it is draining, fenced, restarted or without a target. A new incarnation
	// of the endpoint gets calls immediately.
	unavailableTime = 5 * time.Second
	// rolloutUnavailableTime replaces unavailableTime after a refusal by a draining gate while a
	// rollout of the service runs: gates of old targets accept calls again at once if it is rolled
	// back.
	rolloutUnavailableTime = 250 * time.Millisecond
	// overloadAvoidTime is how long an endpoint is avoided, when another can take the
	// call, after it refused for overload or this node's limit of connections to it
	// was reached.
	overloadAvoidTime = 50 * time.Millisecond
)

// endpoint is the machine's state of one gate and its target.
type endpoint struct {
	Endpoint
	pace
	losses
	// slowStartFrom is when the slow start begins: when the endpoint joined, or at the
	// end of its last ejection.
	slowStartFrom time.Time
	// outstanding counts this entry's attempts that have not ended.
	outstanding         int
	responseLoad        int
	responseLoadAt      time.Time
	peerLoad            int
	peerLoadAt          time.Time
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	unavailableUntil    time.Time
	avoidUntil          time.Time
	// suspectConnection says that the last connection was lost and pooled ones may be
	// broken too: the next attempt opens a new one.
	suspectConnection bool
}

// load returns the estimated number of calls at the endpoint: the load from the
// last response, or else the one that membership received last, but at least this
// entry's outstanding attempts.
func (e *endpoint) load(now time.Time) int {
	load := e.outstanding
	switch {
	case now.Sub(e.responseLoadAt) <= loadMaxAge:
		load = max(load, e.responseLoad)
	case now.Sub(e.peerLoadAt) <= loadMaxAge:
		load = max(load, e.peerLoad)
	}
	return load
}

// score returns the load including one more call, divided by the slots times the
// slow-start factor, plus 1 while the endpoint is avoided for overload. A score of 1
// is full, and lower is better. Options.SpillLoad is compared with the score.
func (e *endpoint) score(now time.Time) float64 {
	score := float64(e.load(now)+1) / (float64(max(1, e.Slots)) * e.slowStartFactor(now))
	if now.Before(e.avoidUntil) {
		score += 1
	}
	return score
}

// maxRemoteLoad is the load, 1 being full, up to which a target of another failure
// domain counts as having spare capacity. It is below 1 because reported loads are
// some tenths of a second old.
const maxRemoteLoad = 0.9

// hasCapacity reports whether the endpoint can probably start a call immediately.
func (e *endpoint) hasCapacity(now time.Time) bool {
	return !now.Before(e.avoidUntil) && float64(e.load(now)+1) <= maxRemoteLoad*float64(max(1, e.Slots))
}

// slowStartFactor returns the fraction of its slots that the endpoint counts with. It
// grows from minSlowStartFactor at slowStartFrom to 1 after slowStartWindow.
func (e *endpoint) slowStartFactor(now time.Time) float64 {
	age := now.Sub(e.slowStartFrom)
	if age >= slowStartWindow {
		return 1
	}
	return max(minSlowStartFactor, float64(age)/float64(slowStartWindow))
}

// usable reports whether the endpoint is neither ejected nor unavailable; see
// unavailableTime.
func (e *endpoint) usable(now time.Time) bool {
	return !now.Before(e.ejectedUntil) && !now.Before(e.unavailableUntil)
}

func (e *endpoint) succeed(now time.Time) {
	e.consecutiveFailures = 0
	e.suspectConnection = false
	if e.ejections > 0 && now.Sub(e.ejectedUntil) > ejectionResetAfter {
		e.ejections = 0
	}
}

// ejectionTime returns how long the next ejection lasts; jitter is in [0, 1).
func (e *endpoint) ejectionTime(jitter float64) time.Duration {
	base := min(maxEjectionTime, baseEjectionTime<<min(e.ejections, 10))
	return base/2 + time.Duration(jitter*float64(base)/2)
}

// group holds the endpoints of one service.
type group struct {
	endpoints []*endpoint
}

// mayEject reports whether one more endpoint may be ejected.
func (g *group) mayEject(now time.Time) bool {
	ejected := 0
	for _, e := range g.endpoints {
		if now.Before(e.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(g.endpoints))
}

// budget is the retry token bucket of one service.
type budget struct{ tokens float64 }

// maxRetryTokens is the capacity of a budget: how many retries can accumulate
// while none are needed.
const maxRetryTokens = 10

func (b *budget) refill(ratio float64) { b.tokens = min(maxRetryTokens, b.tokens+ratio) }

func (b *budget) available() bool { return b.tokens >= 1 }

// ample reports whether a retry will most likely be allowed when a call that is sent now
// is lost.
func (b *budget) ample() bool { return b.tokens >= maxRetryTokens/2 }

func (b *budget) take() bool {
	if !b.available() {
		return false
	}
	b.tokens--
	return true
}
