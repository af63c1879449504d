package calls

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/clock"
	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
)

// statingTarget responds with the current values of the signal headers; an empty
// value leaves the header out.
type statingTarget struct {
	rateLimit atomic.Pointer[string]
	leaving   atomic.Bool
	arrived   atomic.Int64
}

func (s *statingTarget) state(limit string) { s.rateLimit.Store(&limit) }

func (s *statingTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.arrived.Add(1)
	if limit := s.rateLimit.Load(); limit != nil && *limit != "" {
		w.Header().Set(headers.TargetRateLimit, *limit)
	}
	if s.leaving.Load() {
		w.Header().Set(headers.TargetLeaving, "1")
	}
}

// TestSignalsFollowTarget verifies that the gate knows what its target stated last:
// malformed values change nothing, another process starts without signals.
func TestSignalsFollowTarget(t *testing.T) {
	is := is.New(t)
	target := &statingTarget{}
	f := newFleet(t, fleetOptions{nodes: 1}, target.ServeHTTP)
	runner := f.nodes[0].runner
	for _, step := range []struct {
		stated string
		want   call.TargetSignals
	}{
		{"", call.TargetSignals{}},
		{"250.5", call.TargetSignals{RateLimited: true, RateLimit: 250.5}},
		{"many", call.TargetSignals{RateLimited: true, RateLimit: 250.5}},
		{"-1", call.TargetSignals{RateLimited: true, RateLimit: 250.5}},
		{"NaN", call.TargetSignals{RateLimited: true, RateLimit: 250.5}},
		{"+Inf", call.TargetSignals{RateLimited: true, RateLimit: 250.5}},
		{"300", call.TargetSignals{RateLimited: true, RateLimit: 300}},
		{"", call.TargetSignals{}},
	} {
		target.state(step.stated)
		is.Equal(f.call(0, "GET", "/read", "").status, http.StatusOK)
		is.Equal(runner.Stats().TargetSignals, step.want) // stated step
	}
	target.state("400")
	is.Equal(f.call(0, "GET", "/read", "").status, http.StatusOK)
	announced := runner.target.Load().Target
	runner.SetTarget(Target{State: membership.TargetAbsent})
	is.Equal(runner.Stats().TargetSignals.RateLimit, 400.0) // silent for a moment, the same process
	announced.Instance = "another"
	runner.SetTarget(announced)
	is.Equal(runner.Stats().TargetSignals, call.TargetSignals{})
}

// TestReplacedTargetIsTakenForLeaving lets a target that has no instance ID state that it
// is leaving and end its announcement. The next one at the address may be another
// process: it is not leaving until it says so.
func TestReplacedTargetIsTakenForLeaving(t *testing.T) {
	is := is.New(t)
	target := &statingTarget{}
	f := newFleet(t, fleetOptions{nodes: 1}, target.ServeHTTP)
	runner := f.nodes[0].runner
	left := 0
	runner.options.OnTargetLeaving = func(Target) { left++ }
	announced := runner.target.Load().Target
	for round := range 2 {
		target.leaving.Store(true)
		is.Equal(f.call(0, "GET", "/read", "").status, http.StatusOK)
		is.Equal(left, round+1)
		runner.SetTarget(Target{State: membership.TargetAbsent})
		is.True(!runner.Stats().TargetSignals.Leaving)
		runner.SetTarget(announced)
	}
}

// TestSignalsOfOtherResponsesAreIgnored verifies that signals count only in the
// response of the addressed process to the request.
func TestSignalsOfOtherResponsesAreIgnored(t *testing.T) {
	const idHeader = "X-Request"
	contract := headers.Contract{RequestID: idHeader, TargetRateLimit: headers.TargetRateLimit, TargetLeaving: headers.TargetLeaving, NotRun: "X-Not-Run"}
	for name, respond := range map[string]func(w http.ResponseWriter, r *http.Request){
		"another request's response": func(w http.ResponseWriter, r *http.Request) { w.Header().Set(idHeader, "other") },
		"another process": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(idHeader, r.Header.Get(idHeader))
			w.WriteHeader(http.StatusMisdirectedRequest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, fleetOptions{nodes: 1, contract: contract}, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headers.TargetRateLimit, "5")
				w.Header().Set(headers.TargetLeaving, "1")
				respond(w, r)
			})
			_ = f.call(0, "GET", "/read", "", idHeader, "a1")
			is.Equal(f.nodes[0].runner.Stats().TargetSignals, call.TargetSignals{})
		})
	}
}

// TestSignalLogIsBounded verifies that a target which changes its limit with each
// response cannot fill the log.
func TestSignalLogIsBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	signals := newTargetSignals(logging.New(&out, "info", "n-1"), func(gate.Event) {})
	for i := range 1000 {
		signals.observe(time.Time{}, call.TargetProcess{}, call.TargetSignals{RateLimited: true, RateLimit: float64(i + 1)}, true)
	}
	lines := strings.Count(out.String(), "\n")
	is.True(lines >= 1 && lines <= signalLineBurst+1)
}

// TestRestartedGateForgetsRateLimit restarts the gate of a target that names a limit.
// Calls reach the new gate before it has any response of the target: it keeps to the
// limit that the entry has learned.
func TestRestartedGateForgetsRateLimit(t *testing.T) {
	is := is.New(t)
	target := &statingTarget{}
	target.state("1")
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true}, target.ServeHTTP)
	is.Equal(f.call(0, "GET", "/read", "").status, http.StatusOK)
	f.restartNode(1, fleetOptions{slots: 8, boot: clock.BootTime}, func(w http.ResponseWriter, r *http.Request) {
		target.ServeHTTP(w, r)
		time.Sleep(300 * time.Millisecond) // the header is sent with the end of the response
	})
	before := target.arrived.Load()
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { f.call(0, "GET", "/read", "", headers.Timeout, "250") })
	}
	calls.Wait()
	is.True(target.arrived.Load()-before <= 1)
}

// TestReportsOfEntries verifies which reports of entries a gate takes over: the newest
// one until the target itself has responded, and at any time that the very process is
// leaving.
func TestReportsOfEntries(t *testing.T) {
	process := call.TargetProcess{Instance: "i-1", StartedMS: 5}
	limit := func(perSecond float64) call.TargetSignals {
		return call.TargetSignals{RateLimited: true, RateLimit: perSecond}
	}
	leaving := call.TargetSignals{Leaving: true}
	base := time.Unix(1000, 0)
	report := func(process call.TargetProcess, signals call.TargetSignals, second int) call.TargetReport {
		return call.TargetReport{Process: process, Signals: signals, At: base.Add(time.Duration(second) * time.Second)}
	}
	for name, tc := range map[string]struct {
		// observed is what the target stated to this gate, nil if it has not responded.
		observed *call.TargetSignals
		reports  []call.TargetReport
		want     call.TargetSignals
		// news is whether the last report says for the first time that it is leaving.
		news bool
	}{
		"first report":         {nil, []call.TargetReport{report(process, limit(9), 1)}, limit(9), false},
		"newer report":         {nil, []call.TargetReport{report(process, limit(9), 1), report(process, limit(4), 2)}, limit(4), false},
		"older report":         {nil, []call.TargetReport{report(process, limit(4), 2), report(process, limit(9), 1)}, limit(4), false},
		"another instance":     {nil, []call.TargetReport{report(call.TargetProcess{Instance: "i-2", StartedMS: 5}, limit(9), 1)}, call.TargetSignals{}, false},
		"earlier start":        {nil, []call.TargetReport{report(call.TargetProcess{Instance: "i-1", StartedMS: 4}, leaving, 1)}, call.TargetSignals{}, false},
		"start time unknown":   {nil, []call.TargetReport{report(call.TargetProcess{Instance: "i-1"}, leaving, 1)}, call.TargetSignals{}, false},
		"unnamed process":      {nil, []call.TargetReport{report(call.TargetProcess{}, leaving, 1)}, call.TargetSignals{}, false},
		"leaving":              {nil, []call.TargetReport{report(process, leaving, 1)}, leaving, true},
		"leaving twice":        {nil, []call.TargetReport{report(process, leaving, 1), report(process, leaving, 2)}, leaving, false},
		"limit after response": {&call.TargetSignals{}, []call.TargetReport{report(process, limit(9), 9)}, call.TargetSignals{}, false},
		"leaving after response": {
			&call.TargetSignals{RateLimited: true, RateLimit: 3}, []call.TargetReport{report(process, leaving, 1)},
			call.TargetSignals{RateLimited: true, RateLimit: 3, Leaving: true}, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			signals := newTargetSignals(logging.Discard(), func(gate.Event) {})
			local := process
			if name == "unnamed process" {
				local = call.TargetProcess{}
			}
			signals.setProcess(local)
			if tc.observed != nil {
				signals.observe(base, process, *tc.observed, true)
			}
			news := false
			for _, report := range tc.reports {
				news = signals.adopt(report)
			}
			is.Equal(signals.get(), tc.want)
			is.Equal(news, tc.news)
		})
	}
}

// TestRetryAfterOfTargetIsDropped verifies that a caller whose call a target declined
// is told to come back when the target says, not at once.
func TestRetryAfterOfTargetIsDropped(t *testing.T) {
	const notRun = "X-Not-Run"
	for name, tc := range map[string]struct {
		stated   string
		least    time.Duration
		greatest time.Duration
	}{
		"seconds":       {"2", 2 * time.Second, 2 * time.Second},
		"fraction":      {"1.5", 1500 * time.Millisecond, 1500 * time.Millisecond},
		"date":          {time.Now().Add(5 * time.Second).UTC().Format(http.TimeFormat), 2 * time.Second, 5 * time.Second},
		"date passed":   {time.Now().Add(-time.Hour).UTC().Format(http.TimeFormat), shedRetryAfter, shedRetryAfter},
		"too long":      {"86400", maxTargetRetryAfter, maxTargetRetryAfter},
		"malformed":     {"soon", shedRetryAfter, shedRetryAfter},
		"not a number":  {"NaN", shedRetryAfter, shedRetryAfter},
		"not stated":    {"", shedRetryAfter, shedRetryAfter},
		"below default": {"0", shedRetryAfter, shedRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, fleetOptions{nodes: 1, contract: headers.Contract{NotRun: notRun, PreciseRetryAfter: true}}, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(notRun, "1")
				if tc.stated != "" {
					w.Header().Set(headers.RetryAfter, tc.stated)
				}
				w.WriteHeader(http.StatusTooManyRequests)
			})
			got := f.call(0, "POST", "/file", "x")
			is.Equal(got.status, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(got.header.Get(headers.RetryAfter), 64)
			is.NoErr(err)
			delay := time.Duration(seconds * float64(time.Second))
			is.True(delay >= tc.least && delay <= tc.greatest)
		})
	}
}
