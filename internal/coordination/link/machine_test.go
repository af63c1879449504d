package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	slowLink      = 7.0 // Mbit/s
	downloadBytes = 90_000
	frameBytes    = 32 << 10
	shortBytes    = 500
)

// fifo is a link's send queue: what is given to it leaves in order, at the link's bandwidth.
type fifo struct{ freeAt time.Time }

// send returns when n bytes that are given at the time have left.
func (f *fifo) send(at time.Time, n int) time.Time {
	if f.freeAt.Before(at) {
		f.freeAt = at
	}
	f.freeAt = f.freeAt.Add(time.Duration(float64(n) * bitsPerByte / (slowLink * bitsPerMbit) * float64(time.Second)))
	return f.freeAt
}

// worstShortDelay replays downloads that end at their targets at once, and a short response each
// 10 ms, on one slow link. It returns the longest time of a short response in the send queue.
func worstShortDelay(m *Machine, downloads int) time.Duration {
	type frame struct {
		at    time.Time
		bytes int
	}
	var frames []frame
	for range downloads {
		use := m.Admit(start, "download", time.Minute)
		for sent := 0; sent < downloadBytes; sent += frameBytes {
			n := min(frameBytes, downloadBytes-sent)
			frames = append(frames, frame{start.Add(m.Send(start, use, n)), n})
		}
	}
	queue, worst := fifo{}, time.Duration(0)
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for len(frames) > 0 && !frames[0].at.After(now) {
			queue.send(frames[0].at, frames[0].bytes)
			frames = frames[1:]
		}
		worst = max(worst, queue.send(now, shortBytes).Sub(now))
	}
	return worst
}

// TestShortCallsWaitBehindDownloads checks how long a short response waits behind 15 downloads
// that end together.
func TestShortCallsWaitBehindDownloads(t *testing.T) {
	is := is.New(t)
	unpaced := worstShortDelay(New(0), 15)
	paced := worstShortDelay(New(slowLink), 15)
	t.Logf("longest wait of a short response: %v unpaced, %v paced", unpaced, paced)
	is.True(unpaced > time.Second)
	is.True(paced < 150*time.Millisecond)
}

// TestDownloadsBeyondTheLink asks for 1.5 times what the link bears, each download within 1 s. Those
// that are admitted must be sent in time, and the link must be used.
func TestDownloadsBeyondTheLink(t *testing.T) {
	is := is.New(t)
	const limit = time.Second
	m := New(slowLink)
	m.learn("download", downloadBytes)
	gap := m.duration(downloadBytes) * 2 / 3
	admitted, late := 0, 0
	const asked = 200
	now := start
	for range asked {
		now = now.Add(gap)
		use := m.Admit(now, "download", limit)
		if use == nil {
			continue
		}
		admitted++
		wait := time.Duration(0)
		for sent := 0; sent < downloadBytes; sent += frameBytes {
			wait = m.Send(now, use, min(frameBytes, downloadBytes-sent))
		}
		m.End(use, true)
		if wait > limit {
			late++
		}
	}
	t.Logf("%d of %d admitted, %d late", admitted, asked, late)
	is.Equal(late, 0)
	is.True(admitted >= asked*6/10)
	is.True(admitted < asked*8/10)
}

// learn lets a route's response of the size be sent, long before start.
func (m *Machine) learn(route string, bytes int) {
	at := start.Add(-time.Hour)
	use := m.Admit(at, route, time.Minute)
	m.Send(at, use, bytes)
	m.End(use, true)
}

// TestExpectedResponsesCount checks that calls which still run use up the link too.
func TestExpectedResponsesCount(t *testing.T) {
	is := is.New(t)
	m := New(slowLink)
	m.learn("download", downloadBytes)
	var begun []*Use
	for {
		use := m.Admit(start, "download", time.Second)
		if use == nil {
			break
		}
		begun = append(begun, use)
	}
	is.Equal(len(begun), int(time.Second/m.duration(downloadBytes)))
	for _, use := range begun {
		m.End(use, false) // refused by the target: nothing is sent
	}
	is.True(m.Admit(start, "download", time.Second) != nil)
}

// TestDownloadsTakeTurns checks that a response that began first is not delayed by others that
// began later.
func TestDownloadsTakeTurns(t *testing.T) {
	is := is.New(t)
	m := New(slowLink)
	m.learn("download", downloadBytes)
	var uses []*Use
	for range 10 {
		uses = append(uses, m.Admit(start, "download", time.Minute))
		m.Send(start, uses[len(uses)-1], frameBytes)
	}
	last := m.Send(start, uses[0], downloadBytes-frameBytes)
	is.True(last <= m.duration(downloadBytes))
	is.True(m.Send(start, uses[9], downloadBytes-frameBytes) >= 9*m.duration(downloadBytes))
}

// TestShorterResponseFreesLink ends a response below the expected size.
func TestShorterResponseFreesLink(t *testing.T) {
	is := is.New(t)
	m := New(slowLink)
	m.learn("download", downloadBytes)
	use := m.Admit(start, "download", time.Minute)
	m.Send(start, use, shortBytes)
	m.End(use, true)
	is.True(m.backlog(start) <= m.duration(2*shortBytes))
}

func TestLinkOfUnknownBandwidth(t *testing.T) {
	is := is.New(t)
	m := New(0)
	m.learn("download", downloadBytes)
	use := m.Admit(start, "download", time.Millisecond)
	is.True(use != nil)
	is.Equal(m.Send(start, use, 1<<30), time.Duration(0))
}

func TestShortRoutesAlwaysFit(t *testing.T) {
	is := is.New(t)
	m := New(slowLink)
	m.learn("short", shortBytes)
	m.Send(start, m.Admit(start, "download", time.Minute), 10<<20)
	is.True(m.Admit(start, "short", time.Millisecond) != nil)
	is.True(m.Admit(start, "unknown", time.Millisecond) != nil)
}
