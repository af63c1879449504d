package calls

import (
	"context"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/protocol/wire"
)

// Resolve returns the outcome of a call. A call that was not started is fenced:
// it never runs. A request without an ID is a health check of the connection;
// entries send no other, and resolve by Call with CallStart.fetch.
func (r *Runner) Resolve(ctx context.Context, request *wire.ResolveRequest) (*wire.ResolveAnswer, error) {
	if request.Id == nil {
		return &wire.ResolveAnswer{}, nil
	}
	found := r.gate.resolve(ctx, gate.Resolve{ID: fromWireID(request.Id), GateIncarnation: request.GateIncarnation})
	return &wire.ResolveAnswer{Outcome: uint32(found.outcome)}, nil
}

// Claim responds to another gate's request about an idempotency key.
func (r *Runner) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimAnswer, error) {
	return r.keyed.serve(ctx, request)
}

const (
	// fetchedRoute stands for the route of a call whose response is fetched.
	fetchedRoute = ""
	// maxFetchTime is longer than any response waits for the link: a fetch is never refused
	// for lack of room.
	maxFetchTime = time.Hour
)

// serveFetch sends the response of an earlier call, or its outcome if there is
// no response.
func (r *Runner) serveFetch(stream serverStream, start *wire.CallStart) error {
	id := fromWireID(start.Id)
	found := r.gate.resolve(stream.Context(), gate.Resolve{ID: id, GateIncarnation: start.GateIncarnation, Fetch: true})
	if found.response == nil || (found.outcome != call.Running && found.outcome != call.Done) {
		return stream.Send(r.refusalFrame(found.outcome, call.ReasonConnectionLost, 0))
	}
	go r.watchFetch(stream, id)
	heartbeat := time.NewTicker(r.options.Settings.SilenceTimeout / heartbeatsPerSilence)
	defer heartbeat.Stop()
	use := r.linkUseOf(stream, fetchedRoute, maxFetchTime)
	defer use.end()
	return r.sendResponse(stream, found.response, heartbeat, use)
}

// watchFetch reports to the gate machine that the entry which fetches the response has
// cancelled the call or lost its connection.
func (r *Runner) watchFetch(stream serverStream, id call.ID) {
	defer r.recoverCall("frames of an entry", func() { r.gate.notify(gate.Disconnected{ID: id}) })
	for {
		frame, err := stream.Recv()
		if err != nil {
			r.gate.notify(gate.Disconnected{ID: id})
			return
		}
		if frame.Cancel {
			r.gate.notify(gate.Cancelled{ID: id})
		}
	}
}
