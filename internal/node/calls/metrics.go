package calls

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/callerconn"
)

// latencyBounds are the upper bounds of the histograms' buckets, in seconds.
var latencyBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Results of a caller's request, in addition to the outcomes of package
// problem.
const (
	outcomeAnswered   = "answered"
	outcomeAborted    = "aborted"
	outcomeCallerLeft = "caller-left"
)

// noClass is the class of requests that admit refused, before or after a route
// was found.
const noClass = "none"

// requestMetrics holds the histograms and the counters with labels. The code
// defines all label values; none comes from callers.
type requestMetrics struct {
	set      *metrics.Set
	requests map[[2]string]*metrics.PrometheusHistogram
	cutOff   map[callerconn.Cause]*metrics.Counter
	gateWait *metrics.PrometheusHistogram
	target   *metrics.PrometheusHistogram
	proofAge *metrics.PrometheusHistogram
	arrivals map[call.Repeat]*metrics.Counter
	// repeatsRefused counts the repeats that the retry budget did not allow.
	repeatsRefused *metrics.Counter
}

func newRequestMetrics() *requestMetrics {
	set := metrics.NewSet()
	m := &requestMetrics{
		set:      set,
		requests: make(map[[2]string]*metrics.PrometheusHistogram),
		cutOff:   make(map[callerconn.Cause]*metrics.Counter),
		gateWait: set.NewPrometheusHistogramExt("jasminegate_gate_wait_seconds", latencyBounds),
		target:   set.NewPrometheusHistogramExt("jasminegate_target_seconds", latencyBounds),
		proofAge: set.NewPrometheusHistogramExt("jasminegate_caller_proof_seconds", latencyBounds),
	}
	// No request ends as InProgress; its histograms stay because they are published.
	outcomes := []string{
		outcomeAnswered, outcomeAborted, outcomeCallerLeft,
		string(problem.NotRun), string(problem.Unknown), string(problem.Ran), string(problem.InProgress),
	}
	for _, class := range []string{string(state.ClassInteractive), string(state.ClassBackground), noClass} {
		for _, outcome := range outcomes {
			name := fmt.Sprintf("jasminegate_request_seconds{class=%q,outcome=%q}", class, outcome)
			m.requests[[2]string{class, outcome}] = set.NewPrometheusHistogramExt(name, latencyBounds)
		}
	}
	m.repeatsRefused = set.NewCounter("jasminegate_target_repeats_refused_total")
	m.arrivals = make(map[call.Repeat]*metrics.Counter)
	for kind := call.First; kind <= call.Resent; kind++ {
		m.arrivals[kind] = set.NewCounter(fmt.Sprintf("jasminegate_target_arrivals_total{kind=%q}", kind.String()))
	}
	for _, cause := range append(callerconn.Causes(), causeResponseAborted, causePanic, causeNone) {
		m.cutOff[cause] = set.NewCounter(fmt.Sprintf("jasminegate_callers_cut_off_total{cause=%q}", string(cause)))
	}
	return m
}

// observeRequest records the duration of a caller's request that ended.
func (m *requestMetrics) observeRequest(class, outcome string, startedAt time.Time) {
	if histogram := m.requests[[2]string{class, outcome}]; histogram != nil {
		histogram.UpdateDuration(startedAt)
	}
}

// countProblem counts a problem response of any outcome by its reason, although
// the metric's name says refusals.
func (m *requestMetrics) countProblem(p *problem.Problem) {
	reason := strings.TrimPrefix(p.Type, problemBase)
	m.set.GetOrCreateCounter(fmt.Sprintf("jasminegate_refusals_total{reason=%q}", reason)).Inc()
}

// WriteMetrics writes the histograms and the counters with labels in the
// Prometheus text format.
func (r *Runner) WriteMetrics(w io.Writer) { r.metrics.set.WritePrometheus(w) }
