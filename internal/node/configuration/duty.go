// Package configuration keeps a node at the newest accepted configuration. Its
// goroutine owns the decisions of package spread, hands their requests to the
// platform's log and to other nodes to workers, and publishes the installed
// snapshot.
package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/logging"
	"jasminegate/internal/ring"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/platformlog"
)

// Bounds of the duty.
const (
	// messageCapacity bounds the messages that wait for the duty's goroutine.
	messageCapacity = 256
	// viewInterval is how often the member table is looked at.
	viewInterval = 100 * time.Millisecond
	// pushWorkers is how many pushes run at once; all that the machine has in
	// flight find room in the ring.
	pushWorkers = 8
	// pushTimeout and pullTimeout bound one request to a peer.
	pushTimeout = time.Second
	pullTimeout = 2 * time.Second
)

// Options configure a Duty. Every field is needed but Pool, which may be nil
// in a fleet of one.
type Options struct {
	Self     membership.Member
	Spread   config.Spread
	Platform config.Platform
	Pool     *peer.Pool
	Log      platformlog.Log
	// Keyed is the log when it keeps the newest ticket for ever, or nil.
	Keyed  platformlog.Keyed
	Logger *logging.Logger
	// Seed feeds the random choices.
	Seed uint64
	View func() *membership.View
	// PlatformContact is called after each answer of the platform.
	PlatformContact func()
	Now             func() time.Time
}

// Runner keeps one node's configuration.
type Runner struct {
	options Options
	machine *spread.Machine
	stats   counters

	messages *ring.Ring[message]
	tail     *ring.Ring[spread.Action]
	requests *ring.Ring[spread.Action]
	pulls    *ring.Ring[spread.PullUpdate]
	pushes   *ring.Ring[spread.PushUpdate]
	// pushed and whole keep the newest encoded update of each kind.
	pushed encodedUpdate
	whole  encodedUpdate

	installed atomic.Pointer[state.Snapshot]
	folded    atomic.Pointer[folded]
	published publications
}

// message is an event for the machine. The answer to a peer's request goes to
// reply, which has room for it.
type message struct {
	event spread.Event
	reply chan spread.Action
}

// folded is what read-back needs of the fold.
type folded struct {
	verdicts []acceptance.Verdict
	next     int64
	highest  uint64
}

// New returns a duty that has installed nothing.
func New(options Options) *Runner {
	return &Runner{
		options: options,
		machine: spread.New(spread.Options{
			Self:               options.Self,
			Readers:            options.Spread.Readers,
			FanOut:             options.Spread.FanOut,
			PullsPerSecond:     options.Spread.PullsPerSecond,
			CompactedLog:       options.Keyed != nil,
			CheckpointInterval: options.Platform.CheckpointInterval,
			Seed:               options.Seed,
		}),
		messages: ring.New[message](messageCapacity),
		tail:     ring.New[spread.Action](1),
		requests: ring.New[spread.Action](4),
		pulls:    ring.New[spread.PullUpdate](1),
		pushes:   ring.New[spread.PushUpdate](spread.MaxPushesInFlight),
	}
}

// Snapshot returns the installed configuration, or nil before the node joined.
func (d *Runner) Snapshot() *state.Snapshot { return d.installed.Load() }

// Applied returns the installed version; it is zero before the node joined.
func (d *Runner) Applied() state.Version {
	if snapshot := d.installed.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return state.Version{}
}

// Verdicts returns the kept verdicts in log order.
func (d *Runner) Verdicts() []acceptance.Verdict {
	if folded := d.folded.Load(); folded != nil {
		return folded.verdicts
	}
	return nil
}

// PeerVersion tells the duty what version another node runs. It never blocks:
// with a full ring it is dropped, and the next probe tells it again.
func (d *Runner) PeerVersion(peer membership.Member, version state.Version) {
	d.messages.TryPush(message{event: spread.PeerVersion{Peer: peer, Version: version}})
}

// Run keeps the configuration until ctx ends. It is called once.
func (d *Runner) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	d.startWorkers(ctx, &workers)
	defer workers.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var epoch uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-d.messages.Items():
			d.step(message)
		case <-timer.C:
			epoch = d.look(epoch)
		}
		timer.Reset(d.untilWake())
	}
}

// look gives the machine the member table if it changed since epoch, or a tick.
func (d *Runner) look(epoch uint64) uint64 {
	view := d.options.View()
	if view == nil || view.Epoch == epoch {
		d.step(message{event: spread.Tick{}})
		return epoch
	}
	d.step(message{event: spread.ViewChanged{View: view}})
	return view.Epoch
}

func (d *Runner) untilWake() time.Duration {
	wake := d.machine.NextWake()
	if wake.IsZero() {
		return viewInterval
	}
	return min(max(wake.Sub(d.options.Now()), time.Millisecond), viewInterval)
}

// step gives one event to the machine and carries out its actions. A request
// that finds its ring full fails at once, which is an event of its own.
func (d *Runner) step(first message) {
	waiting := []message{first}
	for len(waiting) > 0 {
		next := waiting[0]
		waiting = waiting[1:]
		for _, action := range d.machine.Step(d.options.Now(), next.event) {
			if failed := d.perform(action, next.reply); failed != nil {
				waiting = append(waiting, message{event: failed})
			}
		}
	}
	d.publishFold()
}

func (d *Runner) publishFold() {
	fold := d.machine.Fold()
	if held := d.folded.Load(); held != nil && held.next == fold.NextOffset() {
		return
	}
	d.folded.Store(&folded{verdicts: fold.Verdicts(), next: fold.NextOffset(), highest: fold.HighestNumber()})
}
