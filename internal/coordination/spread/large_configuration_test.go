package spread

import (
	"fmt"
	"testing"
	"time"

	"jasminegate/internal/state"
)

const (
	// recoverTimeout is the time in which a fleet serves again after all its machines
	// were back.
	recoverTimeout = 15 * time.Second
	// inForceTimeout is the time in which a confirmed ticket is in force.
	inForceTimeout = 2500 * time.Millisecond
	// fleetReaders is the number of readers in each domain.
	fleetReaders = 2
)

// newSlowLinkFleet returns a converged fleet of three domains on a compacted log
// whose tickets are large for the links. In each domain, fastPerDomain nodes have fast
// links.
func newSlowLinkFleet(t *testing.T, nodes, fastPerDomain int) *fleet {
	f := emptyFleet(11, t.Fatalf)
	f.compactedLog = true
	f.readers, f.fanOut, f.maxLatency = fleetReaders, 8, 2*time.Millisecond
	f.links = newLinks(largeTicketBytes)
	f.links.fastPerDomain = fastPerDomain
	f.fill(3, nodes/3)
	f.publish(replacingTicket(1, []string{"a", "b"}, 1))
	f.run(20 * time.Second)
	f.requireConverged()
	return f
}

// restartAll restarts every node at once and returns the time until all of them have
// installed the newest configuration, at most recoverTimeout.
func (f *fleet) restartAll() time.Duration {
	start := f.now
	for _, n := range f.nodes {
		f.crash(n)
	}
	f.run(time.Second)
	back := f.now
	for _, n := range f.nodes {
		f.start(n)
	}
	f.run(recoverTimeout)
	f.requireConverged()
	last := start
	for _, n := range f.nodes {
		if n.installedAt.After(last) {
			last = n.installedAt
		}
	}
	return last.Sub(back)
}

// When all nodes start at once, only readers load the whole configuration from the
// platform; the number of such reads does not grow with the fleet.
func TestEveryRestartedNodeReadsWholeConfiguration(t *testing.T) {
	for _, nodes := range []int{30, 99, 300} {
		t.Run(fmt.Sprintf("nodes=%d", nodes), func(t *testing.T) {
			f := newSlowLinkFleet(t, nodes, 0)
			f.links.newestReads, f.links.readBytes = 0, 0
			took := f.restartAll()
			t.Logf("%d nodes: %d reads of the newest ticket, %d bytes of tickets a node, installed everywhere after %v",
				nodes, f.links.newestReads, f.links.readBytes/nodes, took)
			if limit := 2 * 3 * fleetReaders; f.links.newestReads > limit {
				t.Errorf("%d nodes made %d reads of the newest ticket after a restart of all, want at most %d", nodes, f.links.newestReads, limit)
			}
		})
	}
}

// While nodes are stopped and started in overlapping series and a new version comes
// with each confirmation, every node that runs has each version in time.
func TestSeriesOfRestartsDelaysLargeConfigurations(t *testing.T) {
	const (
		versionInterval = 2600 * time.Millisecond
		batchInterval   = 800 * time.Millisecond
		batchSize       = 7
		downtime        = 600 * time.Millisecond
	)
	f := newSlowLinkFleet(t, 99, 0)
	f.stoppedRefuse = true
	next := 0
	var roll func()
	roll = func() {
		for range batchSize {
			n := f.nodes[next%len(f.nodes)]
			next++
			f.crash(n)
			f.after(downtime, func() { f.start(n) })
		}
		f.after(batchInterval, roll)
	}
	f.after(0, roll)
	f.links.newestReads, f.links.readBytes = 0, 0
	const versions = 12
	for i := range versions {
		f.publish(replacingTicket(uint64(i)+2, []string{"a", "b"}, i+2))
		want := f.reference.Version()
		f.run(inForceTimeout)
		for _, n := range f.nodes {
			installed := installedVersion(n)
			if n.up && installed.Position > 0 && installed.Position < want.Position {
				t.Errorf("version %d: %s still serves with %v after %v", i+2, n.member.ID, installed, inForceTimeout)
			}
		}
		f.run(versionInterval - inForceTimeout)
	}
	t.Logf("%d restarts: %d reads of the newest ticket, %d bytes of tickets a restart", next, f.links.newestReads, f.links.readBytes/next)
}

// Where calls leave two fifths of the slow links, a large configuration is in force in
// time because nodes with fast links read it, and all nodes are back soon after a
// restart of the fleet.
func TestReaderOnBusySlowLinkDelaysLargeConfiguration(t *testing.T) {
	f := newSlowLinkFleet(t, 99, fleetReaders)
	f.links.slowBytesPerS = slowLinkBytesPerS * 2 / 5
	for i := range 5 {
		f.publish(replacingTicket(uint64(i)+2, []string{"a", "b"}, i+2))
		published := f.now
		f.run(3 * inForceTimeout)
		f.requireConverged()
		for _, n := range f.nodes {
			if took := n.installedAt.Sub(published); took > inForceTimeout {
				t.Errorf("version %d: %s installed it after %v, want %v at most", i+2, n.member.ID, took, inForceTimeout)
			}
		}
	}
	t.Logf("installed everywhere %v after a restart of all", f.restartAll())
}

// A version that changes more bytes than the history keeps is still pushed to all nodes,
// so that no node pulls the full state.
func TestChangeOverHistoryLimitIsNotPushed(t *testing.T) {
	f := emptyFleet(7, t.Fatalf)
	f.compactedLog = true
	f.maxLatency, f.pollEvery = time.Millisecond, time.Millisecond
	f.fill(1, 20)
	f.publish(replacingTicket(1, []string{"a"}, 1))
	f.run(10 * time.Second)
	f.requireConverged()
	var names []string
	for i := range 4000 {
		names = append(names, fmt.Sprintf("service-%04d", i))
	}
	f.pulls = 0
	f.publish(replacingTicket(2, names, 1))
	f.run(500 * time.Millisecond)
	f.requireConverged()
	if f.pulls > 0 {
		t.Errorf("%d pulls after a large change, want none", f.pulls)
	}
}

// A node that knows of a newer version says so until it has it: it must not take a key of that version for
// one that does not exist.
func TestNodeThatIsBehindDoesNotKnowIt(t *testing.T) {
	f := newSlowLinkFleet(t, 30, 0)
	behind, peer := f.nodes[0].machine, f.nodes[1]
	own := behind.Fold().Version()
	newer := state.Version{Position: own.Position + 1}
	for _, step := range []struct {
		version state.Version
		want    bool
	}{{own, false}, {newer, true}, {newer, true}, {own, false}} {
		behind.Step(f.now, PeerVersion{Peer: peer.member, Version: step.version})
		if behind.IsBehind() != step.want {
			t.Fatalf("a node at %v that heard of %v: behind %v, want %v", own, step.version, !step.want, step.want)
		}
	}
	f.publish(serviceTicket(f.reference.HighestNumber()+1, "added", 1))
	f.run(20 * time.Second)
	f.requireConverged()
	for _, n := range f.nodes {
		if n.machine.IsBehind() {
			t.Errorf("%s has the newest version and takes itself for behind", n.member.ID)
		}
	}
}

// A pull that timed out, for example because the state is large for the link, is
// repeated with a longer timeout.
func TestPullOfLargeStateTimesOutForever(t *testing.T) {
	f := newSlowLinkFleet(t, 30, 0)
	machine := f.nodes[0].machine
	last := 0
	for i := range 3 {
		machine.Step(f.now, PeerVersion{Peer: f.nodes[1].member, Version: state.Version{Position: 1000}})
		f.now = f.now.Add(10 * time.Second)
		var pull *PullUpdate
		for _, action := range machine.Step(f.now, Tick{}) {
			if a, ok := action.(PullUpdate); ok {
				pull = &a
			}
		}
		if pull == nil {
			t.Fatalf("no pull from a peer with a newer version")
		}
		if i > 0 && pull.Failures <= last {
			t.Fatalf("pull %d knows of %d failures, want more than %d", i, pull.Failures, last)
		}
		last = pull.Failures
		machine.Step(f.now, PullDone{PeerID: pull.Peer.ID, Failed: true})
	}
}
