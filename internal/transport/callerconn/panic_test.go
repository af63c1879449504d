package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/resources"
	"jasminegate/internal/logging"
	"jasminegate/internal/transport/reservation"
)

// TestPanicWhileRequestIsServedEndsProcess lets the functions panic that a connection calls while
// a request is served: where it reads on for further requests, and where the caller has closed its
// sending side. net/http reads then in a goroutine of its own, which recovers nothing. All requests
// of the caller are answered.
func TestPanicWhileRequestIsServedEndsProcess(t *testing.T) {
	for _, row := range []struct {
		name    string
		prepare func(c *Conn)
		behind  int
	}{
		{"start of a request", func(c *Conn) {
			c.StartAhead(func(*http.Request, time.Time) Started { panic("on purpose, at the start of a request") })
		}, 2},
		{"end of the input", func(c *Conn) {
			c.OnInputClosed(func() { panic("on purpose, at the end of the input") })
		}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			logger := logging.Discard()
			tracker := NewTracker(func() Limits { return longLimits })
			tracker.LogTo(logger)
			serving := make(chan struct{}, 10)
			server := startTracked(t, tracker, func(w http.ResponseWriter, r *http.Request) {
				c := FromContext(r.Context())
				c.RequestRead()
				row.prepare(c)
				serving <- struct{}{}
				for begun := time.Now(); logger.Panics() == 0 && time.Since(begun) < time.Minute; time.Sleep(time.Millisecond) {
				}
				answer(w, r)
			})
			conn := server.dial(t)
			_, err := io.WriteString(conn, request)
			is.NoErr(err)
			<-serving
			for range row.behind {
				_, err = io.WriteString(conn, request)
				is.NoErr(err)
			}
			if row.behind == 0 {
				is.NoErr(conn.(*net.TCPConn).CloseWrite())
			}
			responses := bufio.NewReader(conn)
			for range 1 + row.behind {
				response, err := http.ReadResponse(responses, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
			}
			is.True(logger.Panics() > 0)
		})
	}
}

// TestPanicInRefusalEndsProcess lets the response to a connection beyond the limit panic. That
// connection is closed, and another one is served.
func TestPanicInRefusalEndsProcess(t *testing.T) {
	is := is.New(t)
	logger := logging.Discard()
	tracker := NewTracker(func() Limits { return longLimits })
	tracker.LogTo(logger)
	account := reservation.NewAccount(resources.Limits{Bytes: 16 << 20, Connections: 1})
	tracker.LimitResources(account, func(http.ResponseWriter, Refusal) { panic("on purpose, in a refusal") })
	release := make(chan struct{})
	serving := make(chan struct{}, 10)
	server := startTracked(t, tracker, func(w http.ResponseWriter, r *http.Request) {
		FromContext(r.Context()).BeginWork()
		serving <- struct{}{}
		<-release
		answer(w, r)
	})
	first := server.dial(t)
	_, err := io.WriteString(first, request)
	is.NoErr(err)
	<-serving
	second := server.dial(t)
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil)
	is.Equal(logger.Panics(), uint64(1))
	is.Equal(tracker.refusing.Load(), int32(0))
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(first), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// stubbornConn is a connection whose deadlines cannot be set.
type stubbornConn struct{ net.Conn }

func (stubbornConn) SetReadDeadline(time.Time) error { panic("on purpose, at a deadline") }

// TestPanicInConnectionThatGivesWayEndsProcess lets a connection panic that must give way for
// another one.
func TestPanicInConnectionThatGivesWayEndsProcess(t *testing.T) {
	is := is.New(t)
	logger := logging.Discard()
	tracker := NewTracker(func() Limits { return longLimits })
	tracker.LogTo(logger)
	tracker.LimitResources(reservation.NewAccount(resources.Limits{Bytes: 16 << 20, Connections: 1}), nil)
	first := tracker.add(stubbornConn{})
	is.True(first != nil)
	is.True(first.reservation.Enter(resources.Idle))
	is.True(tracker.add(stubbornConn{}) == nil) // the first one has not ended
	for begun := time.Now(); logger.Panics() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(begun) < time.Minute)
	}
}

// stubbornRequest is a request that cannot be cancelled.
type stubbornRequest struct{}

func (stubbornRequest) Cancel()      { panic("on purpose, at the end of a request") }
func (stubbornRequest) InputClosed() {}

// TestPanicAtCancelOfRequestEndsProcess resets a connection with a request that was started before
// its turn. Its end panics. net/http closes the connection after its own recover.
func TestPanicAtCancelOfRequestEndsProcess(t *testing.T) {
	is := is.New(t)
	logger := logging.Discard()
	tracker := NewTracker(func() Limits { return longLimits })
	tracker.LogTo(logger)
	started := make(chan struct{})
	server := startTracked(t, tracker, func(_ http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		c.RequestRead()
		c.StartAhead(func(*http.Request, time.Time) Started {
			close(started)
			return stubbornRequest{}
		})
		<-r.Context().Done()
	})
	conn := server.dial(t)
	_, err := io.WriteString(conn, request+request)
	is.NoErr(err)
	<-started
	is.NoErr(conn.(*net.TCPConn).SetLinger(0))
	is.NoErr(conn.Close())
	for begun := time.Now(); logger.Panics() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(begun) < time.Minute)
	}
}
