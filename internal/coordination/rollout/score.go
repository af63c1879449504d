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
	// acceptedScore is the evidence at which a route counts as tested: a bad version reaches it
	// with a probability of at most e^-3.
	acceptedScore = 3
	// maxDisproof bounds the evidence that good responses must make up for.
	maxDisproof = 6
	// typicalPerGood is what one response adds to the evidence if the old version has few bad ones.
	typicalPerGood = 0.3
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
	// accepted is the evidence for a good version: the log-likelihood ratio of a good against
	// a bad one over all responses, and perGood what a good response adds to it now.
	accepted, perGood float64
	// acceptedBy is the part of each target.
	acceptedBy map[string]float64
}

func newScore() score {
	return score{by: make(map[string]float64), acceptedBy: make(map[string]float64)}
}

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
	s.perGood = math.Log((1 - p0) / (1 - p1))
	increment := bad*math.Log(p1/p0) - good*s.perGood
	s.accepted -= increment
	s.acceptedBy[endpoint] -= increment
	s.addIncrement(endpoint, increment)
}

// missing returns how many good responses are missing until the version counts as good.
func (s *score) missing() float64 {
	if s.perGood == 0 {
		return math.Ceil(acceptedScore / typicalPerGood)
	}
	return math.Ceil(max(0, acceptedScore-max(-maxDisproof, s.accepted)) / s.perGood)
}

// suspicious reports whether the recent responses or all together point to a bad version.
func (s *score) suspicious() bool {
	return s.sum >= suspiciousScore || s.accepted <= -suspiciousScore
}

func (s *score) addIncrement(endpoint string, increment float64) {
	s.sum = max(0, s.sum+increment)
	s.by[endpoint] = max(0, s.by[endpoint]+increment)
}

// remove takes out what a target contributed.
func (s *score) remove(endpoint string) {
	s.sum = max(0, s.sum-s.by[endpoint])
	delete(s.by, endpoint)
	s.accepted -= s.acceptedBy[endpoint]
	delete(s.acceptedBy, endpoint)
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
