package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// viewOf returns a member table with nodes spread over 17 domains.
func viewOf(self membership.Member, nodes int) *membership.View {
	view := &membership.View{Self: self}
	for i := range nodes {
		view.Members = append(view.Members, membership.Member{
			ID: fmt.Sprintf("node-%04d", i), Domain: fmt.Sprintf("d%02d", i%17), State: membership.Alive,
		})
	}
	return view
}

// BenchmarkViewChanged measures the handling of a new member table.
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

// BenchmarkPeerVersion measures the handling of a peer version that is not newer.
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

// BenchmarkConvergence measures how long a ticket takes from its append to the log
// until the nodes of a fleet of 17 domains have installed it, and the number of
// messages per node. The time is virtual, with a one-way latency of 1 to 2 ms.
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
			var durations []time.Duration
			clear(f.pushedTo)
			f.pulls, f.ticketReads = 0, 0
			number, startedAt := uint64(1), f.now
			for b.Loop() {
				published := f.now
				f.publish(serviceTicket(number, "a", int(number%9)+1))
				number++
				f.run(4 * time.Second)
				f.requireConverged()
				for _, n := range f.nodes {
					durations = append(durations, n.installedAt.Sub(published))
				}
			}
			slices.Sort(durations)
			pushes := 0
			for _, count := range f.pushedTo {
				pushes += count
			}
			installs := float64(len(durations))
			b.ReportMetric(float64(durations[len(durations)/2].Microseconds())/1000, "virtual-ms-p50")
			b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds())/1000, "virtual-ms-p99")
			b.ReportMetric(float64(durations[len(durations)-1].Microseconds())/1000, "virtual-ms-max")
			b.ReportMetric(float64(pushes)/installs, "pushes/node")
			b.ReportMetric(float64(f.pulls)/installs, "pulls/node")
			b.ReportMetric(float64(f.ticketReads)/f.now.Sub(startedAt).Seconds(), "reads/virtual-s")
		})
	}
}
