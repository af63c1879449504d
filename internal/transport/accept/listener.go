// Package accept keeps a server accepting connections after errors of accept.
package accept

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"jasminegate/internal/logging"
)

const (
	// minRetryDelay and maxRetryDelay bound the wait after a failed accept. It doubles
	// with each failure in a row.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
	// logInterval is the least time between two events of one listener.
	logInterval = time.Second
)

// listener is a net.Listener whose Accept fails only once it is closed or its socket
// cannot be used any more.
type listener struct {
	net.Listener
	logger *logging.Logger
	closed chan struct{}
	close  sync.Once

	mu       sync.Mutex
	lastLog  time.Time
	failures uint64
}

// Retry returns a listener that logs the errors of accept and accepts again: they
// concern one connection, or a lack of resources that passes.
func Retry(inner net.Listener, logger *logging.Logger) net.Listener {
	return &listener{Listener: inner, logger: logger, closed: make(chan struct{})}
}

// Accept implements net.Listener. It fails with net.ErrClosed, or with the error of a
// socket that is none or does not listen.
func (l *listener) Accept() (net.Conn, error) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		conn, err := l.Listener.Accept()
		if err == nil || isFinal(err) {
			return conn, err
		}
		l.logFailure(err)
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener. It also ends the wait of Accept.
func (l *listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func isFinal(err error) bool {
	for _, final := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, final) {
			return true
		}
	}
	return false
}

func (l *listener) logFailure(err error) {
	l.mu.Lock()
	l.failures++
	failures, quiet := l.failures, time.Since(l.lastLog) < logInterval
	if !quiet {
		l.lastLog = time.Now()
	}
	l.mu.Unlock()
	if quiet {
		return
	}
	l.logger.Event(logging.AcceptFailed).Str("address", l.Addr().String()).Uint("failures", failures).Err(err).Send()
}
