package peer

import (
	"bytes"
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
)

// serveTimeout bounds each wait of the tests in this file.
const serveTimeout = 20 * time.Second

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

// calls is a service whose Resolve runs a function.
type calls struct {
	wire.DRPCCallsUnimplementedServer
	resolve func(*wire.ResolveRequest) (*wire.ResolveAnswer, error)
}

func (c *calls) Resolve(_ context.Context, request *wire.ResolveRequest) (*wire.ResolveAnswer, error) {
	return c.resolve(request)
}

// lockedBuffer is a buffer that the logger writes and the test reads.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// serve runs Serve on the listener until the test ends. The channel gets its result.
func serve(t *testing.T, listener net.Listener, handler drpc.Handler, logger *logging.Logger) <-chan error {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		ended <- Serve(ctx, listener, handler, logger)
	}()
	t.Cleanup(func() { cancel(); <-finished })
	return ended
}

func resolveOnce(pool *Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	conn, err := pool.Get(ctx, address)
	if err != nil {
		return err
	}
	if _, err := wire.NewDRPCCallsClient(conn).Resolve(ctx, &wire.ResolveRequest{}); err != nil {
		conn.Discard()
		return err
	}
	conn.Release()
	return nil
}

// TestServeGoesOnAfterAcceptErrors lets accept fail with the errors that Linux reports
// for a lack of resources and for a connection that failed before it was accepted.
// None of them may end the server.
func TestServeGoesOnAfterAcceptErrors(t *testing.T) {
	for _, code := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO,
		syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EOPNOTSUPP,
	} {
		t.Run(code.Error(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			opened, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var log lockedBuffer
			mux := drpcmux.New()
			is.NoErr(wire.DRPCRegisterCalls(mux, &calls{resolve: func(*wire.ResolveRequest) (*wire.ResolveAnswer, error) {
				return &wire.ResolveAnswer{}, nil
			}}))
			ended := serve(t, &failingListener{Listener: opened, errors: []error{code, code, code}}, mux, logging.New(&log, "info", "n"))
			served := make(chan error, 1)
			pool := NewPool(PoolOptions{MaxPerAddress: 1, DialTimeout: serveTimeout, IdleTimeout: serveTimeout})
			defer pool.Close()
			go func() { served <- resolveOnce(pool, opened.Addr().String()) }()
			select {
			case err := <-ended:
				t.Fatalf("the server ended: %v", err)
			case err := <-served:
				is.NoErr(err)
			}
			is.True(strings.Contains(log.String(), `"event":108,`)) // the failure is logged
		})
	}
}
