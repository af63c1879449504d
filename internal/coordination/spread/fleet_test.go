package spread

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// fleet runs several machines and a fake log under a virtual clock and checks
// each installed snapshot. It only moves messages; all decisions are the
// machines'.
type fleet struct {
	now    time.Time
	random *rand.Rand
	fail   func(format string, args ...any)
	nodes  []*node
	byID   map[string]*node
	queue  deliveries
	count  int
	token  uint64
	// answers maps tokens to what ends the request.
	answers map[uint64]func(Action)

	tickets     [][]byte
	first       int64 // first kept ticket
	checkpoints []acceptance.Update
	// reference is the fold of the whole log and digests its accepted states.
	reference *acceptance.Fold
	digests   map[uint64]uint64

	// keyed makes the log keep the newest ticket for ever.
	keyed bool

	readers, fanOut int
	maxLatency      time.Duration // one way
	pollEvery       time.Duration

	loss         float64
	damage       float64
	platformDown bool
	platformCut  map[string]bool // domains cut from the platform
	domainsCut   bool            // domains cut from each other
	reads        int             // tickets reads
	pulls        int
	wholes       int // pulls answered with the whole state
	pushedTo     map[string]int
}

type node struct {
	member    membership.Member
	machine   *Machine
	up        bool
	paused    bool
	held      []Event // events of a paused node
	installed *state.Snapshot
	// highest is the newest version that any process of this node installed.
	highest     state.Version
	installedAt time.Time
	wakes       time.Time
	starts      uint64
	states      string // the member states that the node was shown
}

type delivery struct {
	at    time.Time
	order int
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return cmp.Or(d[i].at.Compare(d[j].at), cmp.Compare(d[i].order, d[j].order)) < 0
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

const (
	testProbeInterval = 500 * time.Millisecond
	testTimeout       = time.Second
	testReadWait      = 5 * time.Second
)

func newFleet(seed uint64, domains, perDomain int, fail func(string, ...any)) *fleet {
	f := emptyFleet(seed, fail)
	f.fill(domains, perDomain)
	return f
}

func emptyFleet(seed uint64, fail func(string, ...any)) *fleet {
	return &fleet{
		readers:     2,
		fanOut:      2,
		maxLatency:  20 * time.Millisecond,
		pollEvery:   50 * time.Millisecond,
		now:         time.Unix(1_000_000, 0),
		random:      rand.New(rand.NewPCG(seed, 1)),
		fail:        fail,
		byID:        make(map[string]*node),
		answers:     make(map[uint64]func(Action)),
		reference:   acceptance.New(),
		digests:     map[uint64]uint64{0: state.Empty().Version().Digest},
		platformCut: make(map[string]bool),
		pushedTo:    make(map[string]int),
	}
}

// fill adds the nodes and starts them.
func (f *fleet) fill(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			member := membership.Member{ID: fmt.Sprintf("n%d-%d", d, i), Domain: fmt.Sprintf("d%d", d), State: membership.Alive}
			n := &node{member: member}
			f.nodes = append(f.nodes, n)
			f.byID[member.ID] = n
		}
	}
	for _, n := range f.nodes {
		f.start(n)
		f.probe(n)
	}
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.count++
	heap.Push(&f.queue, delivery{f.now.Add(delay), f.count, run})
}

// run advances the virtual clock.
func (f *fleet) run(span time.Duration) {
	end := f.now.Add(span)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(delivery)
		f.now = next.at
		next.run()
	}
	f.now = end
}

func (f *fleet) latency() time.Duration {
	return time.Millisecond + time.Duration(f.random.Int64N(int64(f.maxLatency)))
}

func (f *fleet) start(n *node) {
	n.starts++
	n.up, n.paused, n.held, n.installed = true, false, nil, nil
	n.machine = New(Options{
		Self: n.member, Readers: f.readers, FanOut: f.fanOut, PullsPerSecond: 20,
		CheckpointInterval: 20 * time.Second, Seed: f.random.Uint64(), CompactedLog: f.keyed,
	})
	f.step(n, n.starts, Tick{})
	n.states = ""
	f.showView(n)
}

func (f *fleet) crash(n *node) {
	n.up = false
	n.installed = nil
}

// showView gives n the member table if it changed since n last saw it.
func (f *fleet) showView(n *node) {
	states := make([]byte, 0, len(f.nodes))
	for _, other := range f.nodes {
		states = append(states, byte(f.stateFor(n, other)))
	}
	if n.states != string(states) {
		n.states = string(states)
		f.step(n, n.starts, ViewChanged{f.view(n)})
	}
}

// misinform gives n, until its next probe, a member table without some nodes.
func (f *fleet) misinform(n *node) {
	view := f.view(n)
	view.Members = slices.DeleteFunc(view.Members, func(membership.Member) bool { return f.random.IntN(2) == 0 })
	n.states = "wrong"
	f.step(n, n.starts, ViewChanged{view})
}

func (f *fleet) stateFor(n, other *node) membership.State {
	if !other.up || other.paused || !f.connected(n, other) {
		return membership.Suspect
	}
	return membership.Alive
}

// view is what membership tells n: nodes that are down or cut off are suspect.
func (f *fleet) view(n *node) *membership.View {
	view := &membership.View{Self: n.member}
	for _, other := range f.nodes {
		member := other.member
		member.State = f.stateFor(n, other)
		view.Members = append(view.Members, member)
	}
	return view
}

func (f *fleet) connected(a, b *node) bool {
	return a.member.Domain == b.member.Domain || !f.domainsCut
}

func (f *fleet) platformReached(n *node) bool {
	return !f.platformDown && !f.platformCut[n.member.Domain]
}

// step gives the event to the process of n that was started as the given one.
func (f *fleet) step(n *node, start uint64, event Event) {
	if !n.up || n.starts != start {
		return
	}
	if n.paused {
		n.held = append(n.held, event)
		return
	}
	for _, action := range n.machine.Step(f.now, event) {
		f.perform(n, action)
	}
	f.arm(n)
}

func (f *fleet) arm(n *node) {
	wake, start := n.machine.NextWake(), n.starts
	if wake.IsZero() || (wake.Equal(n.wakes) && wake.After(f.now)) {
		return
	}
	n.wakes = wake
	f.after(max(wake.Sub(f.now), time.Millisecond), func() {
		f.step(n, start, Tick{})
	})
}

func (f *fleet) resume(n *node) {
	n.paused = false
	held := n.held
	n.held = nil
	for _, event := range held {
		f.step(n, n.starts, event)
	}
	f.step(n, n.starts, Tick{})
}

// probe keeps exchanging versions as membership does, with one random peer of
// the domain and one of another.
func (f *fleet) probe(n *node) {
	if n.up && !n.paused {
		f.showView(n)
		for _, same := range []bool{true, false} {
			f.probeOne(n, same)
		}
	}
	f.after(testProbeInterval, func() { f.probe(n) })
}

// probeOne exchanges versions with a random node of the same or another domain.
func (f *fleet) probeOne(n *node, same bool) {
	for range 2 * len(f.nodes) {
		other := f.nodes[f.random.IntN(len(f.nodes))]
		if other != n && (other.member.Domain == n.member.Domain) == same {
			f.exchange(n, other)
			return
		}
	}
}

func (f *fleet) exchange(a, b *node) {
	if !b.up || b.paused || !f.connected(a, b) || f.random.Float64() < f.loss {
		return
	}
	startA, startB := a.starts, b.starts
	fromA, fromB := applied(a), applied(b)
	f.after(f.latency(), func() { f.step(b, startB, PeerVersion{a.member, fromA}) })
	f.after(f.latency(), func() { f.step(a, startA, PeerVersion{b.member, fromB}) })
}

func applied(n *node) state.Version {
	if n.installed == nil {
		return state.Version{}
	}
	return n.installed.Version()
}

func (f *fleet) perform(n *node, action Action) {
	start := n.starts
	reply := func(event Event) { f.after(f.latency(), func() { f.step(n, start, event) }) }
	switch a := action.(type) {
	case ReadBounds, ReadCheckpoint, WriteCheckpoint, ReadNewestTicket:
		f.after(f.latency(), func() { reply(f.platformAnswer(n, a)) })
	case ReadTickets:
		f.reads++
		f.poll(n, a, f.now.Add(testReadWait), reply)
	case PushUpdate:
		f.push(n, a, reply)
	case PullUpdate:
		f.pull(n, a, reply)
	case RespondToPush:
		f.end(a.Token, a)
	case RespondToPull:
		f.end(a.Token, a)
	case Install:
		f.checkInstall(n, a.Snapshot)
	}
}

func (f *fleet) end(token uint64, action Action) {
	answer := f.answers[token]
	delete(f.answers, token)
	answer(action)
}

func (f *fleet) platformAnswer(n *node, action Action) Event {
	if !f.platformReached(n) {
		return PlatformFailed{Request: action}
	}
	switch a := action.(type) {
	case ReadNewestTicket:
		return f.newest(a)
	case ReadBounds:
		if a.Stream == StreamTickets {
			return BoundsRead{StreamTickets, int64(len(f.tickets))}
		}
		return BoundsRead{StreamCheckpoints, int64(len(f.checkpoints))}
	case WriteCheckpoint:
		f.checkpoints = append(f.checkpoints, a.Update)
		if f.random.Float64() < f.loss {
			return PlatformFailed{Request: action} // the answer is lost, the write is not
		}
		return CheckpointWritten{int64(len(f.checkpoints)) - 1}
	default:
		if len(f.checkpoints) == 0 {
			return CheckpointRead{}
		}
		return CheckpointRead{f.checkpoints[len(f.checkpoints)-1], true}
	}
}

// poll answers a read once there is a ticket or the wait is over.
func (f *fleet) poll(n *node, read ReadTickets, end time.Time, reply func(Event)) {
	switch {
	case !f.platformReached(n):
		f.after(testTimeout, func() { reply(PlatformFailed{Request: read}) })
	case read.From < f.first:
		reply(TicketsTrimmed{})
	case read.From < int64(len(f.tickets)):
		var records []Record
		for i := read.From; i < min(int64(len(f.tickets)), read.From+8); i++ {
			records = append(records, Record{Offset: i, Data: f.tickets[i]})
		}
		reply(TicketsRead{records})
	case !read.Wait || !f.now.Before(end):
		reply(TicketsRead{})
	default:
		f.after(f.pollEvery, func() { f.poll(n, read, end, reply) })
	}
}

func (f *fleet) find(id string) *node {
	return f.byID[id]
}

func (f *fleet) lost(a, b *node) bool {
	return !b.up || !f.connected(a, b) || f.random.Float64() < f.loss
}

func (f *fleet) push(n *node, a PushUpdate, reply func(Event)) {
	peer := f.find(a.Peer.ID)
	f.pushedTo[a.Peer.ID]++
	failed := PushDone{PeerID: a.Peer.ID, Failed: true}
	if f.lost(n, peer) {
		f.after(testTimeout, func() { reply(failed) })
		return
	}
	update := f.damaged(a.Update)
	ended := false
	finish := func(event Event) {
		if !ended {
			ended = true
			reply(event)
		}
	}
	for range 1 + f.random.IntN(2) { // an update may arrive twice
		f.request(peer, func(token uint64) Event { return PushReceived{token, update} }, func(answer Action) {
			if !f.lost(peer, n) {
				finish(PushDone{PeerID: a.Peer.ID, Version: answer.(RespondToPush).Version})
			}
		})
	}
	f.after(testTimeout, func() { finish(failed) })
}

func (f *fleet) pull(n *node, a PullUpdate, reply func(Event)) {
	peer := f.find(a.Peer.ID)
	f.pulls++
	ended := false
	finish := func(event Event) {
		if !ended {
			ended = true
			reply(event)
		}
	}
	if !f.lost(n, peer) {
		f.request(peer, func(token uint64) Event { return PullReceived{token, a.From} }, func(action Action) {
			answer := action.(RespondToPull).Answer
			if answer.RetryAfter == 0 && answer.Update.Full() {
				f.wholes++
			}
			answer.Update = f.damaged(answer.Update)
			if !f.lost(peer, n) {
				finish(PullDone{PeerID: a.Peer.ID, Response: answer})
			}
		})
	}
	f.after(testTimeout, func() { finish(PullDone{PeerID: a.Peer.ID, Failed: true}) })
}

func (f *fleet) request(peer *node, event func(token uint64) Event, answer func(Action)) {
	f.token++
	token, start := f.token, peer.starts
	f.answers[token] = answer
	f.after(f.latency(), func() { f.step(peer, start, event(token)) })
}

// damaged returns the update, now and then incomplete or altered.
func (f *fleet) damaged(update acceptance.Update) acceptance.Update {
	if len(update.Resources) == 0 || f.random.Float64() >= f.damage {
		return update
	}
	resources := slices.Clone(update.Resources)
	if f.random.IntN(2) == 0 {
		update.Resources = resources[1:]
		return update
	}
	update.To.Digest++
	return update
}

func (f *fleet) publish(ticket state.Ticket) {
	data, err := ticket.Encode()
	if err != nil {
		f.fail("encode: %v", err)
	}
	offset := int64(len(f.tickets))
	f.tickets = append(f.tickets, data)
	if _, _, err := f.reference.Apply(offset, data); err != nil {
		f.fail("reference: %v", err)
	}
	version := f.reference.Version()
	f.digests[version.Position] = version.Digest
}

// trim drops the tickets that the newest checkpoint covers.
func (f *fleet) trim() {
	if len(f.checkpoints) > 0 {
		f.first = max(f.first, f.checkpoints[len(f.checkpoints)-1].NextOffset)
	}
}

// heal ends every fault and brings every node up.
func (f *fleet) heal() {
	f.loss, f.damage, f.platformDown, f.domainsCut = 0, 0, false, false
	clear(f.platformCut)
	for _, n := range f.nodes {
		if !n.up {
			f.start(n)
		}
		if n.paused {
			f.resume(n)
		}
	}
}
