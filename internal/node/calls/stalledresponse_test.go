package calls

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/config"
)

// longResponse is a response that the entry passes on before it has all of it. Its target writes the
// first half at once and the rest when proceed is closed.
type longResponse struct {
	whole   []byte
	proceed chan struct{}
}

func newLongResponse() *longResponse {
	return &longResponse{whole: bytes.Repeat([]byte("0123456789abcdef"), 32<<10), proceed: make(chan struct{})}
}

func (l *longResponse) serve(w http.ResponseWriter, r *http.Request) {
	half := len(l.whole) / 2
	w.Header().Set("Content-Length", strconv.Itoa(len(l.whole)))
	_, _ = w.Write(l.whole[:half])
	w.(http.Flusher).Flush()
	select {
	case <-l.proceed:
		_, _ = w.Write(l.whole[half:])
	case <-r.Context().Done():
	}
}

// responseRead is what a caller got of a body.
type responseRead struct {
	body []byte
	err  error
	at   time.Time
}

// begin sends a request for the response, and returns once the caller has got a part of it. The rest is
// read in the background.
func (l *longResponse) begin(f *fleet) <-chan responseRead {
	response, err := http.Get(f.nodes[0].callers.URL + "/read/long")
	f.is.NoErr(err)
	first := make([]byte, 1)
	_, err = io.ReadFull(response.Body, first)
	f.is.NoErr(err)
	read := make(chan responseRead, 1)
	go func() {
		defer response.Body.Close()
		rest, err := io.ReadAll(response.Body)
		read <- responseRead{body: append(first, rest...), err: err, at: time.Now()}
	}()
	return read
}

// TestResponseOfStalledGateIsCut stalls all that a gate sends, over new connections too, for longer than
// the silence timeout while a part of its response is at the caller. The caller must get the whole response.
func TestResponseOfStalledGateIsCut(t *testing.T) {
	const stall = 2 * time.Second
	dialer := &faultDialer{}
	long := newLongResponse()
	until := make(chan struct{})
	end := sync.OnceFunc(func() { close(until); close(long.proceed) })
	defer end()
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, settings: shortSilenceTimeout}, long.serve)
	read := long.begin(f)
	dialer.standStill(until)
	time.Sleep(stall)
	end()
	got := <-read
	f.is.NoErr(got.err)
	f.is.True(bytes.Equal(got.body, long.whole))
}

// TestResponseOfDeadGateIsAwaited stalls a gate for good while a part of its response is at the caller.
// Once membership takes the gate for dead the caller's connection must end.
func TestResponseOfDeadGateIsAwaited(t *testing.T) {
	const bound = 4 * silence // the timeout, and a check that began before
	dialer := &faultDialer{}
	long := newLongResponse()
	until := make(chan struct{})
	defer close(until)
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, settings: shortSilenceTimeout}, long.serve)
	read := long.begin(f)
	dialer.standStill(until)
	f.removeMember(1)
	died := time.Now()
	got := <-read
	f.is.True(got.err != nil)
	f.is.True(got.at.Sub(died) < bound)
}

// TestResponseOnSilentConnectionIsAwaited lets the connection go silent for good that carries a response,
// while the gate responds on new ones, or there is no room for one. The caller's connection must end within
// a few silence timeouts.
func TestResponseOnSilentConnectionIsAwaited(t *testing.T) {
	const bound = 10 * silence
	for name, connections := range map[string]int{"new connections": 64, "no room": 1} {
		t.Run(name, func(t *testing.T) {
			dialer := &faultDialer{}
			long := newLongResponse()
			defer close(long.proceed)
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, connections: connections, settings: shortSilenceTimeout}, long.serve)
			read := long.begin(f)
			dialer.each((*faultConn).goSilent)
			silent := time.Now()
			got := <-read
			f.is.True(got.err != nil)
			f.is.True(got.at.Sub(silent) < bound)
		})
	}
}

// TestSlowCallerMakesGateLookSilent lets a caller read nothing for several silence timeouts, while the node
// writes what it has buffered of a long response and receives nothing from the gate. The caller must get
// the whole response.
func TestSlowCallerMakesGateLookSilent(t *testing.T) {
	const (
		pause  = 2 * time.Second
		buffer = 4 << 20 // more than the kernel takes for the caller
	)
	whole := bytes.Repeat([]byte("0123456789abcdef"), buffer/8)
	settings := func(s *config.Calls) {
		shortSilenceTimeout(s)
		s.BufferBytes, s.MaxBodyBytes = buffer, 4*buffer
	}
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, settings: settings}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		_, _ = w.Write(whole)
	})
	conn := f.sendRaw("GET /read/long HTTP/1.1\r\nHost: a.example\r\n\r\n")
	f.is.NoErr(conn.SetReadBuffer(16 << 10))
	time.Sleep(pause)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	f.is.NoErr(err)
	f.is.True(bytes.Equal(body, whole))
}
