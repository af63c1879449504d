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

// deliver writes the response to the caller. It returns false if the response
// could not be written completely; the caller's connection must then be
// aborted.
func (g *gateResponse) deliver(w http.ResponseWriter, method string) bool {
	controller := http.NewResponseController(w)
	defer controller.SetWriteDeadline(time.Time{})
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	g.writeHeader(w, method)
	if _, err := w.Write(g.data); err != nil && bodyAllowed(method, int(g.start.Status)) {
		g.attempt.end(g.complete)
		return false
	}
	if g.complete {
		g.attempt.end(true)
		return true
	}
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

// streamRest forwards the remaining frames of a response that exceeds the
// buffer limit.
func (g *gateResponse) streamRest(w http.ResponseWriter, controller *http.ResponseController) bool {
	for {
		frame, err := g.attempt.recv()
		if err != nil || frame.Aborted != "" {
			g.attempt.end(false)
			return false
		}
		// A caller that reads slowly delays the next recv: that is not silence of
		// the gate.
		g.attempt.silenceTimer.stop()
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(frame.Data); err != nil {
			g.attempt.cancelByCaller()
			g.attempt.end(false)
			return false
		}
		if frame.Last {
			g.attempt.end(true)
			return true
		}
		_ = controller.Flush()
		g.attempt.silenceTimer.reset()
	}
}
