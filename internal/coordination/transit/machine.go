// Package transit tells how long a message was held up on its way from another node, without
// clocks that agree.
package transit

import "time"

// maxSenders bounds the senders that are remembered.
const maxSenders = 8192

// Machine follows, for each sender, the least difference between the times of sending and receiving.
// That is the difference of the two clocks and the shortest way; what a message takes beyond
// it, it was held up for. Exchanges bound the difference of the clocks alone from below. It is not
// safe for concurrent use.
//
// Load pattern: links and instances that stall, so that a call arrives after its caller's time.
type Machine struct {
	senders map[string]sender
}

// sender is what is known of one incarnation of a sender.
type sender struct {
	incarnation uint64
	// least is the least difference of sending and receiving.
	least time.Duration
	// offset is a lower bound of the difference of the clocks; only if exchanged is set.
	offset    time.Duration
	exchanged bool
}

// New returns a machine that knows no sender.
func New() *Machine { return &Machine{senders: make(map[string]sender)} }

// Known reports whether there is a reference for the sender's incarnation.
func (m *Machine) Known(id string, incarnation uint64) bool {
	known, ok := m.senders[id]
	return ok && known.incarnation == incarnation
}

// Delay returns for how long a message was held up. Both times are of clocks that never step:
// sent of the sender's, received of this node's. The first message of a sender's
// incarnation has no delay.
func (m *Machine) Delay(id string, incarnation uint64, sent, received time.Time) time.Duration {
	difference := received.Sub(sent)
	known := m.senders[id]
	if !m.Known(id, incarnation) {
		known = sender{incarnation: incarnation, least: difference}
	}
	known.least = min(known.least, difference)
	// A difference below the bound is of clocks that have drifted apart.
	known.offset = min(known.offset, difference)
	m.set(id, known)
	return difference - known.least
}

// Age returns how long ago a message was sent, at the most. ok is false if no exchange with the
// sender's incarnation has shown how the clocks differ.
func (m *Machine) Age(id string, incarnation uint64, sent, now time.Time) (atMost time.Duration, ok bool) {
	known := m.senders[id]
	if known.incarnation != incarnation || !known.exchanged {
		return 0, false
	}
	return max(0, now.Sub(sent)-known.offset), true
}

// clockResolution is that of the times which are sent.
const clockResolution = time.Millisecond

// Exchanged learns from a question to the sender, asked and its response received by this node's
// clock, answered by the sender's, and returns for how long the response was held up. The
// difference of the clocks lies between asked less answered and received less answered (Cristian,
// "Probabilistic clock synchronization", 1989). A reference below that is of clocks that have
// drifted apart.
func (m *Machine) Exchanged(id string, incarnation uint64, asked, answered, received time.Time) time.Duration {
	m.Delay(id, incarnation, answered, received)
	known := m.senders[id]
	bound := asked.Sub(answered) - clockResolution
	if !known.exchanged || known.offset < bound {
		known.offset, known.exchanged = bound, true
	}
	known.least = max(known.least, known.offset)
	m.set(id, known)
	return max(0, received.Sub(answered)-known.least)
}

func (m *Machine) set(id string, known sender) {
	if _, ok := m.senders[id]; !ok && len(m.senders) >= maxSenders {
		clear(m.senders)
	}
	m.senders[id] = known
}
