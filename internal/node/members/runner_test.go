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

const waitTimeout = 30 * time.Second

// control serves only the Exchange method of the control service.
type control struct {
	wire.DRPCControlUnimplementedServer
	runner *Runner
}

func (c *control) Exchange(ctx context.Context, probe *wire.Probe) (*wire.ProbeAck, error) {
	return c.runner.Exchange(ctx, probe)
}

type testNode struct {
	runner *Runner
	self   membership.Member
	cancel context.CancelFunc
	ended  chan struct{}
}

// startNode starts a node with a control server on loopback.
func startNode(t *testing.T, id, domain string, seeds []config.Seed, log platformlog.Log) *testNode {
	t.Helper()
	return runNode(t, id, domain, Options{Seeds: seeds, Log: log})
}

// startDirectoryNode is startNode with a directory instead of seeds and a log.
func startDirectoryNode(t *testing.T, id, domain string, directory platformlog.CompactedLog) *testNode {
	t.Helper()
	return runNode(t, id, domain, Options{Directory: directory})
}

// runNode starts a node that discovers others through the seeds, the log or the
// directory of discovery.
func runNode(t *testing.T, id, domain string, discovery Options) *testNode {
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
	runner := New(Options{
		Self:           self,
		Settings:       settings,
		Seeds:          discovery.Seeds,
		Pool:           pool,
		Log:            discovery.Log,
		Directory:      discovery.Directory,
		LogUnreachable: discovery.LogUnreachable,
		Logger:         logging.Discard(),
		RandomSeed:     1,
		AppliedVersion: func() state.Version { return state.Version{Position: 7, Digest: 9} },
		Load:           func() uint32 { return 3 },
		Now:            time.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, &control{runner: runner}); err != nil {
		t.Fatal(err)
	}
	node := &testNode{runner: runner, self: self, cancel: cancel, ended: make(chan struct{})}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = peer.Serve(ctx, listener, mux, logging.Discard())
	}()
	go func() {
		defer close(node.ended)
		_ = runner.Run(ctx)
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
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", waitTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func memberByID(view *membership.View, id string) membership.Member {
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

	third.runner.SetTarget("depot", 20, membership.TargetReady, "v2")
	for _, node := range nodes {
		waitFor(t, node.self.ID+" knows all and c's target", func() bool {
			view := node.runner.View()
			return len(view.Members) == len(nodes) && len(view.Endpoints("depot")) == 1
		})
		waitFor(t, node.self.ID+" serves", func() bool { return node.runner.Serving(time.Now()) })
	}
	third.runner.SetTarget("depot", 20, membership.TargetReady, "v3")
	for _, node := range nodes {
		// A change of the version alone must reach the other domain too.
		waitFor(t, node.self.ID+" knows the version of c's target", func() bool {
			endpoints := node.runner.View().Endpoints("depot")
			return len(endpoints) == 1 && endpoints[0].TargetVersion == "v3"
		})
	}
	waitFor(t, "b's load is known", func() bool {
		load, _, ok := first.runner.PeerLoad("b")
		return ok && load == 3
	})

	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	second.runner.Leave(ctx)
	waitFor(t, "a knows that b left", func() bool { return memberByID(first.runner.View(), "b").State == membership.Left })
	is.Equal(len(first.runner.View().Members), len(nodes)) // the departed member stays as a tombstone
}
