package entry

import (
	"math"
	"time"
)

const (
	// lossHalfLife is how fast a reported share of losses is forgotten, so that a target that has
	// recovered gets calls again.
	lossHalfLife = 10 * time.Second
	// fewLosses is the loss factor up to which a target counts as one that loses few calls.
	fewLosses = 1.15
	// maxLostShare bounds the share of losses in the order of endpoints.
	maxLostShare = 0.9
)

// losses is what an entry knows of the calls that an endpoint's target loses.
//
// Load pattern: targets end a part of their runs at once without a response. Their free slots attract
// calls, and retries that go to them are lost as well.
type losses struct {
	share float64
	at    time.Time
}

// recordLosses records the share of lost runs that a gate reported.
func (l *losses) recordLosses(now time.Time, share float64) { l.share, l.at = share, now }

// lossFactor returns how often a call is to be sent until the endpoint responds, as far as it is known.
func (l *losses) lossFactor(now time.Time) float64 {
	if l.share == 0 {
		return 1
	}
	age := float64(max(0, now.Sub(l.at))) / float64(lossHalfLife)
	return 1 / (1 - min(maxLostShare, l.share*math.Exp2(-age)))
}

// lossScore orders endpoints by their losses and their load; lower is better.
func (e *endpoint) lossScore(now time.Time) float64 { return e.lossFactor(now) * (1 + e.score(now)) }

// withoutLosses moves the endpoints whose targets lose few calls to the front and returns these, or
// all if there is none.
func withoutLosses(now time.Time, endpoints []*endpoint) []*endpoint {
	few := 0
	for i, e := range endpoints {
		if e.lossFactor(now) <= fewLosses {
			endpoints[few], endpoints[i] = e, endpoints[few]
			few++
		}
	}
	if few == 0 {
		return endpoints
	}
	return endpoints[:few]
}
