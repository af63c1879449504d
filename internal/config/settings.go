// Package config loads and validates a node's settings.
package config

import (
	"cmp"
	"time"
)

// Settings holds all settings of a node. The yaml tags are the keys of the
// settings file, in which durations and sizes are written with their unit.
type Settings struct {
	Node       Node       `yaml:"node"`
	Deployment Deployment `yaml:"deployment"`
	Platform   Platform   `yaml:"platform"`
	Spread     Spread     `yaml:"spread"`
	Membership Membership `yaml:"membership"`
	Calls      Calls      `yaml:"calls"`
	Overload   Overload   `yaml:"overload"`
	Tenants    Tenants    `yaml:"tenants"`
	Rollout    Rollout    `yaml:"rollout"`
	Telemetry  Telemetry  `yaml:"telemetry"`
}

// Node identifies the node and holds the addresses on which it listens.
type Node struct {
	// ID is unique in the fleet and stays the same when the instance is restarted
	// or replaced.
	ID string `yaml:"id"`
	// Domain is the failure domain of the instance.
	Domain string `yaml:"domain"`
	// CallersAddress serves callers' requests over HTTP.
	CallersAddress string `yaml:"callers_address"`
	// AdminAddress serves the local target and operators over HTTP.
	AdminAddress string `yaml:"admin_address"`
	// ControlAddress serves control messages from other nodes.
	ControlAddress string `yaml:"control_address"`
	// CallsAddress serves calls from other nodes.
	CallsAddress string `yaml:"calls_address"`
	// ControlAdvertiseAddress is the address at which other nodes reach
	// ControlAddress if the two differ, for example behind address translation.
	// Empty means ControlAddress.
	ControlAdvertiseAddress string `yaml:"control_advertise_address"`
	// CallsAdvertiseAddress is the address at which other nodes reach
	// CallsAddress. Empty means CallsAddress.
	CallsAdvertiseAddress string `yaml:"calls_advertise_address"`
	// Service is the service of the target on this instance. Requests that enter
	// at this node carry it to their targets as the caller's service; if empty,
	// they carry none.
	Service string `yaml:"service"`
	// TargetAddress is the address at which the target on this instance serves,
	// for platforms whose targets announce another address. Empty means the
	// announced address.
	TargetAddress string `yaml:"target_address"`
	// AnnounceAddress and ReadyAddress serve target announcements and readiness
	// checks in the platform's own protocol. They are used only with an adapter.
	AnnounceAddress string `yaml:"announce_address"`
	ReadyAddress    string `yaml:"ready_address"`
	// BandwidthMbps is the bandwidth of the instance's link in Mbit/s, 0 if unknown.
	// The nodes of a domain with the most bandwidth read the platform's log.
	BandwidthMbps float64 `yaml:"bandwidth_mbps"`
	// MemoryBytes is the memory that the process may use, and Descriptors the number of files and
	// connections that it may have open. What callers and other nodes may make it hold is a part of
	// them.
	MemoryBytes int64 `yaml:"memory_bytes"`
	Descriptors int   `yaml:"descriptors"`
	// Seeds lists nodes to join through while the platform is unreachable.
	Seeds []Seed `yaml:"seeds"`
	// RandomSeed seeds the node's random number generators. If 0, the seed is drawn
	// from the operating system.
	RandomSeed uint64 `yaml:"seed"`
}

// AdvertisedControlAddress returns the control address that the node advertises to
// other nodes.
func (n Node) AdvertisedControlAddress() string {
	return cmp.Or(n.ControlAdvertiseAddress, n.ControlAddress)
}

// AdvertisedCallsAddress returns the calls address that the node advertises to other
// nodes.
func (n Node) AdvertisedCallsAddress() string {
	return cmp.Or(n.CallsAdvertiseAddress, n.CallsAddress)
}

// Seed is the ID, failure domain and control address of a node to join through.
type Seed struct {
	ID             string `yaml:"id"`
	Domain         string `yaml:"domain"`
	ControlAddress string `yaml:"control_address"`
}

// Deployment is what a deployment states about itself; 0 where it states nothing, or nothing that
// can be used. Settings that are not given follow from it.
type Deployment struct {
	// StopGrace is the time from the signal to stop a process until it is killed.
	StopGrace time.Duration `yaml:"stop_grace"`
	// ChangeBound is the time after which an accepted configuration has to be in force.
	ChangeBound time.Duration `yaml:"change_bound"`
	// SettleTime is the time after a failure from which on ChangeBound holds again.
	SettleTime time.Duration `yaml:"settle_time"`
	// RetryRatio is the largest share of retries among the calls of a service.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is the number of retries in addition to those of RetryRatio that the targets of a
	// service may get in a RetryWindow, from all nodes together.
	RetrySlack float64 `yaml:"retry_slack"`
	// RetryWindow is the time over which retries are counted.
	RetryWindow time.Duration `yaml:"retry_window"`
	// RevokeBound is the time after which a removed API key has to be refused.
	RevokeBound time.Duration `yaml:"revoke_bound"`
	// RevokeStrict says that it has to be refused also by nodes without contact.
	RevokeStrict bool `yaml:"revoke_strict"`
	// Heartbeat is the interval at which targets announce themselves.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// BandwidthMbps is the bandwidth of the instance's link in Mbit/s.
	BandwidthMbps float64 `yaml:"bandwidth_mbps"`
	// MemoryBytes is the memory of the instance for this process, and Descriptors the number of
	// files and connections that it may have open.
	MemoryBytes int64 `yaml:"memory_bytes"`
	Descriptors int   `yaml:"descriptors"`
	// ExposeShare is the largest share of a service's calls that a bad new version may get,
	// and ExposeSlack the number of calls in addition.
	ExposeShare float64 `yaml:"expose_share"`
	ExposeSlack int     `yaml:"expose_slack"`
	// RollbackBound is the time after which a bad new version may get no calls.
	RollbackBound time.Duration `yaml:"rollback_bound"`
}

// Platform configures the connection to the platform's append-only log.
type Platform struct {
	// Adapter names the adapter for a platform with its own protocol. Empty means
	// jasminegate's own log protocol.
	Adapter string `yaml:"adapter"`
	// Heartbeat is the interval at which the platform's targets announce
	// themselves. It is used only with an adapter.
	Heartbeat time.Duration `yaml:"heartbeat"`
	URL       string        `yaml:"url"`
	// RequestTimeout limits the time without progress of one request to the log.
	RequestTimeout time.Duration `yaml:"request_timeout"`
	// ReadWait is how long one read waits for a new record (long polling). A
	// longer wait needs fewer reads but detects a dead connection later.
	ReadWait time.Duration `yaml:"read_wait"`
	// CheckpointInterval is the longest time between two checkpoints. It should
	// be less than a third of the log's retention.
	CheckpointInterval time.Duration `yaml:"checkpoint_interval"`
}

// Spread configures how tickets reach the nodes. It trades convergence time
// against control traffic.
type Spread struct {
	// Readers is the number of nodes in a domain that tail the log. More readers
	// shorten the delay after one of them dies and add platform reads.
	Readers int `yaml:"readers"`
	// FanOut is the number of peers to which one node pushes an update.
	FanOut int `yaml:"fan_out"`
	// PullsPerSecond limits how many full-state pulls a node serves per second.
	PullsPerSecond int `yaml:"pulls_per_second"`
}

// Membership configures failure detection and the exchange between domains. It
// trades detection time against control traffic.
type Membership struct {
	// ProbeInterval is the time between two probes of a node.
	ProbeInterval time.Duration `yaml:"probe_interval"`
	// ProbeTimeout is how long a direct probe waits for its acknowledgement.
	ProbeTimeout time.Duration `yaml:"probe_timeout"`
	// SuspicionTimeout is how long a suspect can refute the suspicion before it
	// is declared dead.
	SuspicionTimeout time.Duration `yaml:"suspicion_timeout"`
	// FenceTimeout is how long a node serves after it has lost contact with all
	// other nodes and the platform. 0 disables fencing.
	FenceTimeout time.Duration `yaml:"fence_timeout"`
	// ForgetTimeout is how long the read-back still includes a dead member. It
	// must be above FenceTimeout.
	ForgetTimeout time.Duration `yaml:"forget_timeout"`
	// RelayInterval is the time between two summary exchanges with another
	// domain.
	RelayInterval time.Duration `yaml:"relay_interval"`
	// Relays is the number of nodes in a domain that exchange summaries with
	// other domains.
	Relays int `yaml:"relays"`
}

// Calls limits the resources that one node uses for calls.
type Calls struct {
	// MaxBodyBytes limits a request's and a response's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// BufferBytes is how much of a request or response body a node buffers, so
	// that a call can be retried when its gate dies. The rest of a longer request
	// body is sent once only; a longer response is streamed and cannot be fetched
	// again.
	BufferBytes int64 `yaml:"buffer_bytes"`
	// RetryRatio limits retries to this fraction of the calls.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is the number of repeats that all gates of a service together allow in a
	// RetryWindow, in addition to those of RetryRatio.
	RetrySlack float64 `yaml:"retry_slack"`
	// RetryWindow is the time over which gates count the calls that reach their targets, and
	// those that do so once more. With 0 only entries limit retries.
	RetryWindow time.Duration `yaml:"retry_window"`
	// OverloadTries is the number of further gates to which a call that a gate
	// refused as overloaded is sent without delay.
	OverloadTries int `yaml:"overload_tries"`
	// SpillLoad is the load of the gate chosen in the local domain, 1 being full,
	// from which a call may go to another domain. If 0, a call goes there only if
	// no local gate is left to try, for example after refusals.
	SpillLoad float64 `yaml:"spill_load"`
	// FixedLimit fixes the concurrency limit at the target's slots instead of
	// lowering it when results or latencies indicate overload.
	FixedLimit bool `yaml:"fixed_limit"`
	// LedgerBytes limits the retained responses of non-idempotent calls.
	LedgerBytes int64 `yaml:"ledger_bytes"`
	// LedgerRetention is how long the records of non-idempotent calls are kept.
	LedgerRetention time.Duration `yaml:"ledger_retention"`
	// LeaveDelay is how long a node that shuts down still accepts callers'
	// requests, so that callers can move to other nodes first.
	LeaveDelay time.Duration `yaml:"leave_delay"`
	// DrainTimeout limits how long a planned shutdown waits for work in flight.
	// It includes LeaveDelay.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// IdleTimeout is how long a pooled connection may be idle before it is
	// closed.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// SilenceTimeout is how long the entry waits for data from a call's gate
	// before it counts the connection as lost. It then resolves the call over a new
	// connection, or sends it again if it is idempotent and has no key.
	SilenceTimeout time.Duration `yaml:"silence_timeout"`
	// QuarantineTime is how long a request under which targets crash is refused. If 0, none is.
	QuarantineTime time.Duration `yaml:"quarantine_time"`
}

// Overload configures how calls are queued, refused and placed when capacity is short.
type Overload struct {
	// Enabled orders and refuses calls by what they cost callers (priority, deadline, work and
	// tenant), and places them by the measured service times of targets.
	Enabled bool `yaml:"enabled"`
}

// Tenants configures how API keys are checked.
type Tenants struct {
	// RevokeBound is how old a configuration may be by which keys are accepted. It is used
	// only with RevokeStrict.
	RevokeBound time.Duration `yaml:"revoke_bound"`
	// RevokeStrict makes a node refuse requests with a key when its configuration may be
	// older, because it has no contact with the platform's log, neither directly nor through
	// other nodes. It trades availability without contact for the certainty that a removed
	// key is refused.
	RevokeStrict bool `yaml:"revoke_strict"`
}

// Rollout bounds the exposure of callers to new versions of targets' software.
type Rollout struct {
	// ExposeShare is the largest fraction of a service's calls, between an order and its time
	// limit, that a bad version may get. If 0, there are no rollouts and a target's version has
	// no effect on routing.
	ExposeShare float64 `yaml:"expose_share"`
	// ExposeSlack is the number of calls that it may get in addition.
	ExposeSlack int `yaml:"expose_slack"`
	// RollbackBound is how long after its 50th bad response a bad version may get calls.
	RollbackBound time.Duration `yaml:"rollback_bound"`
}

// Telemetry configures logs, traces and profiling.
type Telemetry struct {
	LogLevel string `yaml:"log_level"`
	// TraceEndpoint is the OTLP/HTTP URL. If empty, no traces are exported.
	TraceEndpoint string `yaml:"trace_endpoint"`
	// TraceRatio is the fraction of calls that start a trace.
	TraceRatio float64 `yaml:"trace_ratio"`
	// Profiling enables pprof on the admin address.
	Profiling bool `yaml:"profiling"`
}

// Defaults returns the default settings. Required settings are empty.
func Defaults() Settings {
	return Settings{
		Node: Node{MemoryBytes: 1 << 30, Descriptors: 16384},
		Platform: Platform{
			Heartbeat:          time.Second,
			RequestTimeout:     2 * time.Second,
			ReadWait:           2 * time.Second,
			CheckpointInterval: 10 * time.Minute,
		},
		Spread: Spread{Readers: 2, FanOut: 8, PullsPerSecond: 20},
		Membership: Membership{
			ProbeInterval:    500 * time.Millisecond,
			ProbeTimeout:     200 * time.Millisecond,
			SuspicionTimeout: 1500 * time.Millisecond,
			FenceTimeout:     5 * time.Second,
			ForgetTimeout:    8 * time.Second,
			RelayInterval:    500 * time.Millisecond,
			Relays:           2,
		},
		Calls: Calls{
			MaxBodyBytes:    16 << 20,
			BufferBytes:     256 << 10,
			RetryRatio:      0.1,
			SpillLoad:       1,
			LedgerBytes:     8 << 20,
			LedgerRetention: 10 * time.Minute,
			DrainTimeout:    30 * time.Second,
			IdleTimeout:     30 * time.Second,
			SilenceTimeout:  500 * time.Millisecond,
			QuarantineTime:  10 * time.Minute,
		},
		Tenants:   Tenants{RevokeBound: 5 * time.Second},
		Rollout:   Rollout{ExposeSlack: 50, RollbackBound: 5 * time.Second},
		Telemetry: Telemetry{LogLevel: "info", TraceRatio: 0.01},
	}
}
