package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"jasminegate/internal/coordination/readback"
	"jasminegate/internal/state"
	"jasminegate/internal/strictyaml"
)

// maxNameBytes limits the names of nodes, failure domains, services and
// adapters.
const maxNameBytes = state.MaxNameBytes

// Bounds of settings that also follow from what the deployment states, and of the times that it
// may state.
const (
	minDrainTimeout = 100 * time.Millisecond
	maxDrainTimeout = time.Hour
	minHeartbeat    = 10 * time.Millisecond
	maxHeartbeat    = time.Minute
	maxBandwidth    = 100_000.0 // Mbit/s
	minMemory       = 32 << 20  // bytes
	maxMemory       = 1 << 40   // bytes
	minDescriptors  = 512
	maxDescriptors  = 1 << 20
	maxStatedTime   = 24 * time.Hour
	minRevokeBound  = 100 * time.Millisecond
	maxRevokeBound  = time.Hour
	maxRetrySlack   = 1_000_000 // retries
	minRetryWindow  = 100 * time.Millisecond
	maxRetryWindow  = 10 * time.Minute
	maxExposeSlack  = 1_000_000 // calls
	// minRollbackBound is two intervals of the reports to a rollout's coordinator.
	minRollbackBound = 500 * time.Millisecond
	maxRollbackBound = time.Hour
)

// acceptedURL describes the accepted URLs.
const acceptedURL = "an HTTP URL"

// rule checks one key. check returns an empty text if the value is valid.
type rule struct {
	key string
	// accepted describes the accepted values, worded as in
	// docs/settings-reference.md.
	accepted string
	check    func(*Settings) (text, remedy string)
}

// constraint checks settings against each other. A violation is reported on the
// first key.
type constraint struct {
	keys     []string
	violated func(*Settings) bool
	text     string
	remedy   string
}

var rules = slices.Concat([]rule{
	requiredName("node.id", func(s *Settings) string { return s.Node.ID }),
	requiredName("node.domain", func(s *Settings) string { return s.Node.Domain }),
	optionalName("node.service", func(s *Settings) string { return s.Node.Service }),
	optionalName("platform.adapter", func(s *Settings) string { return s.Platform.Adapter }),
	between("node.bandwidth_mbps", func(s *Settings) float64 { return s.Node.BandwidthMbps }, 0, maxBandwidth),
	sizeBetween("node.memory_bytes", func(s *Settings) int64 { return s.Node.MemoryBytes }, minMemory, maxMemory),
	between("node.descriptors", func(s *Settings) int { return s.Node.Descriptors }, minDescriptors, maxDescriptors),
	sizeBetween("deployment.memory_bytes", func(s *Settings) int64 { return s.Deployment.MemoryBytes }, 0, 1<<50),
	between("deployment.descriptors", func(s *Settings) int { return s.Deployment.Descriptors }, 0, 1<<40),
	zeroOrBetween("deployment.stop_grace", func(s *Settings) time.Duration { return s.Deployment.StopGrace }, time.Millisecond, maxStatedTime),
	zeroOrBetween("deployment.change_bound", func(s *Settings) time.Duration { return s.Deployment.ChangeBound }, time.Millisecond, maxStatedTime),
	zeroOrBetween("deployment.settle_time", func(s *Settings) time.Duration { return s.Deployment.SettleTime }, time.Millisecond, maxStatedTime),
	between("deployment.retry_ratio", func(s *Settings) float64 { return s.Deployment.RetryRatio }, 0, 100),
	between("deployment.retry_slack", func(s *Settings) float64 { return s.Deployment.RetrySlack }, 0, maxRetrySlack),
	zeroOrBetween("deployment.retry_window", func(s *Settings) time.Duration { return s.Deployment.RetryWindow }, time.Millisecond, maxStatedTime),
	zeroOrBetween("deployment.revoke_bound", func(s *Settings) time.Duration { return s.Deployment.RevokeBound }, time.Millisecond, maxStatedTime),
	zeroOrBetween("deployment.heartbeat", func(s *Settings) time.Duration { return s.Deployment.Heartbeat }, time.Millisecond, maxStatedTime),
	between("deployment.bandwidth_mbps", func(s *Settings) float64 { return s.Deployment.BandwidthMbps }, 0, 100_000_000),
	between("deployment.expose_share", func(s *Settings) float64 { return s.Deployment.ExposeShare }, 0, 1),
	between("deployment.expose_slack", func(s *Settings) int { return s.Deployment.ExposeSlack }, 0, maxExposeSlack),
	zeroOrBetween("deployment.rollback_bound", func(s *Settings) time.Duration { return s.Deployment.RollbackBound }, time.Millisecond, maxStatedTime),
	between("platform.heartbeat", func(s *Settings) time.Duration { return s.Platform.Heartbeat }, minHeartbeat, maxHeartbeat),
	{"platform.url", acceptedURL, checkPlatformURL},
	between("platform.request_timeout", func(s *Settings) time.Duration { return s.Platform.RequestTimeout }, 10*time.Millisecond, time.Minute),
	between("platform.read_wait", func(s *Settings) time.Duration { return s.Platform.ReadWait }, 10*time.Millisecond, 10*time.Minute),
	between("platform.checkpoint_interval", func(s *Settings) time.Duration { return s.Platform.CheckpointInterval }, time.Second, 24*time.Hour),
	between("spread.readers", func(s *Settings) int { return s.Spread.Readers }, 1, 16),
	between("spread.fan_out", func(s *Settings) int { return s.Spread.FanOut }, 1, 64),
	between("spread.pulls_per_second", func(s *Settings) int { return s.Spread.PullsPerSecond }, 1, 10_000),
	between("tenants.revoke_bound", func(s *Settings) time.Duration { return s.Tenants.RevokeBound }, minRevokeBound, maxRevokeBound),
	between("membership.probe_interval", func(s *Settings) time.Duration { return s.Membership.ProbeInterval }, 10*time.Millisecond, time.Minute),
	between("membership.probe_timeout", func(s *Settings) time.Duration { return s.Membership.ProbeTimeout }, time.Millisecond, time.Minute),
	between("membership.suspicion_timeout", func(s *Settings) time.Duration { return s.Membership.SuspicionTimeout }, 10*time.Millisecond, 10*time.Minute),
	between("membership.fence_timeout", func(s *Settings) time.Duration { return s.Membership.FenceTimeout }, 0, 10*time.Minute),
	between("membership.forget_timeout", func(s *Settings) time.Duration { return s.Membership.ForgetTimeout }, 100*time.Millisecond, time.Hour),
	between("membership.relay_interval", func(s *Settings) time.Duration { return s.Membership.RelayInterval }, 10*time.Millisecond, time.Minute),
	between("membership.relays", func(s *Settings) int { return s.Membership.Relays }, 1, 16),
	sizeBetween("calls.max_body_bytes", func(s *Settings) int64 { return s.Calls.MaxBodyBytes }, 1<<10, 1<<30),
	sizeBetween("calls.buffer_bytes", func(s *Settings) int64 { return s.Calls.BufferBytes }, 1<<10, 64<<20),
	between("calls.retry_ratio", func(s *Settings) float64 { return s.Calls.RetryRatio }, 0, 1),
	between("calls.retry_slack", func(s *Settings) float64 { return s.Calls.RetrySlack }, 0, maxRetrySlack),
	zeroOrBetween("calls.retry_window", func(s *Settings) time.Duration { return s.Calls.RetryWindow }, minRetryWindow, maxRetryWindow),
	between("calls.overload_tries", func(s *Settings) int { return s.Calls.OverloadTries }, 0, 16),
	between("calls.spill_load", func(s *Settings) float64 { return s.Calls.SpillLoad }, 0, 10),
	sizeBetween("calls.ledger_bytes", func(s *Settings) int64 { return s.Calls.LedgerBytes }, 64<<10, 1<<30),
	between("calls.ledger_retention", func(s *Settings) time.Duration { return s.Calls.LedgerRetention }, time.Second, 24*time.Hour),
	between("calls.leave_delay", func(s *Settings) time.Duration { return s.Calls.LeaveDelay }, 0, time.Minute),
	between("calls.drain_timeout", func(s *Settings) time.Duration { return s.Calls.DrainTimeout }, minDrainTimeout, maxDrainTimeout),
	between("calls.idle_timeout", func(s *Settings) time.Duration { return s.Calls.IdleTimeout }, 100*time.Millisecond, time.Hour),
	between("calls.silence_timeout", func(s *Settings) time.Duration { return s.Calls.SilenceTimeout }, 10*time.Millisecond, time.Minute),
	between("calls.quarantine_time", func(s *Settings) time.Duration { return s.Calls.QuarantineTime }, 0, 24*time.Hour),
	{"overload.enabled", "true, false", func(*Settings) (string, string) { return "", "" }},
	between("rollout.expose_share", func(s *Settings) float64 { return s.Rollout.ExposeShare }, 0, 1),
	between("rollout.expose_slack", func(s *Settings) int { return s.Rollout.ExposeSlack }, 0, maxExposeSlack),
	between("rollout.rollback_bound", func(s *Settings) time.Duration { return s.Rollout.RollbackBound }, minRollbackBound, maxRollbackBound),
	{"telemetry.log_level", strings.Join(logLevels, ", "), checkLogLevel},
	{"telemetry.trace_endpoint", acceptedURL + " or empty", checkTraceEndpoint},
	between("telemetry.trace_ratio", func(s *Settings) float64 { return s.Telemetry.TraceRatio }, 0, 1),
}, addressRules())

var constraints = []constraint{
	{
		keys:     []string{"membership.probe_timeout", "membership.probe_interval"},
		violated: func(s *Settings) bool { return s.Membership.ProbeTimeout >= s.Membership.ProbeInterval },
		text:     "is not below membership.probe_interval",
		remedy:   "lower it, so that a probe ends before the next one starts",
	},
	{
		keys:     []string{"membership.suspicion_timeout", "membership.probe_interval"},
		violated: func(s *Settings) bool { return s.Membership.SuspicionTimeout < s.Membership.ProbeInterval },
		text:     "is below membership.probe_interval",
		remedy:   "raise it, so that a suspect is probed at least once before it is declared dead",
	},
	{
		keys: []string{"membership.fence_timeout", "membership.probe_interval"},
		violated: func(s *Settings) bool {
			return fencingEnabled(s) && s.Membership.FenceTimeout < 2*s.Membership.ProbeInterval
		},
		text:   "is below twice membership.probe_interval",
		remedy: "raise it, so that one lost probe does not stop the node from serving",
	},
	{
		keys:     []string{"membership.forget_timeout", "membership.fence_timeout"},
		violated: func(s *Settings) bool { return s.Membership.ForgetTimeout <= s.Membership.FenceTimeout },
		text:     "is not above membership.fence_timeout",
		remedy:   "raise it: the read-back may exclude a dead member only after that member has stopped serving",
	},
	{
		keys:     []string{"membership.relay_interval"},
		violated: func(s *Settings) bool { return 2*s.Membership.RelayInterval > readback.MaxSummaryAge },
		text:     fmt.Sprintf("is over half of the %s after which a failure domain's summary is no longer fresh", readback.MaxSummaryAge),
		remedy:   "lower it, so that one lost exchange does not make read-backs unconfirmed",
	},
	{
		keys: []string{"calls.drain_timeout", "deployment.stop_grace"},
		violated: func(s *Settings) bool {
			return s.Deployment.StopGrace > 0 && s.Calls.DrainTimeout > longestDrain(s.Deployment.StopGrace)
		},
		text:   fmt.Sprintf("is less than %s, or %.0f %% of it if that is less, below deployment.stop_grace", stopReserve, 100*stopReserveShare),
		remedy: "lower it or leave it out, so that the node can leave and answer before it is killed",
	},
	{
		keys:     []string{"calls.leave_delay", "calls.drain_timeout"},
		violated: func(s *Settings) bool { return s.Calls.LeaveDelay >= s.Calls.DrainTimeout },
		text:     "is not below calls.drain_timeout",
		remedy:   "lower it: the delay is part of the planned shutdown, which calls.drain_timeout limits",
	},
	{
		keys:     []string{"node.announce_address", "platform.adapter"},
		violated: func(s *Settings) bool { return (s.Node.AnnounceAddress != "") != (s.Platform.Adapter != "") },
		text:     "must be set together with platform.adapter",
		remedy:   "give both or neither",
	},
	{
		keys:     []string{"node.ready_address", "platform.adapter"},
		violated: func(s *Settings) bool { return (s.Node.ReadyAddress != "") != (s.Platform.Adapter != "") },
		text:     "must be set together with platform.adapter",
		remedy:   "give both or neither",
	},
	{
		keys: []string{"tenants.revoke_bound", "platform.read_wait"},
		violated: func(s *Settings) bool {
			return s.Tenants.RevokeStrict && s.Tenants.RevokeBound < 2*s.Platform.ReadWait
		},
		text:   "is below twice platform.read_wait, with tenants.revoke_strict",
		remedy: "raise it or lower platform.read_wait, so that nodes in contact do not refuse keys",
	},
	{
		keys:     []string{"calls.buffer_bytes", "calls.max_body_bytes"},
		violated: func(s *Settings) bool { return s.Calls.BufferBytes > s.Calls.MaxBodyBytes },
		text:     "is above calls.max_body_bytes",
		remedy:   "lower it: a body never exceeds that size",
	},
}

// fencingEnabled reports whether a node that has lost contact with all other nodes and
// the platform stops serving.
func fencingEnabled(s *Settings) bool { return s.Membership.FenceTimeout > 0 }

// check adds a problem to the document for each rule and constraint that the
// settings violate.
func check(document *strictyaml.Document, settings *Settings) {
	for _, rule := range rules {
		if text, remedy := rule.check(settings); text != "" {
			document.Reject(rule.key, text, remedy)
		}
	}
	for _, constraint := range constraints {
		if document.Valid(constraint.keys...) && constraint.violated(settings) {
			document.Reject(constraint.keys[0], constraint.text, constraint.remedy)
		}
	}
	checkListeners(document, settings)
	checkSeeds(document, settings)
}

func between[T cmp.Ordered](key string, get func(*Settings) T, low, high T) rule {
	bounds := formatValue(low) + " to " + formatValue(high)
	return rule{key, bounds, func(s *Settings) (string, string) {
		value := get(s)
		if value >= low && value <= high {
			return "", ""
		}
		return formatValue(value) + " is out of range", "use " + bounds
	}}
}

// zeroOrBetween is between for a duration that may also be 0, which is unknown.
func zeroOrBetween(key string, get func(*Settings) time.Duration, low, high time.Duration) rule {
	inRange := between(key, get, low, high)
	accepted := "0s or " + inRange.accepted
	return rule{key, accepted, func(s *Settings) (string, string) {
		text, _ := inRange.check(s)
		if text == "" || get(s) == 0 {
			return "", ""
		}
		return text, "use " + accepted
	}}
}

// formatValue writes a value as in a settings file.
func formatValue(value any) string {
	duration, ok := value.(time.Duration)
	if !ok {
		return fmt.Sprint(value)
	}
	text := duration.String()
	if duration%time.Minute == 0 && duration != 0 {
		text = strings.TrimSuffix(text, "0s")
	}
	if duration%time.Hour == 0 && duration != 0 {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func sizeBetween(key string, get func(*Settings) int64, low, high int64) rule {
	bounds := strictyaml.FormatSize(low) + " to " + strictyaml.FormatSize(high)
	return rule{key, bounds, func(s *Settings) (string, string) {
		value := get(s)
		if value >= low && value <= high {
			return "", ""
		}
		return strictyaml.FormatSize(value) + " is out of range", "use " + bounds
	}}
}

func requiredName(key string, get func(*Settings) string) rule {
	accepted := fmt.Sprintf("1 to %d bytes of printable text", maxNameBytes)
	return rule{key, accepted, func(s *Settings) (string, string) { return checkName(get(s)) }}
}

func optionalName(key string, get func(*Settings) string) rule {
	required := requiredName(key, get)
	return rule{key, required.accepted + ", or empty", func(s *Settings) (string, string) {
		if get(s) == "" {
			return "", ""
		}
		return checkName(get(s))
	}}
}

func checkName(value string) (text, remedy string) {
	return state.CheckName(value, maxNameBytes)
}

func checkPlatformURL(s *Settings) (string, string) {
	if s.Platform.URL == "" {
		return "is missing", "give the base URL of the platform's log service, such as http://10.0.0.5:7000"
	}
	return checkURL(s.Platform.URL)
}

func checkTraceEndpoint(s *Settings) (string, string) {
	if s.Telemetry.TraceEndpoint == "" {
		return "", ""
	}
	return checkURL(s.Telemetry.TraceEndpoint)
}

func checkURL(text string) (string, string) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return fmt.Sprintf("%q is not an HTTP URL", text), "write it as http://ADDRESS:PORT or https://ADDRESS:PORT"
	}
	return "", ""
}

var logLevels = []string{"debug", "info", "warn", "error"}

func checkLogLevel(s *Settings) (string, string) {
	if slices.Contains(logLevels, s.Telemetry.LogLevel) {
		return "", ""
	}
	return fmt.Sprintf("%q is not a log level", s.Telemetry.LogLevel), "use one of: " + strings.Join(logLevels, ", ")
}

// parseAddress parses an IP address with a port other than 0. The text is empty
// if the address is valid.
func parseAddress(text string) (netip.AddrPort, string, string) {
	if text == "" {
		return netip.AddrPort{}, "is missing", "give an IP address and a port, such as 10.0.0.7:8080"
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, fmt.Sprintf("%q is not an IP address with a port", text), "write it as 10.0.0.7:8080 or [2001:db8::7]:8080"
	}
	return address, "", ""
}
