package members

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

// exchangeFraming is an upper bound in bytes of what drpc adds to one exchange on
// an open connection. The membership benchmarks use it.
const exchangeFraming = 58

type fixedAckControl struct {
	wire.DRPCControlUnimplementedServer
	ack *wire.ProbeAck
}

func (c *fixedAckControl) Exchange(context.Context, *wire.Probe) (*wire.ProbeAck, error) {
	return c.ack, nil
}

func TestFramingOfAnExchange(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	probe := &wire.Probe{From: "fiches-web-1", FromIncarnation: 1 << 60, To: "fiches-web-2", TableDigest: 1 << 50}
	ack := &wire.ProbeAck{FromIncarnation: 1 << 60, Reached: true, Known: true, TableDigest: 1 << 50}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	mux := drpcmux.New()
	is.NoErr(wire.DRPCRegisterControl(mux, &fixedAckControl{ack: ack}))
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = peer.Serve(ctx, listener, mux, logging.Discard())
	}()
	traffic := &peer.Traffic{}
	pool := peer.NewPool(peer.PoolOptions{MaxPerAddress: 1, DialTimeout: waitTimeout, IdleTimeout: time.Minute, Traffic: traffic})
	total := func() uint64 { return traffic.Sent() + traffic.Received() }
	exchange := func() {
		conn, err := pool.Get(ctx, listener.Addr().String())
		is.NoErr(err)
		_, err = wire.NewDRPCControlClient(conn).Exchange(ctx, probe)
		is.NoErr(err)
		conn.Release()
	}
	const count = 20
	want := uint64(count * (proto.Size(probe) + proto.Size(ack) + exchangeFraming))
	for range count {
		exchange()
	}
	// The end-of-stream frame is omitted if the server's response has already ended
	// the stream, so the total may be less.
	is.True(total() <= want)
	is.True(total() >= want*9/10)
	cancel()
	pool.Close()
	<-served
}
