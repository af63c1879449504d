package node

import (
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/logging"
)

// failingListener fails each of the errors once before it accepts connections.
type failingListener struct {
	net.Listener
	mu     sync.Mutex
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if len(l.errors) == 0 {
		l.mu.Unlock()
		return l.Listener.Accept()
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	l.mu.Unlock()
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// TestCallersServedAfterAcceptErrors lets accept fail on the callers' port with errors
// that concern a single connection or pass. The node must go on: an error of a server
// closes the connections of all callers.
func TestCallersServedAfterAcceptErrors(t *testing.T) {
	for _, code := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN} {
		t.Run(code.Error(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			opened, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			n := &node{logger: logging.Discard()}
			server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}))
			parts := newParts(n.logger)
			parts.start("callers server", func() error {
				return n.serveHTTP(server, &failingListener{Listener: opened, errors: []error{code, code, code}})
			})
			served := make(chan error, 1)
			go func() {
				client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				response, err := client.Get("http://" + opened.Addr().String())
				if err == nil {
					err = response.Body.Close()
				}
				served <- err
			}()
			ended := make(chan error, 1)
			go func() { ended <- parts.wait() }()
			select {
			case err := <-ended:
				t.Fatalf("the server ended: %v", err)
			case err := <-served:
				is.NoErr(err)
			}
			is.NoErr(server.Close())
			is.NoErr(<-ended)
		})
	}
}
