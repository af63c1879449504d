package spread

import (
	"testing"
	"time"
)

// settleTime is the time after the end of a fault of the log within which nodes have to serve.
const settleTime = 3 * time.Second

// TestNodeStartedWithoutLogJoinsLate guards against a node that starts while the log is away,
// is not a reader, and asks for the end of the log again only long after the log is back.
func TestNodeStartedWithoutLogJoinsLate(t *testing.T) {
	for seed := range uint64(20) {
		newRefusedFleet(t, seed, 3, 3).requireStartWithoutLog(5 * time.Second)
	}
}

// TestNodeOfLargeDomainStartedWithoutLogJoinsLate guards against the same in a domain of many
// nodes, in which most nodes come long after the readers.
func TestNodeOfLargeDomainStartedWithoutLogJoinsLate(t *testing.T) {
	for seed := range uint64(20) {
		newRefusedFleet(t, seed, 2, 40).requireStartWithoutLog(8 * time.Second)
	}
}

// requireStartWithoutLog starts the last node of a domain while the log is away, and fails unless it serves
// within settleTime of the log's return.
func (f *restoredFleet) requireStartWithoutLog(away time.Duration) {
	f.platformDown = true
	f.run(time.Second)
	n := f.lastOfDomain("d1")
	f.crash(n)
	f.start(n)
	f.run(away)
	f.platformDown = false
	f.run(settleTime)
	if n.installed == nil {
		f.fail("%s, started while the log was away, has no configuration %v after its return", n.member.ID, settleTime)
	}
}

// lastOfDomain returns the node of a domain that is a reader after all others.
func (f *restoredFleet) lastOfDomain(domain string) *node {
	var last *node
	for _, n := range f.nodes {
		if n.member.Domain == domain && (last == nil || compareTreeOrder(n.member, last.member) > 0) {
			last = n
		}
	}
	return last
}

// TestReplacingReaderKeepsRetryDelay guards against nodes that read in others' place while the
// log is away, and wait for the delay of those retries when they become readers themselves.
func TestReplacingReaderKeepsRetryDelay(t *testing.T) {
	for seed := range uint64(20) {
		f := newRefusedFleet(t, seed, 1, 6)
		f.platformDown = true
		f.run(12 * time.Second)
		f.platformDown = false
		f.run(settleTime)
		for range 2 {
			f.crash(f.firstUp())
		}
		f.publishNext()
		f.run(changeBound)
		for _, n := range f.nodes {
			if got := installedVersion(n); n.up && got.Number != f.number {
				t.Errorf("seed %d: %s is at number %d, want %d", seed, n.member.ID, got.Number, f.number)
			}
		}
	}
}

// firstUp returns the first node of the push tree that runs.
func (f *restoredFleet) firstUp() *node {
	var first *node
	for _, n := range f.nodes {
		if n.up && (first == nil || compareTreeOrder(n.member, first.member) < 0) {
			first = n
		}
	}
	return first
}
