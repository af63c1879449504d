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
		timer := newSilenceTimer(timeout, func() bool { over <- time.Now(); return false })
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

// TestStoppedSilenceTimerRunsOn lets a timer start again when it is over, and stops it while that is
// decided: it may not be over again then.
func TestStoppedSilenceTimerRunsOn(t *testing.T) {
	is := is.New(t)
	const timeout = 50 * time.Millisecond
	over, decided := make(chan struct{}), make(chan bool)
	timer := newSilenceTimer(timeout, func() bool {
		over <- struct{}{}
		return <-decided
	})
	<-over
	decided <- true
	<-over
	timer.stop()
	decided <- true
	select {
	case <-over:
		is.Fail() // the stopped timer was over again
	case <-time.After(4 * timeout):
	}
}

// TestFrameStartsTimerOfEndedAttempt resets a timer, as a frame does, after it has ended: it may not be over
// again.
func TestFrameStartsTimerOfEndedAttempt(t *testing.T) {
	is := is.New(t)
	const timeout = 50 * time.Millisecond
	over := make(chan struct{}, 10)
	timer := newSilenceTimer(timeout, func() bool { over <- struct{}{}; return true })
	timer.end()
	timer.reset()
	time.Sleep(4 * timeout)
	is.Equal(len(over), 0)
}
