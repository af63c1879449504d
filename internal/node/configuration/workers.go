package configuration

import (
	"context"
	"sync"

	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/ring"
)

// startWorkers starts the goroutines that perform requests to the platform and to
// peers. Each request results in exactly one event.
func (r *Runner) startWorkers(ctx context.Context, workers *sync.WaitGroup) {
	platformFailed := func(request spread.Action) spread.Event {
		return spread.PlatformFailed{Request: request, Reason: "the request failed by a fault of the program"}
	}
	pullFailed := func(pull spread.PullUpdate) spread.Event { return spread.PullDone{PeerID: pull.Peer.ID, Failed: true} }
	pushFailed := func(push spread.PushUpdate) spread.Event { return spread.PushDone{PeerID: push.Peer.ID, Failed: true} }
	startWorker(ctx, workers, r, r.logReads, recovering(r, r.platformRequest, platformFailed))
	startWorker(ctx, workers, r, r.otherRequests, recovering(r, r.platformRequest, platformFailed))
	startWorker(ctx, workers, r, r.pulls, recovering(r, r.pullFrom, pullFailed))
	for range pushWorkers {
		startWorker(ctx, workers, r, r.pushes, recovering(r, r.pushTo, pushFailed))
	}
}

// recovering returns run for a worker: a panic fails the request that met it.
func recovering[T spread.Action](r *Runner, run func(context.Context, T) spread.Event, failed func(T) spread.Event) func(context.Context, T) spread.Event {
	return func(ctx context.Context, request T) (event spread.Event) {
		defer func() {
			if value := recover(); value != nil {
				r.options.Logger.Panicked("request of the configuration", value)
				event = failed(request)
			}
		}()
		return run(ctx, request)
	}
}

func startWorker[T spread.Action](ctx context.Context, workers *sync.WaitGroup, r *Runner, requests *ring.Ring[T], run func(context.Context, T) spread.Event) {
	workers.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case request := <-requests.Items():
				r.messages.Push(message{event: run(ctx, request)}, ctx.Done())
			}
		}
	})
}
