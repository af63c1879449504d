// Package transit tells how long a message was held up on its way from another node, without
// clocks that agree.
package transit

import "time"

// maxSenders bounds the senders that are remembered.
const maxSenders = 8192

// Machine follows, for each sender, the least difference between the times of sending and receiving.
// That is the difference of the two clocks and the shortest way; what a message takes beyond
// it, it was held up for. It is not safe for concurrent use.
//
// Load pattern: links and instances that stall, so that a call arrives after its caller's time.
type Machine struct {
	senders map[string]sender
}

// sender is what is known of one incarnation of a sender.
type sender struct {
	incarnation uint64
	least       time.Duration
}

// New returns a machine that knows no sender.
func New() *Machine { return &Machine{senders: make(map[string]sender)} }

// Delay returns for how long a message was held up. Both times are of clocks that never step:
// sent of the sender's, received of this node's. The first message of a sender's
// incarnation has no delay.
func (m *Machine) Delay(id string, incarnation uint64, sent, received time.Time) time.Duration {
	difference := received.Sub(sent)
	known, ok := m.senders[id]
	if !ok || known.incarnation != incarnation || difference < known.least {
		if !ok && len(m.senders) >= maxSenders {
			clear(m.senders)
		}
		m.senders[id] = sender{incarnation: incarnation, least: difference}
		return 0
	}
	return max(0, difference-known.least)
}
