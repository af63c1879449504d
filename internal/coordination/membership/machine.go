package membership

import (
	"math/rand/v2"
	"time"

	"jasminegate/internal/state"
)

// Machine decides who is in the fleet. It is used by one goroutine.
type Machine struct {
	settings Settings
	random   *rand.Rand
	table    *table
	self     Member
	version  state.Version
	load     uint32
	replaced bool

	started  time.Time
	lastStep time.Time
	resumed  time.Time
	sweepAt  time.Time
	actions  []Action

	prober  prober
	news    news
	join    join
	relay   relay
	told    map[string]told
	contact contact
	held    map[string]heldSummary
	demand  time.Time
}

// New returns a machine that knows itself and its seeds. Source feeds every
// random choice.
func New(settings Settings, self Member, seeds []Seed, source rand.Source) *Machine {
	self.State = Alive
	m := &Machine{
		settings: settings,
		random:   rand.New(source),
		table:    newTable(),
		self:     self,
		prober:   prober{pending: make(map[uint64]*pendingProbe)},
		news:     news{remaining: make(map[string]int)},
		relay:    relay{domains: make(map[string]*relayLink)},
		join:     join{index: make(map[seedKey]int)},
		told:     make(map[string]told),
		held:     make(map[string]heldSummary),
	}
	m.table.merge(time.Time{}, self)
	m.addSeeds(seeds)
	return m
}

// Step takes in one event and returns what to do. Now must not go back.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	m.noticePause(now)
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
		m.revise(now)
	case PlatformContacted:
		m.platformContacted(event)
	case SeedsLearned:
		m.addSeeds(event.Seeds)
	case LeaveRequested:
		m.leave(now)
	case SummariesRequested:
		m.want(now)
	}
	return m.actions
}

// Epoch grows with each change of the table.
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

// Joined reports whether this node found the fleet.
func (m *Machine) Joined() bool { return m.join.done || len(m.livePeers()) > 0 }

// IsFirstRelay reports whether this node comes first in its domain.
func (m *Machine) IsFirstRelay() bool {
	relays := m.relaysOf(m.self.Domain)
	return len(relays) > 0 && relays[0].ID == m.self.ID
}

func (m *Machine) act(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) tick(now time.Time) {
	m.expireProbes(now)
	m.expireSuspicions(now)
	m.sweep(now)
	m.probeWhenDue(now)
	m.joinWhenDue(now)
	m.relayWhenDue(now)
	m.pullSummariesWhenDue(now)
}

// noticePause finds that this process did not run for a while. What it waited
// for may have come meanwhile, so nothing is concluded from that time: probes
// under way are given up without blame, and every timeout starts again.
func (m *Machine) noticePause(now time.Time) {
	if m.started.IsZero() {
		m.started, m.lastStep = now, now
	}
	gap := now.Sub(m.lastStep)
	m.lastStep = later(m.lastStep, now)
	if gap <= m.pauseBound() {
		return
	}
	m.resumed = now
	clear(m.prober.pending)
	for _, r := range m.table.records {
		r.suspicionEnds = now.Add(m.settings.SuspicionTimeout)
		r.since = now
		if !r.replaced.IsZero() {
			r.replaced = now
		}
	}
}

// pauseBound is the longest time between two steps that is not a pause.
func (m *Machine) pauseBound() time.Duration {
	return max(m.settings.ProbeTimeout, m.settings.ProbeInterval)
}

func (m *Machine) localChanged(now time.Time, event LocalStatusChanged) {
	moved := event.Version.Position > m.version.Position
	m.version, m.load = event.Version, event.Load
	if moved {
		m.hurry(now)
	}
}

// revise publishes a change of the own record.
func (m *Machine) revise(now time.Time) {
	m.self.Revision++
	m.table.merge(now, m.self)
	m.spread(m.self)
	m.hurry(now)
}

// stepReplaced refuses everything: a later process holds this node's ID.
func (m *Machine) stepReplaced(event Event) {
	switch event := event.(type) {
	case ProbeReceived:
		m.act(Reply{Token: event.Token, Ack: Ack{From: m.self.ID, FromIncarnation: m.self.Incarnation}})
	case LeaveRequested:
		m.act(LeaveCompleted{})
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
