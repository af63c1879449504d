package state

import "time"

// Class is the traffic class of a route's calls.
type Class string

// Traffic classes. Gates start interactive calls before background calls, but
// guarantee background calls a share of the work.
const (
	ClassInteractive Class = "interactive"
	ClassBackground  Class = "background"
)

// Duration is a time.Duration written with its unit, such as "1.5s".
type Duration time.Duration

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration with its unit, such as "250ms". It fails with
// ErrInvalid.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return ErrInvalid.New("duration %q: write a number with a unit, such as 250ms or 2s", text)
	}
	*d = Duration(parsed)
	return nil
}

// Service is a group of upstreams that run the same target software.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// Slots limits the calls that one upstream runs at once. A target that
	// announces a lower limit gets that one.
	Slots int `json:"slots" yaml:"slots"`
	// Connections limits the connections from a node to its target. A target that
	// announces a lower limit gets that one.
	Connections int `json:"connections" yaml:"connections"`
	// QueueLength limits the calls that wait at one gate.
	QueueLength int `json:"queue_length" yaml:"queue_length"`
	// QueueTimeout limits how long a call waits at a gate.
	QueueTimeout Duration `json:"queue_timeout" yaml:"queue_timeout"`
	// HealthPath is the path of the target's health check: GET returns 200 while
	// the target is healthy and not draining. Empty disables the check.
	HealthPath string `json:"health_path,omitempty" yaml:"health_path,omitempty"`
}

// Route sends the calls that match it to one or more services.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Host matches the call's host without port; empty matches all.
	Host string `json:"host,omitempty" yaml:"host,omitempty"`
	// PathPrefix matches whole path segments. A prefix that ends with a slash
	// matches only the paths below it.
	PathPrefix string `json:"path_prefix" yaml:"path_prefix"`
	// Methods lists the HTTP methods that match; empty matches all.
	Methods []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	// Service is the name of the service that receives the calls; empty if
	// Destinations is set.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	// Destinations are the services that share the calls in proportion to their
	// weights; used instead of Service.
	Destinations []Destination `json:"destinations,omitempty" yaml:"destinations,omitempty"`
	Class        Class         `json:"class" yaml:"class"`
	// Priority ranks the calls of one class; 0 is the most urgent.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Timeout limits a whole call, including all attempts and queueing.
	Timeout Duration `json:"timeout" yaml:"timeout"`
	// TargetLatency is the time within which a response is wanted; it sets the
	// call's soft deadline. 0 means Timeout.
	TargetLatency Duration `json:"target_latency,omitempty" yaml:"target_latency,omitempty"`
	// Idempotent marks calls that may run more than once without harm.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// MaxAttempts limits how often one call is sent to a gate.
	MaxAttempts int `json:"max_attempts" yaml:"max_attempts"`
	// NoAuth admits calls without an API key although the configuration has tenants.
	NoAuth bool `json:"no_auth,omitempty" yaml:"no_auth,omitempty"`
}

// Destination is one of the services that share a route's calls.
type Destination struct {
	Service string `json:"service" yaml:"service"`
	// Weight is the service's share of the calls, relative to the sum of all
	// weights; 0 gives it none.
	Weight int `json:"weight" yaml:"weight"`
}

// EffectiveDestinations returns the services that receive the route's calls:
// Destinations if set, otherwise Service as the only one.
func (r Route) EffectiveDestinations() []Destination {
	if len(r.Destinations) > 0 {
		return r.Destinations
	}
	return []Destination{{Service: r.Service, Weight: 1}}
}

// CallerLimits are the size and time limits for requests and connections of
// callers. For a limit of 0 the node's own setting applies.
type CallerLimits struct {
	// HeaderBytes limits the size of a request's line and headers.
	HeaderBytes int `json:"header_bytes,omitempty" yaml:"header_bytes,omitempty"`
	// BodyBytes limits the size of a request's body.
	BodyBytes int64 `json:"body_bytes,omitempty" yaml:"body_bytes,omitempty"`
	// HeaderTimeout limits the time to receive a request's headers.
	HeaderTimeout Duration `json:"header_timeout,omitempty" yaml:"header_timeout,omitempty"`
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout Duration `json:"idle_timeout,omitempty" yaml:"idle_timeout,omitempty"`
}

// Ticket is one numbered configuration change. It contains the complete new
// content of each resource that it changes.
type Ticket struct {
	Number uint64 `json:"number" yaml:"number"`
	Author string `json:"author,omitempty" yaml:"author,omitempty"`
	// Replace marks a ticket that contains the whole configuration: resources that
	// it does not contain are removed.
	Replace  bool      `json:"replace,omitempty" yaml:"replace,omitempty"`
	Services []Service `json:"services,omitempty" yaml:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty" yaml:"routes,omitempty"`
	// CallerLimits is nil to leave the limits unchanged, or to remove them if
	// Replace is set.
	CallerLimits   *CallerLimits `json:"caller_limits,omitempty" yaml:"caller_limits,omitempty"`
	Tenants        []Tenant      `json:"tenants,omitempty" yaml:"tenants,omitempty"`
	RemoveServices []string      `json:"remove_services,omitempty" yaml:"remove_services,omitempty"`
	RemoveRoutes   []string      `json:"remove_routes,omitempty" yaml:"remove_routes,omitempty"`
	RemoveTenants  []string      `json:"remove_tenants,omitempty" yaml:"remove_tenants,omitempty"`
}
