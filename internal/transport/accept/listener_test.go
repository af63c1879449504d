package accept

import (
	"bytes"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/logging"
)

// brokenListener fails every accept with the error.
type brokenListener struct {
	net.Listener
	err      error
	accepted chan struct{}
}

func (l brokenListener) Accept() (net.Conn, error) {
	select {
	case l.accepted <- struct{}{}:
	default:
	}
	return nil, l.err
}

func listen(t *testing.T) net.Listener {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = opened.Close() })
	return opened
}

// TestCloseEndsRetries closes a listener that cannot accept. Its events are bounded.
func TestCloseEndsRetries(t *testing.T) {
	is := is.New(t)
	broken := brokenListener{Listener: listen(t), err: syscall.ENOMEM, accepted: make(chan struct{})}
	var log bytes.Buffer
	retrying := Retry(broken, logging.New(&log, "info", "n"))
	ended := make(chan error, 1)
	begun := time.Now()
	go func() {
		_, err := retrying.Accept()
		ended <- err
	}()
	for range 5 {
		<-broken.accepted
	}
	is.NoErr(retrying.Close())
	is.True(errors.Is(<-ended, net.ErrClosed))
	most := 1 + int(time.Since(begun)/logInterval)
	is.True(strings.Count(log.String(), `"event":108,`) <= most)
}

// TestSocketThatCannotListenEndsServer accepts on a socket that does not listen any
// more: to try again would leave a node that runs and takes no connection.
func TestSocketThatCannotListenEndsServer(t *testing.T) {
	is := is.New(t)
	retrying := Retry(brokenListener{Listener: listen(t), err: syscall.EINVAL}, logging.Discard())
	_, err := retrying.Accept()
	is.True(errors.Is(err, syscall.EINVAL))
}
