package calls

import (
	"context"
	"io"

	"jasminegate/internal/protocol/wire"
)

// serverStream is the gate's end of a call.
type serverStream interface {
	Context() context.Context
	Recv() (*wire.CallFrame, error)
	Send(*wire.AnswerFrame) error
}

// clientStream is the entry's end of a call.
type clientStream interface {
	Send(*wire.CallFrame) error
	Recv() (*wire.AnswerFrame, error)
	// Close ends the call. Its connection may be reused if the whole response was
	// received.
	Close() error
}

// localPipeFrames is how many frames each direction of a localPipe buffers.
const localPipeFrames = 4

// localPipe connects the entry and the gate of one node without a network
// connection.
type localPipe struct {
	ctx     context.Context
	cancel  context.CancelFunc
	toGate  chan *wire.CallFrame
	toEntry chan *wire.AnswerFrame
	// served is closed when the gate has finished the call.
	served chan struct{}
}

func newLocalPipe(ctx context.Context) *localPipe {
	ctx, cancel := context.WithCancel(ctx)
	return &localPipe{
		ctx:     ctx,
		cancel:  cancel,
		toGate:  make(chan *wire.CallFrame, localPipeFrames),
		toEntry: make(chan *wire.AnswerFrame, localPipeFrames),
		served:  make(chan struct{}),
	}
}

// localClient is the entry's end of a localPipe.
type localClient struct{ pipe *localPipe }

// Send sends a frame to the gate.
func (c localClient) Send(frame *wire.CallFrame) error {
	select {
	case c.pipe.toGate <- frame:
		return nil
	case <-c.pipe.ctx.Done():
		return c.pipe.ctx.Err()
	}
}

// Recv returns the gate's next frame, or io.EOF after the last.
func (c localClient) Recv() (*wire.AnswerFrame, error) {
	select {
	case frame := <-c.pipe.toEntry:
		return frame, nil
	case <-c.pipe.ctx.Done():
		return nil, c.pipe.ctx.Err()
	case <-c.pipe.served:
	}
	select {
	case frame := <-c.pipe.toEntry:
		return frame, nil
	default:
		return nil, io.EOF
	}
}

// Close ends the call.
func (c localClient) Close() error {
	c.pipe.cancel()
	return nil
}

// localServer is the gate's end of a localPipe.
type localServer struct{ pipe *localPipe }

// Context ends with the call.
func (s localServer) Context() context.Context { return s.pipe.ctx }

// Recv returns the entry's next frame. A frame sent before the end of the call
// can still be received after it.
func (s localServer) Recv() (*wire.CallFrame, error) {
	select {
	case frame := <-s.pipe.toGate:
		return frame, nil
	default:
	}
	select {
	case frame := <-s.pipe.toGate:
		return frame, nil
	case <-s.pipe.ctx.Done():
		return nil, s.pipe.ctx.Err()
	}
}

// Send sends a frame to the entry.
func (s localServer) Send(frame *wire.AnswerFrame) error {
	select {
	case s.pipe.toEntry <- frame:
		return nil
	case <-s.pipe.ctx.Done():
		return s.pipe.ctx.Err()
	}
}

// openLocal starts a call at this node's own gate.
func (r *Runner) openLocal(ctx context.Context) clientStream {
	pipe := newLocalPipe(ctx)
	go func() {
		defer close(pipe.served)
		defer r.recoverCall("call at the own gate", func() {})
		_ = r.serveStream(localServer{pipe})
	}()
	return localClient{pipe}
}
