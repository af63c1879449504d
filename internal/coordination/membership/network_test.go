package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

const tickInterval = 25 * time.Millisecond

var (
	epoch    = time.Unix(1_700_000_000, 0)
	settings = membership.Settings{
		ProbeInterval:    500 * time.Millisecond,
		ProbeTimeout:     200 * time.Millisecond,
		SuspicionTimeout: 1500 * time.Millisecond,
		FenceTimeout:     5 * time.Second,
		ForgetTimeout:    8 * time.Second,
		RelayInterval:    500 * time.Millisecond,
		Relays:           2,
	}
)

// scheduled is a function that runs at a virtual time.
type scheduled struct {
	at       time.Time
	sequence uint64
	run      func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].sequence < s[j].sequence
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// fakeNode simulates the process around a machine.
type fakeNode struct {
	self    membership.Member
	machine *membership.Machine
	// process counts the starts, so that messages to an earlier process are lost.
	process  int
	running  bool
	paused   bool
	backlog  []membership.Event
	position uint64
	// platformReachable is whether the node can reach the platform.
	platformReachable bool
	hasJoined         bool
	replies           map[uint64]func(membership.Ack)
	lastToken         uint64
	// replaced is set when the machine has reported Replaced.
	replaced bool
	// hasSuccessor is set when another instance was started with the node's ID.
	hasSuccessor bool
}

// network carries probes between machines under a virtual clock.
type network struct {
	now             time.Time
	random          *rand.Rand
	queue           schedule
	sequence        uint64
	nodes           []*fakeNode
	byHost          map[string]*fakeNode
	seeds           []membership.Seed
	configuredSeeds int // seeds that are in the settings
	newest          uint64
	starts          uint64
	loss            float64
	duplication     float64
	latency         time.Duration
	blocked         func(a, b *fakeNode) bool
	onStep          func(n *fakeNode)
	onProbe         func(from, to *fakeNode, probe membership.Probe)
	onAck           func(from, to *fakeNode, probe membership.Probe, ack membership.Ack)
	stepTime        time.Duration
	steps           int
	measureSteps    bool
}

func newNetwork(seed uint64) *network {
	return &network{
		now:     epoch,
		random:  rand.New(rand.NewPCG(seed, 1)),
		byHost:  make(map[string]*fakeNode),
		latency: 2 * time.Millisecond,
		blocked: func(a, b *fakeNode) bool { return false },
	}
}

// addDomains adds nodes. The first two of each domain are seeds of every node.
func (n *network) addDomains(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("d%02d-service-%03d", d, i)
			address := fmt.Sprintf("10.0.%d.%d:7101", d, i)
			node := &fakeNode{platformReachable: true, self: membership.Member{
				ID: id, Domain: fmt.Sprintf("domain-%02d", d), ControlAddress: address, CallsAddress: address,
				Service: "service", Slots: 20, Target: membership.TargetReady,
			}}
			n.nodes = append(n.nodes, node)
			n.byHost[address] = node
			if i < 2 {
				n.seeds = append(n.seeds, membership.Seed{ID: id, Domain: node.self.Domain, ControlAddress: address})
			}
		}
	}
	n.configuredSeeds = len(n.seeds)
}

func (n *network) at(at time.Time, run func()) {
	n.sequence++
	heap.Push(&n.queue, scheduled{at: at, sequence: n.sequence, run: run})
}

func (n *network) after(wait time.Duration, run func()) { n.at(n.now.Add(wait), run) }

// run advances the virtual time by period.
func (n *network) run(period time.Duration) {
	end := n.now.Add(period)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(scheduled)
		n.now = next.at
		next.run()
	}
	n.now = end
}

// start starts a new process of the node with the seeds of its settings. It
// learns later seeds from the platform.
func (n *network) start(node *fakeNode) {
	node.process++
	node.running, node.paused, node.backlog = true, false, nil
	node.position, node.hasJoined, node.replaced = 0, false, false
	node.replies = make(map[uint64]func(membership.Ack))
	n.starts++
	node.self.Incarnation = uint64(n.now.UnixNano()) + n.starts
	node.machine = membership.New(settings, node.self, n.seeds[:n.configuredSeeds], rand.NewPCG(n.random.Uint64(), 2))
	process := node.process
	var tick func()
	tick = func() {
		if node.process != process || !node.running {
			return
		}
		if !node.paused {
			n.pollPlatform(node)
			n.feed(node, membership.LocalStatusChanged{Version: state.Version{Position: node.position}, Load: 1})
			n.feed(node, membership.Tick{})
		}
		n.after(tickInterval, tick)
	}
	n.after(time.Duration(n.random.Int64N(int64(tickInterval))), tick)
}

// kill ends the node's process.
func (n *network) kill(node *fakeNode) { node.running = false }

// replace starts another instance with the node's ID. The previous one may still
// run or be paused.
func (n *network) replace(previous *fakeNode, host int) *fakeNode {
	previous.hasSuccessor = true
	address := fmt.Sprintf("10.1.0.%d:7101", host)
	node := &fakeNode{platformReachable: previous.platformReachable, self: previous.self}
	node.self.ControlAddress, node.self.CallsAddress = address, address
	n.nodes = append(n.nodes, node)
	n.byHost[address] = node
	n.start(node)
	n.seeds = append(n.seeds, membership.Seed{ID: node.self.ID, Domain: node.self.Domain, ControlAddress: address, Incarnation: node.self.Incarnation})
	return node
}

// pause stops the process without ending it.
func (n *network) pause(node *fakeNode) { node.paused = true }

// resume resumes a paused process, which then processes the events received in
// the meantime.
func (n *network) resume(node *fakeNode) {
	if !node.paused || !node.running {
		return
	}
	node.paused = false
	backlog := node.backlog
	node.backlog = nil
	for _, event := range backlog {
		n.feed(node, event)
	}
}

// pollPlatform simulates a node's reading of the platform's log: to the end at
// the start, and at random times after.
func (n *network) pollPlatform(node *fakeNode) {
	if !node.platformReachable {
		return
	}
	if !node.hasJoined || n.random.IntN(40) == 0 {
		node.hasJoined = true
		node.position = max(node.position, n.newest)
		n.feed(node, membership.SeedsLearned{Seeds: n.seeds})
		n.feed(node, membership.PlatformContacted{SentAt: n.now})
	}
}

// feed steps the machine with the event, or queues it while the process is
// paused.
func (n *network) feed(node *fakeNode, event membership.Event) {
	if !node.running {
		return
	}
	if node.paused {
		node.backlog = append(node.backlog, event)
		return
	}
	start := time.Now()
	actions := node.machine.Step(n.now, event)
	if n.measureSteps {
		n.stepTime += time.Since(start)
		n.steps++
	}
	for _, action := range actions {
		n.perform(node, action)
	}
	if n.onStep != nil {
		n.onStep(node)
	}
}

func (n *network) perform(node *fakeNode, action membership.Action) {
	switch action := action.(type) {
	case membership.SendProbe:
		n.sendProbe(node, action)
	case membership.RespondToProbe:
		if reply := node.replies[action.Token]; reply != nil {
			delete(node.replies, action.Token)
			reply(action.Ack)
		}
	case membership.PeerStatusReceived:
		n.pullVersion(node, action.Version.Position)
	case membership.Replaced:
		node.replaced = true
	}
}

// pullVersion simulates the pull of a later configuration from a peer.
func (n *network) pullVersion(node *fakeNode, position uint64) {
	if position <= node.position || !node.hasJoined {
		return
	}
	process := node.process
	n.after(time.Duration(n.random.Int64N(int64(200*time.Millisecond))), func() {
		if node.process == process && node.running && !node.paused {
			node.position = max(node.position, position)
		}
	})
}

// sendProbe delivers a probe to the node at the address and its ack back. Either
// may be lost, delayed or duplicated.
func (n *network) sendProbe(from *fakeNode, action membership.SendProbe) {
	process := from.process
	completed := false
	deliverResult := func(event membership.Event) {
		if from.process == process {
			n.feed(from, event)
		}
	}
	n.after(action.Timeout, func() {
		if !completed {
			completed = true
			deliverResult(membership.ProbeFailed{Token: action.Token})
		}
	})
	to := n.byHost[action.Address]
	if to == nil {
		return
	}
	if n.onProbe != nil {
		n.onProbe(from, to, action.Probe)
	}
	reply := func(ack membership.Ack) {
		if n.onAck != nil {
			n.onAck(to, from, action.Probe, ack)
		}
		n.deliver(to, from, func() {
			if !completed {
				completed = true
				deliverResult(membership.AckReceived{Token: action.Token, Ack: ack})
			}
		})
	}
	n.deliver(from, to, func() {
		to.lastToken++
		if to.running {
			to.replies[to.lastToken] = reply
		}
		n.feed(to, membership.ProbeReceived{Token: to.lastToken, Probe: action.Probe})
	})
}

// deliver runs the function after the message's latency, unless the message is
// lost. It runs the function twice if the message is duplicated.
func (n *network) deliver(from, to *fakeNode, run func()) {
	if n.blocked(from, to) || n.random.Float64() < n.loss {
		return
	}
	wait := n.latency/2 + time.Duration(n.random.Int64N(int64(n.latency)))
	n.after(wait, run)
	if n.random.Float64() < n.duplication {
		n.after(wait+time.Duration(n.random.Int64N(int64(time.Second))), run)
	}
}
