// Package reservation shares one account of the process's memory and connections
// (coordination/resources) among the goroutines that serve them.
package reservation

import (
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/resources"
)

// Errors of reservations.
var (
	Errors = errorx.NewNamespace("reservation")

	// ErrFull means that there is no room at present.
	ErrFull = errorx.NewType(Errors, "full")
	// ErrTooLarge means that the account is too small for what was asked for.
	ErrTooLarge = errorx.NewType(Errors, "too_large")
)

// shedTimeout bounds the wait for the room of holders that were told to give way.
const shedTimeout = 500 * time.Millisecond

// Account is the account of the process. It is safe for concurrent use. A nil Account has room for
// everything.
type Account struct {
	mu        sync.Mutex
	decisions *resources.Account
	// released is closed whenever a holder gives something back, and nil while nobody waits for that.
	released chan struct{}
	shed     uint64
	refused  uint64
}

// NewAccount returns an account of nothing.
func NewAccount(limits resources.Limits) *Account {
	return &Account{decisions: resources.New(limits)}
}

// Usage is what the account holds, and what it did since the start of the process.
type Usage struct {
	Bytes         int64
	Connections   int
	Shed, Refused uint64
}

// Usage returns the present usage.
func (a *Account) Usage() Usage {
	if a == nil {
		return Usage{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Bytes: a.decisions.Bytes(), Connections: a.decisions.Connections(), Shed: a.shed, Refused: a.refused}
}

// Reservation is what one connection, request or call holds. A nil Reservation has room for
// everything.
type Reservation struct {
	account *Account
	holder  resources.Holder
}

// Connect reserves a connection with its memory, in the phase Silent. onShed is called, in a
// goroutine of its own, if the connection must give way; that may be after Close. It fails with
// ErrFull.
func (a *Account) Connect(bytes int64, onShed func()) (*Reservation, error) {
	if a == nil {
		return nil, nil
	}
	r := &Reservation{account: a, holder: resources.Holder{OnShed: onShed}}
	err := r.await(func(now time.Time) resources.Decision { return a.decisions.Connect(now, &r.holder, bytes) })
	if err != nil {
		return nil, err
	}
	r.Enter(resources.Silent)
	return r, nil
}

// Open reserves memory for work that is never shed. It fails with ErrFull or ErrTooLarge.
func (a *Account) Open(bytes int64) (*Reservation, error) {
	if a == nil {
		return nil, nil
	}
	r := &Reservation{account: a}
	if err := r.Grow(bytes); err != nil {
		return nil, err
	}
	return r, nil
}

// Grow reserves more memory. It waits for holders that give way, up to shedTimeout. It fails with
// ErrFull or ErrTooLarge.
func (r *Reservation) Grow(bytes int64) error {
	if r == nil || bytes <= 0 {
		return nil
	}
	return r.await(func(now time.Time) resources.Decision {
		return r.account.decisions.Grow(now, &r.holder, bytes)
	})
}

// TryGrow is Grow without the wait.
func (r *Reservation) TryGrow(bytes int64) bool {
	if r == nil || bytes <= 0 {
		return true
	}
	decision, _ := r.ask(func(now time.Time) resources.Decision {
		return r.account.decisions.Grow(now, &r.holder, bytes)
	})
	return decision.Granted
}

// await asks until there is room, none will follow, or the holder itself must give way.
func (r *Reservation) await(ask func(now time.Time) resources.Decision) error {
	var timeout <-chan time.Time
	for {
		decision, released := r.ask(ask)
		switch {
		case decision.Granted:
			return nil
		case decision.TooLarge:
			return ErrTooLarge.New("the request takes more memory than this node gives to all: send less, or raise node.memory_bytes")
		case !decision.Wait || r.Shed():
			return r.refuse()
		}
		if timeout == nil {
			timeout = time.After(shedTimeout)
		}
		select {
		case <-released:
		case <-timeout:
			return r.refuse()
		}
	}
}

// ask asks once, and tells the holders that must give way.
func (r *Reservation) ask(ask func(now time.Time) resources.Decision) (resources.Decision, <-chan struct{}) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := ask(time.Now())
	for _, holder := range decision.Shed {
		a.shed++
		if holder.OnShed != nil {
			go holder.OnShed()
		}
	}
	if len(decision.Shed) > 0 {
		a.wake() // those that wait themselves must give way
	}
	if decision.Wait && a.released == nil {
		a.released = make(chan struct{})
	}
	return decision, a.released
}

func (r *Reservation) refuse() error {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.refused++
	return ErrFull.New("requests in work take all the memory or connections that this node gives them: send the request again later")
}

// wake makes those that wait ask again. The caller holds mu.
func (a *Account) wake() {
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// Enter changes the holder's phase. It returns false if the holder must give way.
func (r *Reservation) Enter(phase resources.Phase) bool {
	if r == nil {
		return true
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.account.decisions.Enter(time.Now(), &r.holder, phase)
}

// Shed reports whether the holder must give way.
func (r *Reservation) Shed() bool {
	if r == nil {
		return false
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.holder.Shed()
}

// Bytes returns the memory that is reserved.
func (r *Reservation) Bytes() int64 {
	if r == nil {
		return 0
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.holder.Bytes()
}

// Shrink gives back a part.
func (r *Reservation) Shrink(bytes int64) {
	if r != nil && bytes > 0 {
		r.ShrinkTo(r.Bytes() - bytes)
	}
}

// ShrinkTo gives back what is reserved beyond the bytes.
func (r *Reservation) ShrinkTo(bytes int64) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.decisions.ShrinkTo(&r.holder, bytes)
	r.account.wake()
}

// Close gives back all that is reserved. Further calls do nothing.
func (r *Reservation) Close() {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.decisions.Close(&r.holder)
	r.account.wake()
}
