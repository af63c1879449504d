package platformlog

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// ReadAttempts is how many times a read is sent at most.
const ReadAttempts = 4

// Hedge sends a read again, on a new connection, while its response has not begun in time, and
// goes on with the earlier attempts: a connection that has gone silent delivers no response any
// more, one to a slow log delivers it late. The attempt whose response begins first wins (Dean,
// Barroso: "The Tail at Scale", 2013).
type Hedge struct {
	// Timeout is the time without a response after which the read is sent again.
	Timeout time.Duration
	// Wait is how long the log may wait for a record. Only the first attempt waits.
	Wait time.Duration
	// BeforeRetry is called before each further attempt.
	BeforeRetry func()
}

// attempt is one attempt of a hedged read. The result is set when done is closed.
type attempt[T any] struct {
	cancel context.CancelFunc
	done   chan struct{}
	result T
	err    error
}

// ReadHedged performs a read. In send, the log may wait for a record for the given wait, and the
// response has to begin within limit. ReadHedged fails like the attempt whose response begins or
// that ends first.
func ReadHedged[T any](ctx context.Context, hedge Hedge, send func(ctx context.Context, wait, limit time.Duration) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := make(chan *attempt[T], 2*ReadAttempts)
	attempts := []*attempt[T]{startAttempt(ctx, first, func(ctx context.Context) (T, error) {
		return send(ctx, hedge.Wait, hedge.Wait+ReadAttempts*hedge.Timeout)
	})}
	overdue := time.NewTimer(hedge.Wait + hedge.Timeout)
	defer overdue.Stop()
	for {
		select {
		case winner := <-first:
			for _, other := range attempts {
				if other != winner {
					other.cancel()
				}
			}
			<-winner.done
			return winner.result, winner.err
		case <-overdue.C:
			limit := time.Duration(ReadAttempts-len(attempts)) * hedge.Timeout
			if limit == 0 {
				continue // all attempts reach their limits now
			}
			hedge.BeforeRetry()
			attempts = append(attempts, startAttempt(ctx, first, func(ctx context.Context) (T, error) { return send(ctx, 0, limit) }))
			overdue.Reset(hedge.Timeout)
		}
	}
}

// startAttempt starts an attempt, which is sent to first when its response begins and when it ends.
func startAttempt[T any](ctx context.Context, first chan<- *attempt[T], send func(context.Context) (T, error)) *attempt[T] {
	a := &attempt[T]{done: make(chan struct{})}
	ctx, a.cancel = context.WithCancel(ctx)
	var begin sync.Once
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		begin.Do(func() { first <- a })
	}})
	go func() {
		defer a.cancel()
		a.result, a.err = send(ctx)
		close(a.done)
		first <- a
	}()
	return a
}
