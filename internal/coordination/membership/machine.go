package membership

import (
	"math/rand/v2"
	"time"

	"jasminegate/internal/state"
)

// Machine is the membership state machine. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	random   *rand.Rand
	table    *table
	self     Member
	version  state.Version
	load     uint32
	replaced bool

	// startedAt is the time of the first step, lastStep that of the latest one.
	startedAt time.Time
	lastStep  time.Time
	// resumedAt is when the latest pause was detected; zero if there was none.
	resumedAt time.Time
	nextSweep time.Time
	actions   []Action

	prober            prober
	updates           updateQueue
	join              join
	relay             relay
	relayAcks         map[string]relayAck
	contact           contact
	current           currentState
	receivedSummaries map[string]receivedSummary
	// collectUntil is the end of the period in which this node, if it is a relay,
	// collects the summaries of other domains.
	collectUntil time.Time
}

// New returns a machine whose table holds only self, and which joins through the
// seeds. Source supplies all random numbers.
func New(settings Settings, self Member, seeds []Seed, source rand.Source) *Machine {
	self.State = Alive
	m := &Machine{
		settings:          settings,
		random:            rand.New(source),
		table:             newTable(),
		self:              self,
		prober:            prober{pending: make(map[uint64]*pendingProbe)},
		updates:           updateQueue{remaining: make(map[string]int)},
		relay:             relay{domains: make(map[string]*relayLink)},
		join:              join{index: make(map[seedKey]int)},
		relayAcks:         make(map[string]relayAck),
		receivedSummaries: make(map[string]receivedSummary),
	}
	m.table.merge(time.Time{}, self)
	m.addSeeds(seeds)
	return m
}

// Step processes one event and returns the actions to perform. Now must not
// decrease between calls.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	m.detectPause(now)
	if m.replaced {
		m.stepReplaced(event)
		return m.actions
	}
	switch event := event.(type) {
	case Tick:
		m.tick(now)
	case LocalStatusChanged:
		m.localChanged(now, event)
	case ProbeReceived:
		m.probeReceived(now, event)
	case AckReceived:
		m.ackReceived(now, event)
	case ProbeFailed:
		m.probeFailed(now, event.Token)
	case TargetChanged:
		m.self.Service, m.self.Slots, m.self.Target = event.Service, event.Slots, event.State
		m.self.TargetVersion = event.Version
		m.publishOwnRecord(now)
	case PlatformContacted:
		m.platformContacted(event)
	case ConfigurationCurrent:
		m.configurationCurrent(now, event)
	case SeedsLearned:
		m.addSeeds(event.Seeds)
	case LeaveRequested:
		m.leave(now)
	case SummariesRequested:
		m.requestSummaries(now)
	}
	return m.actions
}

// Epoch increases with each change of the table.
func (m *Machine) Epoch() uint64 { return m.table.epoch }

// View returns an immutable copy of the table.
func (m *Machine) View() *View {
	records := m.table.sorted()
	members := make([]Member, 0, len(records))
	for _, r := range records {
		members = append(members, r.Member)
	}
	return &View{Epoch: m.table.epoch, Self: m.self, Members: members}
}

// Joined reports whether this node has received a full table or knows a live
// member of its domain. It does not depend on the node's configuration.
func (m *Machine) Joined() bool { return m.join.tableReceived || len(m.livePeers()) > 0 }

// IsFirstRelay reports whether this node is the first relay of its domain.
func (m *Machine) IsFirstRelay() bool {
	relays := m.relaysOf(m.self.Domain)
	return len(relays) > 0 && relays[0].ID == m.self.ID
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) tick(now time.Time) {
	m.expireProbes(now)
	m.expireSuspicions(now)
	m.sweep(now)
	m.probeWhenDue(now)
	m.joinWhenDue(now)
	m.relayWhenDue(now)
	m.pullSummariesWhenDue(now)
	m.refreshCurrentWhenDue(now)
}

// detectPause detects that this process did not run for a while, such as after a
// SIGSTOP or a VM suspension. Acks and refutations may have arrived in that time
// without being processed, so pending probes are dropped without suspecting
// their targets, and every timeout restarts.
func (m *Machine) detectPause(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.lastStep = now, now
	}
	gap := now.Sub(m.lastStep)
	m.lastStep = later(m.lastStep, now)
	if gap <= m.pauseBound() {
		return
	}
	m.resumedAt = now
	clear(m.prober.pending)
	for _, r := range m.table.records {
		r.suspicionEnds = now.Add(m.settings.SuspicionTimeout)
		r.stateSince = now
		if !r.replacedAt.IsZero() {
			r.replacedAt = now
		}
	}
}

// pauseBound is the longest time between two steps that does not count as a
// pause.
func (m *Machine) pauseBound() time.Duration {
	return max(m.settings.ProbeTimeout, m.settings.ProbeInterval)
}

func (m *Machine) localChanged(now time.Time, event LocalStatusChanged) {
	advanced := event.Version.Newer(m.version)
	m.version, m.load = event.Version, event.Load
	if event.LogUnreachable != m.self.LogUnreachable && m.self.State != Left {
		m.self.LogUnreachable = event.LogUnreachable
		m.publishOwnRecord(now)
	}
	if advanced {
		m.expediteProbe(now)
	}
}

// publishOwnRecord increments the revision of this node's record and disseminates
// it.
func (m *Machine) publishOwnRecord(now time.Time) {
	m.self.Revision++
	m.table.merge(now, m.self)
	m.disseminate(m.self)
	m.expediteProbe(now)
}

// stepReplaced responds to probes without claiming to reach or know any node, and
// ignores other events but LeaveRequested: a later process uses this node's ID.
func (m *Machine) stepReplaced(event Event) {
	switch event := event.(type) {
	case ProbeReceived:
		m.emit(RespondToProbe{Token: event.Token, Ack: Ack{From: m.self.ID, FromIncarnation: m.self.Incarnation}})
	case LeaveRequested:
		m.emit(LeaveCompleted{})
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
