// Package platform simulates the platform's append-only log in tests and
// demonstrations. It keeps streams in memory and injects faults on request. The
// product does not use it.
package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"jasminegate/internal/state"
)

// Limits of requests.
const (
	// DefaultMaxRecordBytes is the default of Options.MaxRecordBytes.
	DefaultMaxRecordBytes = state.MaxTicketBytes
	maxReadRecords        = 4096
	defaultReadBytes      = 1 << 20
	maxReadBytes          = 4 << 20
	maxReadWait           = time.Minute
	maxControlBytes       = 4 << 10
)

// Options configure a simulated platform.
type Options struct {
	// RetainRecords is how many records a stream keeps; 0 keeps all.
	RetainRecords int
	// RetainFor is how long a record is kept; 0 keeps it without a time limit.
	RetainFor time.Duration
	// MaxRecordBytes is the maximum size of a record; 0 means
	// DefaultMaxRecordBytes.
	MaxRecordBytes int
	// Mode is the initial mode.
	Mode Mode
	// Now is the clock for retention and record times; nil means time.Now.
	Now func() time.Time
}

// Mode selects the faults to inject. POST /mode replaces it.
type Mode struct {
	// Outage responds to every stream request with 503.
	Outage bool `json:"outage"`
	// Silent leaves every stream request without a response until its client
	// disconnects; appends have no effect.
	Silent bool `json:"silent"`
	// SlowMS delays every stream request, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LostResponses stores appended records and then aborts the connection
	// without a response.
	LostResponses bool `json:"lost_answers"`
	// AppendsPerSecond is the rate above which appends get a 503 response; 0
	// means no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// Platform is a simulated platform. It implements http.Handler.
type Platform struct {
	options Options
	router  *mux.Router

	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{} // closed at the next change of mode
	limiter     *rate.Limiter
	streams     map[string]*stream
}

// New returns a simulated platform without records.
func New(options Options) *Platform {
	if options.MaxRecordBytes == 0 {
		options.MaxRecordBytes = DefaultMaxRecordBytes
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	p := &Platform{
		options:     options,
		modeChanged: make(chan struct{}),
		streams:     make(map[string]*stream),
	}
	p.SetMode(options.Mode)
	p.router = p.routes()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// Mode returns the current mode.
func (p *Platform) Mode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// SetMode replaces the mode. It also applies to reads that are waiting for a
// record.
func (p *Platform) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	p.limiter = newLimiter(mode.AppendsPerSecond)
}

// Trim deletes the records of a stream below offset first.
func (p *Platform) Trim(name string, first int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream(name).trim(first)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// stream returns the named stream without its expired records, and creates it if
// needed. The caller holds p.mu.
func (p *Platform) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = newStream()
		p.streams[name] = s
	}
	var oldest time.Time
	if p.options.RetainFor > 0 {
		oldest = p.options.Now().Add(-p.options.RetainFor)
	}
	s.expire(p.options.RetainRecords, oldest)
	return s
}
