package reservation

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"jasminegate/internal/coordination/resources"
)

// TestGrowWaitsForThoseThatGiveWay grows while an idle connection holds the room.
func TestGrowWaitsForThoseThatGiveWay(t *testing.T) {
	is := is.New(t)
	account := NewAccount(resources.Limits{Bytes: 40 << 10, Connections: 10})
	var idle *Reservation
	idle, err := account.Connect(30<<10, func() { idle.Close() })
	is.NoErr(err)
	idle.Enter(resources.Idle)
	working, err := account.Open(20 << 10)
	is.NoErr(err)
	is.Equal(working.Bytes(), int64(20<<10))
	is.Equal(account.Usage(), Usage{Bytes: 20 << 10, Shed: 1})
}

// TestGrowEndsWithoutRoom grows while nobody gives way, while the one that should does not, and
// beyond the whole account.
func TestGrowEndsWithoutRoom(t *testing.T) {
	is := is.New(t)
	account := NewAccount(resources.Limits{Bytes: 40 << 10, Connections: 10})
	working, err := account.Open(30 << 10)
	is.NoErr(err)
	_, err = account.Open(20 << 10)
	is.True(errorx.IsOfType(err, ErrFull))
	is.True(errorx.IsOfType(working.Grow(20<<10), ErrTooLarge))
	idle, err := account.Connect(10<<10, func() {})
	is.NoErr(err)
	idle.Enter(resources.Idle)
	begun := time.Now()
	_, err = account.Open(10 << 10)
	is.True(errorx.IsOfType(err, ErrFull))
	is.True(time.Since(begun) >= shedTimeout)
	is.True(idle.Shed())
	is.True(!idle.Enter(resources.Working))
}

// TestHolderThatGivesWayDoesNotWait lets a holder that must give way ask for more: it would wait for
// itself.
func TestHolderThatGivesWayDoesNotWait(t *testing.T) {
	is := is.New(t)
	account := NewAccount(resources.Limits{Bytes: 40 << 10, Connections: 10})
	idle, err := account.Connect(30<<10, func() {})
	is.NoErr(err)
	idle.Enter(resources.Idle)
	other, err := account.Connect(5<<10, func() {})
	is.NoErr(err)
	other.Enter(resources.Idle)
	is.True(!idle.TryGrow(10 << 10)) // the other one must give way
	is.True(other.Shed())
	is.True(errorx.IsOfType(other.Grow(10<<10), ErrFull))
}

func TestNilAccountHasRoom(t *testing.T) {
	is := is.New(t)
	var account *Account
	room, err := account.Connect(1<<40, nil)
	is.NoErr(err)
	is.NoErr(room.Grow(1 << 40))
	is.True(room.TryGrow(1<<40) && room.Enter(resources.Working) && !room.Shed())
	room.ShrinkTo(0)
	room.Close()
	is.Equal(account.Usage(), Usage{})
}
