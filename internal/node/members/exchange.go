package members

import (
	"context"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

// Errors of the duty.
var (
	Errors = errorx.NewNamespace("members")

	// ErrOverloaded says that too many events wait for the machine.
	ErrOverloaded = errorx.NewType(Errors, "overloaded")
)

// Exchange answers a probe from another node. It fails with ErrOverloaded when
// too many wait.
func (d *Runner) Exchange(ctx context.Context, probe *wire.Probe) (*wire.ProbeAck, error) {
	token, answer := d.replies.open()
	defer d.replies.close(token)
	event := membership.ProbeReceived{Token: token, Probe: ProbeFromWire(probe)}
	if !d.events.TryPush(event) {
		return nil, ErrOverloaded.New("%d events wait: probe again later", eventCapacity)
	}
	select {
	case ack := <-answer:
		return AckToWire(ack, probe.GetTo()), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.done:
		return nil, context.Canceled
	}
}

// sendProbe starts the probe, or fails it at once when too many are under way.
func (d *Runner) sendProbe(ctx context.Context, action membership.SendProbe) {
	select {
	case d.probes <- struct{}{}:
	default:
		d.events.TryPush(membership.ProbeFailed{Token: action.Token})
		return
	}
	go func() {
		defer func() { <-d.probes }()
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
		d.drop(conn, action.Address)
		return membership.ProbeFailed{Token: action.Token}
	}
	conn.Release()
	return membership.AckReceived{Token: action.Token, Ack: AckFromWire(ack, action.Probe.To)}
}

// drop closes a connection that failed, and its idle siblings with it.
func (d *Runner) drop(conn *peer.Conn, address string) {
	conn.Discard()
	d.options.Pool.DropIdle(address)
}
