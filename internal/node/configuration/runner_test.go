package configuration

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/readback"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/platformlog"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestTicketReachesEveryNodeOverDRPC(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 12)
	f.await("all nodes to join", f.allAtLeast(0))
	f.log.mu.Lock()
	readsToJoin := f.log.reads[platformlog.StreamTickets]
	f.log.mu.Unlock()
	offset, err := f.nodes["n0"].runner.Publish(context.Background(), ticket(1, 6))
	is.NoErr(err)
	f.await("every node to install the ticket", f.allAtLeast(uint64(offset)+1))
	want := f.nodes["n0"].runner.AppliedVersion()
	for _, node := range f.nodes {
		is.Equal(node.runner.AppliedVersion(), want)
		is.Equal(len(node.runner.Verdicts()), 1)
	}
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	// Only the two readers of each of the two domains read the log; the ticket ends
	// one waiting read of each.
	is.True(f.log.reads[platformlog.StreamTickets]-readsToJoin <= 4*3)
}

// TestOutageThenRestart checks that a node that restarts while the platform is
// unreachable pulls its peers' state but installs nothing, that it installs once
// the platform responds, and that a restarted fleet recovers from a checkpoint
// when the log no longer holds the ticket.
func TestOutageThenRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	f.await("all nodes to join", f.allAtLeast(0))
	_, err := f.nodes["n0"].runner.Publish(context.Background(), ticket(1, 6))
	is.NoErr(err)
	f.await("every node to install the ticket", f.allAtLeast(1))
	f.await("a checkpoint", func() bool {
		f.log.mu.Lock()
		defer f.log.mu.Unlock()
		return len(f.log.stream(platformlog.StreamCheckpoints).records) > 0
	})
	f.log.update(func() { f.log.unavailable = true })
	_, err = f.nodes["n1"].runner.Publish(context.Background(), ticket(2, 7))
	is.True(err != nil) // the platform is unreachable
	restarted := f.restart(f.members[3])
	f.await("the restarted node to pull its peers' state", func() bool { return len(restarted.Verdicts()) == 1 })
	is.Equal(restarted.Snapshot(), nil) // it serves only after contact with the platform
	f.log.update(func() {
		f.log.unavailable = false
		f.log.stream(platformlog.StreamTickets).first = 1 // the ticket is trimmed; the checkpoint contains it
	})
	f.await("the restarted node to serve", f.allAtLeast(1))
	for _, member := range f.members {
		f.restart(member)
	}
	f.await("the restarted fleet to recover from the checkpoint", f.allAtLeast(1))
}

func TestPublishRetryAfterLostResponse(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.await("all nodes to join", f.allAtLeast(0))
	runner := f.nodes["n1"].runner
	f.log.update(func() { f.log.loseResponses = true })
	_, err := runner.Publish(context.Background(), ticket(1, 6))
	is.True(err != nil) // the append took effect, but its response was lost
	f.log.update(func() { f.log.loseResponses = false })
	offset, err := runner.Publish(context.Background(), ticket(1, 6))
	is.NoErr(err)
	is.Equal(offset, int64(1))
	f.await("verdicts for both records", func() bool { return len(runner.Verdicts()) == 2 })
	summaries := []membership.Summary{
		{Domain: "d0", Members: 1, LeastPosition: 1},
		{Domain: "d1", Members: 1, LeastPosition: 1},
	}
	content, err := ticket(1, 6).ContentHash()
	is.NoErr(err)
	status := runner.TicketStatus(1, content, summaries, time.Now())
	is.Equal(status.State, readback.InForce)
	is.Equal(status.Position, uint64(1)) // the position of the accepted record, not of its repeat
}

func TestUndecodablePushIsRejected(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	f.await("the node to join", f.allAtLeast(0))
	runner := f.nodes["n0"].runner
	_, err := runner.Push(context.Background(), &wire.CompressedUpdate{Data: []byte("HTTP/1.1 200 OK")})
	is.True(err != nil)
	is.Equal(runner.Stats().UpdatesRefused, uint64(1))
	is.Equal(runner.AppliedVersion().Position, uint64(0))
}

// A rejected ticket changes no version, so probes cannot reveal that the push of
// its verdict was lost: a status request must make the node pull the verdict.
func TestRejectedTicketIsReadAtAnyNode(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 8)
	f.await("all nodes to join", f.allAtLeast(0))
	bad := ticket(1, 6)
	bad.Services[0].Slots = 0
	_, err := f.nodes["n5"].runner.Publish(context.Background(), bad)
	is.NoErr(err)
	for id, node := range f.nodes {
		f.await(id+" to have the verdict", func() bool {
			return node.runner.TicketStatus(1, 0, nil, time.Now()).State == readback.Rejected
		})
	}
}
