package calls

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"

	"jasminegate/internal/clock"
	"jasminegate/internal/config"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/peer"
)

// testTimeout bounds waits that are expected to be short.
const testTimeout = 20 * time.Second

// fleet is a group of nodes of one service on the loopback interface.
type fleet struct {
	t        testing.TB
	is       *is.I
	snapshot atomic.Pointer[state.Snapshot]
	view     atomic.Pointer[membership.View]
	serving  atomic.Bool
	nodes    []*fleetNode
}

// fleetNode is one node and its target.
type fleetNode struct {
	runner  *Runner
	member  membership.Member
	target  *httptest.Server
	callers *httptest.Server
	pool    *peer.Pool
	stop    func()
}

// fleetOptions configures newFleet.
type fleetOptions struct {
	nodes int
	// remoteOnly leaves the first node without a target, so that its calls go
	// to other nodes over drpc.
	remoteOnly bool
	settings   func(*config.Calls)
	// dial opens connections between nodes; nil uses TCP.
	dial  func(ctx context.Context, address string) (net.Conn, error)
	slots int
	// boot is the clock that advances during suspension; nil means clock.BootTime.
	boot     func() time.Time
	contract headers.Contract
	// logger is that of the nodes; nil discards.
	logger *logging.Logger
	// overload enables load shedding.
	overload bool
	// incarnation is that of the added nodes; 0 means 7.
	incarnation uint64
	// refusesTarget is that of the gates; nil refuses none.
	refusesTarget func(time.Time, Target) bool
	// connections limits those of a node to each other one; 0 means 64.
	connections int
}

func testSettings() config.Calls {
	settings := config.Defaults().Calls
	settings.SilenceTimeout = 5 * time.Second
	settings.BufferBytes = 64 << 10
	settings.MaxBodyBytes = 1 << 20
	return settings
}

// shortSilenceTimeout shortens tests that silence connections.
func shortSilenceTimeout(settings *config.Calls) { settings.SilenceTimeout = silence }

// silence is the timeout of shortSilenceTimeout.
const silence = 300 * time.Millisecond

func newFleet(t testing.TB, options fleetOptions, target http.HandlerFunc) *fleet {
	f := &fleet{t: t, is: is.New(t)}
	f.serving.Store(true)
	f.publish(20, 10)
	if options.boot == nil {
		options.boot = clock.BootTime
	}
	if options.slots == 0 {
		options.slots = 8
	}
	if options.logger == nil {
		options.logger = logging.Discard()
	}
	if options.incarnation == 0 {
		options.incarnation = 7
	}
	for i := range options.nodes {
		f.addNode(i, options, target)
	}
	f.publishView()
	return f
}

// waitForKeyedCalls waits until every gate admits keyed calls.
func (f *fleet) waitForKeyedCalls() {
	for _, n := range f.nodes {
		f.waitFor("keys are admitted", n.runner.keyed.historySynced.Load)
	}
}

// publish stores a snapshot with one service, of the given queue limits, and the
// routes read (idempotent) and file.
func (f *fleet) publish(queueLength int, queueTimeoutSeconds int) {
	service := state.Service{Name: "depot", Slots: 8, Connections: 40, QueueLength: queueLength, QueueTimeout: state.Duration(time.Duration(queueTimeoutSeconds) * time.Second)}
	read := state.Route{Name: "read", PathPrefix: "/read", Service: "depot", Class: state.ClassInteractive, Timeout: state.Duration(3 * testTimeout), Idempotent: true, MaxAttempts: 3}
	file := state.Route{Name: "file", PathPrefix: "/file", Service: "depot", Class: state.ClassInteractive, Timeout: state.Duration(3 * testTimeout), MaxAttempts: 3}
	ticket := state.Ticket{Number: 1, Services: []state.Service{service}, Routes: []state.Route{read, file}}
	changes, err := ticket.Changes()
	f.is.NoErr(err)
	snapshot, err := state.Empty().With(1, changes)
	f.is.NoErr(err)
	f.snapshot.Store(snapshot)
}

func (f *fleet) addNode(i int, options fleetOptions, target http.HandlerFunc) {
	settings := testSettings()
	if options.settings != nil {
		options.settings(&settings)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	n := &fleetNode{member: membership.Member{
		ID: fmt.Sprintf("node-%d", i), Incarnation: options.incarnation, Domain: "casa-port", State: membership.Alive,
		CallsAddress: listener.Addr().String(), Service: "depot", Slots: uint32(options.slots), Target: membership.TargetReady,
	}}
	n.pool = peer.NewPool(peer.PoolOptions{MaxPerAddress: cmp.Or(options.connections, 64), DialTimeout: time.Second, IdleTimeout: time.Minute, Dial: options.dial})
	n.runner = New(Options{
		Self: n.member, Settings: settings, Overload: config.Overload{Enabled: options.overload}, Contract: options.contract, Pool: n.pool, View: f.view.Load, Snapshot: f.snapshot.Load,
		Serving:       func(time.Time) bool { return f.serving.Load() },
		PeerLoad:      func(string) (uint32, time.Time, bool) { return 0, time.Time{}, false },
		RefusesTarget: options.refusesTarget,
		Logger:        options.logger, RandomSeed: uint64(i) + 1, Now: time.Now, BootTime: options.boot,
	})
	n.target = httptest.NewServer(target)
	if i == 0 && options.remoteOnly {
		n.member.Target = membership.TargetAbsent
	}
	f.view.Store(&membership.View{Self: n.member})
	f.start(n, listener)
	if n.member.Target == membership.TargetReady {
		n.runner.SetTarget(Target{Service: "depot", Slots: options.slots, Connections: 40, Address: n.target.Listener.Addr().String(), State: membership.TargetReady})
	}
	f.nodes = append(f.nodes, n)
}

func (f *fleet) start(n *fleetNode, listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	handler := drpcmux.New()
	f.is.NoErr(wire.DRPCRegisterCalls(handler, n.runner))
	group.Go(func() { _ = n.runner.Run(ctx) })
	group.Go(func() { _ = peer.Serve(ctx, listener, handler, n.runner.options.Logger) })
	n.callers = httptest.NewServer(n.runner.CallersHandler())
	n.stop = sync.OnceFunc(func() {
		n.callers.CloseClientConnections()
		cancel()
		group.Wait()
		n.callers.Close()
		n.target.CloseClientConnections()
		n.target.Close()
		n.pool.Close()
	})
	f.t.Cleanup(n.stop)
}

// restartNode replaces the node by its next incarnation, with another server as its
// target.
func (f *fleet) restartNode(i int, options fleetOptions, target http.HandlerFunc) {
	f.nodes[i].stop()
	options.incarnation = f.nodes[i].member.Incarnation + 1
	f.addNode(i, options, target)
	f.nodes[i] = f.nodes[len(f.nodes)-1]
	f.nodes = f.nodes[:len(f.nodes)-1]
	f.publishView()
}

// publishView gives all nodes the same view.
func (f *fleet) publishView() {
	view := &membership.View{Epoch: 1, Self: f.nodes[0].member}
	for _, n := range f.nodes {
		view.Members = append(view.Members, n.member)
	}
	f.view.Store(view)
}

// removeMember takes the node for dead in the view of all nodes.
func (f *fleet) removeMember(i int) {
	view := &membership.View{Epoch: 2, Self: f.nodes[0].member}
	for j, n := range f.nodes {
		member := n.member
		if j == i {
			member.State = membership.Dead
		}
		view.Members = append(view.Members, member)
	}
	f.view.Store(view)
}

// callResult is the response to a caller's request, or the error.
type callResult struct {
	status int
	header http.Header
	body   string
	// close is set if the response asks the caller to close its connection.
	close bool
	err   error
}

func (f *fleet) call(node int, method, path, body string, header ...string) callResult {
	return f.callWithContext(context.Background(), node, method, path, body, header...)
}

func (f *fleet) callWithContext(ctx context.Context, node int, method, path, body string, header ...string) callResult {
	request, err := http.NewRequestWithContext(ctx, method, f.nodes[node].callers.URL+path, nil)
	f.is.NoErr(err)
	if body != "" {
		request, err = http.NewRequestWithContext(ctx, method, f.nodes[node].callers.URL+path, newBody(body))
		f.is.NoErr(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	client := http.Client{Timeout: testTimeout}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(data), close: response.Close, err: err}
}

func newBody(text string) io.Reader { return &unsizedReader{text: text} }

// unsizedReader has no known length, so that the body is sent chunked.
type unsizedReader struct {
	text string
	at   int
}

func (r *unsizedReader) Read(data []byte) (int, error) {
	if r.at == len(r.text) {
		return 0, io.EOF
	}
	n := copy(data, r.text[r.at:])
	r.at += n
	return n, nil
}

func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for start := time.Now(); time.Since(start) < testTimeout; time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for: %s", what)
}
