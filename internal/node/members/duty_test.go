package members

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/platformlog"
)

const waitBound = 30 * time.Second

// control serves only the part of the control interface under test.
type control struct {
	wire.DRPCControlUnimplementedServer
	duty *Runner
}

func (c *control) Exchange(ctx context.Context, probe *wire.Probe) (*wire.ProbeAck, error) {
	return c.duty.Exchange(ctx, probe)
}

type testNode struct {
	duty   *Runner
	self   membership.Member
	cancel context.CancelFunc
	ended  chan struct{}
}

// startNode runs one duty with its control server on loopback.
func startNode(t *testing.T, id, domain string, seeds []config.Seed, log platformlog.Log) *testNode {
	t.Helper()
	return runNode(t, id, domain, Options{Seeds: seeds, Log: log})
}

// startDirectoryNode is startNode with a directory in place of seeds and stream.
func startDirectoryNode(t *testing.T, id, domain string, directory platformlog.Keyed) *testNode {
	t.Helper()
	return runNode(t, id, domain, Options{Directory: directory})
}

// runNode runs a duty that finds others as the options say.
func runNode(t *testing.T, id, domain string, find Options) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	self := membership.Member{ID: id, Incarnation: uint64(time.Now().UnixNano()), Domain: domain, ControlAddress: address, CallsAddress: address}
	pool := peer.NewPool(peer.PoolOptions{MaxPerAddress: 4, DialTimeout: time.Second, IdleTimeout: time.Minute})
	settings := config.Defaults().Membership
	settings.ProbeInterval = 50 * time.Millisecond
	settings.RelayInterval = 50 * time.Millisecond
	settings.FenceTimeout = 2 * time.Second
	settings.ForgetTimeout = 3 * time.Second
	duty := New(Options{
		Self:      self,
		Settings:  settings,
		Seeds:     find.Seeds,
		Pool:      pool,
		Log:       find.Log,
		Directory: find.Directory,
		Logger:    logging.Discard(),
		Seed:      1,
		Applied:   func() state.Version { return state.Version{Position: 7, Digest: 9} },
		Load:      func() uint32 { return 3 },
		Now:       time.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, &control{duty: duty}); err != nil {
		t.Fatal(err)
	}
	node := &testNode{duty: duty, self: self, cancel: cancel, ended: make(chan struct{})}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = peer.Serve(ctx, listener, mux, logging.Discard())
	}()
	go func() {
		defer close(node.ended)
		_ = duty.Run(ctx)
		<-served
		pool.Close()
	}()
	t.Cleanup(node.stop)
	return node
}

func (n *testNode) stop() {
	n.cancel()
	<-n.ended
}

func (n *testNode) seed() config.Seed {
	return config.Seed{ID: n.self.ID, Domain: n.self.Domain, ControlAddress: n.self.ControlAddress}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitBound)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", waitBound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func stateOf(view *membership.View, id string) membership.Member {
	for _, member := range view.Members {
		if member.ID == id {
			return member
		}
	}
	return membership.Member{}
}

func TestNodesFindEachOtherAndLearnOfTargets(t *testing.T) {
	is := is.New(t)
	first := startNode(t, "a", "east", nil, nil)
	second := startNode(t, "b", "east", []config.Seed{first.seed()}, nil)
	third := startNode(t, "c", "west", []config.Seed{second.seed()}, nil)
	nodes := []*testNode{first, second, third}

	third.duty.SetTarget("depot", 20, membership.TargetReady)
	for _, node := range nodes {
		waitFor(t, node.self.ID+" knows all and c's target", func() bool {
			view := node.duty.View()
			return len(view.Members) == len(nodes) && len(view.Endpoints("depot")) == 1
		})
		waitFor(t, node.self.ID+" serves", func() bool { return node.duty.Serving(time.Now()) })
	}
	waitFor(t, "b's load is known", func() bool {
		load, _, ok := first.duty.LoadOf("b")
		return ok && load == 3
	})

	ctx, cancel := context.WithTimeout(context.Background(), waitBound)
	defer cancel()
	second.duty.Leave(ctx)
	waitFor(t, "a knows that b left", func() bool { return stateOf(first.duty.View(), "b").State == membership.Left })
	is.Equal(len(first.duty.View().Members), len(nodes)) // a leaver stays as a tombstone
}
