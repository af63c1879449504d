// Package node assembles a node from its runners (membership, configuration,
// calls) and serves them over HTTP and drpc.
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

	"storj.io/drpc/drpcmux"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/accept"
	"jasminegate/internal/transport/peer"
)

// Limits of the servers and of the shutdown.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	leaveTimeout   = time.Second // for notifying the other nodes at the end of a shutdown
	closeTimeout   = 5 * time.Second
	// lastResponseTimeout bounds the wait for the responses of the admin, announcement
	// and readiness servers at the end of a shutdown.
	lastResponseTimeout = 500 * time.Millisecond
	// tailTimeout bounds everything after calls.drain_timeout: the last responses to callers,
	// leaving, the last responses of other servers and the handover of the target's history.
	// tailShare bounds it to a part of what deployment.stop_grace leaves, the rest is for the end
	// of the process.
	tailTimeout = 500 * time.Millisecond
	tailShare   = 0.7
	// callersShare, leaveShare and responsesShare are the parts of the tail that its first three
	// steps take at most when the drain has taken its whole time.
	callersShare, leaveShare, responsesShare = 0.2, 0.3, 0.3
	poolSweepInterval                        = time.Second
	// acceptGrace is how long connections are accepted after the drain of the gate: closing the
	// port resets those that are open and not accepted yet.
	acceptGrace = 100 * time.Millisecond
	// cancelQueuedMargin is how long before the drain timeout the calls that have
	// not started are refused, so that their callers receive the response before
	// the node stops. cancelQueuedShare bounds it to a part of a short drain.
	cancelQueuedMargin = 700 * time.Millisecond
	cancelQueuedShare  = 0.15
)

// Run runs a node until ctx ends or one of its parts fails, then shuts it down
// gracefully: after the leave
// delay new work is refused, work in flight is finished, and the other nodes are
// notified. It fails if the settings cannot be applied, for example if an address
// is in use.
//
// The keys of adapters are the values that platform.adapter accepts.
func Run(ctx context.Context, settings config.Settings, adapters map[string]AdapterFactory, logger *logging.Logger) error {
	newAdapter := adapters[settings.Platform.Adapter]
	if settings.Platform.Adapter == "" {
		newAdapter = defaultAdapter
	}
	if newAdapter == nil {
		return ErrAdapter.New("platform.adapter %q is not known: use %s or leave it out", settings.Platform.Adapter, adapterNames(adapters))
	}
	listeners, err := listen(ctx, settings.Node, logger)
	if err != nil {
		return err
	}
	defer listeners.close()
	telemetry, err := newTelemetry(settings)
	if err != nil {
		return err
	}
	defer telemetry.close()
	limitHeap(settings.Node)
	node := compose(settings, listeners, telemetry, newAdapter, logger)
	logger.Event(logging.NodeStarted).
		Str("callers", listeners.callers.Addr().String()).
		Str("control", listeners.control.Addr().String()).
		Uint("incarnation", node.self.Incarnation).
		Str("previous", string(node.registrations.PreviousEnd(settings.Node.ID))).
		Send()
	return node.run(ctx)
}

func adapterNames(adapters map[string]AdapterFactory) string {
	return strings.Join(slices.Sorted(maps.Keys(adapters)), ", ")
}

func (n *node) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	parts := newParts(n.logger)
	n.startRunners(background, parts)
	n.startServers(background, parts)
	select {
	case <-ctx.Done():
	case <-parts.failed:
	}
	n.stopDeadline = time.Now().Add(n.settings.Calls.DrainTimeout + n.tail())
	n.logger.Contained("drain", n.drain, nil)()
	stop()
	err := parts.wait()
	n.handOverHistory()
	n.controlPool.Close()
	n.callsPool.Close()
	n.logger.Event(logging.NodeStopped).Send()
	return err
}

func (n *node) startRunners(ctx context.Context, parts *parts) {
	parts.start("members", func() error { return n.members.Run(ctx) })
	parts.start("configuration", func() error { return n.configuration.Run(ctx) })
	parts.start("calls", func() error { return n.calls.Run(ctx) })
	parts.start("pools", func() error { return n.sweepPools(ctx) })
	parts.start("targets", func() error { return n.targets.run(ctx) })
	parts.start("rediscovery", func() error { return n.rediscoverTarget(ctx) })
	parts.start("quarantine", func() error { return n.quarantine.run(ctx) })
	parts.start("rollouts", func() error { return n.rollouts.run(ctx) })
	parts.start("tenant quotas", func() error { return n.usage.run(ctx) })
	parts.start("held reports", func() error { return n.confirmReports(ctx) })
	parts.start("configuration check", func() error { return n.reportMissingConfiguration(ctx) })
}

func (n *node) startServers(ctx context.Context, parts *parts) {
	parts.start("control server", func() error {
		return peer.Serve(ctx, n.controlTraffic.Listener(n.listeners.control), n.controlMux(), n.logger)
	})
	parts.start("calls server", func() error {
		return peer.Serve(ctx, n.listeners.calls, n.callsMux(), n.logger)
	})
	parts.start("callers server", func() error {
		defer close(n.callersServed)
		return n.serveHTTP(n.callersServer, n.callerConns.Listen(n.listeners.callers))
	})
	parts.start("admin server", func() error { return n.serveHTTP(n.adminServer, n.listeners.admin) })
	parts.start("announcement server", func() error { return n.serveHTTP(n.announceServer, n.listeners.announce) })
	parts.start("readiness server", func() error { return n.serveHTTP(n.readyServer, n.listeners.ready) })
	parts.start("end of the servers", func() error {
		<-ctx.Done()
		_ = n.callersServer.Close() // after a drain, cuts off only responses that exceeded the drain timeout
		n.closeOtherServers()
		return nil
	})
}

// closeOtherServers lets the admin, announcement and readiness servers finish their
// responses within lastResponseTimeout: a target or an operator that gets none cannot
// know what the node has taken over.
func (n *node) closeOtherServers() {
	ctx, cancel := n.stopContext(lastResponseTimeout, responsesShare)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range []*http.Server{n.adminServer, n.announceServer, n.readyServer} {
		if server == nil {
			continue
		}
		group.Go(n.logger.Contained("end of a server", func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		}, nil))
	}
	group.Wait()
}

// serveHTTP serves until the server or its listener is closed, also after errors of
// accept (see accept.Retry). It does nothing if either is nil.
func (n *node) serveHTTP(server *http.Server, listener net.Listener) error {
	if server == nil || listener == nil {
		return nil
	}
	err := server.Serve(accept.Retry(listener, n.logger))
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// drain finishes the node's work before shutdown. During the leave delay the node
// serves as before, but without keep-alives, so that callers can move to other
// nodes. Only then is the target announced as draining, which keeps the time short
// in which it runs without its gate. Other nodes then send no new calls while the
// calls in flight finish. When only cancelQueuedMargin is left of the drain
// timeout, callers' requests that are not running yet are refused. Those that have
// not ended by the drain timeout get a response that says so.
func (n *node) drain() {
	n.stopping.Store(true)
	n.logger.Event(logging.NodeStopping).Send()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Calls.DrainTimeout)
	defer cancel()
	now := time.Now()
	n.calls.StopBy(now.Add(n.settings.Calls.LeaveDelay), now.Add(n.settings.Calls.DrainTimeout))
	margin := min(cancelQueuedMargin, time.Duration(cancelQueuedShare*float64(n.settings.Calls.DrainTimeout)))
	refusing := make(chan struct{}) // closed when new requests are refused
	cancelQueued := time.AfterFunc(n.settings.Calls.DrainTimeout-margin, n.logger.Contained("end of queued calls", func() {
		defer close(refusing)
		n.calls.CancelQueued()
	}, nil))
	defer cancelQueued.Stop()
	n.calls.DisableKeepAlives()
	time.Sleep(n.settings.Calls.LeaveDelay)
	n.logger.Contained("drain of the target", n.targets.drain, nil)()
	n.drainWork(ctx, refusing)
	n.respondToLastCallers()
	leaveCtx, cancelLeave := n.stopContext(leaveTimeout, leaveShare)
	defer cancelLeave()
	n.members.Leave(leaveCtx)
}

// drainWork drains the gate, and callers once that is done or new requests are refused: requests that
// run at the local target may call through this node.
func (n *node) drainWork(ctx context.Context, refusing <-chan struct{}) {
	var group sync.WaitGroup
	gateDrained := make(chan struct{})
	group.Go(n.logger.Contained("drain of the gate", func() {
		defer close(gateDrained)
		n.logIncomplete("gate", n.calls.Drain(ctx))
	}, nil))
	group.Go(n.logger.Contained("drain of callers", func() {
		select {
		case <-gateDrained:
		case <-refusing:
		}
		n.logIncomplete("callers", n.drainCallers(ctx))
	}, nil))
	group.Wait()
}

// respondToLastCallers responds to the callers whose requests have not ended within the drain timeout.
func (n *node) respondToLastCallers() {
	n.calls.EndRequests()
	ctx, cancel := n.stopContext(lastResponseTimeout, callersShare)
	defer cancel()
	_ = n.callerConns.Drain(ctx)
}

// tail returns the time for what follows the drain of a stop.
func (n *node) tail() time.Duration {
	grace := n.settings.Deployment.StopGrace
	if grace == 0 {
		return tailTimeout
	}
	left := grace - n.settings.Calls.DrainTimeout
	return max(0, min(tailTimeout, time.Duration(tailShare*float64(left))))
}

// stopContext returns the context of a part of the end of a stop. It lasts for limit, or for the
// share of the tail if that is all that is left to the part by the stop's deadline.
func (n *node) stopContext(limit time.Duration, share float64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), min(limit, partOfStop(n.tail(), time.Until(n.stopDeadline), share)))
}

// partOfStop returns the time that a part of the end of a stop may take: what is left, less the
// shares of the parts after it.
func partOfStop(tail, left time.Duration, share float64) time.Duration {
	part := time.Duration(share * float64(tail))
	return max(part, left-(tail-part))
}

// drainCallers accepts the connections that have been opened, then no more, and returns when
// the last one has ended or ctx ends. http.Server.Shutdown would close connections without
// a response to a request that is being read.
func (n *node) drainCallers(ctx context.Context) error {
	select {
	case <-time.After(acceptGrace):
	case <-ctx.Done():
	}
	_ = n.listeners.callers.Close()
	<-n.callersServed
	return n.callerConns.Drain(ctx)
}

// historyTimeout bounds the write at the end of a planned stop.
const historyTimeout = 200 * time.Millisecond

// handOverHistory records for the node's next incarnation what the target reported. No report is
// acknowledged any more.
func (n *node) handOverHistory() {
	history, known := n.targets.history(time.Now())
	if !known {
		return
	}
	ctx, cancel := n.stopContext(historyTimeout, 1-callersShare-leaveShare-responsesShare)
	defer cancel()
	n.members.WriteTargetHistory(ctx, history)
}

// logIncomplete logs that part of the node had work in flight when the drain
// timeout expired.
func (n *node) logIncomplete(part string, err error) {
	if err != nil {
		n.logger.Event(logging.ShutdownTimedOut).Str("part", part).Err(err).Send()
	}
}

func (n *node) controlMux() *drpcmux.Mux {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, &controlServer{node: n}); err != nil {
		panic(err) // the method set does not match the generated code
	}
	return mux
}

func (n *node) callsMux() *drpcmux.Mux {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterCalls(mux, n.calls); err != nil {
		panic(err) // the method set does not match the generated code
	}
	return mux
}

func (n *node) sweepPools(ctx context.Context) error {
	ticker := time.NewTicker(poolSweepInterval)
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

// controlServer routes the control service's methods to the members and the
// configuration runner.
type controlServer struct {
	wire.DRPCControlUnimplementedServer
	node *node
}

// Exchange responds to a membership probe.
func (s *controlServer) Exchange(ctx context.Context, probe *wire.Probe) (*wire.ProbeAck, error) {
	return s.node.members.Exchange(ctx, probe)
}

// Push receives a configuration update.
func (s *controlServer) Push(ctx context.Context, update *wire.CompressedUpdate) (*wire.PushAck, error) {
	return s.node.configuration.Push(ctx, update)
}

// Pull returns the configuration updates after the requester's version.
func (s *controlServer) Pull(ctx context.Context, request *wire.PullRequest) (*wire.PullAnswer, error) {
	return s.node.configuration.Pull(ctx, request)
}
