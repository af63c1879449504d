// Package node composes the duties of one process: membership, configuration,
// calls, and the HTTP and drpc servers around them.
package node

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

// Bounds of the servers.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	leaveTimeout   = time.Second
	closeTimeout   = 5 * time.Second
	sweepInterval  = time.Second
	// recallTime is how long before the end of a planned stop the calls that do not
	// run are refused, so that their callers have the answers in time.
	recallTime = 700 * time.Millisecond
)

// Run runs a node until ctx ends, then stops it gracefully: new work is
// refused, work in flight is finished, the fleet is told. It fails when the
// settings cannot be put in force, such as when an address is taken.
//
// The adapters are known by the names that platform.adapter may give.
func Run(ctx context.Context, settings config.Settings, adapters map[string]NewAdapter, logger *logging.Logger) error {
	newAdapter := adapters[settings.Platform.Adapter]
	if settings.Platform.Adapter == "" {
		newAdapter = ownAdapter
	}
	if newAdapter == nil {
		return ErrAdapter.New("platform.adapter %q is not known: use %s or leave it out", settings.Platform.Adapter, adapterNames(adapters))
	}
	listeners, err := listen(settings.Node)
	if err != nil {
		return err
	}
	defer listeners.close()
	telemetry, err := newTelemetry(settings)
	if err != nil {
		return err
	}
	defer telemetry.close()
	node := compose(settings, listeners, telemetry, newAdapter, logger)
	logger.Event(logging.NodeStarted).
		Str("callers", listeners.callers.Addr().String()).
		Str("control", listeners.control.Addr().String()).
		Uint("incarnation", node.self.Incarnation).
		Send()
	return node.run(ctx)
}

func adapterNames(adapters map[string]NewAdapter) string {
	return strings.Join(slices.Sorted(maps.Keys(adapters)), ", ")
}

func (n *node) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	n.startDuties(groupCtx, group)
	n.startServers(groupCtx, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain()
		case <-groupCtx.Done():
		}
		stop()
		return nil
	})
	err := group.Wait()
	n.controlPool.Close()
	n.callsPool.Close()
	n.logger.Event(logging.NodeStopped).Send()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (n *node) startDuties(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return n.members.Run(ctx) })
	group.Go(func() error { return n.configuration.Run(ctx) })
	group.Go(func() error { return n.calls.Run(ctx) })
	group.Go(func() error { return n.sweepPools(ctx) })
	group.Go(func() error { return n.targets.run(ctx) })
	group.Go(func() error { return n.findStanding(ctx) })
}

func (n *node) startServers(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error {
		return peer.Serve(ctx, n.controlTraffic.Listener(n.listeners.control), n.controlMux(), n.logger)
	})
	group.Go(func() error {
		return peer.Serve(ctx, n.listeners.calls, n.callsMux(), n.logger)
	})
	n.serveHTTP(group, n.callersServer, n.listeners.callers)
	n.serveHTTP(group, n.adminServer, n.listeners.admin)
	n.serveHTTP(group, n.announceServer, n.listeners.announce)
	n.serveHTTP(group, n.readyServer, n.listeners.ready)
	group.Go(func() error {
		<-ctx.Done()
		for _, server := range []*http.Server{n.callersServer, n.adminServer, n.announceServer, n.readyServer} {
			if server != nil {
				_ = server.Close() // every connection is past its last answer
			}
		}
		return nil
	})
}

// serveHTTP serves until the listener is closed at the end of the node. A server
// that the node does not have is left out.
func (n *node) serveHTTP(group *errgroup.Group, server *http.Server, listener net.Listener) {
	if server == nil || listener == nil {
		return
	}
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
}

// drain stops the node gracefully. It goes on as before until the leave delay is
// over, so that callers can turn away and the target is without its gate for a
// short time only. Then the fleet is told, so that no new work is sent while the
// work in flight is finished; what does not run shortly before the end is refused.
func (n *node) drain() {
	n.stopping.Store(true)
	n.logger.Event(logging.NodeStopping).Send()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Calls.DrainTimeout)
	defer cancel()
	recall := time.AfterFunc(max(0, n.settings.Calls.DrainTimeout-recallTime), n.calls.CancelQueued)
	defer recall.Stop()
	n.calls.DisableKeepAlives()
	time.Sleep(n.settings.Calls.LeaveDelay)
	n.targets.drain()
	var group sync.WaitGroup
	group.Go(func() { n.report("gate", n.calls.Drain(ctx)) })
	group.Go(func() { n.report("callers", n.callersServer.Shutdown(ctx)) })
	group.Wait()
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	n.members.Leave(leaveCtx)
}

// report logs work that a planned stop cut off.
func (n *node) report(part string, err error) {
	if err != nil {
		n.logger.Event(logging.StopCutWork).Str("part", part).Err(err).Send()
	}
}

func (n *node) controlMux() *drpcmux.Mux {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, &controlServer{node: n}); err != nil {
		panic(err) // only a method set that does not match the generated code
	}
	return mux
}

func (n *node) callsMux() *drpcmux.Mux {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterCalls(mux, n.calls); err != nil {
		panic(err) // only a method set that does not match the generated code
	}
	return mux
}

func (n *node) sweepPools(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.controlPool.CloseExpired(now)
			n.callsPool.CloseExpired(now)
		}
	}
}

// controlServer joins the control methods of two duties.
type controlServer struct {
	node *node
}

// Exchange answers a probe.
func (s *controlServer) Exchange(ctx context.Context, probe *wire.Probe) (*wire.ProbeAck, error) {
	return s.node.members.Exchange(ctx, probe)
}

// Push takes an update.
func (s *controlServer) Push(ctx context.Context, update *wire.CompressedUpdate) (*wire.PushAck, error) {
	return s.node.configuration.Push(ctx, update)
}

// Pull answers with what came after the requester's version.
func (s *controlServer) Pull(ctx context.Context, request *wire.PullRequest) (*wire.PullAnswer, error) {
	return s.node.configuration.Pull(ctx, request)
}
