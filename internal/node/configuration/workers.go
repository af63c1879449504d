package configuration

import (
	"context"
	"sync"

	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/ring"
)

// startWorkers starts the goroutines that perform requests to the platform and to
// peers. Each request results in exactly one event.
func (d *Runner) startWorkers(ctx context.Context, workers *sync.WaitGroup) {
	startWorker(ctx, workers, d, d.logReads, d.platformRequest)
	startWorker(ctx, workers, d, d.otherRequests, d.platformRequest)
	startWorker(ctx, workers, d, d.pulls, d.pullFrom)
	for range pushWorkers {
		startWorker(ctx, workers, d, d.pushes, d.pushTo)
	}
}

func startWorker[T spread.Action](ctx context.Context, workers *sync.WaitGroup, d *Runner, requests *ring.Ring[T], run func(context.Context, T) spread.Event) {
	workers.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case request := <-requests.Items():
				d.messages.Push(message{event: run(ctx, request)}, ctx.Done())
			}
		}
	})
}
