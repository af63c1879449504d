package entry

import (
	"math/rand/v2"

	"jasminegate/internal/state"
)

const (
	// maxSharedRoutes bounds the routes whose shares are remembered.
	maxSharedRoutes = 1024
	// maxFirstTurns bounds the turns that a node skips at first, so that nodes do
	// not all begin with the same destination.
	maxFirstTurns = 64
)

// sharing deals the calls of routes out to their destinations by smooth weighted
// round robin: of any n calls in a row each destination gets its share, to less
// than one call.
type sharing map[string]map[string]int

// choose returns the service of the route's next call.
func (s sharing) choose(route string, destinations []state.Destination, random *rand.Rand) string {
	if len(destinations) == 1 {
		return destinations[0].Service
	}
	credits, known := s[route]
	if !known {
		if len(s) >= maxSharedRoutes {
			clear(s)
		}
		credits = make(map[string]int, len(destinations))
		s[route] = credits
		for range random.IntN(maxFirstTurns) {
			turn(credits, destinations)
		}
	}
	return turn(credits, destinations)
}

// turn gives each destination its weight as credit and takes the sum of all
// weights from the one with the most.
func turn(credits map[string]int, destinations []state.Destination) string {
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
