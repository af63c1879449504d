package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// viewOf returns a member table of 17 domains.
func viewOf(self membership.Member, nodes int) *membership.View {
	view := &membership.View{Self: self}
	for i := range nodes {
		view.Members = append(view.Members, membership.Member{
			ID: fmt.Sprintf("node-%04d", i), Domain: fmt.Sprintf("d%02d", i%17), State: membership.Alive,
		})
	}
	return view
}

// BenchmarkViewChanged gives the time of a new member table.
func BenchmarkViewChanged(b *testing.B) {
	for _, nodes := range []int{50, 500, 1500} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			self := membership.Member{ID: "node-0000", Domain: "d00", State: membership.Alive}
			view := viewOf(self, nodes)
			machine := New(Options{Self: self, Readers: 2, FanOut: 8, PullsPerSecond: 20, CheckpointInterval: time.Minute})
			b.ReportAllocs()
			for b.Loop() {
				machine.Step(time.Unix(0, 0), ViewChanged{view})
			}
		})
	}
}

// BenchmarkPeerVersion gives the time of a probe's version that is not newer.
func BenchmarkPeerVersion(b *testing.B) {
	self := membership.Member{ID: "node-0000", Domain: "d00", State: membership.Alive}
	view := viewOf(self, 1500)
	machine := New(Options{Self: self, Readers: 2, FanOut: 8, PullsPerSecond: 20, CheckpointInterval: time.Minute})
	machine.Step(time.Unix(0, 0), ViewChanged{view})
	event := PeerVersion{Peer: view.Members[17], Version: state.Empty().Version()}
	b.ReportAllocs()
	for b.Loop() {
		machine.Step(time.Unix(0, 0), event)
	}
}

// BenchmarkConvergence gives, in virtual time with 1 to 2 ms one way, how long
// a ticket takes to all nodes of a fleet of 17 domains, and the messages a node
// gets for it. The time begins when the ticket is on the log.
func BenchmarkConvergence(b *testing.B) {
	cases := []struct {
		perDomain, readers, fanOut int
		loss                       float64
	}{
		{6, 2, 8, 0}, {24, 2, 8, 0}, {88, 2, 8, 0},
		{88, 2, 2, 0}, {88, 2, 4, 0}, {88, 2, 16, 0},
		{88, 1, 8, 0}, {88, 4, 8, 0},
		{88, 2, 8, 0.02}, {88, 2, 4, 0.02}, {88, 2, 16, 0.02},
	}
	for _, tc := range cases {
		name := fmt.Sprintf("nodes=%d/readers=%d/fanout=%d/loss=%v", 17*tc.perDomain, tc.readers, tc.fanOut, tc.loss)
		b.Run(name, func(b *testing.B) {
			f := emptyFleet(7, b.Fatalf)
			f.readers, f.fanOut = tc.readers, tc.fanOut
			f.maxLatency, f.pollEvery = time.Millisecond, 2*time.Millisecond
			f.fill(17, tc.perDomain)
			f.run(20 * time.Second)
			f.requireConverged()
			f.lossRate = tc.loss
			var took []time.Duration
			clear(f.pushedTo)
			f.pulls, f.ticketReads = 0, 0
			number, begun := uint64(1), f.now
			for b.Loop() {
				published := f.now
				f.publish(serviceTicket(number, "a", int(number%9)+1))
				number++
				f.run(4 * time.Second)
				f.requireConverged()
				for _, n := range f.nodes {
					took = append(took, n.installedAt.Sub(published))
				}
			}
			slices.Sort(took)
			pushes := 0
			for _, count := range f.pushedTo {
				pushes += count
			}
			each := float64(len(took))
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "virtual-ms-p50")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "virtual-ms-p99")
			b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "virtual-ms-max")
			b.ReportMetric(float64(pushes)/each, "pushes/node")
			b.ReportMetric(float64(f.pulls)/each, "pulls/node")
			b.ReportMetric(float64(f.ticketReads)/f.now.Sub(begun).Seconds(), "reads/virtual-s")
		})
	}
}
