package calls

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilenceTimerKeepsItsTimeout resets a timer at all moments of its steps: it is not
// over before the timeout after the last reset, and is then over once.
func TestSilenceTimerKeepsItsTimeout(t *testing.T) {
	is := is.New(t)
	const timeout = 50 * time.Millisecond
	for resets := range 12 {
		over := make(chan time.Time, 2)
		timer := newSilenceTimer(timeout, func() { over <- time.Now() })
		last := time.Now()
		for range resets {
			time.Sleep(timeout * 9 / 10)
			if len(over) > 0 {
				break // the machine stalled for longer than the timeout
			}
			last = time.Now()
			timer.reset()
		}
		at := <-over
		if len(over) == 0 {
			is.True(at.Before(last) || at.Sub(last) >= timeout)
		}
		timer.stop()
	}
}

// TestStoppedSilenceTimerRunsOn restarts a timer that is over, and one that was stopped after it was over:
// only the first one may be over again.
func TestStoppedSilenceTimerRunsOn(t *testing.T) {
	is := is.New(t)
	const timeout = 50 * time.Millisecond
	over := make(chan struct{}, 2)
	timer := newSilenceTimer(timeout, func() { over <- struct{}{} })
	<-over
	timer.restart()
	<-over
	timer.stop()
	timer.restart()
	time.Sleep(4 * timeout)
	is.Equal(len(over), 0)
}
