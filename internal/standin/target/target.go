// Package target simulates a target in tests and demonstrations. It runs
// requests in a limited number of slots, generates each response from its
// request, records in a ledger which requests ran and announces itself to its
// node. The product does not use it.
package target

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// State is the state that a target announces to its node.
type State string

// States of a target.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Options configure a target.
type Options struct {
	// Service names the service that the target is an upstream of.
	Service string
	// Version is the version of its software that the target announces; empty announces none.
	Version string
	// Slots is how many requests run at once.
	Slots int
	// AnnouncedSlots is the number that the target announces; 0 means Slots.
	AnnouncedSlots int
	// Connections limits the open TCP connections; 0 means no limit.
	Connections int
	// IdleTimeout is how long a connection may be idle before it is closed; 0 means no limit.
	IdleTimeout time.Duration
	// ResetIdle closes idle connections with a reset.
	ResetIdle bool
	// ColdStart is the period after the start in which service times are
	// multiplied by ColdFactor.
	ColdStart time.Duration
	// ColdFactor multiplies service times during the cold start.
	ColdFactor int
	// NodeAddress is the admin address of the local node; empty disables the
	// announcements.
	NodeAddress string
	// TTL is the time to live of an announcement, which is renewed three times
	// within it; 0 means 3 s.
	TTL time.Duration
	// Mode is the initial mode.
	Mode Mode
	// Crash ends the process at once. Requests with the parameter crash_ms call it; nil means
	// that they do not crash the target.
	Crash func()
	// Now is the clock of the ledger, the reports and the cold start; nil means
	// time.Now.
	Now func() time.Time
}

// Target is a simulated target. It implements http.Handler.
type Target struct {
	options       Options
	now           func() time.Time
	started       time.Time
	router        *mux.Router
	slots         *slots
	ledger        *ledger
	reportHistory *reportHistory

	mu           sync.Mutex
	mode         Mode
	state        State
	stateChanged chan struct{} // closed at the next change of state
}

// New returns a target in StateReady with an empty ledger.
func New(options Options) *Target {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.AnnouncedSlots == 0 {
		options.AnnouncedSlots = options.Slots
	}
	t := &Target{
		options:       options,
		now:           options.Now,
		started:       options.Now(),
		slots:         newSlots(options.Slots),
		ledger:        newLedger(options.Now),
		reportHistory: newReportHistory(options.Now),
		mode:          options.Mode,
		state:         StateReady,
		stateChanged:  make(chan struct{}),
	}
	t.router = t.routes()
	t.recordReport()
	return t
}

func (t *Target) routes() *mux.Router {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/ledger", t.handleLedger).Methods(http.MethodGet)
	router.HandleFunc("/health", t.handleHealth).Methods(http.MethodGet)
	router.HandleFunc("/load", t.handleLoad).Methods(http.MethodGet)
	router.HandleFunc("/mode", t.handleMode).Methods(http.MethodGet)
	router.HandleFunc("/mode", t.handleSetMode).Methods(http.MethodPost)
	router.HandleFunc("/drain", t.handleDrain).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(t.handleWork)
	return router
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.Mode().stateSignals(w.Header())
	t.router.ServeHTTP(w, r)
}

// Instance returns the ID that the target announces, which differs for each start.
func (t *Target) Instance() string {
	return "started-" + strconv.FormatInt(t.started.UnixNano(), 10)
}

// Mode returns the current mode.
func (t *Target) Mode() Mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode
}

// SetMode replaces the mode for all later requests.
func (t *Target) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// State returns the state and a channel that is closed when it changes.
func (t *Target) State() (State, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state, t.stateChanged
}

// Drain changes the state to draining. Later requests still run; the ledger
// counts them in Totals.StartedAfterDrain.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == StateDraining {
		return
	}
	t.state = StateDraining
	close(t.stateChanged)
	t.stateChanged = make(chan struct{})
	t.ledger.drain()
	t.reportHistory.add(t.currentReport())
}

// inColdStart reports whether the target is in its cold start.
func (t *Target) inColdStart() bool {
	return t.now().Sub(t.started) < t.options.ColdStart
}
