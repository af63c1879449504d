package entry

import (
	"math/rand/v2"

	"jasminegate/internal/state"
)

const (
	// maxSplitRoutes bounds the routes whose credits are stored.
	maxSplitRoutes = 1024
	// maxInitialSkip bounds the random number of turns that a node skips at the start
	// of a route's rotation, so that nodes do not all begin with the same destination.
	maxInitialSkip = 64
)

// trafficSplit distributes the calls of each route over its destinations by smooth
// weighted round robin: any n consecutive calls give each destination its share to
// within one call. It maps route names to the credits of each service.
type trafficSplit map[string]map[string]int

// choose returns the service for the route's next call.
func (s trafficSplit) choose(route string, destinations []state.Destination, random *rand.Rand) string {
	if len(destinations) == 1 {
		return destinations[0].Service
	}
	credits, known := s[route]
	if !known {
		if len(s) >= maxSplitRoutes {
			clear(s)
		}
		credits = make(map[string]int, len(destinations))
		s[route] = credits
		for range random.IntN(maxInitialSkip) {
			nextDestination(credits, destinations)
		}
	}
	return nextDestination(credits, destinations)
}

// nextDestination adds each destination's weight to its credit, selects the
// destination with the most credit and subtracts the sum of all weights from it.
func nextDestination(credits map[string]int, destinations []state.Destination) string {
	total, best := 0, ""
	for _, d := range destinations {
		credits[d.Service] += d.Weight
		total += d.Weight
		if d.Weight > 0 && (best == "" || credits[d.Service] > credits[best]) {
			best = d.Service
		}
	}
	credits[best] -= total
	return best
}
