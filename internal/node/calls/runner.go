// Package calls carries callers' requests to targets. As an entry, a node serves
// callers over HTTP; as a gate, it runs calls at the target beside it. The state
// machines of coordination/entry, coordination/gate and coordination/keyed make
// the decisions; this package does their I/O.
package calls

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/quarantine"
	"jasminegate/internal/coordination/transit"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/reservation"
)

// maxRecords limits the call records of finished non-idempotent calls.
const maxRecords = 32768

// Options configures a Runner.
type Options struct {
	Self     membership.Member
	Settings config.Calls
	Overload config.Overload
	Tenants  config.Tenants
	// CurrentAt returns when the node's configuration was last known to be the newest; used
	// only with Tenants.RevokeStrict.
	CurrentAt func() time.Time
	// IsBehind reports whether another node has a newer configuration than this one; nil means that
	// none is known to.
	IsBehind func() bool
	// Contract names the headers exchanged with callers and targets; the zero
	// value means headers.DefaultContract.
	Contract headers.Contract
	// Service is the service of this instance, which targets get as the
	// caller's service.
	Service string
	// Pool connects to the calls addresses of other nodes.
	Pool     *peer.Pool
	View     func() *membership.View
	Snapshot func() *state.Snapshot
	// Serving reports whether the node has contact with the fleet.
	Serving func(time.Time) bool
	// PeerLoad returns the load of a node as last received by membership, and
	// when it was received.
	PeerLoad func(id string) (load uint32, at time.Time, ok bool)
	// Versions decides to which versions of targets this entry sends calls, and RefusesTarget whether
	// this gate must refuse new calls for its target; nil means that versions make no difference.
	Versions      entry.VersionPolicy
	RefusesTarget func(time.Time, Target) bool
	// OnTargetLeaving is called when the target states that it is leaving; the target
	// then gets no new calls. Nil ignores it.
	OnTargetLeaving func(Target)
	// ShareQuarantine sends records of the quarantine to all nodes, and PersistQuarantine writes
	// one to the platform, or deletes it there if it refuses nothing; neither blocks, and nil
	// does nothing.
	ShareQuarantine   func([]quarantine.Record)
	PersistQuarantine func(quarantine.Record)
	// Account gives requests and calls room in the process's memory; nil has room for everything.
	Account *reservation.Account
	// Quotas charges requests to their tenants' quotas; nil limits none.
	Quotas Quotas
	Logger *logging.Logger
	// Tracer starts a span for each hop; nil disables tracing.
	Tracer     trace.Tracer
	RandomSeed uint64
	// BandwidthMbps is the bandwidth of the instance's link in Mbit/s, 0 if unknown.
	BandwidthMbps float64
	Now           func() time.Time
	// BootTime is a clock that also advances while the host is suspended.
	BootTime func() time.Time
}

// Runner serves a node's calls, as entry and as gate.
type Runner struct {
	wire.DRPCCallsUnimplementedServer
	options Options
	handler http.Handler
	entry   *entryLoop
	gate    *gateLoop
	keyed   *keyedLoop
	routes  atomic.Pointer[routeIndex]
	target  atomic.Pointer[target]
	// keepAlivesDisabled is set once responses ask callers to close their
	// connections, and draining once the gate starts no further call.
	keepAlivesDisabled atomic.Bool
	draining           atomic.Bool
	// activeStreams counts the streams of entries that are being served.
	activeStreams atomic.Int64
	// streamsServed counts the streams that ended since Drain last looked.
	streamsServed   atomic.Int64
	counters        counters
	metrics         *requestMetrics
	runningRequests runningRequests
	failedLog       failedRequestLog
	// cutOffLog has a rate limit of its own: its lines must not be left out for those of requests that
	// are refused.
	cutOffLog    failedRequestLog
	repeats      *repeatBudget
	targetLosses targetLosses
	signals      *targetSignals
	link         *linkPacer
	transit      transitDelays
	quarantine   *quarantineKeeper
	// keysRefused is set while API keys may have been removed unnoticed; see keysConfirmed.
	keysRefused atomic.Bool
	// gateChecks holds the checks of gates that are under way, by address.
	gateChecks singleflight.Group
	// aheadSlots has a slot for each request that may be in work before its turn.
	aheadSlots *semaphore.Weighted
	// baseCtx ends with Run, and with it the calls at the target.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	// attemptsCtx ends with CancelQueued: from then on, the entry makes no further
	// attempts and refuses new requests.
	attemptsCtx  context.Context
	stopAttempts context.CancelFunc
	// requestsCtx ends with EndRequests.
	requestsCtx context.Context
	endRequests context.CancelFunc
	// requestsBeforeStop decides about callers' requests, and callsBeforeStop about calls at this
	// node's gate.
	requestsBeforeStop, callsBeforeStop *stopDecider
	targetCalls                         sync.WaitGroup
}

// routeIndex is a snapshot with the index of its routes.
type routeIndex struct {
	snapshot *state.Snapshot
	routes   *entry.Routes
}

// New returns a Runner that serves calls once Run is called.
func New(options Options) *Runner {
	if options.Tracer == nil {
		options.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if options.Contract == (headers.Contract{}) {
		options.Contract = headers.DefaultContract()
	}
	if options.OnTargetLeaving == nil {
		options.OnTargetLeaving = func(Target) {}
	}
	if options.RefusesTarget == nil {
		options.RefusesTarget = func(time.Time, Target) bool { return false }
	}
	if options.IsBehind == nil {
		options.IsBehind = func() bool { return false }
	}
	r := &Runner{options: options, failedLog: newFailedRequestLog(options.Logger), cutOffLog: newFailedRequestLog(options.Logger), metrics: newRequestMetrics(), aheadSlots: semaphore.NewWeighted(maxAheadRequests)}
	r.repeats = newRepeatBudget(options, r.metrics)
	r.link = newLinkPacer(options.BandwidthMbps)
	r.transit.self, r.transit.machine = options.Self, transit.New()
	r.quarantine = newQuarantineKeeper(options)
	r.baseCtx, r.cancelBase = context.WithCancel(context.Background())
	r.attemptsCtx, r.stopAttempts = context.WithCancel(context.Background())
	r.requestsCtx, r.endRequests = context.WithCancel(context.Background())
	stopLog := newSampledLog(options.Logger, stopLinesPerSecond, stopLineBurst)
	r.requestsBeforeStop, r.callsBeforeStop = newStopDecider(entrySide, stopLog), newStopDecider(gateSide, stopLog)
	r.entry = newEntryLoop(options)
	r.gate = newGateLoop(options.Now, gate.Options{
		Incarnation:      options.Self.Incarnation,
		MaxRecords:       maxRecords,
		MaxRetainedBytes: options.Settings.LedgerBytes,
		Retention:        options.Settings.LedgerRetention,
		Shedding:         options.Overload.Enabled,
	})
	r.signals = newTargetSignals(options.Logger, r.gate.notify)
	r.keyed = newKeyedLoop(r)
	r.gate.release = r.keyed.release
	r.handler = r.newHandler()
	return r
}

// Run serves calls until ctx ends, then cancels those still running at the
// target.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for place, run := range map[string]func(context.Context) error{
		"entry machine": r.entry.run, "gate machine": r.gate.run, "keyed machine": r.keyed.run, "maintenance": r.maintain,
	} {
		group.Go(func() error {
			return r.options.Logger.Guard(place, func() error { return run(ctx) })
		})
	}
	err := group.Wait()
	r.cancelBase()
	r.targetCalls.Wait()
	if t := r.target.Load(); t != nil {
		t.conns.closeIdle()
	}
	return err
}

// CallersHandler returns the HTTP handler for callers.
func (r *Runner) CallersHandler() http.Handler { return r.handler }

// Load returns the load of this node's gate, by which entries choose a gate.
func (r *Runner) Load() uint32 { return uint32(r.gate.reportedLoad.Load()) }

// currentRoutes returns the route index of the current snapshot, or nil if
// there is none yet.
func (r *Runner) currentRoutes() *routeIndex {
	snapshot := r.options.Snapshot()
	if snapshot == nil {
		return nil
	}
	current := r.routes.Load()
	if current != nil && current.snapshot == snapshot {
		return current
	}
	index := &routeIndex{snapshot: snapshot, routes: entry.NewRoutes(snapshot)}
	r.routes.Store(index)
	return index
}

// maintainInterval is how often expired connections are closed and the gate's
// limits are updated.
const maintainInterval = 200 * time.Millisecond

func (r *Runner) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.options.Pool.CloseExpired(time.Now())
			r.updateGateLimits()
		}
	}
}
