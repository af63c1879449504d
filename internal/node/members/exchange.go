package members

import (
	"context"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

// Errors of the runner.
var (
	Errors = errorx.NewNamespace("members")

	// ErrOverloaded means that the event queue is full. The configuration runner
	// reports the same condition of its own queue as peer.ErrBusy.
	ErrOverloaded = errorx.NewType(Errors, "overloaded")

	errRecordKey = errorx.NewType(Errors, "record_key")
)

// Exchange responds to a probe from another node. It fails with ErrOverloaded if
// the event queue is full.
func (r *Runner) Exchange(ctx context.Context, probe *wire.Probe) (*wire.ProbeAck, error) {
	token, reply := r.replies.open()
	defer r.replies.close(token)
	event := membership.ProbeReceived{Token: token, Probe: ProbeFromWire(probe)}
	if !r.events.TryPush(event) {
		return nil, ErrOverloaded.New("%d events are queued: probe again later", eventCapacity)
	}
	select {
	case ack := <-reply:
		return AckToWire(ack, probe.GetTo()), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, context.Canceled
	}
}

// sendProbe sends the probe in a goroutine, or fails it at once if
// maxProbesInFlight are in flight.
func (r *Runner) sendProbe(ctx context.Context, action membership.SendProbe) {
	select {
	case r.probeSlots <- struct{}{}:
	default:
		r.events.TryPush(membership.ProbeFailed{Token: action.Token})
		return
	}
	go func() {
		defer func() { <-r.probeSlots }()
		r.events.Push(r.probe(ctx, action), r.done)
	}()
}

func (r *Runner) probe(ctx context.Context, action membership.SendProbe) (result membership.Event) {
	defer func() {
		if value := recover(); value != nil {
			r.options.Logger.Panicked("probe", value)
			result = membership.ProbeFailed{Token: action.Token}
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	conn, err := r.options.Pool.Get(ctx, action.Address)
	if err != nil {
		return membership.ProbeFailed{Token: action.Token}
	}
	ack, err := wire.NewDRPCControlClient(conn).Exchange(ctx, ProbeToWire(action.Probe))
	if err != nil {
		r.discardConnections(conn, action.Address)
		return membership.ProbeFailed{Token: action.Token}
	}
	conn.Release()
	return membership.AckReceived{Token: action.Token, Ack: AckFromWire(ack, action.Probe.To)}
}

// discardConnections closes a failed connection and the idle connections to the
// same address.
func (r *Runner) discardConnections(conn *peer.Conn, address string) {
	conn.Discard()
	r.options.Pool.DropIdle(address)
}
