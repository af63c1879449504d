package node

import (
	"net/http"
	"time"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/call"
	"jasminegate/internal/logging"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/transport/platformlog"
)

// Adapter connects a node to a platform through the platform's protocols.
type Adapter struct {
	Log platformlog.Log
	// CompactedLog is Log as a compacted log, or nil if the platform does not
	// compact it.
	CompactedLog platformlog.CompactedLog
	// RolloutLog stores the records of rollouts, or is nil if the platform cannot; there are
	// then no rollouts.
	RolloutLog platformlog.RolloutLog
	Contract   headers.Contract
	// NewAnnouncementHandler returns the handler through which the local target
	// announces itself. If it is nil, node.announce_address is not served.
	NewAnnouncementHandler func(TargetRegistry) http.Handler
	// NewReadinessHandler returns the handler of the platform's readiness check. If
	// it is nil, node.ready_address is not served.
	NewReadinessHandler func(ready func() bool) http.Handler
}

// TargetRegistry stores the announcement of the local target. Its methods return
// once the change is in effect.
type TargetRegistry interface {
	// Announce registers or renews an announcement that is valid for ttl. Sequence is
	// that of the target's report.
	Announce(target calls.Target, sequence uint64, ttl time.Duration)
	// Withdraw removes the announcement. Process is the one that withdrew itself, also
	// if it had not announced itself; sequence is that of its last report, 0 if unknown.
	Withdraw(process call.TargetProcess, sequence uint64)
}

// AdapterOptions are the inputs of an adapter.
type AdapterOptions struct {
	Settings config.Settings
	// Client reaches the platform; its bytes count as control traffic.
	Client *http.Client
	Logger *logging.Logger
}

// AdapterFactory creates an adapter. The setting platform.adapter selects it by name.
type AdapterFactory func(AdapterOptions) Adapter

// defaultAdapter returns an adapter for the product's own log protocol and header
// contract. Targets announce themselves on the admin address.
func defaultAdapter(o AdapterOptions) Adapter {
	log := platformlog.New(o.Settings.Platform.URL, o.Settings.Platform.RequestTimeout, o.Client)
	log.Logger = o.Logger
	return Adapter{
		Log:        log,
		RolloutLog: log,
		Contract:   headers.DefaultContract(),
	}
}
