package peer

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
)

// numberedCalls responds to each call with its number, and counts the frames that have
// another number than the first of their call.
type numberedCalls struct {
	wire.DRPCCallsUnimplementedServer
	stray atomic.Int64
}

func (c *numberedCalls) Resolve(_ context.Context, request *wire.ResolveRequest) (*wire.ResolveAnswer, error) {
	return &wire.ResolveAnswer{Reason: request.Id.GetEntry()}, nil
}

func (c *numberedCalls) Call(stream wire.DRPCCalls_CallStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	number := string(first.Data)
	received := make(chan struct{})
	go func() {
		defer close(received)
		for {
			frame, err := stream.Recv()
			if err != nil {
				return
			}
			if string(frame.Data) != number {
				c.stray.Add(1)
			}
		}
	}()
	for range 3 {
		if err := stream.Send(&wire.AnswerFrame{Data: first.Data}); err != nil {
			return err
		}
	}
	return stream.Send(&wire.AnswerFrame{Data: first.Data, Last: true})
}

// reuseFixture is a server and a pool of one connection to it.
type reuseFixture struct {
	*is.I
	calls   *numberedCalls
	pool    *Pool
	address string
	dials   atomic.Int64
}

func newReuseFixture(t *testing.T) *reuseFixture {
	f := &reuseFixture{I: is.New(t), calls: &numberedCalls{}}
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	f.NoErr(err)
	mux := drpcmux.New()
	f.NoErr(wire.DRPCRegisterCalls(mux, f.calls))
	serve(t, opened, mux, logging.Discard())
	f.address = opened.Addr().String()
	dial := DialFrom("")
	f.pool = NewPool(PoolOptions{MaxPerAddress: 1, DialTimeout: serveTimeout, IdleTimeout: serveTimeout, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		f.dials.Add(1)
		return dial(ctx, address)
	}})
	t.Cleanup(f.pool.Close)
	return f
}

// number returns the bytes of a call's number, which are no valid frame of their own.
func number(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i+1) }

// callOnce makes one call as an entry does. A goroutine sends a further frame at any
// moment, also while the call ends. The connection is released if the response was
// complete and the stream could be closed. It returns the numbers received.
func (f *reuseFixture) callOnce(ctx context.Context, i uint64, random *rand.Rand) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := f.pool.Get(context.Background(), f.address)
	if err != nil {
		return nil, err
	}
	stream, err := wire.NewDRPCCallsClient(conn).Call(ctx)
	if err != nil {
		conn.Discard()
		return nil, err
	}
	if err := stream.Send(&wire.CallFrame{Data: number(i)}); err != nil {
		conn.Discard()
		return nil, err
	}
	var sender sync.WaitGroup
	defer sender.Wait()
	delay := time.Duration(random.IntN(120)) * time.Microsecond
	sender.Go(func() {
		time.Sleep(delay)
		_ = stream.Send(&wire.CallFrame{Data: number(i), Recall: true})
	})
	var received []string
	for {
		frame, err := stream.Recv()
		if err != nil {
			conn.Discard()
			return received, err
		}
		received = append(received, string(frame.Data))
		if frame.Last {
			break
		}
	}
	reuse := ctx.Err() == nil && stream.Close() == nil
	cancel()
	if reuse {
		conn.Release()
	} else {
		conn.Discard()
	}
	return received, nil
}

// TestCancelOfEarlierCallSparesNext cancels calls at any moment, also while they end, and
// makes another call on the connection if it was released. That call is not cancelled,
// fails never and gets only frames of its own; its gate gets only its own frames.
func TestCancelOfEarlierCallSparesNext(t *testing.T) {
	f := newReuseFixture(t)
	random := rand.New(rand.NewPCG(1, 2))
	const rounds = 3000
	completed := 0
	for i := range uint64(rounds) {
		ctx, cancel := context.WithCancel(context.Background())
		timer := time.AfterFunc(time.Duration(random.IntN(400))*time.Microsecond, cancel)
		received, err := f.callOnce(ctx, 2*i, random)
		if err == nil {
			completed++
		}
		checkNumbers(t, received, 2*i)
		received, err = f.callOnce(context.Background(), 2*i+1, random)
		timer.Stop()
		cancel()
		if err != nil {
			t.Fatalf("round %d: a call that nobody cancelled failed: %v", i, err)
		}
		checkNumbers(t, received, 2*i+1)
		f.Equal(len(received), 4)
	}
	t.Logf("%d of %d cancelled calls completed, %d connections", completed, rounds, f.dials.Load())
	f.True(completed > 0 && completed < rounds) // some cancels came before, some after the end
	f.Equal(f.calls.stray.Load(), int64(0))
}

func checkNumbers(t *testing.T, received []string, i uint64) {
	t.Helper()
	for _, got := range received {
		if got != string(number(i)) {
			t.Fatalf("call %d received a frame of another call: %x", i, got)
		}
	}
}
