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

// busyRetryDelay is the retry delay returned to a pull when the message queue is
// full.
const busyRetryDelay = time.Second

// errBusy is returned when the message queue is full. It is also the error of the
// connection pool at its limit for an address.
var errBusy = peer.ErrBusy

// Push handles an update sent by another node and returns the newest accepted
// version that this node then has, installed or not. It fails when the update
// cannot be decoded, the message queue is full or ctx ends.
func (r *Runner) Push(ctx context.Context, update *wire.CompressedUpdate) (*wire.PushAck, error) {
	decoded, err := codec.Decode(update)
	if err != nil {
		r.stats.updatesRefused.Add(1)
		r.options.Logger.Event(logging.UpdateRefused).Err(err).Send()
		return nil, err
	}
	response, err := r.submit(ctx, spread.PushReceived{Update: decoded})
	if err != nil {
		return nil, err
	}
	r.stats.pushesReceived.Add(1)
	return &wire.PushAck{Version: codec.VersionToProto(response.(spread.RespondToPush).Version)}, nil
}

// Pull returns the changes that another node lacks, or the delay after which it
// is to retry.
func (r *Runner) Pull(ctx context.Context, request *wire.PullRequest) (*wire.PullAnswer, error) {
	action, err := r.submit(ctx, spread.PullReceived{From: codec.VersionFromProto(request.GetFrom())})
	if err != nil {
		return retryAfter(busyRetryDelay), nil
	}
	response := action.(spread.RespondToPull).Response
	if response.RetryAfter > 0 {
		r.stats.pullsRefused.Add(1)
		return retryAfter(response.RetryAfter), nil
	}
	r.stats.pullsServed.Add(1)
	update, err := r.encodePullUpdate(response.Update)
	if err != nil {
		return nil, err
	}
	return &wire.PullAnswer{Update: update}, nil
}

// encodePullUpdate encodes an update for a pull. The encoding of a full update is
// cached, since many nodes may pull the same one at once.
func (r *Runner) encodePullUpdate(update acceptance.Update) (*wire.CompressedUpdate, error) {
	if update.Full() {
		return r.fullCache.get(update)
	}
	return codec.Encode(update)
}

func retryAfter(delay time.Duration) *wire.PullAnswer {
	return &wire.PullAnswer{RetryAfterMs: uint32(max(delay.Milliseconds(), 1))}
}

// submit passes a peer's request to the runner's goroutine and waits for the
// response.
func (r *Runner) submit(ctx context.Context, event spread.Event) (spread.Action, error) {
	reply := make(chan spread.Action, 1)
	if !r.messages.TryPush(message{event: event, reply: reply}) {
		return nil, errBusy.New("the configuration runner has %d messages queued: try again later", messageCapacity)
	}
	select {
	case action := <-reply:
		return action, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pushTo sends one update to a peer.
func (r *Runner) pushTo(ctx context.Context, push spread.PushUpdate) spread.Event {
	failed := spread.PushDone{PeerID: push.Peer.ID, Failed: true}
	update, err := r.pushCache.get(push.Update)
	if err != nil {
		r.options.Logger.Event(logging.UpdateRefused).Err(err).Send()
		return failed
	}
	var ack *wire.PushAck
	err = r.callPeer(ctx, push.Peer.ControlAddress, pushTimeoutFor(len(update.GetData())), func(ctx context.Context, conn drpc.Conn) (err error) {
		ack, err = wire.NewDRPCControlClient(conn).Push(ctx, update)
		return err
	})
	r.stats.pushesSent.Add(1)
	if err != nil {
		r.stats.pushesFailed.Add(1)
		return failed
	}
	return spread.PushDone{PeerID: push.Peer.ID, Version: codec.VersionFromProto(ack.GetVersion())}
}

// pullFrom requests from one peer the changes that this node lacks.
func (r *Runner) pullFrom(ctx context.Context, pull spread.PullUpdate) spread.Event {
	failed := spread.PullDone{PeerID: pull.Peer.ID, Failed: true}
	request := &wire.PullRequest{Requester: r.options.Self.ID, From: codec.VersionToProto(pull.From)}
	var response *wire.PullAnswer
	err := r.callPeer(ctx, pull.Peer.ControlAddress, pullTimeoutAfter(pull.Failures), func(ctx context.Context, conn drpc.Conn) (err error) {
		response, err = wire.NewDRPCControlClient(conn).Pull(ctx, request)
		return err
	})
	r.stats.pullsSent.Add(1)
	if err != nil {
		return failed
	}
	if response.GetRetryAfterMs() > 0 {
		delay := time.Duration(response.GetRetryAfterMs()) * time.Millisecond
		return spread.PullDone{PeerID: pull.Peer.ID, Response: spread.PullResponse{RetryAfter: delay}}
	}
	update, err := codec.Decode(response.GetUpdate())
	if err != nil {
		r.options.Logger.Event(logging.UpdateRefused).Str("peer", pull.Peer.ID).Err(err).Send()
		return failed
	}
	return spread.PullDone{PeerID: pull.Peer.ID, Response: spread.PullResponse{Update: update}}
}

// pushTimeoutFor returns the timeout of a push of the given size in bytes.
func pushTimeoutFor(size int) time.Duration {
	return pushTimeout + time.Duration(size)*time.Second/minPeerBytesPerS
}

// pullTimeoutAfter returns the timeout of a pull after so many that failed in a row.
func pullTimeoutAfter(failures int) time.Duration {
	timeout := pullTimeout
	for range failures {
		timeout = min(2*timeout, maxPullTimeout)
	}
	return timeout
}

// callPeer runs one request over a pooled connection. After a failure it also
// closes the idle connections to the address, since they share the network path.
func (r *Runner) callPeer(ctx context.Context, address string, timeout time.Duration, run func(context.Context, drpc.Conn) error) error {
	if r.options.Pool == nil {
		return peer.ErrUnreachable.New("%s: no connection pool is configured: set Options.Pool", address)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := r.options.Pool.Get(ctx, address)
	if err != nil {
		return err
	}
	if err := run(ctx, conn); err != nil {
		conn.Discard()
		r.options.Pool.DropIdle(address)
		return err
	}
	conn.Release()
	return nil
}

// updateCache caches the encoding of one update, since the same update is sent
// to several peers. It is safe for concurrent use.
type updateCache struct {
	mu      sync.Mutex
	update  acceptance.Update
	message *wire.CompressedUpdate
}

func (c *updateCache) get(update acceptance.Update) (*wire.CompressedUpdate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	same := c.update.From == update.From && c.update.To == update.To && c.update.NextOffset == update.NextOffset
	if c.message != nil && same {
		return c.message, nil
	}
	message, err := codec.Encode(update)
	if err != nil {
		return nil, err
	}
	c.update, c.message = update, message
	return message, nil
}
