// Package resources decides how much memory and how many connections callers and other nodes may
// make this process hold at the same time, and who gives way when there is no room.
//
// Load pattern: crowds of clients that each stay within the limits of one request and together
// take the memory or the descriptors of the process. Most stop short of the end of what they send,
// read no response or say nothing, and keep their connections open.
package resources

import (
	"cmp"
	"container/list"
	"math"
	"time"
)

// Limits are those of the process.
type Limits struct {
	// Bytes limits the memory of all holders, and Connections their number of connections; 0 does
	// not.
	Bytes       int64
	Connections int
}

// Phase says what a holder does. It decides whether the holder may be shed.
type Phase int

// Phases.
const (
	// Working is a request in work: it is never shed.
	Working Phase = iota
	// Receiving is a request that has begun to arrive and is not passed on to anyone yet.
	Receiving
	// Silent is a connection that has carried no request.
	Silent
	// Idle is a connection between two requests.
	Idle
	// Sending is a response whose caller has to read it. The phase is entered again with each part
	// that was written.
	Sending

	phases = int(Sending) + 1
)

const (
	// smallBytes is what a holder may have without the share of large ones applying to it.
	smallBytes = 64 << 10
	// unlimitedBytes is more than any process has.
	unlimitedBytes = 1 << 60
	// largeNumerator and largeDenominator give the share of Limits.Bytes beyond which a large
	// holder gets nothing more. The rest is for ordinary requests.
	largeNumerator, largeDenominator = 3, 4
)

// shedOrder lists the phases in the order in which their holders give way, each with the time after
// which they do. Requests that have not run go first; the response of one that has run goes last.
var shedOrder = []struct {
	phase Phase
	after time.Duration
}{
	{Receiving, time.Second},
	{Silent, time.Second},
	{Idle, 0},
	{Sending, 5 * time.Second},
}

// Holder is what one connection, request or call holds. Its zero value holds nothing.
type Holder struct {
	// OnShed is for whoever carries out decisions; the account does not call it.
	OnShed func()

	bytes      int64
	connection bool
	phase      Phase
	since      time.Time
	shed       bool
	element    *list.Element
}

// Bytes returns what the holder has.
func (h *Holder) Bytes() int64 { return h.bytes }

// Shed reports whether the holder was told to give way.
func (h *Holder) Shed() bool { return h.shed }

// Decision is the answer to a request for room.
type Decision struct {
	// Granted says that the holder has the room.
	Granted bool
	// Shed are holders that must give way now. Room for the request follows when they, and those
	// that were told before, have closed.
	Shed []*Holder
	// Wait says that such room will follow.
	Wait bool
	// TooLarge says that the account is too small for the request, whoever else holds what.
	TooLarge bool
}

// Account keeps what all holders have. It is not safe for concurrent use.
type Account struct {
	limits      Limits
	bytes       int64
	connections int
	// sheddingBytes and sheddingConnections are held by holders that were told to give way.
	sheddingBytes       int64
	sheddingConnections int
	// byPhase has the holders of each phase but Working, the longest in it first.
	byPhase [phases]*list.List
}

// New returns an account of nothing.
func New(limits Limits) *Account {
	limits.Bytes = cmp.Or(limits.Bytes, unlimitedBytes)
	limits.Connections = cmp.Or(limits.Connections, math.MaxInt)
	a := &Account{limits: limits}
	for phase := range a.byPhase {
		a.byPhase[phase] = list.New()
	}
	return a
}

// Bytes returns the memory and Connections the number of connections of all holders.
func (a *Account) Bytes() int64     { return a.bytes }
func (a *Account) Connections() int { return a.connections }

// Connect asks for a connection with its memory for a new holder.
func (a *Account) Connect(now time.Time, h *Holder, bytes int64) Decision {
	return a.ask(now, h, bytes, 1)
}

// Grow asks for more memory.
func (a *Account) Grow(now time.Time, h *Holder, bytes int64) Decision {
	return a.ask(now, h, bytes, 0)
}

func (a *Account) ask(now time.Time, h *Holder, bytes int64, connections int) Decision {
	limit := a.bytesFor(h, bytes)
	if h.bytes+bytes > limit {
		return Decision{TooLarge: true}
	}
	lackBytes := a.bytes + bytes - limit
	lackConnections := a.connections + connections - a.limits.Connections
	if lackBytes <= 0 && (connections == 0 || lackConnections <= 0) {
		a.grant(h, bytes, connections)
		return Decision{Granted: true}
	}
	if connections == 0 {
		lackConnections = 0
	}
	shed, enough := a.choose(now, h, lackBytes-a.sheddingBytes, lackConnections-a.sheddingConnections)
	if !enough {
		return Decision{}
	}
	for _, victim := range shed {
		a.markShed(victim)
	}
	return Decision{Shed: shed, Wait: true}
}

// bytesFor returns what all holders together may have when the holder gets the bytes.
func (a *Account) bytesFor(h *Holder, bytes int64) int64 {
	if h.bytes+bytes <= smallBytes {
		return a.limits.Bytes
	}
	return a.limits.Bytes / largeDenominator * largeNumerator
}

func (a *Account) grant(h *Holder, bytes int64, connections int) {
	h.bytes += bytes
	a.bytes += bytes
	a.connections += connections
	h.connection = h.connection || connections > 0
	if h.shed {
		a.sheddingBytes += bytes
	}
}

// choose returns holders that free what is lacking when they close; enough is false if there are
// too few.
func (a *Account) choose(now time.Time, asking *Holder, lackBytes int64, lackConnections int) (chosen []*Holder, enough bool) {
	for _, order := range shedOrder {
		for element := a.byPhase[order.phase].Front(); element != nil; element = element.Next() {
			if lackBytes <= 0 && lackConnections <= 0 {
				return chosen, true
			}
			h := element.Value.(*Holder)
			if now.Sub(h.since) < order.after {
				break
			}
			if h == asking || h.shed || lackBytes <= 0 && !h.connection {
				continue
			}
			chosen = append(chosen, h)
			lackBytes -= h.bytes
			if h.connection {
				lackConnections--
			}
		}
	}
	return chosen, lackBytes <= 0 && lackConnections <= 0
}

func (a *Account) markShed(h *Holder) {
	h.shed = true
	a.sheddingBytes += h.bytes
	if h.connection {
		a.sheddingConnections++
	}
}

// Enter changes the holder's phase. It returns false if the holder was told to give way before.
func (a *Account) Enter(now time.Time, h *Holder, phase Phase) bool {
	a.leavePhase(h)
	h.phase, h.since = phase, now
	if phase != Working {
		h.element = a.byPhase[phase].PushBack(h)
	}
	return !h.shed
}

func (a *Account) leavePhase(h *Holder) {
	if h.element != nil {
		a.byPhase[h.phase].Remove(h.element)
		h.element = nil
	}
}

// ShrinkTo gives back what the holder has beyond the bytes.
func (a *Account) ShrinkTo(h *Holder, bytes int64) {
	freed := h.bytes - bytes
	if freed <= 0 {
		return
	}
	h.bytes -= freed
	a.bytes -= freed
	if h.shed {
		a.sheddingBytes -= freed
	}
}

// Close gives back all that the holder has. Further calls do nothing.
func (a *Account) Close(h *Holder) {
	a.leavePhase(h)
	a.ShrinkTo(h, 0)
	if h.connection {
		h.connection = false
		a.connections--
		if h.shed {
			a.sheddingConnections--
		}
	}
}
