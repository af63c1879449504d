package calls

import (
	"context"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

// dial opens a stream on a pooled connection. It opens a new connection if that
// fails or newConnection is set.
func (a *attempt) dial(ctx context.Context, newConnection bool) (*peer.Conn, wire.DRPCCalls_CallClient, error) {
	pool := a.runner.options.Pool
	if !newConnection {
		conn, err := pool.Get(ctx, a.endpoint.Address)
		if err != nil {
			return nil, nil, err
		}
		if stream, err := a.openStream(ctx, conn); err == nil {
			return conn, stream, nil
		}
		conn.Discard()
	}
	conn, err := pool.Dial(ctx, a.endpoint.Address)
	if err != nil {
		return nil, nil, err
	}
	stream, err := a.openStream(ctx, conn)
	if err != nil {
		conn.Discard()
		return nil, nil, err
	}
	return conn, stream, nil
}

// openStream opens a stream on the connection. For a non-idempotent call, it
// first checks a connection without recent activity: on a connection that no
// longer responds, the outcome of the call would be unknown.
func (a *attempt) openStream(ctx context.Context, conn *peer.Conn) (wire.DRPCCalls_CallClient, error) {
	if a.isNonIdempotent() && !conn.UsedWithin(a.runner.options.Now(), a.runner.options.Settings.SilenceTimeout) {
		if err := a.checkConnection(ctx, conn); err != nil {
			return nil, err
		}
	}
	return wire.NewDRPCCallsClient(conn).Call(ctx)
}

func (a *attempt) isNonIdempotent() bool {
	return a.request.template != nil && !a.request.template.Idempotent
}

// checkConnection sends a health check to the gate, and closes the idle
// connections to it if the check fails. The error is errSilent if there was no response.
func (a *attempt) checkConnection(ctx context.Context, conn *peer.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, a.runner.options.Settings.SilenceTimeout)
	defer cancel()
	_, err := wire.NewDRPCCallsClient(conn).Resolve(ctx, &wire.ResolveRequest{})
	if err == nil {
		return nil
	}
	a.runner.counters.connectionsLost.Add(1)
	a.runner.options.Logger.Event(logging.PeerConnectionsDropped).Str("gate", a.endpoint.ID).Err(err).Send()
	a.runner.options.Pool.DropIdle(a.endpoint.Address)
	if ctx.Err() != nil {
		return errSilent.Wrap(err, "gate %s did not respond to a health check within the silence timeout", a.endpoint.ID)
	}
	return err
}
