package calls

import (
	"sync"
	"time"

	"jasminegate/internal/coordination/link"
	"jasminegate/internal/protocol/wire"
)

// bulkFrameBytes is the size from which on a frame waits for the instance's link. Shorter ones
// go ahead of it.
const bulkFrameBytes = 8 << 10

// linkPacer holds the machine of the instance's link.
type linkPacer struct {
	mu      sync.Mutex
	machine *link.Machine
}

func newLinkPacer(mbitPerSecond float64) *linkPacer {
	return &linkPacer{machine: link.New(mbitPerSecond)}
}

// linkUse is the use that the response to another node's call makes of the link; nil if it
// makes none.
type linkUse struct {
	pacer *linkPacer
	// use is nil if the response cannot be sent in time.
	use *link.Use
	// complete is set once the whole response was sent.
	complete bool
}

// linkUseOf records a call of the route whose response is wanted within the time.
func (r *Runner) linkUseOf(stream serverStream, route string, within time.Duration) *linkUse {
	if _, local := stream.(localServer); local {
		return nil
	}
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	return &linkUse{pacer: r.link, use: r.link.machine.Admit(r.options.Now(), route, within)}
}

// refused reports whether the response cannot be sent in time.
func (u *linkUse) refused() bool { return u != nil && u.use == nil }

// send gives the link a frame, and returns how long to wait before it is sent.
func (u *linkUse) send(now time.Time, frame *wire.AnswerFrame) time.Duration {
	n := len(frame.Data)
	if u == nil || u.use == nil || n == 0 {
		return 0
	}
	u.pacer.mu.Lock()
	defer u.pacer.mu.Unlock()
	wait := u.pacer.machine.Send(now, u.use, n)
	if n < bulkFrameBytes {
		return 0
	}
	return wait
}

// markComplete records that the whole response was sent.
func (u *linkUse) markComplete() {
	if u != nil {
		u.complete = true
	}
}

// end records the end of the call.
func (u *linkUse) end() {
	if u == nil || u.use == nil {
		return
	}
	u.pacer.mu.Lock()
	defer u.pacer.mu.Unlock()
	u.pacer.machine.End(u.use, u.complete)
}
