// Package config reads and checks a node's settings.
package config

import (
	"cmp"
	"time"
)

// Settings are everything that a node learns at its start. Keys in YAML are
// those of the yaml tags; durations and sizes are written with their unit.
type Settings struct {
	Node       Node       `yaml:"node"`
	Platform   Platform   `yaml:"platform"`
	Spread     Spread     `yaml:"spread"`
	Membership Membership `yaml:"membership"`
	Calls      Calls      `yaml:"calls"`
	Telemetry  Telemetry  `yaml:"telemetry"`
}

// Node names this process and where it listens.
type Node struct {
	// ID is unique in the fleet and stays the same for an instance's slot.
	ID string `yaml:"id"`
	// Domain is the failure domain of the instance.
	Domain string `yaml:"domain"`
	// CallersAddress serves callers over HTTP.
	CallersAddress string `yaml:"callers_address"`
	// AdminAddress serves the local target and operators over HTTP.
	AdminAddress string `yaml:"admin_address"`
	// ControlAddress serves other nodes' control messages.
	ControlAddress string `yaml:"control_address"`
	// CallsAddress serves calls from other nodes.
	CallsAddress string `yaml:"calls_address"`
	// ControlAdvertiseAddress is where other nodes reach ControlAddress when that
	// differs, such as behind address translation; empty is ControlAddress.
	ControlAdvertiseAddress string `yaml:"control_advertise_address"`
	// CallsAdvertiseAddress is the same for CallsAddress.
	CallsAdvertiseAddress string `yaml:"calls_advertise_address"`
	// Service is the service of the target on this instance. Targets of callers'
	// requests are told it; empty tells nothing.
	Service string `yaml:"service"`
	// TargetAddress is where the target on this instance serves, for platforms
	// whose targets announce themselves by other addresses; empty takes the
	// announced one.
	TargetAddress string `yaml:"target_address"`
	// AnnounceAddress and ReadyAddress serve a platform's own announcements and
	// readiness questions, and are used with an adapter only.
	AnnounceAddress string `yaml:"announce_address"`
	ReadyAddress    string `yaml:"ready_address"`
	// Seeds lists nodes to join through when the platform is out.
	Seeds []Seed `yaml:"seeds"`
	// Seed feeds every random choice; 0 draws one from the system.
	Seed uint64 `yaml:"seed"`
}

// AdvertisedControlAddress is the address at which other nodes reach this node's
// control address.
func (n Node) AdvertisedControlAddress() string {
	return cmp.Or(n.ControlAdvertiseAddress, n.ControlAddress)
}

// AdvertisedCallsAddress is the address at which other nodes reach this node's calls
// address.
func (n Node) AdvertisedCallsAddress() string {
	return cmp.Or(n.CallsAdvertiseAddress, n.CallsAddress)
}

// Seed is another node's control address and failure domain.
type Seed struct {
	ID             string `yaml:"id"`
	Domain         string `yaml:"domain"`
	ControlAddress string `yaml:"control_address"`
}

// Platform says how to reach the append-only log.
type Platform struct {
	// Adapter names the translation to a platform with a protocol of its own;
	// empty is the product's own log protocol.
	Adapter string `yaml:"adapter"`
	// Heartbeat is how often the platform's targets announce themselves. It is
	// used with an adapter only.
	Heartbeat time.Duration `yaml:"heartbeat"`
	URL       string        `yaml:"url"`
	// RequestTimeout bounds one request to the log.
	RequestTimeout time.Duration `yaml:"request_timeout"`
	// ReadWait is how long one read may wait for a new record. A longer wait
	// costs fewer reads and notices a silent connection later.
	ReadWait time.Duration `yaml:"read_wait"`
	// CheckpointInterval is the longest time between two checkpoints; keep it
	// under a third of the log's retention.
	CheckpointInterval time.Duration `yaml:"checkpoint_interval"`
}

// Spread trades convergence time against control bytes.
type Spread struct {
	// Readers is how many nodes of a domain tail the log. More readers notice a
	// dead one sooner and cost platform reads.
	Readers int `yaml:"readers"`
	// FanOut is how many peers one node pushes an update to.
	FanOut int `yaml:"fan_out"`
	// PullsPerSecond bounds the whole-state pulls that a node answers.
	PullsPerSecond int `yaml:"pulls_per_second"`
}

// Membership trades detection time against control bytes.
type Membership struct {
	// ProbeInterval is the time between two probes of a node.
	ProbeInterval time.Duration `yaml:"probe_interval"`
	// ProbeTimeout is how long a direct probe may take.
	ProbeTimeout time.Duration `yaml:"probe_timeout"`
	// SuspicionTimeout is how long a suspect may refute before it is dead.
	SuspicionTimeout time.Duration `yaml:"suspicion_timeout"`
	// FenceTimeout is how long a node serves without hearing from any other
	// node or the platform; 0 is without end.
	FenceTimeout time.Duration `yaml:"fence_timeout"`
	// ForgetTimeout is how long a dead member still counts for read-back. It
	// must be above FenceTimeout.
	ForgetTimeout time.Duration `yaml:"forget_timeout"`
	// RelayInterval is the time between two exchanges with another domain.
	RelayInterval time.Duration `yaml:"relay_interval"`
	// Relays is how many nodes of a domain talk to other domains.
	Relays int `yaml:"relays"`
}

// Calls bounds what one node does for calls.
type Calls struct {
	// MaxBodyBytes bounds a request's and an answer's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// BufferBytes is how much of an answer is held so that a call can be tried
	// again when its gate dies.
	BufferBytes int64 `yaml:"buffer_bytes"`
	// RetryRatio bounds retries to this share of the calls.
	RetryRatio float64 `yaml:"retry_ratio"`
	// OverloadTries is how many further gates a call that was refused for load is
	// offered to at once.
	OverloadTries int `yaml:"overload_tries"`
	// SpillLoad is the load, 1 being full, of the own domain's gates from which
	// calls go to another domain; 0 leaves that to the gates' refusals.
	SpillLoad float64 `yaml:"spill_load"`
	// FixedLimit runs as many calls as the target has slots, whatever its answers'
	// times tell.
	FixedLimit bool `yaml:"fixed_limit"`
	// LedgerBytes bounds the kept answers of non-idempotent calls.
	LedgerBytes int64 `yaml:"ledger_bytes"`
	// LedgerRetention is how long outcomes of non-idempotent calls are kept.
	LedgerRetention time.Duration `yaml:"ledger_retention"`
	// LeaveDelay is how long a stopping node goes on taking callers' requests, so
	// that those who send them there can turn away first.
	LeaveDelay time.Duration `yaml:"leave_delay"`
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// IdleTimeout closes pooled connections that carry nothing.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// SilenceTimeout is how long a call in flight may hear nothing from its gate
	// before a fresh connection asks about it.
	SilenceTimeout time.Duration `yaml:"silence_timeout"`
}

// Telemetry says what is logged and exported.
type Telemetry struct {
	LogLevel string `yaml:"log_level"`
	// TraceEndpoint is the OTLP/HTTP URL; empty exports no traces.
	TraceEndpoint string `yaml:"trace_endpoint"`
	// TraceRatio is the share of calls that start a trace.
	TraceRatio float64 `yaml:"trace_ratio"`
	// Profiling serves pprof on the admin address.
	Profiling bool `yaml:"profiling"`
}

// Defaults returns settings with every default filled in.
func Defaults() Settings {
	return Settings{
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
		},
		Telemetry: Telemetry{LogLevel: "info", TraceRatio: 0.01},
	}
}
