package calls

import (
	"sync"
	"time"

	"jasminegate/internal/coordination/transit"
	"jasminegate/internal/protocol/wire"
)

// transitDelays holds the machine that tells how long calls were on their way.
type transitDelays struct {
	mu      sync.Mutex
	machine *transit.Machine
}

// delay returns for how long the call was held up on its way to this gate, which received it at
// the given time of options.BootTime.
func (d *transitDelays) delay(start *wire.CallStart, received time.Time) time.Duration {
	if start.SentMs == 0 {
		return 0 // an entry of an older release
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := time.UnixMilli(int64(start.SentMs))
	return d.machine.Delay(start.Id.GetEntry(), start.Id.GetEntryIncarnation(), sent, received)
}
