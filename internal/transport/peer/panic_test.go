package peer

import (
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
)

// TestPanicInHandlerEndsOnlyItsCall lets one call panic. The connection's other calls
// and the server go on, and the panic is logged and counted.
func TestPanicInHandlerEndsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var log lockedBuffer
	var panics atomic.Bool
	panics.Store(true)
	mux := drpcmux.New()
	is.NoErr(wire.DRPCRegisterCalls(mux, &calls{resolve: func(*wire.ResolveRequest) (*wire.ResolveAnswer, error) {
		if panics.Load() {
			panic(errors.New("on purpose"))
		}
		return &wire.ResolveAnswer{}, nil
	}}))
	logger := logging.New(&log, "info", "n")
	ended := serve(t, opened, mux, logger)
	pool := NewPool(PoolOptions{MaxPerAddress: 1, DialTimeout: serveTimeout, IdleTimeout: serveTimeout})
	defer pool.Close()
	is.True(resolveOnce(pool, opened.Addr().String()) != nil) // the call that panics fails
	panics.Store(false)
	is.NoErr(resolveOnce(pool, opened.Addr().String())) // the next call is served
	is.Equal(len(ended), 0)                             // the server goes on
	is.True(strings.Contains(log.String(), `"event":109,`))
	is.True(strings.Contains(log.String(), "on purpose"))
}
