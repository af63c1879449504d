package calls

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/call"
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
func (g *gateResponse) failed() bool {
	switch g.start.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// pause releases the attempt if the response is complete, and otherwise stops the watch for
// silence until resume: the rest is not received until the response is delivered.
func (g *gateResponse) pause() {
	if g.complete {
		g.attempt.end(true)
		return
	}
	g.attempt.silenceTimer.stop()
}

// resume ends pause.
func (g *gateResponse) resume() {
	if !g.complete {
		g.attempt.silenceTimer.reset()
	}
}

// Reasons why a response stayed incomplete, beside those that a gate states (call.Reason).
const (
	// incompleteSilent means that the gate sent no frame within the silence timeout.
	incompleteSilent = "gate-silent"
	// incompleteConnection means that the connection to the gate was lost.
	incompleteConnection = "gate-connection-lost"
	// incompleteWrite means that the caller's connection took no more bytes.
	incompleteWrite = "caller-write-failed"
)

// deliver writes the response to the caller. It returns why the response could not be written
// completely, and an empty reason if it was; the caller's connection must be aborted otherwise.
func (g *gateResponse) deliver(w http.ResponseWriter, method string) (incomplete string) {
	controller := http.NewResponseController(w)
	defer controller.SetWriteDeadline(time.Time{})
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	g.writeHeader(w, method)
	g.attempt.silenceTimer.stop() // nothing is received meanwhile
	if _, err := w.Write(g.data); err != nil && bodyAllowed(method, int(g.start.Status)) {
		g.attempt.end(g.complete)
		return incompleteWrite
	}
	if g.complete {
		g.attempt.end(true)
		return ""
	}
	g.attempt.silenceTimer.reset()
	return g.streamRest(w, controller)
}

func (g *gateResponse) writeHeader(w http.ResponseWriter, method string) {
	header := w.Header()
	for _, field := range g.start.Headers {
		header[field.Name] = field.Values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing the type.
		header["Content-Type"] = nil
	}
	if g.complete && bodyAllowed(method, int(g.start.Status)) {
		header.Set("Content-Length", strconv.Itoa(len(g.data)))
	}
	if c := g.attempt.request; !g.complete && !c.bodyComplete() {
		// The connection cannot be closed without this after a response of unknown length.
		header.Set("Connection", "close")
		c.closeAnnounced = true
	}
	g.attempt.request.responseStarted = true
	w.WriteHeader(int(g.start.Status))
}

func bodyAllowed(method string, status int) bool {
	if method == http.MethodHead {
		return false
	}
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// streamRest forwards the remaining frames of a response that exceeds the buffer limit. It returns
// what deliver returns.
func (g *gateResponse) streamRest(w http.ResponseWriter, controller *http.ResponseController) (incomplete string) {
	for {
		frame, err := g.attempt.recv()
		if err != nil {
			incomplete = g.attempt.lossReason()
			g.attempt.end(false)
			return incomplete
		}
		if frame.Aborted != "" {
			g.attempt.end(false)
			return frame.Aborted
		}
		// A caller that reads slowly delays the next recv: that is not silence of
		// the gate.
		g.attempt.silenceTimer.stop()
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(frame.Data); err != nil {
			g.attempt.cancelByCaller()
			g.attempt.end(false)
			return incompleteWrite
		}
		if frame.Last {
			g.attempt.end(true)
			return ""
		}
		_ = controller.Flush()
		g.attempt.silenceTimer.reset()
	}
}

// lossReason returns why no further frame of the attempt can be received.
func (a *attempt) lossReason() string {
	switch cause := context.Cause(a.ctx); {
	case errorx.IsOfType(cause, errSilent):
		return incompleteSilent
	case errors.Is(cause, context.DeadlineExceeded):
		return string(call.ReasonDeadline)
	case cause != nil:
		return string(call.ReasonCancelled)
	}
	return incompleteConnection
}
