package transit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestDelayIsWhatExceedsTheShortestWay sends messages from a sender whose clock is an hour ahead.
func TestDelayIsWhatExceedsTheShortestWay(t *testing.T) {
	is := is.New(t)
	m := New()
	const ahead = time.Hour
	send := func(incarnation uint64, at, way time.Duration) time.Duration {
		sent := start.Add(at)
		return m.Delay("n-1", incarnation, sent.Add(ahead), sent.Add(way))
	}
	is.Equal(send(1, 0, 20*time.Millisecond), time.Duration(0)) // nothing to compare with
	is.Equal(send(1, time.Second, 2*time.Millisecond), time.Duration(0))
	is.Equal(send(1, 2*time.Second, 2*time.Millisecond), time.Duration(0))
	is.Equal(send(1, 3*time.Second, 702*time.Millisecond), 700*time.Millisecond)
	is.Equal(send(1, 4*time.Second, 3*time.Millisecond), time.Millisecond)
	is.Equal(send(2, 5*time.Second, 800*time.Millisecond), time.Duration(0)) // another process
}

func TestSendersAreBounded(t *testing.T) {
	m := New()
	for i := range 3 * maxSenders {
		m.Delay(fmt.Sprint("n-", i), 1, start, start)
		if len(m.senders) > maxSenders {
			t.Fatalf("%d senders are remembered", len(m.senders))
		}
	}
}

// TestFirstMessageWasHeldUpUnseen asks a sender after its first message, which was held up: the
// response tells for how long.
func TestFirstMessageWasHeldUpUnseen(t *testing.T) {
	is := is.New(t)
	m := New()
	const ahead, heldUp, way = time.Hour, 900 * time.Millisecond, 2 * time.Millisecond
	is.True(!m.Known("n-1", 1))
	is.Equal(m.Delay("n-1", 1, start.Add(ahead), start.Add(heldUp)), time.Duration(0))
	asked := start.Add(heldUp)
	is.True(m.Exchanged("n-1", 1, asked, asked.Add(way+ahead), asked.Add(2*way)) <= clockResolution)
	is.True(m.Known("n-1", 1))
	is.True(!m.Known("n-1", 2))
	is.Equal(m.Delay("n-1", 1, start.Add(ahead), start.Add(heldUp)), heldUp-way)
}

// TestDriftOfClocksCountsAsDelay lets the sender's clock fall behind after the reference was taken:
// an exchange corrects the reference.
func TestDriftOfClocksCountsAsDelay(t *testing.T) {
	is := is.New(t)
	m := New()
	const drift, way = time.Second, 2 * time.Millisecond
	m.Delay("n-1", 1, start, start.Add(way))
	at := start.Add(time.Hour)
	is.Equal(m.Delay("n-1", 1, at.Add(-drift), at.Add(way)), drift)
	is.True(m.Exchanged("n-1", 1, at, at.Add(way-drift), at.Add(2*way)) <= 2*way+clockResolution)
	is.True(m.Delay("n-1", 1, at.Add(-drift), at.Add(way)) <= 2*way+clockResolution)
}
