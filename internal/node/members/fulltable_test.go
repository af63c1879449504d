package members

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/membership"
)

// A join's full table of a fleet of 1,500 nodes arrives before the join's timeout over a
// link of 5 Mbit/s that calls use to three fifths.
func TestFullTableOverSlowLinkTimesOut(t *testing.T) {
	const (
		nodes          = 1500
		freeBytesPerS  = 625_000 * 2 / 5
		probeTimeout   = 150 * time.Millisecond
		incarnation    = 1_775_304_451_051_325_409
		joiningAddress = "10.1.0.8:7620"
	)
	is := is.New(t)
	ack := membership.Ack{From: "sidecar-plateau-dc-1"}
	for i := range nodes {
		ack.Members = append(ack.Members, membership.Member{
			ID: fmt.Sprintf("sidecar-plateau-dc-%d", i), Incarnation: incarnation, Domain: "plateau-dc", State: membership.Alive,
			ControlAddress: joiningAddress, CallsAddress: joiningAddress, Service: "fiches-web", Slots: 18,
			Target: membership.TargetReady, Revision: 3, BandwidthKbps: 5000,
		})
	}
	size := proto.Size(AckToWire(ack, ""))
	transfer := time.Duration(size) * time.Second / freeBytesPerS

	settings := membership.Settings{
		ProbeInterval: 300 * time.Millisecond, ProbeTimeout: probeTimeout, SuspicionTimeout: time.Second,
		ForgetTimeout: 5 * time.Second, RelayInterval: 300 * time.Millisecond, Relays: 2,
	}
	self := membership.Member{ID: "joining", Domain: "plateau-dc", Incarnation: 1, ControlAddress: joiningAddress}
	machine := membership.New(settings, self, []membership.Seed{{ID: "seed", Domain: "plateau-dc", ControlAddress: "10.1.0.9:7620"}}, rand.NewPCG(1, 1))
	joins := 0
	for _, action := range machine.Step(time.Unix(1e9, 0), membership.Tick{}) {
		probe, ok := action.(membership.SendProbe)
		if !ok || !probe.Probe.FullTable {
			continue
		}
		joins++
		if probe.Timeout < transfer {
			t.Errorf("the full table of %d nodes has %d bytes and takes %v, the join's timeout is %v", nodes, size, transfer, probe.Timeout)
		}
	}
	is.Equal(joins, 1)
}
