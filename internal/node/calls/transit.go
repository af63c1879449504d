package calls

import (
	"sync"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/transit"
	"jasminegate/internal/protocol/wire"
)

// transitDelays holds the machine that tells how long calls were on their way.
type transitDelays struct {
	self    membership.Member
	mu      sync.Mutex
	machine *transit.Machine
}

// delay returns for how long the call was held up on its way to this gate, which received it at
// the given time of options.BootTime. It is not known for the first call of an entry's incarnation.
func (d *transitDelays) delay(start *wire.CallStart, received time.Time) (delay time.Duration, known bool) {
	if start.SentMs == 0 {
		return 0, false // an entry of an older release
	}
	sent := time.UnixMilli(int64(start.SentMs))
	if d.own(start.Id) {
		return max(0, received.Sub(sent)), true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known = d.machine.Known(start.Id.GetEntry(), start.Id.GetEntryIncarnation())
	if !known && start.ConfirmAfterMs > 0 {
		return 0, false // a reference without a response could itself be of a call that was held up
	}
	return d.machine.Delay(start.Id.GetEntry(), start.Id.GetEntryIncarnation(), sent, received), known
}

// confirmed learns from a confirmation.
func (d *transitDelays) confirmed(id *wire.CallID, asked, answered, received time.Time) {
	if d.own(id) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Exchanged(id.GetEntry(), id.GetEntryIncarnation(), asked, answered, received)
}

// age returns how long ago the entry sent a message, at the most; ok is false if that is not known.
func (d *transitDelays) age(id *wire.CallID, sentMs uint64, now time.Time) (atMost time.Duration, ok bool) {
	sent := time.UnixMilli(int64(sentMs))
	if d.own(id) {
		return max(0, now.Sub(sent)), true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Age(id.GetEntry(), id.GetEntryIncarnation(), sent, now)
}

// own reports whether the call is of this process, which has only one clock.
func (d *transitDelays) own(id *wire.CallID) bool {
	return id.GetEntry() == d.self.ID && id.GetEntryIncarnation() == d.self.Incarnation
}
