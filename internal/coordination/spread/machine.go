package spread

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/state"
)

// Machine decides what one node reads, pushes, pulls and installs. It is not safe
// for concurrent use.
type Machine struct {
	options Options
	random  *rand.Rand
	limiter *rate.Limiter

	fold     *acceptance.Fold
	history  history
	topology topology

	join        joinState
	reading     readingState
	checkpoints checkpointState
	pushing     pushingState
	pulling     pullingState

	actions  []Action
	nextWake time.Time
}

// New returns the machine of a starting node, which has no configuration yet.
func New(options Options) *Machine {
	return &Machine{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed)),
		limiter:     rate.NewLimiter(rate.Limit(options.PullsPerSecond), options.PullsPerSecond),
		fold:        acceptance.New(),
		topology:    newTopology(options.Self, nil),
		join:        joinState{registeredReader: isReaderAmong(options.Self, options.Registered, options.Readers)},
		checkpoints: checkpointState{streamEnd: unknownOffset},
		pushing:     pushingState{progress: make(map[string]*pushProgress)},
		pulling:     pullingState{newerPeers: make(map[string]newerPeer)},
	}
}

// Fold returns the newest accepted configuration and its verdicts. While the node
// joins, it may be newer than the installed configuration.
func (m *Machine) Fold() *acceptance.Fold { return m.fold }

// Joined reports whether the node has applied the log up to the end that the
// platform reported after the start, and has installed a configuration. It does not
// say whether the node is in the member table (membership.Machine.Joined).
func (m *Machine) Joined() bool { return m.join.joined }

// NextWake returns the time at which Step is next due, or the zero time if no
// Tick is needed.
func (m *Machine) NextWake() time.Time { return m.nextWake }

// Step handles one event and returns the actions to carry out. The time must not
// be before that of the previous call.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	m.nextWake = time.Time{}
	m.recordStart(now)
	m.handle(now, event)
	m.installIfJoined(now)
	m.maybeReadJoinOffset(now)
	m.maybeReadLog(now)
	m.noticeOverdueRead(now)
	m.maybeCheckpoint(now)
	m.maybePull(now)
	m.startPushes(now)
	return m.actions
}

func (m *Machine) handle(now time.Time, event Event) {
	switch e := event.(type) {
	case ViewChanged:
		m.topology = newTopology(m.options.Self, e.View)
		m.pruneProgress()
	case BoundsRead:
		m.handlePlatformResponse(now)
		m.handleBounds(now, e)
	case ReadResponding:
		m.noteReadResponse(now, e.Delay)
	case TicketsRead:
		m.handlePlatformResponse(now)
		m.handleTickets(now, e.Records)
	case NewestTicketRead:
		m.handlePlatformResponse(now)
		m.handleNewestTicket(now, e)
	case TicketsTrimmed:
		m.handlePlatformResponse(now)
		m.reading.request.inFlight = false // the next read tells whether there is progress
		m.reading.recordsMissing = true
	case CheckpointRead:
		m.handlePlatformResponse(now)
		m.handleCheckpoint(now, e)
	case CheckpointWritten:
		m.handlePlatformResponse(now)
		m.handleCheckpointWritten(now, e.Offset)
	case PlatformFailed:
		m.handlePlatformFailure(now, e)
	case PeerVersion:
		m.handlePeerVersion(now, e)
	case PushReceived:
		m.handlePush(now, e)
	case PushDone:
		m.handlePushDone(e)
	case PullReceived:
		m.servePull(now, e)
	case PullDone:
		m.handlePullDone(now, e)
	case VerdictRequested:
		m.pulling.pullRequested = true
	}
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// dueOrWake reports whether t is reached. If not, it schedules a Tick for t.
func (m *Machine) dueOrWake(now, t time.Time) bool {
	if !now.Before(t) {
		return true
	}
	if m.nextWake.IsZero() || t.Before(m.nextWake) {
		m.nextWake = t
	}
	return false
}

// ready reports whether the request may start now. It schedules a Tick if the
// request has to wait for its retry delay.
func (m *Machine) ready(now time.Time, request *requestState) bool {
	return !request.inFlight && m.dueOrWake(now, request.notBefore)
}

// position returns the position of the newest accepted configuration.
func (m *Machine) position() uint64 { return m.fold.Version().Position }

// applyUpdate applies an update from a peer or a checkpoint. It reports whether the
// state advanced, if only by verdicts.
func (m *Machine) applyUpdate(update acceptance.Update) (advanced bool, err error) {
	before := m.position()
	if update.To.Number == 0 {
		update = update.InEra(m.logEra())
	}
	err = m.fold.ApplyUpdate(update)
	if err != nil {
		return false, err
	}
	m.reading.recordsMissing = false
	m.pushing.base = before
	if m.position() == before {
		return true, nil
	}
	if update.Full() {
		m.history.reset(m.position())
	} else {
		m.history.add(m.position(), update.Resources)
	}
	return true, nil
}

// logEra returns the era of the log that this node knows of.
func (m *Machine) logEra() uint64 {
	return max(state.EraOf(m.fold.NextOffset()), state.EraOf(m.join.offset))
}

// inLogEra returns the version that a peer sent. Peers of an earlier release state no
// number and no era; their positions are taken to be of this node's era.
func (m *Machine) inLogEra(version state.Version) state.Version {
	if version.Number == 0 && version.Position > 0 {
		version.Position = state.PositionInEra(m.logEra(), version.Position)
	}
	return version
}

// updateSince returns the changes after position. If the history no longer holds
// them, it returns the full state and sets fullState. For position 0 the result is a
// full update (Update.Full) in either case.
func (m *Machine) updateSince(position uint64) (update acceptance.Update, fullState bool) {
	changes, ok := m.history.since(position)
	if !ok {
		return m.fold.FullUpdate(), true
	}
	return acceptance.Update{
		From:          state.Version{Position: position},
		To:            m.fold.Version(),
		NextOffset:    m.fold.NextOffset(),
		HighestNumber: m.fold.HighestNumber(),
		Resources:     changes,
		Verdicts:      m.fold.VerdictsAfter(position),
	}, false
}
