package node

import (
	"net/http"
	"time"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/transport/platformlog"
)

// Adapter connects a node to a platform through the platform's protocols.
type Adapter struct {
	Log platformlog.Log
	// Keyed is the compacted form of Log, or nil if the platform has none.
	Keyed    platformlog.Keyed
	Contract headers.Contract
	// Announcements returns the handler through which the platform announces the
	// local target. A nil func leaves node.announce_address unserved.
	Announcements func(Targets) http.Handler
	// Readiness returns the handler of the platform's readiness check. A nil func
	// leaves node.ready_address unserved.
	Readiness func(ready func() bool) http.Handler
}

// Targets registers announcements of the local target. Its methods return once
// the announcement is in effect.
type Targets interface {
	// Announce registers or renews an announcement that is valid for ttl.
	Announce(target calls.Target, ttl time.Duration)
	// Withdraw removes the announcement.
	Withdraw()
}

// AdapterOptions are the inputs of an adapter.
type AdapterOptions struct {
	Settings config.Settings
	// Client reaches the platform; its bytes count as control traffic.
	Client *http.Client
	Logger *logging.Logger
}

// NewAdapter creates an adapter. The setting platform.adapter selects it by name.
type NewAdapter func(AdapterOptions) Adapter

// defaultAdapter returns an adapter for the product's own log protocol and header
// contract. Targets announce themselves on the admin address.
func defaultAdapter(o AdapterOptions) Adapter {
	return Adapter{
		Log:      platformlog.New(o.Settings.Platform.URL, o.Settings.Platform.RequestTimeout, o.Client),
		Contract: headers.Own(),
	}
}
