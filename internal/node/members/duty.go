// Package members is the duty that keeps a node's view of the fleet: it feeds
// the membership machine and carries out what that decides.
package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/ring"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/platformlog"
)

const (
	// eventCapacity bounds the events that wait for the machine. Probes from
	// other nodes are refused when it is full; everything else waits.
	eventCapacity = 1024
	// tickInterval is the time between two Tick events.
	tickInterval = 25 * time.Millisecond
	// summaryWait bounds how long a reader waits for fresh summaries.
	summaryWait = time.Second
	// summaryPoll is the time between two looks for fresh summaries.
	summaryPoll = 10 * time.Millisecond
	// freshSummary is the age up to which a reader does not wait.
	freshSummary = time.Second
	// probesInFlight bounds the probes that this node has under way.
	probesInFlight = 64
)

// Options are what the duty needs. Log may be nil: the node then joins by its
// seeds alone.
type Options struct {
	Self     membership.Member
	Settings config.Membership
	Seeds    []config.Seed
	Pool     *peer.Pool
	Log      platformlog.Log
	// Directory is the log when it keeps the newest record of each key, or nil.
	Directory platformlog.Keyed
	// Former is the process of this node before this one, empty when not known.
	Former membership.Member
	Logger *logging.Logger
	Seed   uint64
	// Applied returns the version that this node applies.
	Applied func() state.Version
	// Load returns the calls running and queued at this node's gate.
	Load func() uint32
	// OnPeerVersion is told the version of each peer that is heard. It must not
	// block.
	OnPeerVersion func(peer membership.Member, version state.Version)
	Now           func() time.Time
}

// Runner keeps the view of the fleet.
type Runner struct {
	options Options
	events  *ring.Ring[membership.Event]
	done    chan struct{}
	view    atomic.Pointer[membership.View]
	probes  chan struct{}
	// left is closed when another node knows that this one leaves.
	left     chan struct{}
	leftOnce sync.Once
	fenced   bool

	// mu guards the machine: its goroutine steps it, and the fence and the
	// summaries are read from others.
	mu      sync.Mutex
	machine *membership.Machine

	replies replies
	loads   loads
}

// New returns a duty that does nothing until Run.
func New(options Options) *Runner {
	source := rand.NewPCG(options.Seed, options.Self.Incarnation)
	d := &Runner{
		options: options,
		events:  ring.New[membership.Event](eventCapacity),
		done:    make(chan struct{}),
		left:    make(chan struct{}),
		fenced:  true,
		probes:  make(chan struct{}, probesInFlight),
		machine: membership.New(machineSettings(options.Settings), options.Self, machineSeeds(options.Seeds), source),
	}
	d.view.Store(d.machine.View())
	return d
}

// Run steps the machine until ctx ends.
func (d *Runner) Run(ctx context.Context) error {
	var roster sync.WaitGroup
	defer roster.Wait()
	defer close(d.done)
	switch {
	case d.options.Directory != nil:
		roster.Go(func() { d.runDirectory(ctx) })
	case d.options.Log != nil:
		roster.Go(func() { d.runRoster(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.step(ctx, d.local())
			d.step(ctx, membership.Tick{})
			d.logFence()
		case event := <-d.events.Items():
			d.step(ctx, event)
		}
	}
}

// View returns the latest view of the fleet; never nil.
func (d *Runner) View() *membership.View { return d.view.Load() }

// Serving reports whether the node may serve calls at now.
func (d *Runner) Serving(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Serving(now)
}

// SetTarget takes in what the local target announced.
func (d *Runner) SetTarget(service string, slots uint32, state membership.TargetState) {
	d.events.Push(membership.TargetChanged{Service: service, Slots: slots, State: state}, d.done)
}

// Leave tells the fleet that this node goes, and returns when another node
// knows it, or when ctx or Run ended.
func (d *Runner) Leave(ctx context.Context) {
	if !d.events.Push(membership.LeaveRequested{}, ctx.Done()) {
		return
	}
	select {
	case <-d.left:
	case <-ctx.Done():
	case <-d.done:
	}
}

// Summaries returns the summaries that are held, that of the own failure domain
// included. Nothing is gathered while nobody reads, so the first reader waits up
// to a second for them. A known domain without one has a summary without a
// reporter, too old to confirm anything.
func (d *Runner) Summaries(now time.Time) []membership.Summary {
	d.events.TryPush(membership.SummariesRequested{})
	begun := time.Now()
	for {
		summaries := d.summaries(now.Add(time.Since(begun)))
		if allFresh(summaries) || time.Since(begun) >= summaryWait {
			return summaries
		}
		select {
		case <-time.After(summaryPoll):
		case <-d.done:
			return summaries
		}
	}
}

// HeldSummaries returns the summaries that are held, without asking for any.
func (d *Runner) HeldSummaries(now time.Time) []membership.Summary { return d.summaries(now) }

func (d *Runner) summaries(now time.Time) []membership.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Summaries(now)
}

// allFresh reports whether each domain has a fresh summary.
func allFresh(summaries []membership.Summary) bool {
	fresh := make(map[string]bool)
	for _, s := range summaries {
		fresh[s.Domain] = fresh[s.Domain] || s.Age <= freshSummary
	}
	for _, is := range fresh {
		if !is {
			return false
		}
	}
	return len(fresh) > 0
}

// LoadOf returns the load that the node last reported, and when.
func (d *Runner) LoadOf(id string) (load uint32, at time.Time, ok bool) {
	return d.loads.get(id)
}

// PlatformContact says that the platform answered this node.
func (d *Runner) PlatformContact() {
	d.events.TryPush(membership.PlatformContacted{SentAt: d.options.Now()})
}

func (d *Runner) local() membership.LocalStatusChanged {
	return membership.LocalStatusChanged{Version: d.options.Applied(), Load: d.options.Load()}
}

func (d *Runner) step(ctx context.Context, event membership.Event) {
	d.mu.Lock()
	actions := d.machine.Step(d.options.Now(), event)
	view := d.view.Load()
	if epoch := d.machine.Epoch(); epoch != view.Epoch {
		view = d.machine.View()
	}
	d.mu.Unlock()
	d.view.Store(view)
	for _, action := range actions {
		d.perform(ctx, action)
	}
}

func (d *Runner) perform(ctx context.Context, action membership.Action) {
	switch action := action.(type) {
	case membership.SendProbe:
		d.sendProbe(ctx, action)
	case membership.Reply:
		d.replies.deliver(action.Token, action.Ack)
	case membership.MemberChanged:
		d.logChange(action)
		if action.Current.State == membership.Dead || action.Current.State == membership.Left {
			d.loads.remove(action.Current.ID)
		}
	case membership.LeaveCompleted:
		d.leftOnce.Do(func() { close(d.left) })
	case membership.Replaced:
		d.options.Logger.Event(logging.MemberReplaced).Uint("incarnation", action.Incarnation).Send()
	case membership.PeerStatusReceived:
		d.loads.set(action.Peer.ID, action.Load, d.options.Now())
		if d.options.OnPeerVersion != nil {
			d.options.OnPeerVersion(action.Peer, action.Version)
		}
	}
}

func machineSettings(s config.Membership) membership.Settings {
	return membership.Settings{
		ProbeInterval:    s.ProbeInterval,
		ProbeTimeout:     s.ProbeTimeout,
		SuspicionTimeout: s.SuspicionTimeout,
		FenceTimeout:     s.FenceTimeout,
		ForgetTimeout:    s.ForgetTimeout,
		RelayInterval:    s.RelayInterval,
		Relays:           s.Relays,
	}
}

func machineSeeds(seeds []config.Seed) []membership.Seed {
	var converted []membership.Seed
	for _, seed := range seeds {
		converted = append(converted, membership.Seed{ID: seed.ID, Domain: seed.Domain, ControlAddress: seed.ControlAddress})
	}
	return converted
}
