package peer

import (
	"context"
	"errors"
	"io"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"jasminegate/internal/logging"
)

// Serve serves drpc on the listener until ctx ends. Foreign or malformed bytes
// close their connection, are logged, and never end the server.
func Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, logger *logging.Logger) error {
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { logConnectionError(logger, err) },
	})
	return server.Serve(ctx, deadlineListener{listener})
}

func logConnectionError(logger *logging.Logger, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		return
	}
	logger.Event(logging.MalformedMessage).Err(err).Send()
}
