package peer

import (
	"context"
	"errors"
	"io"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"jasminegate/internal/logging"
	"jasminegate/internal/transport/accept"
)

// Serve serves drpc on the listener until ctx ends. A connection that sends
// malformed data is closed and the error logged; the server continues, also after
// errors of accept (see accept.Retry) and panics of the handler.
func Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, logger *logging.Logger) error {
	server := drpcserver.NewWithOptions(recoveringHandler{handler, logger}, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { logConnectionError(logger, err) },
	})
	return server.Serve(ctx, deadlineListener{accept.Retry(listener, logger)})
}

func logConnectionError(logger *logging.Logger, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		return
	}
	if connectionBroke(err) {
		logger.Event(logging.PeerConnectionBroken).Err(err).Send()
		return
	}
	logger.Event(logging.MalformedMessage).Err(err).Send()
}

// connectionBroke reports whether the error is of the connection itself, and not of what it carried.
func connectionBroke(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) || errors.Is(err, io.ErrUnexpectedEOF)
}
