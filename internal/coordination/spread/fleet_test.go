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

// fleet simulates several machines and the platform's log under a virtual clock
// and checks each installed snapshot. It only carries out the machines' actions
// and delivers events.
type fleet struct {
	now       time.Time
	random    *rand.Rand
	fail      func(format string, args ...any)
	nodes     []*node
	byID      map[string]*node
	queue     deliveries
	scheduled int
	lastToken uint64
	// pendingResponses maps request tokens to the functions that deliver the response.
	pendingResponses map[uint64]func(Action)

	tickets [][]byte
	// appendedAt is when each ticket was appended, and currentReports counts ReportCurrent.
	appendedAt     []time.Time
	currentReports int
	firstOffset    int64 // offset of the first ticket that the log keeps
	// era is that of the log, restoredAt when it began. acceptedNumber is the newest ticket
	// of which the directory has word.
	era            uint64
	restoredAt     time.Time
	acceptedNumber uint64
	checkpoints    []acceptance.Update
	// reference has applied the whole log. digests maps the position of each
	// accepted state to its digest.
	reference *acceptance.Fold
	digests   map[uint64]uint64

	// compactedLog makes the log always keep the newest ticket.
	compactedLog bool

	readers, fanOut int
	maxLatency      time.Duration // one way
	logDelay        time.Duration // how much longer requests to the log take
	pollEvery       time.Duration

	lossRate            float64
	corruptionRate      float64
	platformDown        bool
	platformPartitioned map[string]bool // domains without access to the platform
	domainsPartitioned  bool            // no domain reaches another
	// turnedAway holds the nodes, by ID, that the platform refuses or leaves without a
	// response; readsOf counts the reads of each node.
	turnedAway  map[string]rejection
	readsOf     map[string]int
	readWait    time.Duration
	pullTimeout time.Duration // of a first pull; 0 is testTimeout for all
	ticketReads int           // ReadTickets actions
	newestReads int           // ReadNewestTicket actions that had a response
	pulls       int
	fullStates  int // responses to pulls with the full state
	pushedTo    map[string]int
	// stoppedRefuse makes nodes that are down refuse requests in place of ignoring them.
	stoppedRefuse bool
	// links models transfer times; nil means that messages of any size take only
	// the latency.
	links *links
}

type node struct {
	member     membership.Member
	machine    *Machine
	up         bool
	paused     bool
	heldEvents []Event // events that arrived while the node was paused
	installed  *state.Snapshot
	// highest is the newest version that any incarnation of this node installed.
	highest       state.Version
	installedAt   time.Time
	scheduledWake time.Time
	incarnation   uint64
	shownStates   string // member states in the last view given to the node
	// knownUnreachable is whether the others were told that the node does not reach the log.
	knownUnreachable bool
}

// rejection is how the platform turns a node away.
type rejection uint8

const (
	refuses rejection = iota + 1
	isSilent
)

// gossipTime is how long a changed member record takes to reach its domain.
const gossipTime = 300 * time.Millisecond

type delivery struct {
	at       time.Time
	sequence int
	run      func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return cmp.Or(d[i].at.Compare(d[j].at), cmp.Compare(d[i].sequence, d[j].sequence)) < 0
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
	// testReadAttempts is how often a read without a response is sent, testTimeout apart.
	testReadAttempts = 4
)

func newFleet(seed uint64, domains, perDomain int, fail func(string, ...any)) *fleet {
	f := emptyFleet(seed, fail)
	f.fill(domains, perDomain)
	return f
}

func emptyFleet(seed uint64, fail func(string, ...any)) *fleet {
	return &fleet{
		readers:             2,
		fanOut:              2,
		maxLatency:          20 * time.Millisecond,
		pollEvery:           50 * time.Millisecond,
		now:                 time.Unix(1_000_000, 0),
		random:              rand.New(rand.NewPCG(seed, 1)),
		fail:                fail,
		byID:                make(map[string]*node),
		pendingResponses:    make(map[uint64]func(Action)),
		reference:           acceptance.New(),
		digests:             map[uint64]uint64{0: state.Empty().Version().Digest},
		platformPartitioned: make(map[string]bool),
		turnedAway:          make(map[string]rejection),
		readsOf:             make(map[string]int),
		readWait:            testReadWait,
		pushedTo:            make(map[string]int),
	}
}

// fill adds nodes, starts them and starts their probes.
func (f *fleet) fill(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			member := membership.Member{ID: fmt.Sprintf("n%d-%d", d, i), Domain: fmt.Sprintf("d%d", d), State: membership.Alive}
			if f.links != nil && i < f.links.fastPerDomain {
				member.BandwidthKbps = fastLinkKbps
			}
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
	f.scheduled++
	heap.Push(&f.queue, delivery{f.now.Add(delay), f.scheduled, run})
}

// run advances the virtual clock by span and runs the due deliveries.
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
	n.incarnation++
	n.up, n.paused, n.heldEvents, n.installed, n.knownUnreachable = true, false, nil, nil, false
	n.machine = New(Options{
		Self: n.member, Readers: f.readers, FanOut: f.fanOut, PullsPerSecond: 20,
		CheckpointInterval: 20 * time.Second, Seed: f.random.Uint64(), CompactedLog: f.compactedLog,
		ReadWait: f.readWait, RequestTimeout: testTimeout, ResponseLimit: testReadAttempts * testTimeout,
		Registered: f.registered(), AcceptedNumber: f.acceptedNumber,
	})
	f.step(n, n.incarnation, Tick{})
	n.shownStates = ""
	f.showView(n)
}

// registered returns all nodes, as the directory of a compacted log does, or none.
func (f *fleet) registered() []membership.Member {
	var members []membership.Member
	for _, n := range f.nodes {
		if f.compactedLog {
			members = append(members, n.member)
		}
	}
	return members
}

func (f *fleet) crash(n *node) {
	n.up = false
	n.installed = nil
}

// showView gives n the member table if a member state changed since the last view.
func (f *fleet) showView(n *node) {
	states := make([]byte, 0, len(f.nodes))
	for _, other := range f.nodes {
		states = append(states, byte(f.stateFor(n, other)))
		if other.knownUnreachable {
			states[len(states)-1] |= 1 << 7
		}
	}
	if n.shownStates != string(states) {
		n.shownStates = string(states)
		f.step(n, n.incarnation, ViewChanged{f.view(n)})
	}
}

// showIncompleteView gives n a member table without some random nodes. The next
// probe of n corrects it.
func (f *fleet) showIncompleteView(n *node) {
	view := f.view(n)
	view.Members = slices.DeleteFunc(view.Members, func(membership.Member) bool { return f.random.IntN(2) == 0 })
	n.shownStates = "wrong"
	f.step(n, n.incarnation, ViewChanged{view})
}

func (f *fleet) stateFor(n, other *node) membership.State {
	if !other.up || other.paused || !f.connected(n, other) {
		return membership.Suspect
	}
	return membership.Alive
}

// view returns the member table of n. Nodes that are down, paused or unreachable
// are suspect.
func (f *fleet) view(n *node) *membership.View {
	view := &membership.View{Self: n.member}
	for _, other := range f.nodes {
		member := other.member
		member.State, member.LogUnreachable = f.stateFor(n, other), other.knownUnreachable
		view.Members = append(view.Members, member)
	}
	return view
}

func (f *fleet) connected(a, b *node) bool {
	return a.member.Domain == b.member.Domain || !f.domainsPartitioned
}

func (f *fleet) reachesPlatform(n *node) bool {
	return !f.platformDown && !f.platformPartitioned[n.member.Domain] && f.turnedAway[n.member.ID] == 0
}

// step gives the event to n unless n is down or runs another incarnation.
func (f *fleet) step(n *node, incarnation uint64, event Event) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	if n.paused {
		n.heldEvents = append(n.heldEvents, event)
		return
	}
	for _, action := range n.machine.Step(f.now, event) {
		f.perform(n, action)
	}
	f.scheduleWake(n)
	f.announceLogAccess(n)
}

// announceLogAccess tells the domain whether n reaches the log if that changed.
func (f *fleet) announceLogAccess(n *node) {
	unreachable := n.machine.LogUnreachable()
	if n.knownUnreachable == unreachable {
		return
	}
	n.knownUnreachable = unreachable
	f.after(gossipTime, func() {
		for _, other := range f.nodes {
			if other.up && !other.paused && other.member.Domain == n.member.Domain {
				f.showView(other)
			}
		}
	})
}

func (f *fleet) scheduleWake(n *node) {
	wake, incarnation := n.machine.NextWake(), n.incarnation
	if wake.IsZero() || (wake.Equal(n.scheduledWake) && wake.After(f.now)) {
		return
	}
	n.scheduledWake = wake
	f.after(max(wake.Sub(f.now), time.Millisecond), func() {
		f.step(n, incarnation, Tick{})
	})
}

func (f *fleet) resume(n *node) {
	n.paused = false
	events := n.heldEvents
	n.heldEvents = nil
	for _, event := range events {
		f.step(n, n.incarnation, event)
	}
	f.step(n, n.incarnation, Tick{})
}

// probe exchanges versions with one random node of the same domain and one of
// another, as membership does, and repeats this every testProbeInterval.
func (f *fleet) probe(n *node) {
	if n.up && !n.paused {
		f.showView(n)
		for _, sameDomain := range []bool{true, false} {
			f.probeRandomNode(n, sameDomain)
		}
	}
	f.after(testProbeInterval, func() { f.probe(n) })
}

// probeRandomNode exchanges versions with a random node of the same domain, or of
// another one if sameDomain is false.
func (f *fleet) probeRandomNode(n *node, sameDomain bool) {
	for range 2 * len(f.nodes) {
		other := f.nodes[f.random.IntN(len(f.nodes))]
		if other != n && (other.member.Domain == n.member.Domain) == sameDomain {
			f.exchange(n, other)
			return
		}
	}
}

func (f *fleet) exchange(a, b *node) {
	if !b.up || b.paused || !f.connected(a, b) || f.random.Float64() < f.lossRate {
		return
	}
	incarnationA, incarnationB := a.incarnation, b.incarnation
	versionA, versionB := installedVersion(a), installedVersion(b)
	f.after(f.latency(), func() { f.step(b, incarnationB, PeerVersion{a.member, versionA}) })
	f.after(f.latency(), func() { f.step(a, incarnationA, PeerVersion{b.member, versionB}) })
}

func installedVersion(n *node) state.Version {
	if n.installed == nil {
		return state.Version{}
	}
	return n.installed.Version()
}

func (f *fleet) perform(n *node, action Action) {
	incarnation := n.incarnation
	reply := func(event Event) { f.after(f.latency(), func() { f.step(n, incarnation, event) }) }
	switch a := action.(type) {
	case ReadBounds, ReadCheckpoint, WriteCheckpoint, ReadNewestTicket:
		f.sendRead(n, a, testReadAttempts)
	case ReadTickets:
		f.ticketReads++
		f.sendRead(n, a, testReadAttempts)
	case PushUpdate:
		f.push(n, a, reply)
	case PullUpdate:
		f.pull(n, a, reply)
	case RespondToPush:
		f.deliverResponse(a.Token, a)
	case RespondToPull:
		f.deliverResponse(a.Token, a)
	case Install:
		f.checkInstall(n, a.Snapshot)
	case ReportCurrent:
		f.checkCurrent(n, a)
	}
}

// sendRead sends a request to the log, and again without a wait while the log leaves it without a
// response, up to the number of attempts.
func (f *fleet) sendRead(n *node, request Action, attempts int) {
	f.readsOf[n.member.ID]++
	read, isTickets := request.(ReadTickets)
	wait := time.Duration(0)
	if read.Wait {
		wait = f.readWait
	}
	sentAt, incarnation := f.now, n.incarnation
	reply := func(event Event) {
		f.after(f.latency(), func() {
			switch event.(type) {
			case ReadResponding, TicketsRead, NewestTicketRead:
				f.step(n, incarnation, ReadResponding{Delay: max(0, f.now.Sub(sentAt)-wait)})
			}
			f.step(n, incarnation, event)
		})
	}
	f.after(f.latency()+f.logDelay, func() {
		end := f.now.Add(wait)
		overdue := func() {
			if attempts == 1 {
				reply(PlatformFailed{Request: request})
				return
			}
			if isTickets {
				request = ReadTickets{From: read.From}
			}
			if n.up && n.incarnation == incarnation {
				f.sendRead(n, request, attempts-1)
			}
		}
		switch {
		case isTickets:
			f.poll(n, read, end, reply, overdue)
		case f.turnedAway[n.member.ID] == isSilent:
			f.after(testTimeout, overdue)
		default:
			f.deliverRead(n, f.platformResponse(n, request), reply)
		}
	})
}

func (f *fleet) deliverResponse(token uint64, action Action) {
	deliver := f.pendingResponses[token]
	delete(f.pendingResponses, token)
	deliver(action)
}

func (f *fleet) platformResponse(n *node, action Action) Event {
	if !f.reachesPlatform(n) {
		return PlatformFailed{Request: action}
	}
	switch a := action.(type) {
	case ReadNewestTicket:
		return f.newestTicketRead()
	case ReadBounds:
		if a.Stream == StreamTickets {
			return BoundsRead{StreamTickets, f.logEnd()}
		}
		return BoundsRead{StreamCheckpoints, int64(len(f.checkpoints))}
	case WriteCheckpoint:
		f.checkpoints = append(f.checkpoints, a.Update)
		if f.random.Float64() < f.lossRate {
			return PlatformFailed{Request: action} // the response is lost after the write
		}
		return CheckpointWritten{int64(len(f.checkpoints)) - 1}
	default:
		if len(f.checkpoints) == 0 {
			return CheckpointRead{}
		}
		return CheckpointRead{f.checkpoints[len(f.checkpoints)-1], true}
	}
}

// poll responds to a read once a ticket is available or the wait has ended. It calls overdue
// after testTimeout more if the log leaves the read without a response.
func (f *fleet) poll(n *node, read ReadTickets, end time.Time, reply func(Event), overdue func()) {
	switch {
	case f.turnedAway[n.member.ID] == refuses:
		f.after(f.latency(), func() { reply(PlatformFailed{Request: read}) })
	case f.turnedAway[n.member.ID] == isSilent:
		f.after(max(0, end.Sub(f.now))+testTimeout, overdue)
	case !f.reachesPlatform(n):
		f.after(testTimeout, func() { reply(PlatformFailed{Request: read}) })
	case state.EraOf(read.From) != state.EraOf(f.logEnd()) || read.From > f.logEnd() || state.OffsetOf(read.From) < f.firstOffset:
		reply(TicketsTrimmed{})
	case read.From < f.logEnd():
		var records []Record
		for at := read.From; at < min(f.logEnd(), read.From+f.recordsPerRead()); at++ {
			records = append(records, Record{Offset: at, Data: f.tickets[state.OffsetOf(at)]})
		}
		f.deliverRead(n, TicketsRead{records}, reply)
	case !read.Wait || !f.now.Before(end):
		reply(TicketsRead{})
	default:
		f.after(f.pollEvery, func() { f.poll(n, read, end, reply, overdue) })
	}
}

func (f *fleet) find(id string) *node {
	return f.byID[id]
}

func (f *fleet) dropsMessage(a, b *node) bool {
	return !b.up || !f.connected(a, b) || f.random.Float64() < f.lossRate
}

// failureDelay is the time after which a request without a response has failed. A
// process that is stopped, on a machine that runs, refuses connections at once.
func (f *fleet) failureDelay(peer *node) time.Duration {
	if f.stoppedRefuse && !peer.up {
		return f.latency()
	}
	return testTimeout
}

func (f *fleet) push(n *node, a PushUpdate, reply func(Event)) {
	peer := f.find(a.Peer.ID)
	f.pushedTo[a.Peer.ID]++
	failed := PushDone{PeerID: a.Peer.ID, Failed: true}
	if f.dropsMessage(n, peer) {
		f.after(f.failureDelay(peer), func() { reply(failed) })
		return
	}
	update := f.maybeCorrupt(a.Update)
	ended := false
	finish := func(event Event) {
		if !ended {
			ended = true
			reply(event)
		}
	}
	for range 1 + f.random.IntN(2) { // the push may be delivered twice
		f.sendState(n, peer, update, func() {
			f.request(peer, func(token uint64) Event { return PushReceived{token, update} }, func(response Action) {
				if !f.dropsMessage(peer, n) {
					finish(PushDone{PeerID: a.Peer.ID, Version: response.(RespondToPush).Version})
				}
			})
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
	if !f.dropsMessage(n, peer) {
		f.request(peer, func(token uint64) Event { return PullReceived{token, a.From} }, func(action Action) {
			response := action.(RespondToPull).Response
			if response.RetryAfter == 0 && response.Update.Full() {
				f.fullStates++
			}
			response.Update = f.maybeCorrupt(response.Update)
			if !f.dropsMessage(peer, n) {
				f.sendState(peer, n, response.Update, func() { finish(PullDone{PeerID: a.Peer.ID, Response: response}) })
			}
		})
	}
	f.after(max(f.failureDelay(peer), f.pullTimeout<<a.Failures), func() { finish(PullDone{PeerID: a.Peer.ID, Failed: true}) })
}

func (f *fleet) request(peer *node, event func(token uint64) Event, deliver func(Action)) {
	f.lastToken++
	token, incarnation := f.lastToken, peer.incarnation
	f.pendingResponses[token] = deliver
	f.after(f.latency(), func() { f.step(peer, incarnation, event(token)) })
}

// maybeCorrupt returns the update, with the probability corruptionRate without its
// first resource or with a wrong digest.
func (f *fleet) maybeCorrupt(update acceptance.Update) acceptance.Update {
	if len(update.Resources) == 0 || f.random.Float64() >= f.corruptionRate {
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
	offset := f.logEnd()
	f.tickets = append(f.tickets, data)
	f.appendedAt = append(f.appendedAt, f.now)
	if _, _, err := f.reference.Apply(offset, data); err != nil {
		f.fail("reference: %v", err)
	}
	version := f.reference.Version()
	f.digests[version.Position] = version.Digest
}

// logEnd returns the log position of the next ticket.
func (f *fleet) logEnd() int64 { return state.LogPosition(f.era, int64(len(f.tickets))) }

// trim drops the tickets that the newest checkpoint includes.
func (f *fleet) trim() {
	if len(f.checkpoints) > 0 {
		f.firstOffset = max(f.firstOffset, f.checkpoints[len(f.checkpoints)-1].NextOffset)
	}
}

// heal ends all faults and starts or resumes all nodes.
func (f *fleet) heal() {
	f.lossRate, f.corruptionRate, f.platformDown, f.domainsPartitioned = 0, 0, false, false
	clear(f.platformPartitioned)
	clear(f.turnedAway)
	for _, n := range f.nodes {
		if !n.up {
			f.start(n)
		}
		if n.paused {
			f.resume(n)
		}
	}
}
