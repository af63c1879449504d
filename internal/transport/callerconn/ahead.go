package callerconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Callers may send further requests before the first one is answered. The server of net/http
// serves a connection's requests one after another. So that a request need not wait for the
// run of the one before it, Conn gives the server one request at a time, reads on while it is
// served, and lets the handler start the requests that follow. The server still parses each
// request, calls its handler in turn and writes the responses in the order of the requests.

const (
	// maxAhead is how many requests of a connection may be started before their turn.
	maxAhead = 8
	// maxPendingBytes bounds the bytes that are kept for requests whose turn has not come.
	maxPendingBytes = 16 << 10
	// aheadReadBytes is the size of the reads of requests before their turn.
	aheadReadBytes = 2 << 10
)

// Started is a request that was started before its turn. Its methods must not block.
type Started interface {
	// Cancel ends it: its response is not taken.
	Cancel()
	// InputClosed reports that the caller closed its sending side, or the whole connection.
	InputClosed()
}

// StartFunc starts a request that arrived at the given time behind others that are not
// answered yet. It must not block. It returns nil if the request is to be served in its turn,
// and with it those behind it.
type StartFunc func(request *http.Request, arrivedAt time.Time) Started

// arrival says when the bytes before end arrived; end counts from the start of pending.
type arrival struct {
	end int
	at  time.Time
}

// aheadRequest is a request that was started before its turn.
type aheadRequest struct {
	started Started
	// headBytes is the size of its head.
	headBytes int
	// neededBy is when its response, which is ready, has to be written; zero if there is none,
	// or its caller states no time.
	neededBy time.Time
}

// input is what a connection received and did not give to the server yet.
type input struct {
	pending  []byte
	arrivals []arrival
	// scanner and headEnded follow the head of the awaited or present request. headArrivedAt
	// is when its last byte arrived; zero if it came while the server waited for it.
	// headBytes counts the bytes of the head that the server got.
	scanner       headScanner
	headBytes     int
	headEnded     bool
	headArrivedAt time.Time
	// bodyLength is the length of the present request's body, -1 if unknown, and bodyGiven
	// how many bytes of it the server got.
	bodyLength, bodyGiven int64
	// unframed is set once it is not known where the next request begins. The server then
	// gets the bytes as they arrive, and no request is started before its turn.
	unframed bool

	// ahead are the requests that were started before their turn, in order; pending begins with
	// their heads.
	ahead []aheadRequest
	// current is the present request if it was started before its turn.
	current Started
	// start starts the requests behind the present one; nil if they wait.
	start StartFunc
	// onBehind is called when a request behind the present one is started or its response is
	// ready.
	onBehind func(neededBy time.Time)
	// pipelined is set once bytes arrived behind a request that was not answered.
	pipelined bool
	// closeAnnounced is set once a response says that the connection is closed after it.
	closeAnnounced bool
}

// keep appends bytes that arrived at the given time.
func (in *input) keep(data []byte, at time.Time) {
	in.pipelined = true
	in.pending = append(in.pending, data...)
	in.arrivals = append(in.arrivals, arrival{end: len(in.pending), at: at})
}

// take moves pending bytes to data.
func (in *input) take(data []byte) int {
	n := copy(data, in.pending)
	in.pending = in.pending[n:]
	for i := range in.arrivals {
		in.arrivals[i].end -= n
	}
	for len(in.arrivals) > 0 && in.arrivals[0].end <= 0 {
		in.arrivals = in.arrivals[1:]
	}
	if len(in.pending) == 0 {
		in.pending, in.arrivals = nil, nil
	}
	return n
}

// arrivedAt returns when the first n pending bytes had arrived.
func (in *input) arrivedAt(n int) time.Time {
	for _, a := range in.arrivals {
		if a.end >= n {
			return a.at
		}
	}
	return time.Time{}
}

// takeHead moves pending bytes of the awaited request's head to data. Later bytes stay.
func (in *input) takeHead(data []byte) int {
	data = data[:min(len(data), len(in.pending))]
	if in.unframed || in.headEnded {
		in.unframed = true // the server looks for a head beyond what was taken for it
		return in.take(data)
	}
	n, ended := in.scanner.scan(in.pending[:len(data)])
	if ended {
		in.headEnded, in.headArrivedAt = true, in.arrivedAt(n)
	}
	return in.take(data[:n])
}

// splitHead keeps what follows the awaited request's head in data, which has just arrived and
// is given to the server. It returns the size of what is given.
func (in *input) splitHead(data []byte) int {
	if in.unframed || in.headEnded {
		in.unframed = true
		return len(data)
	}
	n, ended := in.scanner.scan(data)
	in.headEnded = ended
	if n < len(data) {
		in.keep(data[n:], time.Now())
		in.pipelined = false // it may be the body
	}
	return n
}

// beginRequest is called when the server has parsed the awaited request.
func (in *input) beginRequest() {
	if !in.headEnded {
		in.unframed = true
	}
	in.bodyLength, in.bodyGiven = 0, 0
	if len(in.ahead) > 0 {
		in.current, in.ahead = in.ahead[0].started, in.ahead[1:]
	}
}

// aheadBytes returns the size of the heads of the requests that were started before their turn.
func (in *input) aheadBytes() int {
	size := 0
	for _, request := range in.ahead {
		size += request.headBytes
	}
	return size
}

// bodyRead shortens data so that a read of the present request's body does not go beyond its end.
func (in *input) bodyRead(data []byte) []byte {
	if rest := in.bodyLength - in.bodyGiven; !in.unframed && rest > 0 {
		return data[:min(int64(len(data)), rest)]
	}
	return data
}

// endRequest is called when the present request was answered.
func (in *input) endRequest() {
	if in.bodyGiven != in.bodyLength {
		in.unframed = true
	}
	in.scanner, in.headBytes, in.headEnded, in.headArrivedAt = headScanner{}, 0, false, time.Time{}
	in.current, in.start, in.onBehind = nil, nil, nil
}

// ExpectBody says how many bytes the body of the present request has, -1 if that is unknown.
func (c *Conn) ExpectBody(length int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input.bodyLength = length
}

// ArrivedAt returns when the head of the present request had arrived if it waited behind
// another request, and otherwise the zero time.
func (c *Conn) ArrivedAt() time.Time {
	if c == nil {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.input.headArrivedAt
}

// Started returns the present request if it was started before its turn, and otherwise nil.
func (c *Conn) Started() Started {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.input.current
}

// StartAhead lets start start the requests behind the present one, until that is answered. The
// present request must be read to its end.
func (c *Conn) StartAhead(start StartFunc) {
	if c == nil {
		return
	}
	c.mu.Lock()
	if c.input.unframed || c.input.bodyGiven != c.input.bodyLength {
		c.mu.Unlock()
		return
	}
	c.input.start = start
	c.mu.Unlock()
	c.startPending()
}

// AnnounceClose reports whether the response that is about to be written may say that the
// connection is closed after it: no request behind it was started. None is started afterwards.
func (c *Conn) AnnounceClose() bool {
	if c == nil {
		return true
	}
	c.startMu.Lock()
	defer c.startMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.input.ahead) > 0 {
		return false
	}
	c.input.closeAnnounced = true
	return true
}

// startPending starts the requests that have arrived behind the present one. After a panic they are
// served in their turn.
func (c *Conn) startPending() {
	c.tracker.logger.Contained("start of a caller's request before its turn", c.startEachPending, c.stopStarting)()
}

func (c *Conn) startEachPending() {
	c.startMu.Lock()
	defer c.startMu.Unlock()
	for {
		start, rest, at := c.nextPending()
		if start == nil {
			return
		}
		request, size := parseHead(rest)
		if request == nil {
			return
		}
		request.RemoteAddr = c.RemoteAddr().String()
		started := start(request, at(size))
		if started == nil {
			c.stopStarting()
			return
		}
		if !c.addAhead(started, size) {
			started.Cancel()
			return
		}
	}
}

// nextPending returns the function that starts the next request, the bytes from that request
// on and a function for their times of arrival; start is nil if none is to be started now.
func (c *Conn) nextPending() (start StartFunc, rest []byte, at func(n int) time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := &c.input
	offset := in.aheadBytes()
	if in.start == nil || in.closeAnnounced || c.closed || len(in.ahead) >= maxAhead || offset >= len(in.pending) {
		return nil, nil, nil
	}
	return in.start, in.pending[offset:], func(n int) time.Time {
		c.mu.Lock()
		defer c.mu.Unlock()
		return in.arrivedAt(offset + n)
	}
}

func (c *Conn) stopStarting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input.start = nil
}

// addAhead returns false if the connection was closed meanwhile.
func (c *Conn) addAhead(started Started, headBytes int) bool {
	c.mu.Lock()
	closed, inputClosed := c.closed, c.inputClosed
	if !closed {
		c.input.ahead = append(c.input.ahead, aheadRequest{started: started, headBytes: headBytes})
	}
	notify := c.behindNotice()
	c.mu.Unlock()
	notify()
	if inputClosed {
		started.InputClosed()
	}
	return !closed
}

// OnBehind sets the function that is called, until the present request is answered, whenever a
// request behind it was started or its response is ready. neededBy is the earliest time at which
// a ready response behind it has to be written; zero if none is known. It is called at once if a
// request behind was started already. It must not block. Nil removes it.
func (c *Conn) OnBehind(notify func(neededBy time.Time)) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.input.onBehind = notify
	call := c.behindNotice()
	c.mu.Unlock()
	call()
}

// ResponseReady reports that the response of a request that was started before its turn is ready
// and has to be written by the given time, which is zero if it is not known.
func (c *Conn) ResponseReady(started Started, neededBy time.Time) {
	c.mu.Lock()
	for i := range c.input.ahead {
		if c.input.ahead[i].started == started {
			c.input.ahead[i].neededBy = neededBy
		}
	}
	notify := c.behindNotice()
	c.mu.Unlock()
	notify()
}

// behindNotice returns the call of onBehind for the present state. The caller holds mu.
func (c *Conn) behindNotice() func() {
	notify := c.input.onBehind
	if notify == nil || len(c.input.ahead) == 0 {
		return func() {}
	}
	var first time.Time
	for _, request := range c.input.ahead {
		if at := request.neededBy; !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return func() { notify(first) }
}

// readAhead keeps what arrives while a request is served that was read to its end, and starts
// the requests in it. It returns when the server ends the read, with its error, or when the
// connection has ended.
func (c *Conn) readAhead() (int, error) {
	room := c.reservation.TryGrow(aheadReadBytes)
	data := make([]byte, aheadReadBytes)
	for {
		c.startPending()
		if !room || c.pendingBytes() >= maxPendingBytes {
			return c.hold(false)
		}
		n, err := c.Conn.Read(data)
		if n > 0 {
			room = c.reservation.TryGrow(int64(n))
			c.keep(data[:n])
			continue
		}
		if errors.Is(err, io.EOF) {
			return c.hold(true)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.clearDeadline() {
			continue
		}
		c.noteReadError(err)
		return 0, err
	}
}

// keep keeps bytes that were just read. They may have arrived earlier.
func (c *Conn) keep(data []byte) {
	at := time.Now().Add(-c.Peer().DataAge)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input.keep(data, at)
}

func (c *Conn) pendingBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.input.pending)
}

// cancelAhead ends the requests that were started before their turn, once the connection is
// closed.
func (c *Conn) cancelAhead() {
	c.mu.Lock()
	ahead := c.input.ahead
	c.input.ahead = nil
	c.mu.Unlock()
	for _, request := range ahead {
		c.tracker.logger.Contained("end of a caller's request before its turn", request.started.Cancel, nil)()
	}
}

// NewContext returns a context from which FromContext returns the connection, for requests
// that are started before their turn.
func (c *Conn) NewContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}
