package calls

import (
	"context"
	"sync/atomic"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/ring"
)

// gateRingSize bounds the events queued for the gate machine.
const gateRingSize = 4096

// gateItem is an event, with the arriving call or with the channel for the
// result of a Resolve.
type gateItem struct {
	event    gate.Event
	call     *gateCall
	resolved chan resolution
}

// resolution is what the gate knows of a call, with the call's response if
// there is one.
type resolution struct {
	outcome  call.Outcome
	response *responseBuffer
}

// decision is the gate machine's decision on an arrived call.
type decision struct {
	start  bool
	refuse gate.Refuse
	// replay is the response of an earlier call with the same key.
	replay *responseBuffer
	// serviceTime is the time that the target takes at present for calls of the route; 0 if it
	// is not known.
	serviceTime time.Duration
}

// gateLoop runs the gate machine in a single goroutine and keeps the calls that
// the machine knows.
type gateLoop struct {
	now     func() time.Time
	machine *gate.Machine
	ring    *ring.Ring[gateItem]
	done    chan struct{}
	calls   map[call.ID]*gateCall
	load    atomic.Int64
	queued  atomic.Int64
	// reportedLoad is the load that other nodes use to choose a gate.
	reportedLoad atomic.Int64
	limit        atomic.Int64
	// accepts is whether the machine was last told that the target is ready.
	accepts atomic.Bool
	// release releases the claim of a keyed call that was not run.
	release func(key string, serial uint64)
}

func newGateLoop(now func() time.Time, options gate.Options) *gateLoop {
	return &gateLoop{
		now:     now,
		machine: gate.New(options),
		ring:    ring.New[gateItem](gateRingSize),
		done:    make(chan struct{}),
		calls:   make(map[call.ID]*gateCall),
	}
}

func (l *gateLoop) run(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.resetTimer(timer)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			l.step(gateItem{event: gate.Tick{}})
		case item := <-l.ring.Items():
			l.step(item)
		}
	}
}

// wakeMargin is added to each wait, so that the timer does not fire before the
// machine's wake time.
const wakeMargin = time.Millisecond

func (l *gateLoop) resetTimer(timer *time.Timer) {
	wait := time.Minute
	if at, ok := l.machine.NextWake(); ok {
		wait = max(0, at.Sub(l.now())) + wakeMargin
	}
	timer.Reset(wait)
}

func (l *gateLoop) step(item gateItem) {
	if arrive, ok := item.event.(gate.Arrive); ok {
		if _, known := l.calls[arrive.ID]; !known {
			l.calls[arrive.ID] = item.call
		} else {
			// The machine's actions name a call by its ID only, and must reach
			// the call that has this ID already.
			item.call.decisions <- decision{refuse: lateArrivalRefusal(arrive.ID)}
			return
		}
	}
	actions := l.machine.Step(l.now(), item.event)
	l.load.Store(int64(l.machine.Load()))
	l.queued.Store(int64(l.machine.Queued()))
	l.reportedLoad.Store(int64(l.machine.ReportedLoad()))
	l.limit.Store(int64(l.machine.Limit()))
	if set, ok := item.event.(gate.SetTarget); ok {
		l.accepts.Store(set.Ready)
	}
	l.releaseIfNotRun(item.event)
	for _, action := range actions {
		l.act(item, action)
	}
}

// releaseIfNotRun releases the claim of a call if no byte of it reached the
// target or the target reported that it did not run the call.
func (l *gateLoop) releaseIfNotRun(event gate.Event) {
	if finished, ok := event.(gate.Finished); ok && (finished.Result == gate.NotSent || finished.Result == gate.RejectedByTarget) {
		l.releaseKey(l.calls[finished.ID])
	}
}

func (l *gateLoop) releaseKey(c *gateCall) {
	if c != nil && c.claimSerial != 0 {
		l.release(c.start.Key, c.claimSerial)
	}
}

func lateArrivalRefusal(id call.ID) gate.Refuse {
	return gate.Refuse{ID: id, Outcome: call.Unknown, Reason: call.ReasonLateArrival}
}

func (l *gateLoop) act(item gateItem, action gate.Action) {
	switch a := action.(type) {
	case gate.Start:
		l.calls[a.ID].decisions <- decision{start: true, serviceTime: l.serviceTime(a.ID)}
	case gate.Refuse:
		l.refuse(a)
	case gate.Attach:
		l.calls[a.ID].decisions <- decision{replay: l.calls[a.To].response}
		delete(l.calls, a.ID)
	case gate.Cancel:
		l.calls[a.ID].cancelRun()
	case gate.Evict:
		delete(l.calls, a.ID)
	case gate.Resolved:
		item.resolved <- resolution{outcome: a.Outcome, response: l.responseOf(a.ID)}
	}
}

// refuse passes the refusal to the call and to the calls with the same key that
// wait for its response.
func (l *gateLoop) refuse(a gate.Refuse) {
	c := l.calls[a.ID]
	if a.Outcome == call.NotRun {
		l.releaseKey(c)
	}
	c.decisions <- decision{refuse: a, serviceTime: l.serviceTime(a.ID)}
	_ = c.response.add(context.Background(), &wire.AnswerFrame{
		Start: &wire.AnswerStart{Outcome: uint32(a.Outcome), Reason: string(a.Reason), RetryAfterMs: uint32(a.RetryAfter.Milliseconds())},
		Last:  true,
	})
	delete(l.calls, a.ID)
}

func (l *gateLoop) serviceTime(id call.ID) time.Duration {
	return l.machine.ServiceTime(l.now(), l.calls[id].start.Route)
}

func (l *gateLoop) responseOf(id call.ID) *responseBuffer {
	if c := l.calls[id]; c != nil {
		return c.response
	}
	return nil
}

// arrive passes a call to the machine; the decision is sent on the call's
// channel. It returns false if the ring is full, and the call is then not run.
func (l *gateLoop) arrive(event gate.Arrive, c *gateCall) bool {
	return l.ring.TryPush(gateItem{event: event, call: c})
}

// notify passes on an event that must not be dropped.
func (l *gateLoop) notify(event gate.Event) {
	l.ring.Push(gateItem{event: event}, l.done)
}

// resolve returns what became of a call; the outcome is Unknown if ctx or the
// loop ends first.
func (l *gateLoop) resolve(ctx context.Context, event gate.Resolve) resolution {
	resolved := make(chan resolution, 1)
	if !l.ring.Push(gateItem{event: event, resolved: resolved}, ctx.Done()) {
		return resolution{outcome: call.Unknown}
	}
	select {
	case found := <-resolved:
		return found
	case <-ctx.Done():
		if event.Fetch {
			l.notify(gate.Disconnected{ID: event.ID})
		}
		return resolution{outcome: call.Unknown}
	case <-l.done:
		return resolution{outcome: call.Unknown}
	}
}
