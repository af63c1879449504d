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

	fold    *acceptance.Fold
	history history
	roster  roster

	join        join
	reading     reading
	checkpoints checkpoints
	pushing     pushing
	pulling     pulling

	actions []Action
	wake    time.Time
}

// New returns the machine of a node that knows no configuration yet.
func New(options Options) *Machine {
	return &Machine{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed)),
		limiter:     rate.NewLimiter(rate.Limit(options.PullsPerSecond), options.PullsPerSecond),
		fold:        acceptance.New(),
		roster:      newRoster(options.Self, nil),
		checkpoints: checkpoints{known: unknownOffset},
		pushing:     pushing{lanes: make(map[string]*lane)},
		pulling:     pulling{ahead: make(map[string]newerPeer)},
	}
}

// Fold returns the folded configuration, for read-back. It may be ahead of what
// is installed while the node joins.
func (m *Machine) Fold() *acceptance.Fold { return m.fold }

// Joined reports whether the node has reached the end of the log that the
// platform reported after the start.
func (m *Machine) Joined() bool { return m.join.joined }

// NextWake returns the time of the next Tick that matters, or the zero time.
func (m *Machine) NextWake() time.Time { return m.wake }

// Step takes one event and returns what to do. Times never go back.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	m.wake = time.Time{}
	m.begin(now)
	m.handle(now, event)
	m.settleJoin()
	m.wantFloor(now)
	m.wantTail(now)
	m.wantCheckpoint(now)
	m.wantPull(now)
	m.wantPushes(now)
	return m.actions
}

func (m *Machine) handle(now time.Time, event Event) {
	switch e := event.(type) {
	case ViewChanged:
		m.roster = newRoster(m.options.Self, e.View)
		m.pruneLanes()
	case BoundsRead:
		m.platformAnswered()
		m.takeBounds(now, e)
	case TicketsRead:
		m.platformAnswered()
		m.takeTickets(now, e.Records)
	case NewestTicketRead:
		m.platformAnswered()
		m.takeNewest(now, e)
	case TicketsTrimmed:
		m.platformAnswered()
		m.reading.tail.succeeded()
		m.reading.trimmed = true
	case CheckpointRead:
		m.platformAnswered()
		m.takeCheckpoint(now, e)
	case CheckpointWritten:
		m.platformAnswered()
		m.checkpointWritten(now, e.Offset)
	case PlatformFailed:
		m.platformFailed(now, e.Request)
	case PeerVersion:
		m.takePeerVersion(now, e)
	case PushReceived:
		m.takePush(now, e)
	case PushDone:
		m.pushDone(e)
	case PullReceived:
		m.servePull(now, e)
	case PullDone:
		m.pullDone(now, e)
	case VerdictRequested:
		m.pulling.asked = true
	}
}

func (m *Machine) do(action Action) { m.actions = append(m.actions, action) }

// due reports whether t has come; otherwise the machine wakes at t.
func (m *Machine) due(now, t time.Time) bool {
	if !now.Before(t) {
		return true
	}
	if m.wake.IsZero() || t.Before(m.wake) {
		m.wake = t
	}
	return false
}

// ready reports whether a request of the kind may start now.
func (m *Machine) ready(now time.Time, a *attempt) bool {
	return !a.running && m.due(now, a.notBefore)
}

// position is where the fold stands.
func (m *Machine) position() uint64 { return m.fold.Version().Position }

// adopt moves the fold to the update's state and reports whether it moved.
func (m *Machine) adopt(update acceptance.Update) (moved bool, err error) {
	before := m.position()
	err = m.fold.ApplyUpdate(update)
	if err != nil {
		return false, err
	}
	m.reading.trimmed = false
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

// updateSince returns what a node at position lacks. It is the whole state when
// the kept history does not reach back so far.
func (m *Machine) updateSince(position uint64) (update acceptance.Update, whole bool) {
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
