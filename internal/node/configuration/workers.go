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
	startWorker(ctx, workers, r, r.logReads, r.platformRequest)
	startWorker(ctx, workers, r, r.otherRequests, r.platformRequest)
	startWorker(ctx, workers, r, r.pulls, r.pullFrom)
	for range pushWorkers {
		startWorker(ctx, workers, r, r.pushes, r.pushTo)
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
