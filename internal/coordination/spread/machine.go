package spread

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/state"
)

// Machine holds the decisions of one node. It is used by one goroutine.
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

// New returns the machine of a node that knows no configuration yet.
func New(options Options) *Machine {
	return &Machine{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed)),
		limiter:     rate.NewLimiter(rate.Limit(options.PullsPerSecond), options.PullsPerSecond),
		fold:        acceptance.New(),
		topology:    newTopology(options.Self, nil),
		checkpoints: checkpointState{streamEnd: unknownOffset},
		pushing:     pushingState{progress: make(map[string]*pushProgress)},
		pulling:     pullingState{newerPeers: make(map[string]newerPeer)},
	}
}

// Fold returns the folded configuration, for read-back. It may be ahead of what
// is installed while the node joins.
func (m *Machine) Fold() *acceptance.Fold { return m.fold }

// Joined reports whether the node has reached the end of the log that the
// platform reported after the start.
func (m *Machine) Joined() bool { return m.join.joined }

// Wake returns the time of the next Tick that matters, or the zero time.
func (m *Machine) Wake() time.Time { return m.nextWake }

// Step takes one event and returns what to do. Times never go back.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	m.nextWake = time.Time{}
	m.recordStart(now)
	m.handle(now, event)
	m.installIfJoined()
	m.maybeReadJoinOffset(now)
	m.maybeReadLog(now)
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
		m.handlePlatformAnswer()
		m.handleBounds(now, e)
	case TicketsRead:
		m.handlePlatformAnswer()
		m.handleTickets(now, e.Records)
	case NewestRead:
		m.handlePlatformAnswer()
		m.handleNewestTicket(now, e)
	case TicketsTrimmed:
		m.handlePlatformAnswer()
		m.reading.request.succeeded()
		m.reading.trimmed = true
	case CheckpointRead:
		m.handlePlatformAnswer()
		m.handleCheckpoint(now, e)
	case CheckpointWritten:
		m.handlePlatformAnswer()
		m.handleCheckpointWritten(now, e.Offset)
	case PlatformFailed:
		m.handlePlatformFailure(now, e.Request)
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
	case VerdictWanted:
		m.pulling.verdictRequested = true
	}
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// dueOrWake reports whether t has come; otherwise the machine wakes at t.
func (m *Machine) dueOrWake(now, t time.Time) bool {
	if !now.Before(t) {
		return true
	}
	if m.nextWake.IsZero() || t.Before(m.nextWake) {
		m.nextWake = t
	}
	return false
}

// ready reports whether a request of the kind may start now.
func (m *Machine) ready(now time.Time, a *requestState) bool {
	return !a.inFlight && m.dueOrWake(now, a.notBefore)
}

// position is where the fold stands.
func (m *Machine) position() uint64 { return m.fold.Version().Position }

// adopt moves the fold to the update's state and reports whether it moved.
func (m *Machine) adopt(update acceptance.Update) (advanced bool, err error) {
	before := m.position()
	err = m.fold.Adopt(update)
	if err != nil {
		return false, err
	}
	m.reading.trimmed = false
	m.pushing.base = before
	if m.position() == before {
		return true, nil
	}
	if update.Whole() {
		m.history.reset(m.position())
	} else {
		m.history.add(m.position(), update.Resources)
	}
	return true, nil
}

// updateSince returns what a node at position lacks. It is the whole state when
// the kept history does not reach back so far.
func (m *Machine) updateSince(position uint64) (update acceptance.Update, fullState bool) {
	changes, ok := m.history.since(position)
	if !ok {
		return m.fold.Whole(), true
	}
	return acceptance.Update{
		From:      state.Version{Position: position},
		To:        m.fold.Version(),
		Next:      m.fold.Next(),
		Highest:   m.fold.HighestNumber(),
		Resources: changes,
		Verdicts:  m.fold.VerdictsAfter(position),
	}, false
}
