// Package members maintains a node's view of the fleet. Its Runner feeds events to
// the membership state machine and performs the resulting actions.
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
	// eventCapacity bounds the queue of events for the machine. If the queue is
	// full, probes from other nodes are refused. Target changes, leave requests,
	// probe results and seeds wait for room. Platform contacts, summary requests
	// and the failures of probes not sent because of maxProbesInFlight are dropped.
	eventCapacity = 1024
	// tickInterval is the time between two Tick events of the machine.
	tickInterval = 25 * time.Millisecond
	// summaryTimeout bounds how long Summaries waits for recent summaries.
	summaryTimeout = time.Second
	// summaryPollInterval is the time between two checks for recent summaries.
	summaryPollInterval = 10 * time.Millisecond
	// recentSummaryAge is the age up to which Summaries does not wait for a newer
	// summary. It is below readback.MaxSummaryAge, up to which a summary is fresh.
	recentSummaryAge = time.Second
	// maxProbesInFlight bounds the probes that this node has in flight.
	maxProbesInFlight = 64
)

// Options configure a Runner. Without Log and Directory the node joins through its
// seeds alone.
type Options struct {
	Self     membership.Member
	Settings config.Membership
	Seeds    []config.Seed
	Pool     *peer.Pool
	Log      platformlog.Log
	// Directory is the compacted log that nodes register in, or nil. It is used
	// instead of Log.
	Directory platformlog.CompactedLog
	// Registrations are the records of Directory, read before the start.
	Registrations Registrations
	Logger        *logging.Logger
	RandomSeed    uint64
	// CurrentBound is membership.Settings.CurrentBound.
	CurrentBound time.Duration
	// AppliedVersion returns the configuration version that this node runs.
	AppliedVersion func() state.Version
	// LogEra returns the era of the platform's log that this node knows of, 0 if none.
	// Nil is a log without eras.
	LogEra func() uint64
	// LogUnreachable reports whether this node's last request to the platform's log got no
	// response. Nil is a node that can always read it.
	LogUnreachable func() bool
	// Load returns the number of calls running and queued at this node's gate.
	Load func() uint32
	// OnPeerVersion is called with each configuration version that a peer reports.
	// It must not block and may be nil.
	OnPeerVersion func(peer membership.Member, version state.Version)
	Now           func() time.Time
}

// Runner drives the membership state machine of one node.
type Runner struct {
	options    Options
	events     *ring.Ring[membership.Event]
	done       chan struct{}
	view       atomic.Pointer[membership.View]
	probeSlots chan struct{}
	// leaveDone is closed at membership.LeaveCompleted.
	leaveDone chan struct{}
	leaveOnce sync.Once
	// fenced is whether the node did not serve at the last check. It starts as true,
	// so that the first admission of calls is logged.
	fenced bool

	// mu guards the machine: Run's goroutine steps it, other goroutines read its
	// state.
	mu      sync.Mutex
	machine *membership.Machine

	replies replies
	loads   loads

	// directory is set by Run on a compacted log, and used by others after Run.
	directory *directory
}

// New returns a Runner that is idle until Run.
func New(options Options) *Runner {
	if options.LogEra == nil {
		options.LogEra = func() uint64 { return 0 }
	}
	if options.LogUnreachable == nil {
		options.LogUnreachable = func() bool { return false }
	}
	source := rand.NewPCG(options.RandomSeed, options.Self.Incarnation)
	r := &Runner{
		options:    options,
		events:     ring.New[membership.Event](eventCapacity),
		done:       make(chan struct{}),
		leaveDone:  make(chan struct{}),
		fenced:     true,
		probeSlots: make(chan struct{}, maxProbesInFlight),
		machine:    membership.New(machineSettings(options), options.Self, machineSeeds(options.Seeds), source),
	}
	r.view.Store(r.machine.View())
	return r
}

// Run steps the machine until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	var background sync.WaitGroup
	defer background.Wait()
	defer close(r.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the background work also after a panic of the machine
	failed := make(chan error, 1)
	switch {
	case r.options.Directory != nil:
		r.step(ctx, membership.SeedsLearned{Seeds: seedsOf(r.options.Registrations.members)})
		background.Go(func() { failed <- r.guard(ctx, "directory", r.runDirectory) })
	case r.options.Log != nil:
		background.Go(func() { failed <- r.guard(ctx, "roster", r.runRoster) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			if err != nil {
				return err
			}
		case <-ticker.C:
			r.step(ctx, r.localStatus())
			r.step(ctx, membership.Tick{})
			r.logFenceChange()
		case event := <-r.events.Items():
			r.step(ctx, event)
		}
	}
}

// guard returns a panic of run as an error.
func (r *Runner) guard(ctx context.Context, place string, run func(context.Context)) error {
	return r.options.Logger.Guard(place, func() error {
		run(ctx)
		return nil
	})
}

// View returns the latest view of the fleet; never nil.
func (r *Runner) View() *membership.View { return r.view.Load() }

// Serving reports whether the node may serve calls at now.
func (r *Runner) Serving(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Serving(now)
}

// SetTarget sets the service, slots, state and software version of the local target.
func (r *Runner) SetTarget(service string, slots uint32, state membership.TargetState, version string) {
	r.events.Push(membership.TargetChanged{Service: service, Slots: slots, State: state, Version: version}, r.done)
}

// Leave announces that this node leaves the fleet. It returns at
// membership.LeaveCompleted, which does not always mean that another node has
// acknowledged the leave, or when ctx or Run has ended.
func (r *Runner) Leave(ctx context.Context) {
	if !r.events.Push(membership.LeaveRequested{}, ctx.Done()) {
		return
	}
	select {
	case <-r.leaveDone:
	case <-ctx.Done():
	case <-r.done:
	}
}

// Summaries returns the stored summaries of all known failure domains, including
// the local domain. Nodes exchange summaries only on demand, so each call waits
// until every domain has a recent one, for at most summaryTimeout. A known domain
// without a summary gets one without a reporter, with an age that makes it not
// fresh.
func (r *Runner) Summaries(now time.Time) []membership.Summary {
	r.events.TryPush(membership.SummariesRequested{})
	started := time.Now()
	for {
		summaries := r.summaries(now.Add(time.Since(started)))
		if allRecent(summaries) || time.Since(started) >= summaryTimeout {
			return summaries
		}
		select {
		case <-time.After(summaryPollInterval):
		case <-r.done:
			return summaries
		}
	}
}

// StoredSummaries returns the stored summaries and requests none.
func (r *Runner) StoredSummaries(now time.Time) []membership.Summary { return r.summaries(now) }

func (r *Runner) summaries(now time.Time) []membership.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Summaries(now)
}

// allRecent reports whether there is a summary and each domain has a recent one.
func allRecent(summaries []membership.Summary) bool {
	recent := make(map[string]bool)
	for _, s := range summaries {
		recent[s.Domain] = recent[s.Domain] || s.Age <= recentSummaryAge
	}
	for _, domainRecent := range recent {
		if !domainRecent {
			return false
		}
	}
	return len(recent) > 0
}

// PeerLoad returns the load that the peer with the ID last reported, and when the
// report was received.
func (r *Runner) PeerLoad(id string) (load uint32, at time.Time, ok bool) {
	return r.loads.get(id)
}

// RecordPlatformContact records a response from the platform, for the fence.
func (r *Runner) RecordPlatformContact() {
	r.events.TryPush(membership.PlatformContacted{SentAt: r.options.Now()})
}

// RecordCurrent records that the node's configuration, of the given version, was the newest
// at the given time.
func (r *Runner) RecordCurrent(at time.Time, version state.Version) {
	r.events.TryPush(membership.ConfigurationCurrent{At: at, Version: version})
}

// CurrentAt returns the latest time at which the node's configuration is known to have been
// the newest, or the zero time.
func (r *Runner) CurrentAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.CurrentAt()
}

func (r *Runner) localStatus() membership.LocalStatusChanged {
	return membership.LocalStatusChanged{
		Version: r.options.AppliedVersion(), Load: r.options.Load(), LogUnreachable: r.options.LogUnreachable(),
	}
}

func (r *Runner) step(ctx context.Context, event membership.Event) {
	actions, view := r.stepMachine(event)
	r.view.Store(view)
	for _, action := range actions {
		r.perform(ctx, action)
	}
}

func (r *Runner) stepMachine(event membership.Event) ([]membership.Action, *membership.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	actions := r.machine.Step(r.options.Now(), event)
	view := r.view.Load()
	if epoch := r.machine.Epoch(); epoch != view.Epoch {
		view = r.machine.View()
	}
	return actions, view
}

func (r *Runner) perform(ctx context.Context, action membership.Action) {
	switch action := action.(type) {
	case membership.SendProbe:
		r.sendProbe(ctx, action)
	case membership.RespondToProbe:
		r.replies.deliver(action.Token, action.Ack)
	case membership.MemberChanged:
		r.logMemberChange(action)
		if action.Current.State == membership.Dead || action.Current.State == membership.Left {
			r.loads.remove(action.Current.ID)
		}
	case membership.LeaveCompleted:
		r.leaveOnce.Do(func() { close(r.leaveDone) })
	case membership.Replaced:
		r.options.Logger.Event(logging.NodeSuperseded).Uint("incarnation", action.Incarnation).Send()
	case membership.PeerStatusReceived:
		r.loads.set(action.Peer.ID, action.Load, r.options.Now())
		if r.options.OnPeerVersion != nil {
			r.options.OnPeerVersion(action.Peer, action.Version)
		}
	}
}

func machineSettings(options Options) membership.Settings {
	s := options.Settings
	return membership.Settings{
		ProbeInterval:    s.ProbeInterval,
		ProbeTimeout:     s.ProbeTimeout,
		SuspicionTimeout: s.SuspicionTimeout,
		FenceTimeout:     s.FenceTimeout,
		ForgetTimeout:    s.ForgetTimeout,
		RelayInterval:    s.RelayInterval,
		Relays:           s.Relays,
		CurrentBound:     options.CurrentBound,
	}
}

func machineSeeds(seeds []config.Seed) []membership.Seed {
	var converted []membership.Seed
	for _, seed := range seeds {
		converted = append(converted, membership.Seed{ID: seed.ID, Domain: seed.Domain, ControlAddress: seed.ControlAddress})
	}
	return converted
}
