package entry

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/state"
)

// TestTrafficSplitFollowsWeights checks that each destination gets the share of its
// weight in any consecutive calls, also right after the weights change.
func TestTrafficSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	split := make(trafficSplit)
	random := rand.New(rand.NewPCG(1, 2))
	count := func(calls int, destinations ...state.Destination) map[string]int {
		counts := make(map[string]int)
		for range calls {
			counts[split.choose("orders", destinations, random)]++
		}
		return counts
	}
	old := count(100, state.Destination{Service: "a", Weight: 90}, state.Destination{Service: "b", Weight: 10})
	is.True(old["a"] >= 89 && old["a"] <= 91)
	changed := count(100, state.Destination{Service: "a", Weight: 30}, state.Destination{Service: "b", Weight: 70}, state.Destination{Service: "c"})
	is.True(changed["b"] >= 68 && changed["b"] <= 72)
	is.Equal(changed["c"], 0) // weight 0 gets no calls
}
