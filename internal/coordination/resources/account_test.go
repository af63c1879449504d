package resources

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time { return start.Add(after) }

// connect opens a connection that must find room.
func connect(t *testing.T, a *Account, now time.Time, bytes int64, phase Phase) *Holder {
	t.Helper()
	h := &Holder{}
	if !a.Connect(now, h, bytes).Granted {
		t.Fatal("no room for a connection")
	}
	a.Enter(now, h, phase)
	return h
}

func TestRoomIsRefusedWithoutAnyoneToGiveWay(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Bytes: 1 << 20, Connections: 10})
	working := connect(t, a, at(0), 700<<10, Working)
	asking := &Holder{}
	decision := a.Connect(at(time.Minute), asking, 400<<10)
	is.True(!decision.Granted && !decision.Wait && len(decision.Shed) == 0)
	is.True(a.Grow(at(time.Minute), asking, 2<<20).TooLarge)
	a.Close(working)
	is.True(a.Connect(at(time.Minute), asking, 400<<10).Granted)
}

func TestAccountWithoutLimits(t *testing.T) {
	is := is.New(t)
	a := New(Limits{})
	for range 1000 {
		is.True(a.Connect(at(0), &Holder{}, 1<<40).Granted)
	}
}

// TestSmallRequestsFindRoomBesideLargeOnes fills the share of large requests.
func TestSmallRequestsFindRoomBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Bytes: 4 << 20, Connections: 100})
	for range 12 {
		connect(t, a, at(0), 256<<10, Working)
	}
	is.True(!a.Grow(at(0), &Holder{}, 256<<10).Granted)
	for range 16 {
		is.True(a.Grow(at(0), &Holder{}, smallBytes).Granted)
	}
	is.True(!a.Grow(at(0), &Holder{}, 1).Granted)
}

// TestOrderOfGivingWay fills an account and asks for one more part after the other.
func TestOrderOfGivingWay(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Bytes: 6 << 10, Connections: 100})
	const part = 1 << 10
	sending := connect(t, a, at(0), part, Sending)
	idle := connect(t, a, at(0), part, Idle)
	silent := connect(t, a, at(0), part, Silent)
	older := connect(t, a, at(0), part, Receiving)
	younger := connect(t, a, at(time.Second), part, Receiving)
	connect(t, a, at(0), part, Working)
	now := at(time.Hour)
	for _, want := range []*Holder{older, younger, silent, idle, sending} {
		asking := &Holder{}
		decision := a.Grow(now, asking, part)
		is.True(decision.Wait && !decision.Granted)
		is.Equal(len(decision.Shed), 1)
		is.True(decision.Shed[0] == want)
		is.True(want.Shed())
		is.True(!a.Enter(now, want, Working)) // a request that arrives meanwhile must not run
		a.Close(want)
		is.True(a.Grow(now, asking, part).Granted)
	}
	is.True(!a.Grow(now, &Holder{}, part).Wait)
}

// TestYoungRequestsDoNotGiveWay asks for room while all others have just begun.
func TestYoungRequestsDoNotGiveWay(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Bytes: 1 << 20, Connections: 2})
	receiving := connect(t, a, at(0), 1, Receiving)
	connect(t, a, at(0), 1, Sending)
	is.True(!a.Connect(at(900*time.Millisecond), &Holder{}, 1).Wait)
	decision := a.Connect(at(time.Second), &Holder{}, 1)
	is.True(decision.Wait)
	is.True(decision.Shed[0] == receiving)
	// The same room is not made twice.
	is.True(!a.Connect(at(time.Second), &Holder{}, 1).Wait || a.sheddingConnections == 1)
}

// TestNobodyGivesWayInVain asks for more than all that may give way hold.
func TestNobodyGivesWayInVain(t *testing.T) {
	is := is.New(t)
	a := New(Limits{Bytes: 40 << 10, Connections: 10})
	connect(t, a, at(0), 20<<10, Working)
	idle := connect(t, a, at(0), 10<<10, Idle)
	decision := a.Grow(at(time.Hour), &Holder{}, 30<<10)
	is.True(!decision.Wait && len(decision.Shed) == 0)
	is.True(!idle.Shed())
}

// TestAccountAddsUp plays random holders and checks the sums after each step.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 1 << 20, Connections: 8}
		a := New(limits)
		now := at(0)
		var holders []*Holder
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			var h *Holder
			if len(holders) > 0 {
				h = holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
			}
			bytes := int64(rapid.IntRange(1, 300<<10).Draw(t, "bytes"))
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				opened := &Holder{}
				if a.Connect(now, opened, bytes).Granted {
					holders = append(holders, opened)
				}
			case 1:
				if h != nil {
					a.Grow(now, h, bytes)
				}
			case 2:
				if h != nil {
					a.Enter(now, h, Phase(rapid.IntRange(0, phases-1).Draw(t, "phase")))
				}
			case 3:
				if h != nil {
					a.ShrinkTo(h, bytes)
				}
			case 4:
				if h != nil {
					a.Close(h)
					holders = removeHolder(holders, h)
				}
			}
			checkSums(t, a, holders, limits)
		}
		for _, h := range holders {
			a.Close(h)
			a.Close(h)
		}
		checkSums(t, a, nil, limits)
	})
}

func removeHolder(holders []*Holder, removed *Holder) []*Holder {
	var left []*Holder
	for _, h := range holders {
		if h != removed {
			left = append(left, h)
		}
	}
	return left
}

func checkSums(t *rapid.T, a *Account, holders []*Holder, limits Limits) {
	var bytes, shedding int64
	connections, sheddingConnections := 0, 0
	for _, h := range holders {
		bytes += h.bytes
		connections++
		if h.shed {
			shedding += h.bytes
			sheddingConnections++
		}
	}
	if a.bytes != bytes || a.connections != connections || a.sheddingBytes != shedding || a.sheddingConnections != sheddingConnections {
		t.Fatalf("the account has %d B, %d connections, %d B and %d connections to be freed; its holders %d, %d, %d, %d",
			a.bytes, a.connections, a.sheddingBytes, a.sheddingConnections, bytes, connections, shedding, sheddingConnections)
	}
	if a.bytes > limits.Bytes || a.connections > limits.Connections {
		t.Fatalf("%d B and %d connections are over the limits", a.bytes, a.connections)
	}
}
