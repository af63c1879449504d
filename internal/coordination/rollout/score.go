package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	// badDifference is the difference between the bad share of a bad version and that of the
	// old one for which the test is built. It is half of the typical share of a bad version, so that smaller
	// shares are found too.
	badDifference = 0.25
	// toleratedFactor and toleratedShare bound the bad share of a good version: factor x that
	// of the old version + share. Without them, chance differences between two small samples
	// would count.
	toleratedFactor = 1.5
	toleratedShare  = 0.02
	// priorResponses and priorBad stand for responses of the old version before there are any.
	priorResponses = 25
	priorBad       = 0.5
	// minContribution is the score from which a target contributes to the evidence.
	minContribution = 1
)

// score is a one-sided CUSUM over the responses of the new version (E. S. Page, "Continuous
// Inspection Schemes", Biometrika 1954), with the log-likelihood ratio of a bad against a good
// version as increments (A. Wald, "Sequential Tests of Statistical Hypotheses", 1945).
// A version that turns bad late is thereby found as fast as one that is bad at once.
type score struct {
	sum float64
	// by has the same score for each target alone.
	by map[string]float64
	// good and bad count the responses.
	good, bad float64
}

func newScore() score { return score{by: make(map[string]float64)} }

// badShare estimates the share of bad responses of the old version.
func badShare(good, bad float64) float64 {
	return (bad + priorBad) / (good + bad + priorResponses)
}

// add takes in responses of one target. Reference is the bad share of the old version.
func (s *score) add(endpoint string, reference, good, bad float64) {
	p0 := min(toleratedFactor*reference+toleratedShare, 0.6)
	p1 := p0 + badDifference
	s.good += good
	s.bad += bad
	s.addIncrement(endpoint, bad*math.Log(p1/p0)-good*math.Log((1-p0)/(1-p1)))
}

func (s *score) addIncrement(endpoint string, increment float64) {
	s.sum = max(0, s.sum+increment)
	s.by[endpoint] = max(0, s.by[endpoint]+increment)
}

// remove takes out what a target contributed.
func (s *score) remove(endpoint string) {
	s.sum = max(0, s.sum-s.by[endpoint])
	delete(s.by, endpoint)
}

// top returns the target with the greatest score and that score.
func (s *score) top() (endpoint string, contribution float64) {
	for _, e := range slices.Sorted(maps.Keys(s.by)) {
		if s.by[e] > contribution {
			endpoint, contribution = e, s.by[e]
		}
	}
	return endpoint, contribution
}

// contributors returns the targets that contribute to the evidence.
func (s *score) contributors() []string {
	var found []string
	for _, e := range slices.Sorted(maps.Keys(s.by)) {
		if s.by[e] >= minContribution {
			found = append(found, e)
		}
	}
	return found
}

// String describes the evidence for operators.
func (s *score) String() string {
	return fmt.Sprintf("%.0f bad of %.0f, score %.1f, targets %s",
		s.bad, s.good+s.bad, s.sum, strings.Join(s.contributors(), " "))
}
