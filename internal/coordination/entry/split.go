package entry

import (
	"math/rand/v2"

	"jasminegate/internal/state"
)

const (
	// maxSplitRoutes bounds the routes whose shares are remembered.
	maxSplitRoutes = 1024
	// maxInitialSkip bounds the turns that a node skips at first, so that nodes do
	// not all begin with the same destination.
	maxInitialSkip = 64
)

// trafficSplit deals the calls of routes out to their destinations by smooth weighted
// round robin: of any n calls in a row each destination gets its share, to less
// than one call.
type trafficSplit map[string]map[string]int

// choose returns the service of the route's next call.
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

// nextDestination gives each destination its weight as credit and takes the sum of all
// weights from the one with the most.
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
