package calls

import (
	"sync"
	"time"
)

// lastShare is the share of the silence timeout that begins when the rest of it is over.
const lastShare = 1.0 / 5

// silenceTimer calls a function when no frame arrives within a timeout. After a stall of
// this process a timer fires before the goroutine runs that reads the frames which have
// arrived meanwhile. The timeout therefore ends in two steps: the first one, which may
// come late, gives the reader the time of the second.
type silenceTimer struct {
	first, last time.Duration
	// silent is called at the end of the timeout, and returns whether it starts again.
	silent func() (again bool)

	mu    sync.Mutex
	timer *time.Timer
	// due is when the running step ends; zero if none runs. stopped is set until reset if the timer was
	// stopped, and ended for good.
	due                    time.Time
	atLast, stopped, ended bool
}

// newSilenceTimer returns a running timer.
func newSilenceTimer(timeout time.Duration, silent func() (again bool)) *silenceTimer {
	last := time.Duration(float64(timeout) * lastShare)
	t := &silenceTimer{first: timeout - last, last: last, silent: silent}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Now().Add(t.first)
	t.timer = time.AfterFunc(t.first, t.fire)
	return t
}

// reset starts the timeout again.
func (t *silenceTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = false
	t.begin()
}

// restart starts the timeout again if it is over, and was not stopped since.
func (t *silenceTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped && t.due.IsZero() {
		t.begin()
	}
}

// begin starts the first step, unless the timer has ended. The lock must be held.
func (t *silenceTimer) begin() {
	if t.ended {
		return
	}
	t.atLast = false
	t.run(t.first)
}

// end stops the timer for good.
func (t *silenceTimer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.halt()
}

// stop stops the timer until the next reset.
func (t *silenceTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.halt()
}

// halt ends the running step. The lock must be held.
func (t *silenceTimer) halt() {
	t.due, t.stopped = time.Time{}, true
	t.timer.Stop()
}

// run starts a step. The lock must be held.
func (t *silenceTimer) run(step time.Duration) {
	t.due = time.Now().Add(step)
	t.timer.Reset(step)
}

// fire ends a step. A call that reset or stop has overtaken does nothing.
func (t *silenceTimer) fire() {
	if t.endStep() && t.silent() {
		t.restart()
	}
}

// endStep reports whether the timeout is over.
func (t *silenceTimer) endStep() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.due.IsZero() || time.Now().Before(t.due) {
		return false
	}
	if !t.atLast {
		t.atLast = true
		t.run(t.last)
		return false
	}
	t.due = time.Time{}
	return true
}
