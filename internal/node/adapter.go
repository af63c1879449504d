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

// Adapter connects a node to a platform with protocols of its own.
type Adapter struct {
	Log platformlog.Log
	// CompactedLog is the log when it keeps the newest record of each key, or nil.
	CompactedLog platformlog.CompactedLog
	Contract     headers.Contract
	// NewAnnouncementHandler serves the platform's announcements of the local target.
	NewAnnouncementHandler func(TargetRegistry) http.Handler
	// NewReadinessHandler serves the platform's questions whether the node is ready.
	NewReadinessHandler func(ready func() bool) http.Handler
}

// TargetRegistry takes what the target beside the node announces. Calls return once the
// word is in force.
type TargetRegistry interface {
	// Announce takes or renews an announcement that is valid for ttl.
	Announce(target calls.Target, ttl time.Duration)
	// Withdraw forgets the target.
	Withdraw()
}

// AdapterOptions are what an adapter is made of.
type AdapterOptions struct {
	Settings config.Settings
	// Client reaches the platform; its bytes count as control traffic.
	Client *http.Client
	Logger *logging.Logger
}

// AdapterFactory makes an adapter. Settings name it by platform.adapter.
type AdapterFactory func(AdapterOptions) Adapter

// ownAdapter is the product's own log protocol and contract. Targets announce
// themselves on the admin address.
func ownAdapter(o AdapterOptions) Adapter {
	return Adapter{
		Log:      platformlog.New(o.Settings.Platform.URL, o.Settings.Platform.RequestTimeout, o.Client),
		Contract: headers.Own(),
	}
}
