package configuration

import (
	"context"
	"sync"

	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/ring"
)

// startWorkers starts the goroutines that wait for the platform and for peers.
// Each request ends with exactly one event.
func (d *Runner) startWorkers(ctx context.Context, workers *sync.WaitGroup) {
	start(ctx, workers, d, d.tail, d.platformRequest)
	start(ctx, workers, d, d.requests, d.platformRequest)
	start(ctx, workers, d, d.pulls, d.pullFrom)
	for range pushWorkers {
		start(ctx, workers, d, d.pushes, d.pushTo)
	}
}

func start[T spread.Action](ctx context.Context, workers *sync.WaitGroup, d *Runner, requests *ring.Ring[T], run func(context.Context, T) spread.Event) {
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
