package configuration

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/platformlog"
)

// fakeLog is an in-memory platform log.
type fakeLog struct {
	mu          sync.Mutex
	streams     map[string]*fakeStream
	changed     chan struct{}
	unavailable bool
	// loseResponses makes appends fail after they have taken effect.
	loseResponses bool
	reads         map[string]int
}

type fakeStream struct {
	first   int64
	records [][]byte
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: make(map[string]*fakeStream), changed: make(chan struct{}), reads: make(map[string]int)}
}

func (l *fakeLog) stream(name string) *fakeStream {
	if l.streams[name] == nil {
		l.streams[name] = &fakeStream{}
	}
	return l.streams[name]
}

// update runs change under the lock and wakes waiting reads.
func (l *fakeLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (offset int64, err error) {
	l.update(func() {
		if l.unavailable {
			err = platformlog.ErrUnavailable.New("down")
			return
		}
		s := l.stream(stream)
		offset = int64(len(s.records))
		s.records = append(s.records, data)
		if l.loseResponses {
			err = platformlog.ErrUnavailable.New("response lost")
		}
	})
	return offset, err
}

func (l *fakeLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (platformlog.Batch, error) {
	l.countRead(stream)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.readNow(stream, from)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, platformlog.ErrUnavailable.New("%v", ctx.Err())
		}
	}
}

// countRead counts a request. A waiting read that an append to any stream wakes is still
// the same request.
func (l *fakeLog) countRead(stream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads[stream]++
}

func (l *fakeLog) readNow(stream string, from int64) (platformlog.Batch, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platformlog.Batch{}, nil, platformlog.ErrUnavailable.New("down")
	}
	s := l.stream(stream)
	if from < s.first {
		return platformlog.Batch{}, nil, platformlog.ErrTrimmed.New("trimmed")
	}
	var batch platformlog.Batch
	for i := from; i < int64(len(s.records)); i++ {
		batch.Records = append(batch.Records, platformlog.Record{Offset: i, Data: s.records[i]})
	}
	return batch, l.changed, nil
}

func (l *fakeLog) Bounds(_ context.Context, stream string) (platformlog.Bounds, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platformlog.Bounds{}, platformlog.ErrUnavailable.New("down")
	}
	s := l.stream(stream)
	return platformlog.Bounds{First: s.first, Next: int64(len(s.records))}, nil
}

// fleet runs one Runner per member of a fixed member table; they communicate over
// loopback.
type fleet struct {
	t       *testing.T
	log     *fakeLog
	members []membership.Member
	nodes   map[string]*testNode
}

type testNode struct {
	runner *Runner
	stop   func()
}

type controlServer struct {
	wire.DRPCControlUnimplementedServer
	runner *Runner
}

func (c *controlServer) Push(ctx context.Context, m *wire.CompressedUpdate) (*wire.PushAck, error) {
	return c.runner.Push(ctx, m)
}

func (c *controlServer) Pull(ctx context.Context, m *wire.PullRequest) (*wire.PullAnswer, error) {
	return c.runner.Pull(ctx, m)
}

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{t: t, log: newFakeLog(), nodes: make(map[string]*testNode)}
	listeners := make([]net.Listener, count)
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = listener
		f.members = append(f.members, membership.Member{
			ID: fmt.Sprintf("n%d", i), Domain: fmt.Sprintf("d%d", i%2), State: membership.Alive,
			ControlAddress: listener.Addr().String(),
		})
	}
	for i, member := range f.members {
		f.start(member, listeners[i])
	}
	t.Cleanup(func() {
		for _, node := range f.nodes {
			node.stop()
		}
	})
	return f
}

func (f *fleet) start(member membership.Member, listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	pool := peer.NewPool(peer.PoolOptions{MaxPerAddress: 8, DialTimeout: time.Second, IdleTimeout: time.Minute})
	settings := config.Defaults()
	settings.Platform.ReadWait = 5 * time.Second
	settings.Platform.CheckpointInterval = 300 * time.Millisecond
	runner := New(Options{
		Self: member, Spread: settings.Spread, Platform: settings.Platform, Pool: pool, Log: f.log,
		Logger: logging.Discard(), RandomSeed: uint64(len(f.nodes)) + 1, Now: time.Now, OnPlatformContact: func() {},
		View: func() *membership.View { return &membership.View{Epoch: 1, Self: member, Members: f.members} },
	})
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, &controlServer{runner: runner}); err != nil {
		f.t.Fatal(err)
	}
	var done sync.WaitGroup
	done.Go(func() { _ = peer.Serve(ctx, listener, mux, logging.Discard()) })
	done.Go(func() { _ = runner.Run(ctx) })
	f.nodes[member.ID] = &testNode{runner: runner, stop: func() {
		cancel()
		done.Wait()
		pool.Close()
	}}
}

// restart stops the node's runner and starts a new one on the same address.
func (f *fleet) restart(member membership.Member) *Runner {
	f.nodes[member.ID].stop()
	listener, err := net.Listen("tcp", member.ControlAddress)
	if err != nil {
		f.t.Fatal(err)
	}
	f.start(member, listener)
	return f.nodes[member.ID].runner
}

// probe reports every node's version to every node once.
func (f *fleet) probe() {
	for _, from := range f.members {
		for _, to := range f.nodes {
			to.runner.ObservePeerVersion(from, f.nodes[from.ID].runner.AppliedVersion())
		}
	}
}

// await waits until done returns true. The long deadline only ends a test that
// would hang otherwise.
func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
		f.probe()
		time.Sleep(5 * time.Millisecond)
	}
}

// allAtLeast returns a condition for await: every node has an installed snapshot
// at position or later.
func (f *fleet) allAtLeast(position uint64) func() bool {
	return func() bool {
		for _, node := range f.nodes {
			if node.runner.Snapshot() == nil || node.runner.AppliedVersion().Position < position {
				return false
			}
		}
		return true
	}
}

func ticket(number uint64, slots int) state.Ticket {
	return state.Ticket{Number: number, Services: []state.Service{{
		Name: "order-desk", Slots: slots, Connections: 120, QueueLength: 12, QueueTimeout: state.Duration(time.Second),
	}}}
}
