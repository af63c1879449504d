package calls

import (
	"math"
	"net/http"
	"strconv"
	"sync"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/headers"
)

const (
	// signalLinesPerSecond and signalLineBurst limit the log lines on changes of the
	// target's signals: a target may change them with each response.
	signalLinesPerSecond = 1
	signalLineBurst      = 20
)

// targetSignals holds the newest signals of the local target.
type targetSignals struct {
	log *sampledLog

	mu      sync.Mutex
	process call.TargetProcess
	current call.TargetSignals
}

func newTargetSignals(logger *logging.Logger) *targetSignals {
	return &targetSignals{log: newSampledLog(logger, signalLinesPerSecond, signalLineBurst)}
}

// get returns the newest signals.
func (s *targetSignals) get() call.TargetSignals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// setProcess drops the signals of another process than the given one.
func (s *targetSignals) setProcess(process call.TargetProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.process.Same(process) {
		s.current = call.TargetSignals{}
	}
	s.process = process
}

// observe takes over what a response of the process states. complete says that the
// response certainly has the target's own headers, so that the absence of one counts.
func (s *targetSignals) observe(process call.TargetProcess, stated call.TargetSignals, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.process.Same(process) {
		return
	}
	next := stated
	if !complete && !stated.RateLimited {
		next.RateLimited, next.RateLimit = s.current.RateLimited, s.current.RateLimit
	}
	next.Leaving = s.current.Leaving || stated.Leaving
	s.set(next)
}

// set stores and logs changed signals. The caller holds mu.
func (s *targetSignals) set(next call.TargetSignals) {
	previous := s.current
	s.current = next
	if next.RateLimited != previous.RateLimited || next.RateLimit != previous.RateLimit {
		s.log.event(logging.TargetRateLimit).Str("instance", s.process.Instance).
			Str("limit", formatRateLimit(next)).Str("previous", formatRateLimit(previous)).Send()
	}
	if next.Leaving != previous.Leaving {
		s.log.event(logging.TargetLeaving).Str("instance", s.process.Instance).Send()
	}
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
	r.signals.observe(t.process(), stated, err == nil && class != mismatchedResponse)
}

// ownResponse reports whether the process that was addressed sent the response to
// this request.
func ownResponse(contract headers.Contract, request *http.Request, response *http.Response) bool {
	if response.StatusCode == http.StatusMisdirectedRequest {
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
