package entry

import (
	"time"
)

// Constants of load and health.
const (
	// loadFreshness is how long a load from an answer or probe counts.
	loadFreshness = time.Second
	// slowStart is how long a new or recovered endpoint ramps up.
	slowStart = 10 * time.Second
	// slowStartShare is the share of its weight that a new endpoint starts with.
	slowStartShare = 0.1
	// ejectAfter is how many failed answers in a row eject an endpoint.
	ejectAfter = 5
	// ejectBase and ejectMax bound the time of an ejection, which doubles with
	// each one that follows soon.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// ejectForget is how long after an ejection its count is forgotten.
	ejectForget = time.Minute
	// maxEjectedShare is the share of a service's endpoints that may be ejected.
	maxEjectedShare = 0.5
	// leavingFor is how long an endpoint that said it leaves gets nothing, unless
	// it announces itself anew.
	leavingFor = 5 * time.Second
	// overloadedFor is how long an endpoint that refused for load is avoided
	// when another can take the call.
	overloadedFor = 50 * time.Millisecond
)

// endpoint is what the machine knows of one gate and its target.
type endpoint struct {
	Endpoint
	// since is when the endpoint became known or recovered.
	since time.Time
	// outstanding counts this entry's attempts that have not ended.
	outstanding int
	reported    int
	reportedAt  time.Time
	probed      int
	probedAt    time.Time
	failures    int
	ejections   int
	ejectedTill time.Time
	leavingTill time.Time
	avoidTill   time.Time
	// doubt says that a connection was lost: the next attempt opens a new one.
	doubt bool
}

// load returns the endpoint's estimated calls, preferring what answers told.
func (e *endpoint) load(now time.Time) int {
	load := e.outstanding
	switch {
	case now.Sub(e.reportedAt) <= loadFreshness:
		load = max(load, e.reported)
	case now.Sub(e.probedAt) <= loadFreshness:
		load = max(load, e.probed)
	}
	return load
}

// score is the load over the weight; lower is better.
func (e *endpoint) score(now time.Time) float64 {
	score := float64(e.load(now)+1) / (float64(max(1, e.Slots)) * e.ramp(now))
	if now.Before(e.avoidTill) {
		score += 1
	}
	return score
}

// roomShare is the load, 1 being full, below which a target of another domain is
// taken to have room: word of its load is some tenths of a second old.
const roomShare = 0.9

// hasRoom reports whether the endpoint is likely to start a call at once.
func (e *endpoint) hasRoom(now time.Time) bool {
	return !now.Before(e.avoidTill) && float64(e.load(now)+1) <= roomShare*float64(max(1, e.Slots))
}

// ramp returns the share of its weight that the endpoint has, by age.
func (e *endpoint) ramp(now time.Time) float64 {
	age := now.Sub(e.since)
	if age >= slowStart {
		return 1
	}
	return max(slowStartShare, float64(age)/float64(slowStart))
}

// usable reports whether the endpoint may get calls.
func (e *endpoint) usable(now time.Time) bool {
	return !now.Before(e.ejectedTill) && !now.Before(e.leavingTill)
}

func (e *endpoint) succeed(now time.Time) {
	e.failures = 0
	e.doubt = false
	if e.ejections > 0 && now.Sub(e.ejectedTill) > ejectForget {
		e.ejections = 0
	}
}

// ejectionTime returns how long the next ejection lasts; jitter is in [0, 1).
func (e *endpoint) ejectionTime(jitter float64) time.Duration {
	base := min(ejectMax, ejectBase<<min(e.ejections, 10))
	return base/2 + time.Duration(jitter*float64(base)/2)
}

// group is the endpoints of one service.
type group struct {
	endpoints []*endpoint
}

// mayEject reports whether one more endpoint may be ejected.
func (g *group) mayEject(now time.Time) bool {
	ejected := 0
	for _, e := range g.endpoints {
		if now.Before(e.ejectedTill) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(g.endpoints))
}

// budget holds the tokens of a service's retries.
type budget struct{ tokens float64 }

// maxRetryTokens bounds how many retries quiet times save up.
const maxRetryTokens = 10

func (b *budget) earn(ratio float64) { b.tokens = min(maxRetryTokens, b.tokens+ratio) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
