package calls

import (
	"context"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

// dial opens a stream on a pooled connection, or on a new one when that fails
// or is asked for.
func (a *attempt) dial(ctx context.Context, fresh bool) (*peer.Conn, wire.DRPCCalls_CallClient, error) {
	pool := a.duty.options.Pool
	if !fresh {
		conn, err := pool.Get(ctx, a.endpoint.Address)
		if err != nil {
			return nil, nil, err
		}
		if stream, err := a.openOn(ctx, conn); err == nil {
			return conn, stream, nil
		}
		conn.Discard()
	}
	conn, err := pool.Dial(ctx, a.endpoint.Address)
	if err != nil {
		return nil, nil, err
	}
	stream, err := a.openOn(ctx, conn)
	if err != nil {
		conn.Discard()
		return nil, nil, err
	}
	return conn, stream, nil
}

// openOn opens a stream on the connection. A call that must run once is sent
// only where the gate was heard a moment ago: on a path that has gone silent it
// would end with an unknown outcome.
func (a *attempt) openOn(ctx context.Context, conn *peer.Conn) (wire.DRPCCalls_CallClient, error) {
	if a.runsOnce() && !conn.UsedWithin(a.duty.options.Now(), a.duty.options.Settings.SilenceTimeout) {
		if err := a.checkPath(ctx, conn); err != nil {
			return nil, err
		}
	}
	return wire.NewDRPCCallsClient(conn).Call(ctx)
}

func (a *attempt) runsOnce() bool {
	return a.request.template != nil && !a.request.template.Idempotent
}

// checkPath asks the gate for a sign of life and drops the path's idle
// connections when none comes.
func (a *attempt) checkPath(ctx context.Context, conn *peer.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, a.duty.options.Settings.SilenceTimeout)
	defer cancel()
	_, err := wire.NewDRPCCallsClient(conn).Resolve(ctx, &wire.ResolveRequest{})
	if err == nil {
		return nil
	}
	a.duty.counters.pathsSilent.Add(1)
	a.duty.options.Logger.Event(logging.PeerConnectionsDropped).Str("gate", a.endpoint.ID).Err(err).Send()
	a.duty.options.Pool.DropIdle(a.endpoint.Address)
	return err
}
