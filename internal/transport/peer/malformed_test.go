package peer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcwire"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
)

// malformedBytes returns frames in any order, or bytes that are none.
func malformedBytes(random *rand.Rand) []byte {
	var data []byte
	for range random.IntN(12) + 1 {
		if random.IntN(6) == 0 {
			for range random.IntN(64) {
				data = append(data, byte(random.Uint32()))
			}
			continue
		}
		payload := make([]byte, random.IntN(3)*random.IntN(6000))
		if random.IntN(2) == 0 {
			payload = []byte("/jasminegate.wire.Calls/" + []string{"Resolve", "Call", "None"}[random.IntN(3)])
		}
		data = drpcwire.AppendFrame(data, drpcwire.Frame{
			Data: payload, Kind: drpcwire.Kind(random.IntN(9)), Done: random.IntN(4) > 0, Control: random.IntN(8) == 0,
			ID: drpcwire.ID{Stream: uint64(random.IntN(4)), Message: uint64(random.IntN(5))},
		})
	}
	return data
}

// TestMalformedBytes sends malformed bytes on many connections, which end at any point.
// A call on another connection is served to its end meanwhile, and others afterwards.
func TestMalformedBytes(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	proceed, running := make(chan struct{}), make(chan struct{}, 1)
	mux := drpcmux.New()
	is.NoErr(wire.DRPCRegisterCalls(mux, &calls{resolve: func(request *wire.ResolveRequest) (*wire.ResolveAnswer, error) {
		if request.Id.GetEntry() == "waits" {
			running <- struct{}{}
			<-proceed
		}
		return &wire.ResolveAnswer{}, nil
	}}))
	logger := logging.Discard()
	ended := serve(t, opened, mux, logger)
	address := opened.Addr().String()
	pool := NewPool(PoolOptions{MaxPerAddress: 2, DialTimeout: serveTimeout, IdleTimeout: serveTimeout})
	defer pool.Close()
	waiting := make(chan error, 1)
	go func() { waiting <- resolveAs(pool, address, "waits") }()
	<-running
	var group sync.WaitGroup
	for sender := range uint64(8) {
		random := rand.New(rand.NewPCG(1, sender))
		group.Go(func() {
			for range 100 {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = conn.Write(malformedBytes(random))
				if random.IntN(2) == 0 {
					_ = conn.SetReadDeadline(time.Now().Add(time.Duration(random.IntN(5)) * time.Millisecond))
					_, _ = io.Copy(io.Discard, conn)
				}
				_ = conn.Close()
			}
		})
	}
	group.Wait()
	close(proceed)
	is.NoErr(<-waiting)
	is.NoErr(resolveOnce(pool, address))
	is.Equal(len(ended), 0)
	is.Equal(logger.Panics(), uint64(0))
}

// resolveAs is resolveOnce with an ID.
func resolveAs(pool *Pool, address, entry string) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	conn, err := pool.Get(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Discard()
	_, err = wire.NewDRPCCallsClient(conn).Resolve(ctx, &wire.ResolveRequest{Id: &wire.CallID{Entry: entry}})
	return err
}

// TestOversizedMessage sends a message over MaxMessageBytes: the connection is closed
// before more than that is read.
func TestOversizedMessage(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	mux := drpcmux.New()
	is.NoErr(wire.DRPCRegisterCalls(mux, &calls{}))
	ended := serve(t, opened, mux, logging.Discard())
	conn, err := net.Dial("tcp", opened.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(serveTimeout)))
	frame := drpcwire.Frame{Kind: drpcwire.KindInvoke, ID: drpcwire.ID{Stream: 1, Message: 1}, Data: make([]byte, 64<<10)}
	data := drpcwire.AppendFrame(nil, frame)
	written := 0
	for written <= 2*MaxMessageBytes {
		n, err := conn.Write(data)
		written += n
		if err != nil {
			break
		}
	}
	_, err = io.Copy(io.Discard, conn)
	is.True(written <= 2*MaxMessageBytes)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // closed by the server
	is.Equal(len(ended), 0)
}

// TestBrokenConnectionIsLoggedAsMalformed checks that the log tells a connection that was reset from
// one that carried malformed bytes.
func TestBrokenConnectionIsLoggedAsMalformed(t *testing.T) {
	for name, test := range map[string]struct {
		end   func(conn *net.TCPConn) error
		event string
	}{
		"reset":     {func(conn *net.TCPConn) error { _ = conn.SetLinger(0); return conn.Close() }, `"event":412`},
		"malformed": {func(conn *net.TCPConn) error { _, err := conn.Write(make([]byte, 64)); return err }, `"event":402`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			lines := make(lineChannel, 10)
			serve(t, listener, drpcmux.New(), logging.New(lines, "info", "n"))
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(drpcwire.AppendFrame(nil, drpcwire.Frame{Kind: drpcwire.KindInvoke, ID: drpcwire.ID{Stream: 1, Message: 1}}))
			is.NoErr(err)
			is.NoErr(test.end(conn.(*net.TCPConn)))
			select {
			case line := <-lines:
				is.True(strings.Contains(line, test.event))
			case <-time.After(10 * time.Second):
				t.Fatal("nothing is logged")
			}
		})
	}
}

// lineChannel passes on the lines of a log.
type lineChannel chan string

func (c lineChannel) Write(line []byte) (int, error) {
	c <- string(line)
	return len(line), nil
}
