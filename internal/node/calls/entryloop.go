package calls

import (
	"context"
	"sync/atomic"
	"time"

	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/ring"
)

const (
	// entryRingSize bounds the events queued for the entry machine.
	entryRingSize = 4096
	// loadUpdateInterval is how often the loads received by membership are
	// passed to the entry machine.
	loadUpdateInterval = 500 * time.Millisecond
)

// entryItem is an event and the channel for its action; without a channel the
// action is discarded.
type entryItem struct {
	event entry.Event
	reply chan entry.Action
}

// entryLoop runs the entry machine in a single goroutine.
type entryLoop struct {
	options  Options
	machine  *entry.Machine
	ring     *ring.Ring[entryItem]
	view     *membership.View
	done     chan struct{}
	handles  atomic.Uint64
	retries  atomic.Uint64
	inFlight atomic.Int64
}

func newEntryLoop(options Options) *entryLoop {
	return &entryLoop{
		options: options,
		machine: entry.New(entry.Options{
			Node:          options.Self.ID,
			Incarnation:   options.Self.Incarnation,
			Domain:        options.Self.Domain,
			RetryRatio:    options.Settings.RetryRatio,
			OverloadTries: options.Settings.OverloadTries,
			SpillLoad:     options.Settings.SpillLoad,
			ExpectedTime:  options.Overload.Enabled,
			Versions:      options.Versions,
			Seed:          options.RandomSeed,
		}),
		ring: ring.New[entryItem](entryRingSize),
		done: make(chan struct{}),
	}
}

func (l *entryLoop) run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(loadUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.updateLoads()
		case item := <-l.ring.Items():
			l.step(item)
		}
	}
}

func (l *entryLoop) step(item entryItem) {
	now := l.options.Now()
	l.syncView(now)
	actions := l.machine.Step(now, item.event)
	l.retries.Store(l.machine.Retries())
	l.inFlight.Store(int64(l.machine.InFlight()))
	if item.reply == nil {
		return
	}
	var action entry.Action
	if len(actions) > 0 {
		action = actions[0]
	}
	item.reply <- action
}

// syncView passes the member table to the machine if it has changed.
func (l *entryLoop) syncView(now time.Time) {
	view := l.options.View()
	if view == l.view {
		return
	}
	l.view = view
	var endpoints []entry.Endpoint
	for _, member := range view.Members {
		if member.IsEndpoint() {
			endpoints = append(endpoints, endpointOf(member))
		}
	}
	l.machine.Step(now, entry.SetEndpoints{Endpoints: endpoints})
}

func endpointOf(member membership.Member) entry.Endpoint {
	return entry.Endpoint{
		ID:          member.ID,
		Incarnation: member.Incarnation,
		Service:     member.Service,
		Domain:      member.Domain,
		Address:     member.CallsAddress,
		Slots:       int(member.Slots),
		Version:     member.TargetVersion,
	}
}

func (l *entryLoop) updateLoads() {
	now := l.options.Now()
	l.syncView(now)
	for _, member := range l.view.Members {
		if !member.IsEndpoint() {
			continue
		}
		if load, at, ok := l.options.PeerLoad(member.ID); ok {
			l.machine.Step(now, entry.PeerLoadReceived{Endpoint: member.ID, Load: int(load), At: at})
		}
	}
}

// submit returns the action that follows the event, or nil if the loop has
// ended.
func (l *entryLoop) submit(event entry.Event) entry.Action {
	reply := make(chan entry.Action, 1)
	if !l.ring.Push(entryItem{event: event, reply: reply}, l.done) {
		return nil
	}
	select {
	case action := <-reply:
		return action
	case <-l.done:
		return nil
	}
}

// trySubmit is submit for a new request, which is not accepted if the ring is
// full or the loop has ended.
func (l *entryLoop) trySubmit(event entry.Event) (action entry.Action, accepted bool) {
	reply := make(chan entry.Action, 1)
	if !l.ring.TryPush(entryItem{event: event, reply: reply}) {
		return nil, false
	}
	select {
	case action = <-reply:
		return action, action != nil
	case <-l.done:
		return nil, false
	}
}

// notify passes on an event that leads to no action.
func (l *entryLoop) notify(event entry.Event) {
	l.ring.Push(entryItem{event: event}, l.done)
}
