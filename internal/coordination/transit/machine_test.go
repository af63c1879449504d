package transit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
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

// TestSlowExchangeCountsAsFast lets the first message and the first exchange be slow: how old a
// message is at the most does not follow from the shortest way so far.
func TestSlowExchangeCountsAsFast(t *testing.T) {
	is := is.New(t)
	m := New()
	const ahead, slow, way = time.Hour, 400 * time.Millisecond, 2 * time.Millisecond
	_, ok := m.Age("n-1", 1, start.Add(ahead), start.Add(slow))
	is.True(!ok) // nothing is known
	m.Delay("n-1", 1, start.Add(ahead), start.Add(slow))
	_, ok = m.Age("n-1", 1, start.Add(ahead), start.Add(slow))
	is.True(!ok) // a message alone bounds nothing
	asked := start.Add(slow)
	m.Exchanged("n-1", 1, asked, asked.Add(way+ahead), asked.Add(way+slow))
	age, ok := m.Age("n-1", 1, start.Add(ahead), start.Add(slow))
	is.True(ok)
	is.True(age >= slow && age <= slow+way+clockResolution)
	_, ok = m.Age("n-1", 2, start.Add(ahead), start.Add(slow))
	is.True(!ok) // another process
}

// TestMessageLooksNewerThanItIs draws exchanges and messages, each of any length.
func TestMessageLooksNewerThanItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		const longest = time.Second
		way := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, name))
		}
		ahead := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "ahead"))
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			now = now.Add(way("pause"))
			if rapid.Bool().Draw(t, "exchange") {
				answered := now.Add(way("there"))
				received := answered.Add(way("back"))
				m.Exchanged("n-1", 1, now, answered.Add(ahead).Truncate(time.Millisecond), received)
				now = received
				continue
			}
			sent := now
			now = sent.Add(way("on its way"))
			stated := sent.Add(ahead).Truncate(time.Millisecond)
			m.Delay("n-1", 1, stated, now)
			if age, ok := m.Age("n-1", 1, stated, now); ok && age < now.Sub(sent) {
				t.Fatalf("a message of %s ago is %s old at the most", now.Sub(sent), age)
			}
		}
	})
}
