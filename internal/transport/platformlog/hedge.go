package platformlog

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/logging"
)

// ReadAttempts is how many times a read is sent at most.
const ReadAttempts = 4

// ResponseLimit returns how long a response may take to begin, beyond the wait of a read, with the timeout
// of one request. Writes have as long, and are sent once.
func ResponseLimit(timeout time.Duration) time.Duration { return ReadAttempts * timeout }

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
	// Logger gets the panics of attempts, which fail with ErrUnavailable.
	Logger *logging.Logger
}

// Attempt is one request: an attempt of a hedged read, or a write.
type Attempt struct {
	// Wait is how long the log may wait for a record. The response has to begin within Limit.
	Wait, Limit time.Duration
	// Began is to be called when a response has begun that is not a refusal. It is nil for a write.
	Began func()
}

// attempt is the state of an attempt. The result is set when done is closed.
type attempt[T any] struct {
	cancel context.CancelFunc
	sentAt time.Time
	wait   time.Duration
	done   chan struct{}
	result T
	err    error
}

// ReadHedged performs a read. It fails with the error of the last attempt if all of those in flight end
// with ErrUnavailable, and with any other error of an attempt at once.
func ReadHedged[T any](ctx context.Context, hedge Hedge, send func(context.Context, Attempt) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := make(chan *attempt[T], ReadAttempts)
	ended := make(chan *attempt[T], ReadAttempts)
	var attempts []*attempt[T]
	start := func(wait time.Duration) {
		limit := wait + time.Duration(ReadAttempts-len(attempts))*hedge.Timeout
		attempts = append(attempts, startAttempt(ctx, hedge.Logger, Attempt{Wait: wait, Limit: limit}, began, ended, send))
	}
	start(hedge.Wait)
	overdue := time.NewTimer(hedge.Wait + hedge.Timeout)
	defer overdue.Stop()
	for failed := 0; ; {
		select {
		case winner := <-began:
			for _, other := range attempts {
				if other != winner {
					other.cancel()
				}
			}
			reportResponse(ctx, max(0, time.Since(winner.sentAt)-winner.wait))
			<-winner.done
			return winner.result, winner.err
		case a := <-ended:
			failed++
			if failed == len(attempts) || !errorx.IsOfType(a.err, ErrUnavailable) {
				return a.result, a.err
			}
		case <-overdue.C:
			if len(attempts) < ReadAttempts {
				hedge.BeforeRetry()
				start(0)
				overdue.Reset(hedge.Timeout)
			}
		}
	}
}

// startAttempt starts an attempt, which is sent to began when its response begins, or to ended if it ends
// without.
func startAttempt[T any](ctx context.Context, logger *logging.Logger, options Attempt, began, ended chan<- *attempt[T], send func(context.Context, Attempt) (T, error)) *attempt[T] {
	a := &attempt[T]{sentAt: time.Now(), wait: options.Wait, done: make(chan struct{})}
	ctx, a.cancel = context.WithCancel(ctx)
	hasBegun := false
	options.Began = func() {
		if !hasBegun {
			hasBegun = true
			began <- a
		}
	}
	go func() {
		defer a.cancel()
		logger.Contained("read of the platform's log", func() { a.result, a.err = send(ctx, options) }, func() {
			a.err = ErrUnavailable.New("the read failed by a fault of the program: look for event %d in the log", logging.PanicRecovered.Code)
		})()
		close(a.done)
		if !hasBegun {
			ended <- a
		}
	}()
	return a
}

// responseKey is the key of a context's function for OnResponse.
type responseKey struct{}

// OnResponse returns a context for a read. The function is called when the response begins, with
// the time that the attempt of the read took until then, without its wait.
func OnResponse(ctx context.Context, began func(delay time.Duration)) context.Context {
	return context.WithValue(ctx, responseKey{}, began)
}

func reportResponse(ctx context.Context, delay time.Duration) {
	if began, ok := ctx.Value(responseKey{}).(func(time.Duration)); ok {
		began(delay)
	}
}
