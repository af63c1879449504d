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
	f.await("all join", f.all(0))
	f.log.mu.Lock()
	readsToJoin := f.log.reads[platformlog.StreamTickets]
	f.log.mu.Unlock()
	offset, err := f.nodes["n0"].duty.Publish(context.Background(), ticket(1, 6))
	is.NoErr(err)
	f.await("ticket everywhere", f.all(uint64(offset)+1))
	want := f.nodes["n0"].duty.Applied()
	for _, node := range f.nodes {
		is.Equal(node.duty.Applied(), want)
		is.Equal(len(node.duty.Verdicts()), 1)
	}
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	// Only the two readers of each of the two domains read, woken once each.
	is.True(f.log.reads[platformlog.StreamTickets]-readsToJoin <= 4*3)
}

func TestOutageThenRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	f.await("all join", f.all(0))
	_, err := f.nodes["n0"].duty.Publish(context.Background(), ticket(1, 6))
	is.NoErr(err)
	f.await("ticket everywhere", f.all(1))
	f.await("a checkpoint", func() bool {
		f.log.mu.Lock()
		defer f.log.mu.Unlock()
		return len(f.log.stream(platformlog.StreamCheckpoints).records) > 0
	})
	f.log.set(func() { f.log.down = true })
	_, err = f.nodes["n1"].duty.Publish(context.Background(), ticket(2, 7))
	is.True(err != nil) // the platform is out
	restarted := f.restart(f.members[3])
	f.await("peers give their state", func() bool { return len(restarted.Verdicts()) == 1 })
	is.Equal(restarted.Snapshot(), nil) // it does not serve before it heard the platform
	f.log.set(func() {
		f.log.down = false
		f.log.stream(platformlog.StreamTickets).first = 1 // trimmed, the checkpoint covers it
	})
	f.await("the restarted node serves", f.all(1))
	for _, member := range f.members {
		f.restart(member)
	}
	f.await("a cold fleet comes back from the checkpoint", f.all(1))
}

func TestPublishAgainAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.await("all join", f.all(0))
	duty := f.nodes["n1"].duty
	f.log.set(func() { f.log.loseAnswers = true })
	_, err := duty.Publish(context.Background(), ticket(1, 6))
	is.True(err != nil) // the answer is lost, the write is not
	f.log.set(func() { f.log.loseAnswers = false })
	offset, err := duty.Publish(context.Background(), ticket(1, 6))
	is.NoErr(err)
	is.Equal(offset, int64(1))
	f.await("both records are decided", func() bool { return len(duty.Verdicts()) == 2 })
	summaries := []membership.Summary{
		{Domain: "d0", Members: 1, LeastPosition: 1},
		{Domain: "d1", Members: 1, LeastPosition: 1},
	}
	content, err := ticket(1, 6).ContentHash()
	is.NoErr(err)
	status := duty.Ticket(1, content, summaries, time.Now())
	is.Equal(status.State, readback.InForce)
	is.Equal(status.Position, uint64(1)) // the accepted record, not its repeat
}

func TestForeignPushIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	f.await("joins", f.all(0))
	duty := f.nodes["n0"].duty
	_, err := duty.Push(context.Background(), &wire.CompressedUpdate{Data: []byte("HTTP/1.1 200 OK")})
	is.True(err != nil)
	is.Equal(duty.Stats().UpdatesRefused, uint64(1))
	is.Equal(duty.Applied().Position, uint64(0))
}

// A rejected ticket moves no version, so a lost push of its verdict is not
// repaired by probes: asking for it fetches it.
func TestRejectedTicketIsReadAtAnyNode(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 8)
	f.await("all join", f.all(0))
	bad := ticket(1, 6)
	bad.Services[0].Slots = 0
	_, err := f.nodes["n5"].duty.Publish(context.Background(), bad)
	is.NoErr(err)
	for id, node := range f.nodes {
		f.await(id+" knows the verdict", func() bool {
			return node.duty.Ticket(1, 0, nil, time.Now()).State == readback.Rejected
		})
	}
}
