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

// fakeLog is the platform's log in memory.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string]*fakeStream
	changed chan struct{}
	down    bool
	// loseAnswers makes appends take effect and fail.
	loseAnswers bool
	reads       map[string]int
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

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (offset int64, err error) {
	l.set(func() {
		if l.down {
			err = platformlog.ErrUnavailable.New("down")
			return
		}
		s := l.stream(stream)
		offset = int64(len(s.records))
		s.records = append(s.records, data)
		if l.loseAnswers {
			err = platformlog.ErrUnavailable.New("answer lost")
		}
	})
	return offset, err
}

func (l *fakeLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (platformlog.Batch, error) {
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

func (l *fakeLog) readNow(stream string, from int64) (platformlog.Batch, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads[stream]++
	if l.down {
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
	if l.down {
		return platformlog.Bounds{}, platformlog.ErrUnavailable.New("down")
	}
	s := l.stream(stream)
	return platformlog.Bounds{First: s.first, Next: int64(len(s.records))}, nil
}

// fleet runs duties that talk over loopback, with a fixed member table.
type fleet struct {
	t       *testing.T
	log     *fakeLog
	members []membership.Member
	nodes   map[string]*running
}

type running struct {
	duty *Runner
	stop func()
}

type control struct {
	wire.DRPCControlUnimplementedServer
	duty *Runner
}

func (c *control) Push(ctx context.Context, m *wire.CompressedUpdate) (*wire.PushAck, error) {
	return c.duty.Push(ctx, m)
}

func (c *control) Pull(ctx context.Context, m *wire.PullRequest) (*wire.PullAnswer, error) {
	return c.duty.Pull(ctx, m)
}

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{t: t, log: newFakeLog(), nodes: make(map[string]*running)}
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
	duty := New(Options{
		Self: member, Spread: settings.Spread, Platform: settings.Platform, Pool: pool, Log: f.log,
		Logger: logging.Discard(), Seed: uint64(len(f.nodes)) + 1, Now: time.Now, PlatformContact: func() {},
		View: func() *membership.View { return &membership.View{Epoch: 1, Self: member, Members: f.members} },
	})
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, &control{duty: duty}); err != nil {
		f.t.Fatal(err)
	}
	var done sync.WaitGroup
	done.Go(func() { _ = peer.Serve(ctx, listener, mux, logging.Discard()) })
	done.Go(func() { _ = duty.Run(ctx) })
	f.nodes[member.ID] = &running{duty: duty, stop: func() {
		cancel()
		done.Wait()
		pool.Close()
	}}
}

// restart ends the node's process and starts another on its address.
func (f *fleet) restart(member membership.Member) *Runner {
	f.nodes[member.ID].stop()
	listener, err := net.Listen("tcp", member.ControlAddress)
	if err != nil {
		f.t.Fatal(err)
	}
	f.start(member, listener)
	return f.nodes[member.ID].duty
}

// probe tells every node the versions of all others once.
func (f *fleet) probe() {
	for _, from := range f.members {
		for _, to := range f.nodes {
			to.duty.PeerVersion(from, f.nodes[from.ID].duty.Applied())
		}
	}
}

// await waits until done holds; the deadline only ends a test that hangs.
func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			f.t.Fatalf("never: %s", what)
		}
		f.probe()
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) all(position uint64) func() bool {
	return func() bool {
		for _, node := range f.nodes {
			if node.duty.Snapshot() == nil || node.duty.Applied().Position < position {
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
