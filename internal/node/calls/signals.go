package calls

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
)

const (
	// signalLinesPerSecond and signalLineBurst limit the log lines on changes of the
	// target's signals: a target may change them with each response.
	signalLinesPerSecond = 1
	signalLineBurst      = 20
)

// signalSource is where the signals of the local target were learned.
type signalSource string

const (
	sourceNone     signalSource = "none"
	sourceResponse signalSource = "response"
	// sourceEntry stands for the report of an entry. It counts only until the gate has
	// a response of the target, for example after a restart of the gate.
	sourceEntry signalSource = "entry"
)

// targetSignals holds the newest signals of the local target and passes changes on to
// the gate machine.
type targetSignals struct {
	log *sampledLog
	// notifyGate passes an event to the gate machine.
	notifyGate func(gate.Event)

	mu     sync.Mutex
	report call.TargetReport
	source signalSource
	// reported is set once the process had a signal that an entry may know: from then
	// on entries are told of the present ones, also if there are none.
	reported bool
}

func newTargetSignals(logger *logging.Logger, notifyGate func(gate.Event)) *targetSignals {
	return &targetSignals{log: newSampledLog(logger, signalLinesPerSecond, signalLineBurst), notifyGate: notifyGate, source: sourceNone}
}

// get returns the newest signals.
func (s *targetSignals) get() call.TargetSignals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.Signals
}

// forEntries returns the report that entries get, or false if they need none.
func (s *targetSignals) forEntries() (call.TargetReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, s.reported
}

// setProcess drops the signals of another process than the given one.
func (s *targetSignals) setProcess(process call.TargetProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report.Process.Same(process) {
		s.report.Process = process
		return
	}
	s.report = call.TargetReport{Process: process}
	s.source = sourceNone
	s.reported = false
	s.notifyGate(gate.ForgetRateLimit{})
}

// endAnnouncement notes that the target announces itself no longer. Without an instance
// ID, the next one at its address may be another process, which is not leaving.
func (s *targetSignals) endAnnouncement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report.Process.Instance == "" {
		s.report.Signals.Leaving = false
	}
}

// observe takes over what a response of the process states. complete says that the
// response certainly has the target's own headers, so that the absence of one counts.
// It reports whether the process states for the first time that it is leaving.
func (s *targetSignals) observe(now time.Time, process call.TargetProcess, stated call.TargetSignals, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.report.Process.Same(process) {
		return false
	}
	current := s.report.Signals
	if !complete && !stated.RateLimited {
		stated.RateLimited, stated.RateLimit = current.RateLimited, current.RateLimit
	}
	// A response that the target sent earlier on another connection may arrive later.
	stated.Leaving = stated.Leaving || current.Leaving
	return s.set(now, stated, sourceResponse)
}

// adopt takes over an entry's report, unless the gate has learned the signals of that
// process from a response, or from a newer report. That a process is leaving is never
// out of date. It reports whether this is news.
func (s *targetSignals) adopt(report call.TargetReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.report
	if !current.Process.Same(report.Process) {
		return false
	}
	if report.Process != current.Process || report.Process.Instance == "" {
		// Without an instance ID or start time, it may be another process that was leaving.
		report.Signals.Leaving = false
	}
	if report.Signals != current.Signals {
		s.reported = true
	}
	if older := s.source == sourceEntry && !report.At.After(current.At); s.source == sourceResponse || older {
		leaving := report.Signals.Leaving
		report.Signals, report.At = current.Signals, current.At
		report.Signals.Leaving = current.Signals.Leaving || leaving
	}
	source := s.source
	if source != sourceResponse {
		source = sourceEntry
	}
	return s.set(report.At, report.Signals, source)
}

// set stores the signals, logs a change and passes it on to the gate machine. It
// reports whether the target is leaving and was not before. The caller holds mu, so
// that the machine gets changes in order.
func (s *targetSignals) set(at time.Time, next call.TargetSignals, source signalSource) bool {
	previous := s.report.Signals
	s.report.Signals, s.report.At, s.source = next, at, source
	if next == previous {
		return false
	}
	s.reported = true
	if next.RateLimited != previous.RateLimited || next.RateLimit != previous.RateLimit {
		s.log.event(logging.TargetRateLimit).Str("instance", s.report.Process.Instance).
			Str("limit", formatRateLimit(next)).Str("previous", formatRateLimit(previous)).Str("source", string(source)).Send()
		s.notifyGate(gate.SetRateLimit{Limited: next.RateLimited, PerSecond: next.RateLimit})
	}
	if next.Leaving && !previous.Leaving {
		s.log.event(logging.TargetLeaving).Str("instance", s.report.Process.Instance).Str("source", string(source)).Send()
		return true
	}
	return false
}

// formatRateLimit formats the limit in calls per second for the log.
func formatRateLimit(signals call.TargetSignals) string {
	if !signals.RateLimited {
		return "none"
	}
	return strconv.FormatFloat(signals.RateLimit, 'g', -1, 64)
}

// observeSignals takes over what the response states about the target t. Responses to
// other requests and by other processes are ignored.
func (r *Runner) observeSignals(t *target, request *http.Request, response *http.Response, class responseClass) {
	if !ownResponse(r.options.Contract, request, response) {
		return
	}
	stated, err := readSignals(r.options.Contract, response.Header)
	if err != nil {
		r.signals.log.event(logging.TargetSignalInvalid).Err(err).Send()
	}
	if r.signals.observe(r.options.Now(), t.Process(), stated, err == nil && class != mismatchedResponse) {
		r.options.OnTargetLeaving(t.Target)
	}
}

// ObserveHealthCheck takes over what the target states in the headers of its response
// to a health check.
func (r *Runner) ObserveHealthCheck(t Target, header http.Header) {
	stated, err := readSignals(r.options.Contract, header)
	if err != nil {
		r.signals.log.event(logging.TargetSignalInvalid).Err(err).Send()
	}
	if r.signals.observe(r.options.Now(), t.Process(), stated, false) {
		r.options.OnTargetLeaving(t)
	}
}

// ownResponse reports whether the process that was addressed sent the response to
// this request.
func ownResponse(contract headers.Contract, request *http.Request, response *http.Response) bool {
	if response.StatusCode == http.StatusMisdirectedRequest || echoesOther(contract.CallID, request, response) {
		return false
	}
	return contract.RequestID == "" || response.Header.Get(contract.RequestID) == request.Header.Get(contract.RequestID)
}

// readSignals reads the signals from a response's headers. It fails with errSignal if
// the rate limit is malformed.
func readSignals(contract headers.Contract, header http.Header) (call.TargetSignals, error) {
	var signals call.TargetSignals
	if contract.TargetLeaving != "" {
		signals.Leaving = header.Get(contract.TargetLeaving) == "1"
	}
	if contract.TargetRateLimit == "" {
		return signals, nil
	}
	text := header.Get(contract.TargetRateLimit)
	if text == "" {
		return signals, nil
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
		return signals, errSignal.New("%s is %q: send a decimal number of requests per second, 0 or more", contract.TargetRateLimit, text)
	}
	signals.RateLimited = true
	signals.RateLimit = limit
	return signals, nil
}
