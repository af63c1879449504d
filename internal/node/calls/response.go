package calls

import (
	"net/http"
	"strconv"
	"time"

	"jasminegate/internal/protocol/wire"
)

// writeTimeout bounds each write of response data to a caller.
const writeTimeout = 15 * time.Second

// gateResponse is a target's response as received from a gate: complete, or
// with frames still to be read from the attempt.
type gateResponse struct {
	attempt  *attempt
	start    *wire.AnswerStart
	data     []byte
	complete bool
}

// failed reports whether the status says that the target cannot serve calls.
func (a *gateResponse) failed() bool {
	switch a.start.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// deliver writes the response to the caller. It returns false if the response
// could not be written completely; the caller's connection must then be
// aborted.
func (a *gateResponse) deliver(w http.ResponseWriter, method string) bool {
	controller := http.NewResponseController(w)
	defer controller.SetWriteDeadline(time.Time{})
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	a.writeHeader(w, method)
	if _, err := w.Write(a.data); err != nil && bodyAllowed(method, int(a.start.Status)) {
		a.attempt.end(a.complete)
		return false
	}
	if a.complete {
		a.attempt.end(true)
		return true
	}
	return a.streamRest(w, controller)
}

func (a *gateResponse) writeHeader(w http.ResponseWriter, method string) {
	header := w.Header()
	for _, field := range a.start.Headers {
		header[field.Name] = field.Values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing the type.
		header["Content-Type"] = nil
	}
	if a.complete && bodyAllowed(method, int(a.start.Status)) {
		header.Set("Content-Length", strconv.Itoa(len(a.data)))
	}
	w.WriteHeader(int(a.start.Status))
}

func bodyAllowed(method string, status int) bool {
	if method == http.MethodHead {
		return false
	}
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// streamRest forwards the remaining frames of a response that exceeds the
// buffer limit.
func (a *gateResponse) streamRest(w http.ResponseWriter, controller *http.ResponseController) bool {
	for {
		frame, err := a.attempt.recv()
		if err != nil || frame.Aborted != "" {
			a.attempt.end(false)
			return false
		}
		// A caller that reads slowly delays the next recv: that is not silence of
		// the gate.
		a.attempt.silenceTimer.Stop()
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(frame.Data); err != nil {
			a.attempt.cancelByCaller()
			a.attempt.end(false)
			return false
		}
		if frame.Last {
			a.attempt.end(true)
			return true
		}
		_ = controller.Flush()
		a.attempt.silenceTimer.Reset(a.attempt.runner.options.Settings.SilenceTimeout)
	}
}
