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

	// ErrOverloaded says that the event queue is full.
	ErrOverloaded = errorx.NewType(Errors, "overloaded")
)

// Exchange responds to a probe from another node. It fails with ErrOverloaded if
// the event queue is full.
func (d *Runner) Exchange(ctx context.Context, probe *wire.Probe) (*wire.ProbeAck, error) {
	token, reply := d.replies.open()
	defer d.replies.close(token)
	event := membership.ProbeReceived{Token: token, Probe: ProbeFromWire(probe)}
	if !d.events.TryPush(event) {
		return nil, ErrOverloaded.New("%d events are queued: probe again later", eventCapacity)
	}
	select {
	case ack := <-reply:
		return AckToWire(ack, probe.GetTo()), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.done:
		return nil, context.Canceled
	}
}

// sendProbe sends the probe in a goroutine, or fails it at once if
// maxProbesInFlight are in flight.
func (d *Runner) sendProbe(ctx context.Context, action membership.SendProbe) {
	select {
	case d.probeSlots <- struct{}{}:
	default:
		d.events.TryPush(membership.ProbeFailed{Token: action.Token})
		return
	}
	go func() {
		defer func() { <-d.probeSlots }()
		d.events.Push(d.probe(ctx, action), d.done)
	}()
}

func (d *Runner) probe(ctx context.Context, action membership.SendProbe) membership.Event {
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	conn, err := d.options.Pool.Get(ctx, action.Address)
	if err != nil {
		return membership.ProbeFailed{Token: action.Token}
	}
	ack, err := wire.NewDRPCControlClient(conn).Exchange(ctx, ProbeToWire(action.Probe))
	if err != nil {
		d.discardConnections(conn, action.Address)
		return membership.ProbeFailed{Token: action.Token}
	}
	conn.Release()
	return membership.AckReceived{Token: action.Token, Ack: AckFromWire(ack, action.Probe.To)}
}

// discardConnections closes a failed connection and the idle connections to the
// same address.
func (d *Runner) discardConnections(conn *peer.Conn, address string) {
	conn.Discard()
	d.options.Pool.DropIdle(address)
}
