// Package platform stands in for the platform's append-only log in tests and
// demonstrations. It keeps streams in memory and brings about the log's faults
// on request. The product does not use it.
package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// Bounds of requests.
const (
	// DefaultMaxRecordBytes bounds one record unless the options say otherwise.
	DefaultMaxRecordBytes = 1 << 20
	maxReadRecords        = 4096
	defaultReadBytes      = 1 << 20
	maxReadBytes          = 4 << 20
	maxReadWait           = time.Minute
	maxControlBytes       = 4 << 10
)

// Options configure a stand-in.
type Options struct {
	// RetainRecords is how many records a stream keeps; 0 keeps all.
	RetainRecords int
	// RetainFor is how long a record is kept; 0 keeps it for good.
	RetainFor time.Duration
	// MaxRecordBytes bounds one record; 0 means DefaultMaxRecordBytes.
	MaxRecordBytes int
	// Mode is the mode to start in.
	Mode Mode
	// Now is the clock of retention and of records' times; nil means time.Now.
	Now func() time.Time
}

// Mode says which faults the stand-in brings about. POST /mode replaces it.
type Mode struct {
	// Outage answers every stream request with 503.
	Outage bool `json:"outage"`
	// Silent holds every stream request until its client gives up; appends
	// take no effect.
	Silent bool `json:"silent"`
	// SlowMS delays every stream request by so many milliseconds.
	SlowMS int `json:"slow_ms"`
	// LostResponses lets appends take effect and then aborts the connection.
	LostResponses bool `json:"lost_answers"`
	// AppendsPerSecond answers appends above this rate with 503; 0 takes all.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// Platform is the stand-in's state and HTTP handler.
type Platform struct {
	options Options
	router  *mux.Router

	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{} // closed at the next change of mode
	limiter     *rate.Limiter
	streams     map[string]*stream
}

// New returns a stand-in with no records.
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

// Mode returns the mode in force.
func (p *Platform) Mode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// SetMode replaces the mode, also for reads that wait for a record.
func (p *Platform) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	p.limiter = newLimiter(mode.AppendsPerSecond)
}

// Trim drops the records of a stream below offset first.
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

// stream returns the named stream with expired records dropped. The caller
// holds the lock.
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
