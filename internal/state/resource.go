package state

import "time"

// Class is the priority class of a route's calls.
type Class string

// Priority classes. Background calls yield to interactive ones, within a bound.
const (
	ClassInteractive Class = "interactive"
	ClassBackground  Class = "background"
)

// Duration is a time.Duration written with its unit, such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with its unit, such as "250ms".
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
	// Slots bounds how many calls one upstream runs at once; a target that
	// announces fewer runs fewer.
	Slots int `json:"slots" yaml:"slots"`
	// Connections bounds how many connections a node keeps to its target; a
	// target that announces fewer gets fewer.
	Connections int `json:"connections" yaml:"connections"`
	// QueueLength is how many calls may wait at one gate.
	QueueLength int `json:"queue_length" yaml:"queue_length"`
	// QueueTimeout is how long a call may wait at a gate.
	QueueTimeout Duration `json:"queue_timeout" yaml:"queue_timeout"`
	// HealthPath is where a target answers GET with 200 while it is well and does
	// not leave; empty when it has no such path.
	HealthPath string `json:"health_path,omitempty" yaml:"health_path,omitempty"`
}

// Route leads calls that match it to a service.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Host matches the call's host without port; empty matches all.
	Host string `json:"host,omitempty" yaml:"host,omitempty"`
	// PathPrefix matches whole path segments; one that ends with a slash matches
	// the paths below it only.
	PathPrefix string `json:"path_prefix" yaml:"path_prefix"`
	// Methods lists the HTTP methods that match; empty matches all.
	Methods []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	// Service is the name of the service that answers; empty with Destinations.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	// Destinations are the services that answer in place of Service, each getting
	// its weight's share of the calls.
	Destinations []Destination `json:"destinations,omitempty" yaml:"destinations,omitempty"`
	Class        Class         `json:"class" yaml:"class"`
	// Priority ranks the calls of one class; 0 is the most urgent.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Timeout bounds a whole call, attempts and waiting included.
	Timeout Duration `json:"timeout" yaml:"timeout"`
	// TargetLatency is within which time an answer is wanted; 0 is Timeout.
	TargetLatency Duration `json:"target_latency,omitempty" yaml:"target_latency,omitempty"`
	// Idempotent says that running a call twice does no harm.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// MaxAttempts bounds how often one call is sent to a gate.
	MaxAttempts int `json:"max_attempts" yaml:"max_attempts"`
}

// Destination is one of the services that share a route's calls.
type Destination struct {
	Service string `json:"service" yaml:"service"`
	// Weight is the service's part of the sum of all weights.
	Weight int `json:"weight" yaml:"weight"`
}

// EffectiveDestinations returns the services that the route's calls go to.
func (r Route) EffectiveDestinations() []Destination {
	if len(r.Destinations) > 0 {
		return r.Destinations
	}
	return []Destination{{Service: r.Service, Weight: 1}}
}

// CallerLimits bound what a caller may send, and how long its connection may
// take or stay idle. 0 leaves a bound to the node.
type CallerLimits struct {
	// HeaderBytes bounds a request's line and headers.
	HeaderBytes int `json:"header_bytes,omitempty" yaml:"header_bytes,omitempty"`
	// BodyBytes bounds a request's body.
	BodyBytes int64 `json:"body_bytes,omitempty" yaml:"body_bytes,omitempty"`
	// HeaderTimeout bounds how long the headers may take.
	HeaderTimeout Duration `json:"header_timeout,omitempty" yaml:"header_timeout,omitempty"`
	// IdleTimeout is how long a connection may carry nothing.
	IdleTimeout Duration `json:"idle_timeout,omitempty" yaml:"idle_timeout,omitempty"`
}

// Ticket is one numbered change. It carries the whole new state of each
// resource that it touches.
type Ticket struct {
	Number uint64 `json:"number" yaml:"number"`
	Author string `json:"author,omitempty" yaml:"author,omitempty"`
	// Replace says that the ticket holds the whole configuration: what it does
	// not name is removed.
	Replace  bool      `json:"replace,omitempty" yaml:"replace,omitempty"`
	Services []Service `json:"services,omitempty" yaml:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty" yaml:"routes,omitempty"`
	// CallerLimits stay as they are when the ticket has none, unless it replaces
	// the whole configuration.
	CallerLimits   *CallerLimits `json:"caller_limits,omitempty" yaml:"caller_limits,omitempty"`
	RemoveServices []string      `json:"remove_services,omitempty" yaml:"remove_services,omitempty"`
	RemoveRoutes   []string      `json:"remove_routes,omitempty" yaml:"remove_routes,omitempty"`
}
