package node

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasminegate/internal/clock"
	"jasminegate/internal/config"
	"jasminegate/internal/coordination/leaving"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/node/configuration"
	"jasminegate/internal/node/members"
	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/callerconn"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/reservation"
	"jasminegate/internal/transport/responsehead"
)

// Bounds of the connection pools.
const (
	controlConnectionsPerPeer = 4
	controlDialTimeout        = 500 * time.Millisecond
	callsConnectionsPerPeer   = 128
	callsDialTimeout          = 500 * time.Millisecond
	platformIdleConnections   = 4
)

const kbpsPerMbps = 1000

// node holds the components of one running node.
type node struct {
	settings config.Settings
	self     membership.Member
	// previousSelf is the record of this node's previous incarnation, zero if
	// unknown.
	previousSelf membership.Member
	// registrations are the records that the platform had when the node started.
	registrations members.Registrations
	contract      headers.Contract
	logger        *logging.Logger
	listeners     *listeners
	telemetry     *telemetry
	started       time.Time

	controlTraffic  *peer.Traffic
	platformTraffic *peer.Traffic
	controlPool     *peer.Pool
	callsPool       *peer.Pool

	members       *members.Runner
	configuration *configuration.Runner
	calls         *calls.Runner
	targets       *targetRegistry
	quarantine    *quarantineSpread
	// rollouts is nil if rollouts are not enabled.
	rollouts *rollouts
	usage    *usageExchange

	metrics  *metrics.Set
	stopping atomic.Bool
	// stopDeadline is when a planned stop has to be over; set when it begins.
	stopDeadline time.Time

	// account has what callers and other nodes make this process hold.
	account *reservation.Account

	callersServer *http.Server
	callerConns   *callerconn.Tracker
	// callersServed is closed when the server for callers accepts no more connections.
	callersServed chan struct{}
	adminServer   *http.Server
	// announceServer and readyServer are nil without an adapter.
	announceServer *http.Server
	readyServer    *http.Server
}

func compose(settings config.Settings, listeners *listeners, telemetry *telemetry, newAdapter AdapterFactory, logger *logging.Logger) *node {
	parts := splitDescriptors(usableDescriptors(settings.Node))
	listeners.limit(parts)
	n := &node{
		account:         reservation.NewAccount(heldLimits(settings.Node, parts)),
		settings:        settings,
		logger:          logger,
		listeners:       listeners,
		telemetry:       telemetry,
		started:         time.Now(),
		controlTraffic:  &peer.Traffic{},
		platformTraffic: &peer.Traffic{},
		callersServed:   make(chan struct{}),
	}
	adapter := newAdapter(AdapterOptions{Settings: settings, Client: n.platformClient(), Logger: logger})
	n.registrations = n.readDirectory(adapter)
	n.previousSelf = n.registrations.Previous(settings.Node.ID)
	n.self = n.newSelf(n.previousSelf.Incarnation)
	n.contract = adapter.Contract
	dial := peer.DialFrom(n.settings.Node.ControlAddress)
	n.controlPool = peer.NewPool(peer.PoolOptions{
		Dial:          dial,
		MaxPerAddress: controlConnectionsPerPeer,
		DialTimeout:   controlDialTimeout,
		IdleTimeout:   settings.Calls.IdleTimeout,
		Traffic:       n.controlTraffic,
	})
	n.callsPool = peer.NewPool(peer.PoolOptions{
		Dial:          dial,
		MaxPerAddress: callsConnectionsPerPeer,
		MaxOpen:       parts.outgoing,
		DialTimeout:   callsDialTimeout,
		IdleTimeout:   settings.Calls.IdleTimeout,
	})
	n.composeRunners(adapter)
	n.targets = newTargetRegistry(n, leaving.New(n.started, n.registrations.TargetHistory(settings.Node.ID)))
	n.metrics = n.newMetrics()
	n.composeServers(adapter)
	return n
}

// directoryTimeout bounds the read of the directory before the node starts. Without
// it, incarnations are ordered by the clock alone, and the directory is read again to
// join.
const directoryTimeout = 500 * time.Millisecond

func (n *node) readDirectory(adapter Adapter) members.Registrations {
	if adapter.CompactedLog == nil {
		return members.Registrations{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
	defer cancel()
	registrations, err := members.ReadDirectory(ctx, adapter.CompactedLog, time.Now(), n.logger)
	if err != nil {
		n.logger.Event(logging.PlatformRequestFailed).Err(err).Send()
	}
	return registrations
}

func (n *node) newSelf(previousIncarnation uint64) membership.Member {
	return membership.Member{
		ID:             n.settings.Node.ID,
		Incarnation:    max(uint64(n.started.UnixNano()), previousIncarnation+1),
		Domain:         n.settings.Node.Domain,
		ControlAddress: n.settings.Node.AdvertisedControlAddress(),
		CallsAddress:   n.settings.Node.AdvertisedCallsAddress(),
		State:          membership.Alive,
		BandwidthKbps:  uint32(n.settings.Node.BandwidthMbps * kbpsPerMbps),
	}
}

func (n *node) composeRunners(adapter Adapter) {
	seed := n.settings.Node.RandomSeed
	if seed == 0 {
		seed = n.self.Incarnation
	}
	n.quarantine = newQuarantineSpread(n)
	n.usage = newUsageExchange(n, seed)
	// Only with tenants.revoke_strict do nodes have to know how old their configuration is.
	var currentBound time.Duration
	if n.settings.Tenants.RevokeStrict {
		currentBound = n.settings.Tenants.RevokeBound
	}
	n.rollouts = newRollouts(n, adapter.RolloutLog, seed)
	// Closures call n.configuration and n.calls, which are set later.
	n.members = members.New(members.Options{
		Self:           n.self,
		Settings:       n.settings.Membership,
		Seeds:          n.settings.Node.Seeds,
		Pool:           n.controlPool,
		Log:            adapter.Log,
		Directory:      adapter.CompactedLog,
		Registrations:  n.registrations,
		Logger:         n.logger,
		RandomSeed:     seed,
		CurrentBound:   currentBound,
		AppliedVersion: func() state.Version { return n.configuration.AppliedVersion() },
		LogEra:         func() uint64 { return n.configuration.LogEra() },
		LogUnreachable: func() bool { return n.configuration.LogUnreachable() },
		Load:           func() uint32 { return n.calls.Load() },
		OnPeerVersion: func(member membership.Member, version state.Version) {
			n.configuration.ObservePeerVersion(member, version)
		},
		Now: time.Now,
	})
	var onCurrent func(time.Time, state.Version)
	if currentBound > 0 {
		onCurrent = n.members.RecordCurrent
	}
	n.configuration = configuration.New(configuration.Options{
		Self:              n.self,
		Spread:            n.settings.Spread,
		Platform:          n.settings.Platform,
		Pool:              n.controlPool,
		Log:               adapter.Log,
		CompactedLog:      adapter.CompactedLog,
		Registered:        n.registrations.Members(),
		AcceptedNumber:    n.registrations.AcceptedNumber(),
		Logger:            n.logger,
		RandomSeed:        seed,
		View:              n.members.View,
		OnPlatformContact: n.members.RecordPlatformContact,
		OnCurrent:         onCurrent,
		OnOrders:          n.onOrders(),
		Now:               time.Now,
	})
	callOptions := calls.Options{
		Self:              n.self,
		Settings:          n.settings.Calls,
		Overload:          n.settings.Overload,
		Tenants:           n.settings.Tenants,
		CurrentAt:         n.members.CurrentAt,
		IsBehind:          n.configuration.IsBehind,
		Contract:          adapter.Contract,
		Service:           n.settings.Node.Service,
		Pool:              n.callsPool,
		View:              n.members.View,
		Snapshot:          n.servedSnapshot,
		Serving:           n.members.Serving,
		PeerLoad:          n.members.PeerLoad,
		OnTargetLeaving:   func(target calls.Target) { n.targets.markLeaving(target) },
		ShareQuarantine:   n.quarantine.share,
		PersistQuarantine: n.quarantine.persist,
		Account:           n.account,
		Quotas:            n.usage,
		Logger:            n.logger,
		Tracer:            n.telemetry.tracer,
		RandomSeed:        seed,
		BandwidthMbps:     n.settings.Node.BandwidthMbps,
		Now:               time.Now,
		BootTime:          clock.BootTime,
	}
	if n.rollouts != nil {
		callOptions.Versions, callOptions.RefusesTarget = n.rollouts, n.rollouts.refusesTarget
	}
	n.calls = calls.New(callOptions)
	n.calls.LearnQuarantine(quarantineFromWire(time.Now(), n.registrations.Quarantine()))
}

// onOrders returns the function that takes in orders of rollouts, or nil.
func (n *node) onOrders() func(configuration.Orders) {
	if n.rollouts == nil {
		return nil
	}
	return n.rollouts.intake
}

// servedSnapshot returns the configuration, or nil before the node knows the records of rollouts.
func (n *node) servedSnapshot() *state.Snapshot {
	if !n.rollouts.ready(time.Now()) {
		return nil
	}
	return n.configuration.Snapshot()
}

func (n *node) composeServers(adapter Adapter) {
	n.callersServer = newServer(n.calls.CallersHandler())
	n.callersServer.MaxHeaderBytes = state.MaxHeaderBytes
	n.callerConns = callerconn.NewTracker(n.callerLimits)
	n.callerConns.LogTo(n.logger)
	n.callerConns.LimitResources(n.account, n.calls.RespondUnparsed)
	n.callerConns.Configure(n.callersServer)
	n.adminServer = newServer(n.adminHandler())
	if adapter.NewAnnouncementHandler != nil {
		n.announceServer = newAnnounceServer(adapter.NewAnnouncementHandler(n.targets))
	}
	if adapter.NewReadinessHandler != nil {
		n.readyServer = newServer(adapter.NewReadinessHandler(func() bool { return n.state() == adminapi.NodeServing }))
	}
}

// callerLimits returns the configured limits for callers. The node's defaults stand in
// for those that are not configured, and before there is a configuration.
func (n *node) callerLimits() callerconn.Limits {
	limits := callerconn.Limits{Header: headerTimeout, Idle: idleTimeout, HeadBytes: calls.DefaultHeaderBytes}
	snapshot := n.configuration.Snapshot()
	if snapshot == nil {
		return limits
	}
	configured := snapshot.CallerLimits()
	limits.Header = cmp.Or(time.Duration(configured.HeaderTimeout), limits.Header)
	limits.Idle = cmp.Or(time.Duration(configured.IdleTimeout), limits.Idle)
	limits.HeadBytes = cmp.Or(configured.HeaderBytes, limits.HeadBytes)
	return limits
}

// announceTimeout bounds reading one announcement from its first byte, or from the start
// of its connection, to the end of its body.
const announceTimeout = headerTimeout + 5*time.Second

func newAnnounceServer(handler http.Handler) *http.Server {
	server := newServer(handler)
	server.ReadTimeout = announceTimeout
	return server
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// platformClient returns the HTTP client for the platform's log. Its bytes are
// counted in jasminegate_control_bytes_total with the path "platform".
func (n *node) platformClient() *http.Client {
	dialer := &net.Dialer{Timeout: n.settings.Platform.RequestTimeout, KeepAliveConfig: peer.KeepAlive}
	transport := &http.Transport{
		MaxIdleConnsPerHost:    platformIdleConnections,
		IdleConnTimeout:        n.settings.Calls.IdleTimeout + n.settings.Platform.ReadWait,
		MaxResponseHeaderBytes: calls.MaxResponseHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return n.platformTraffic.Conn(conn), nil
		},
	}
	return &http.Client{Transport: responsehead.Checked(transport)}
}
