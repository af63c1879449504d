package configuration

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/codec"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/peer"
)

// busyRetry is told to a pull that finds the duty's ring full.
const busyRetry = time.Second

// errBusy says that the duty has too much to do for another push.
var errBusy = peer.ErrBusy

// Push takes an update from another node and answers with the version held. It
// fails when the update cannot be decoded or the duty's ring is full.
func (d *Runner) Push(ctx context.Context, update *wire.CompressedUpdate) (*wire.PushAck, error) {
	decoded, err := codec.Decode(update)
	if err != nil {
		d.stats.updatesRefused.Add(1)
		d.options.Logger.Event(logging.UpdateRefused).Err(err).Send()
		return nil, err
	}
	answer, err := d.ask(ctx, spread.PushReceived{Update: decoded})
	if err != nil {
		return nil, err
	}
	d.stats.pushesReceived.Add(1)
	return &wire.PushAck{Version: codec.Version(answer.(spread.AnswerPush).Version)}, nil
}

// Pull answers another node's request for what it lacks, or says when to come
// back.
func (d *Runner) Pull(ctx context.Context, request *wire.PullRequest) (*wire.PullAnswer, error) {
	action, err := d.ask(ctx, spread.PullReceived{From: codec.VersionOf(request.GetFrom())})
	if err != nil {
		return retryAfter(busyRetry), nil
	}
	answer := action.(spread.AnswerPull).Answer
	if answer.RetryAfter > 0 {
		d.stats.pullsRefused.Add(1)
		return retryAfter(answer.RetryAfter), nil
	}
	d.stats.pullsServed.Add(1)
	update, err := d.encodePulled(answer.Update)
	if err != nil {
		return nil, err
	}
	return &wire.PullAnswer{Update: update}, nil
}

// encodePulled encodes a whole state only once for a herd that asks for it.
func (d *Runner) encodePulled(update acceptance.Update) (*wire.CompressedUpdate, error) {
	if update.Full() {
		return d.whole.get(update)
	}
	return codec.Encode(update)
}

func retryAfter(delay time.Duration) *wire.PullAnswer {
	return &wire.PullAnswer{RetryAfterMs: uint32(max(delay.Milliseconds(), 1))}
}

// ask gives a peer's request to the duty's goroutine and waits for the answer.
func (d *Runner) ask(ctx context.Context, event spread.Event) (spread.Action, error) {
	reply := make(chan spread.Action, 1)
	if !d.messages.TryPush(message{event: event, reply: reply}) {
		return nil, errBusy.New("the configuration duty has %d messages waiting: try again later", messageCapacity)
	}
	select {
	case action := <-reply:
		return action, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pushTo sends one update to a peer.
func (d *Runner) pushTo(ctx context.Context, push spread.PushUpdate) spread.Event {
	failed := spread.PushDone{PeerID: push.Peer.ID, Failed: true}
	update, err := d.pushed.get(push.Update)
	if err != nil {
		d.options.Logger.Event(logging.UpdateRefused).Err(err).Send()
		return failed
	}
	var ack *wire.PushAck
	err = d.call(ctx, push.Peer.ControlAddress, pushTimeout, func(ctx context.Context, conn drpc.Conn) (err error) {
		ack, err = wire.NewDRPCControlClient(conn).Push(ctx, update)
		return err
	})
	d.stats.pushesSent.Add(1)
	if err != nil {
		d.stats.pushesFailed.Add(1)
		return failed
	}
	return spread.PushDone{PeerID: push.Peer.ID, Version: codec.VersionOf(ack.GetVersion())}
}

// pullFrom asks one peer for what this node lacks.
func (d *Runner) pullFrom(ctx context.Context, pull spread.PullUpdate) spread.Event {
	failed := spread.PullDone{PeerID: pull.Peer.ID, Failed: true}
	request := &wire.PullRequest{Requester: d.options.Self.ID, From: codec.Version(pull.From)}
	var answer *wire.PullAnswer
	err := d.call(ctx, pull.Peer.ControlAddress, pullTimeout, func(ctx context.Context, conn drpc.Conn) (err error) {
		answer, err = wire.NewDRPCControlClient(conn).Pull(ctx, request)
		return err
	})
	d.stats.pullsSent.Add(1)
	if err != nil {
		return failed
	}
	if answer.GetRetryAfterMs() > 0 {
		delay := time.Duration(answer.GetRetryAfterMs()) * time.Millisecond
		return spread.PullDone{PeerID: pull.Peer.ID, Answer: spread.PullAnswer{RetryAfter: delay}}
	}
	update, err := codec.Decode(answer.GetUpdate())
	if err != nil {
		d.options.Logger.Event(logging.UpdateRefused).Str("peer", pull.Peer.ID).Err(err).Send()
		return failed
	}
	return spread.PullDone{PeerID: pull.Peer.ID, Answer: spread.PullAnswer{Update: update}}
}

// call runs one request over a pooled connection. After a failure the idle
// connections to the address go too, since they share its path.
func (d *Runner) call(ctx context.Context, address string, timeout time.Duration, run func(context.Context, drpc.Conn) error) error {
	if d.options.Pool == nil {
		return peer.ErrUnreachable.New("%s: this node has no connections to others: give it a pool", address)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := d.options.Pool.Get(ctx, address)
	if err != nil {
		return err
	}
	if err := run(ctx, conn); err != nil {
		conn.Discard()
		d.options.Pool.DropIdle(address)
		return err
	}
	conn.Release()
	return nil
}

// encodedUpdate keeps the newest encoded update, since one update goes to
// several peers. It is safe for concurrent use.
type encodedUpdate struct {
	mu      sync.Mutex
	update  acceptance.Update
	message *wire.CompressedUpdate
}

func (e *encodedUpdate) get(update acceptance.Update) (*wire.CompressedUpdate, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := e.update.From == update.From && e.update.To == update.To && e.update.NextOffset == update.NextOffset
	if e.message != nil && same {
		return e.message, nil
	}
	message, err := codec.Encode(update)
	if err != nil {
		return nil, err
	}
	e.update, e.message = update, message
	return message, nil
}
