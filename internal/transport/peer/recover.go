package peer

import (
	"github.com/joomcode/errorx"
	"storj.io/drpc"

	"jasminegate/internal/logging"
)

// ErrPanicked means that the handler of a call panicked. What became of the call is
// unknown.
var ErrPanicked = errorx.NewType(Errors, "panicked")

// recoveringHandler ends a call whose handler panics with ErrPanicked. drpcserver
// recovers no panic: one would end the process, and with it every call.
type recoveringHandler struct {
	drpc.Handler
	logger *logging.Logger
}

// HandleRPC implements drpc.Handler.
func (h recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if value := recover(); value != nil {
			h.logger.Panicked(rpc, value)
			err = ErrPanicked.New("%s: %v: look for event %d in the node's log", rpc, value, logging.PanicRecovered.Code)
		}
	}()
	return h.Handler.HandleRPC(stream, rpc)
}
