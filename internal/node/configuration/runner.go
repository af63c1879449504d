// Package configuration keeps a node at the newest accepted configuration. Its
// goroutine owns the state machine of package spread, passes the machine's
// requests to the platform's log and to other nodes on to worker goroutines,
// and publishes the installed snapshot.
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

// Queue lengths, intervals and timeouts of the runner.
const (
	// messageCapacity limits the messages queued for the runner's goroutine.
	messageCapacity = 256
	// viewPollInterval is how often the member table is checked for changes.
	viewPollInterval = 100 * time.Millisecond
	// pushWorkers is how many pushes run at once. The queue has room for every
	// push that the machine allows in flight.
	pushWorkers = 8
	// pushTimeout limits one push to a peer, without the time to send a large update
	// at minPeerBytesPerS.
	pushTimeout      = time.Second
	minPeerBytesPerS = 100_000
	// pullTimeout limits one pull from a peer. It doubles with each pull in a row that
	// fails, up to maxPullTimeout.
	pullTimeout    = 2 * time.Second
	maxPullTimeout = 16 * time.Second
)

// Options configure a Runner. All fields are required except CompactedLog, OnOrders,
// and Pool, which may be nil in a fleet of one node.
type Options struct {
	Self     membership.Member
	Spread   config.Spread
	Platform config.Platform
	Pool     *peer.Pool
	Log      platformlog.Log
	// CompactedLog is the platform's log if it is compacted, so that it always
	// retains the newest ticket; otherwise nil.
	CompactedLog platformlog.CompactedLog
	Logger       *logging.Logger
	// Registered are the nodes in the platform's directory at the start, or none.
	Registered []membership.Member
	// AcceptedNumber is the number of the newest ticket that one of them had accepted.
	AcceptedNumber uint64
	// RandomSeed seeds the random choices.
	RandomSeed uint64
	// View returns the current member table.
	View func() *membership.View
	// OnPlatformContact is called after each response from the platform.
	OnPlatformContact func()
	// OnCurrent is called when the installed configuration, of the given version, is known
	// to have been the newest at the given time. Nil ignores it.
	OnCurrent func(time.Time, state.Version)
	// OnOrders is called with the orders of rollouts in a read of the tickets stream. It must not
	// block and may be nil.
	OnOrders func(Orders)
	Now      func() time.Time
}

// Orders are the orders of rollouts that one read found.
type Orders struct {
	Orders []NumberedOrder
	// All means that Orders has the newest order of each service with a number up to Next,
	// unless it was withdrawn.
	All  bool
	Next int64
}

// NumberedOrder is an order with its number: the offset of its record plus one.
type NumberedOrder struct {
	platformlog.Order
	Number uint64
}

// Runner keeps one node's configuration up to date. Its methods other than Run
// are safe for concurrent use.
type Runner struct {
	options Options
	machine *spread.Machine
	stats   counters

	messages *ring.Ring[message]
	// logReads queues reads of tickets and checkpoints, which may wait for new
	// records; otherRequests queues the other platform requests.
	logReads      *ring.Ring[spread.Action]
	otherRequests *ring.Ring[spread.Action]
	pulls         *ring.Ring[spread.PullUpdate]
	pushes        *ring.Ring[spread.PushUpdate]
	// pushCache and fullCache hold the encoding of the newest pushed update and of
	// the newest full update.
	pushCache updateCache
	fullCache updateCache

	installed      atomic.Pointer[state.Snapshot]
	logUnreachable atomic.Bool
	behind         atomic.Bool
	foldState      atomic.Pointer[foldState]
	published      publications
}

// message is an event for the machine. The response to a peer's request is sent
// to reply, which is buffered so that sending never blocks.
type message struct {
	event spread.Event
	reply chan spread.Action
}

// foldState is the part of the fold that is read outside the runner's goroutine.
type foldState struct {
	verdicts []acceptance.Verdict
	next     int64  // lowest log offset not yet applied
	highest  uint64 // highest accepted ticket number
}

// New returns a runner without an installed configuration.
func New(options Options) *Runner {
	return &Runner{
		options: options,
		machine: spread.New(spread.Options{
			Self:               options.Self,
			Readers:            options.Spread.Readers,
			FanOut:             options.Spread.FanOut,
			PullsPerSecond:     options.Spread.PullsPerSecond,
			CompactedLog:       options.CompactedLog != nil,
			CheckpointInterval: options.Platform.CheckpointInterval,
			ReadWait:           options.Platform.ReadWait,
			RequestTimeout:     options.Platform.RequestTimeout,
			ResponseLimit:      platformlog.ResponseLimit(options.Platform.RequestTimeout),
			Registered:         options.Registered,
			AcceptedNumber:     options.AcceptedNumber,
			Seed:               options.RandomSeed,
		}),
		messages:      ring.New[message](messageCapacity),
		logReads:      ring.New[spread.Action](1),
		otherRequests: ring.New[spread.Action](4),
		pulls:         ring.New[spread.PullUpdate](1),
		pushes:        ring.New[spread.PushUpdate](spread.MaxPushesInFlight),
	}
}

// Snapshot returns the installed configuration, or nil before the first is
// installed.
func (r *Runner) Snapshot() *state.Snapshot { return r.installed.Load() }

// AppliedVersion returns the installed version, or the zero Version before the
// first is installed.
func (r *Runner) AppliedVersion() state.Version {
	if snapshot := r.installed.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return state.Version{}
}

// LogEra returns the era of the platform's log up to which this node knows the
// configuration, 0 if it knows none.
func (r *Runner) LogEra() uint64 {
	if fold := r.foldState.Load(); fold != nil {
		return state.EraOf(fold.next)
	}
	return 0
}

// LogUnreachable reports whether the last request to the platform's log failed or has no
// response in time.
func (r *Runner) LogUnreachable() bool { return r.logUnreachable.Load() }

// IsBehind reports whether another node is known to have a newer configuration than this one.
func (r *Runner) IsBehind() bool { return r.behind.Load() }

// Verdicts returns the retained verdicts in log order.
func (r *Runner) Verdicts() []acceptance.Verdict {
	if fold := r.foldState.Load(); fold != nil {
		return fold.verdicts
	}
	return nil
}

// ObservePeerVersion passes the version that another node runs to the machine. It
// never blocks: when the message queue is full the version is dropped, and the
// next probe brings it again.
func (r *Runner) ObservePeerVersion(peer membership.Member, version state.Version) {
	r.messages.TryPush(message{event: spread.PeerVersion{Peer: peer, Version: version}})
}

// Run keeps the configuration up to date until ctx ends, then returns nil. It
// must be called only once.
func (r *Runner) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	defer workers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the workers also after a panic of the machine
	r.startWorkers(ctx, &workers)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var epoch uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-r.messages.Items():
			r.step(message)
		case <-timer.C:
			epoch = r.pollView(epoch)
		}
		timer.Reset(r.untilWake())
	}
}

// pollView passes the member table to the machine if it changed since epoch, and
// a tick otherwise. It returns the epoch of the table that the machine has.
func (r *Runner) pollView(epoch uint64) uint64 {
	view := r.options.View()
	if view == nil || view.Epoch == epoch {
		r.step(message{event: spread.Tick{}})
		return epoch
	}
	r.step(message{event: spread.ViewChanged{View: view}})
	return view.Epoch
}

// untilWake returns the delay until the machine's next step is due, at most
// viewPollInterval.
func (r *Runner) untilWake() time.Duration {
	wake := r.machine.NextWake()
	if wake.IsZero() {
		return viewPollInterval
	}
	return min(max(wake.Sub(r.options.Now()), time.Millisecond), viewPollInterval)
}

// step passes one event to the machine and performs the resulting actions. A
// request whose queue is full fails at once; the failure is passed to the
// machine as a further event.
func (r *Runner) step(first message) {
	pending := []message{first}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		actions := r.machine.Step(r.options.Now(), next.event)
		r.publishFold() // before a version is installed, so that its verdict is known with it
		for _, action := range actions {
			if failed := r.perform(action, next.reply); failed != nil {
				pending = append(pending, message{event: failed})
			}
		}
	}
	r.logUnreachable.Store(r.machine.LogUnreachable())
	r.behind.Store(r.machine.IsBehind())
}

// publishFold stores the fold's state for other goroutines if the fold has
// advanced in the log.
func (r *Runner) publishFold() {
	fold := r.machine.Fold()
	if published := r.foldState.Load(); published != nil && published.next == fold.NextOffset() {
		return
	}
	r.foldState.Store(&foldState{verdicts: fold.Verdicts(), next: fold.NextOffset(), highest: fold.HighestNumber()})
}
