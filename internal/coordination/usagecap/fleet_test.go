package usagecap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	simStep = 10 * time.Millisecond
	// simNear and simFar are the times of a message within a domain and between two; simTimeout
	// is that after which a message without a response has failed.
	simNear    = 10 * time.Millisecond
	simFar     = 40 * time.Millisecond
	simTimeout = 250 * time.Millisecond
	// simElection is the time from the end of a coordinator until its nodes know the next one.
	simElection = 900 * time.Millisecond
	simDomains  = 3
	simSeed     = 7
	tenantName  = "tenant"
)

// simFleet is a fleet without a network, under a virtual clock.
type simFleet struct {
	now    time.Time
	random *rand.Rand
	quota  Quota
	nodes  []*simNode
	coords [simDomains]*simCoordinator
	// cut is the domain that the others do not reach, or -1.
	cut    int
	queue  map[int64][]func()
	starts uint64
	// asked, admitted and wrong count per step. wrong is what was refused although one bucket for
	// the fleet, debited with these requests too, had a token.
	asked, admitted, wrong []float64
	bucket                 float64
	// others is how many requests a second of other tenants come to each node.
	others   float64
	messages int
}

type simNode struct {
	*Node
	name    string
	domain  int
	session uint64
	coord   *simCoordinator
}

type simCoordinator struct {
	*Coordinator
	domain      int
	name        string
	incarnation uint64
	dead        bool
	exchanging  bool
}

func newSimFleet(nodes int, quota Quota, seed uint64) *simFleet {
	f := &simFleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)), quota: quota, cut: -1, queue: make(map[int64][]func())}
	for i := range nodes {
		f.nodes = append(f.nodes, &simNode{name: fmt.Sprintf("n%03d", i), domain: i % simDomains})
	}
	f.restart()
	return f
}

// restart starts all nodes without memory.
func (f *simFleet) restart() {
	f.bucket = 0
	for d := range simDomains {
		f.elect(d)
	}
	for i, n := range f.nodes {
		f.starts++
		n.Node, n.session, n.coord = NewNode(uint64(i)+f.starts), f.starts, f.coords[n.domain]
		n.SetNodes(len(f.nodes))
	}
}

func (f *simFleet) elect(domain int) {
	if c := f.coords[domain]; c != nil {
		c.dead = true
	}
	f.starts++
	counts := map[string]int{}
	for _, n := range f.nodes {
		counts[domainName(n.domain)]++
	}
	c := &simCoordinator{domain: domain, name: fmt.Sprintf("c%d", f.starts), incarnation: f.starts}
	c.Coordinator = NewCoordinator(f.now, domainName(domain), f.quotaOf)
	c.SetNodes(counts)
	f.coords[domain] = c
}

// others is the tenant whose requests make the nodes report, as in a fleet with many tenants.
const others = "others"

func (f *simFleet) quotaOf(tenant string) (Quota, bool) {
	if tenant == others {
		return Quota{RatePerS: 100 * float64(len(f.nodes)), Burst: 100 * float64(len(f.nodes))}, true
	}
	return f.quota, true
}

func domainName(domain int) string { return fmt.Sprintf("d%d", domain) }

// kill ends the domain's coordinator. Its nodes know the next one after simElection.
func (f *simFleet) kill(domain int) {
	f.coords[domain].dead = true
	f.after(simElection, func() {
		f.elect(domain)
		for _, n := range f.nodes {
			if n.domain == domain {
				f.starts++
				n.coord, n.session = f.coords[domain], f.starts
				n.NewSession()
			}
		}
	})
}

func (f *simFleet) after(d time.Duration, do func()) {
	at := f.now.Add(max(d, simStep)).UnixNano() / int64(simStep)
	f.queue[at] = append(f.queue[at], do)
}

func (f *simFleet) way(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.random.Int64N(int64(d)))
}

// step brings the fleet one step on. demand is in requests a second, pick chooses a node.
func (f *simFleet) step(demand float64, pick func() int) {
	f.now = f.now.Add(simStep)
	at := f.now.UnixNano() / int64(simStep)
	for len(f.queue[at]) > 0 {
		due := f.queue[at]
		f.queue[at] = nil
		for _, do := range due {
			do()
		}
	}
	delete(f.queue, at)
	f.bucket = max(-f.quota.excess(), min(f.quota.capacity(), f.bucket+f.quota.RatePerS*simStep.Seconds()))
	var asked, admitted, wrong float64
	for range f.arrivals(demand * simStep.Seconds()) {
		asked++
		ok, _ := f.nodes[pick()].Admit(f.now, tenantName, f.quota)
		switch {
		case ok:
			admitted++
			f.bucket--
		case f.bucket >= 1:
			wrong++
			f.bucket--
		}
	}
	f.asked, f.admitted, f.wrong = append(f.asked, asked), append(f.admitted, admitted), append(f.wrong, wrong)
	for _, n := range f.nodes {
		if f.others > 0 && f.random.Float64() < f.others*simStep.Seconds() {
			quota, _ := f.quotaOf(others)
			n.Admit(f.now, others, quota)
		}
		if due, ok := n.ReportDue(f.now); ok && !due.After(f.now) {
			f.report(n)
		}
	}
	for _, c := range f.coords {
		if due, ok := c.ExchangeDue(); ok && !c.dead && !c.exchanging && !due.After(f.now) {
			f.exchange(c)
		}
	}
}

// arrivals returns a number of arrivals with the mean (Poisson, by waiting times).
func (f *simFleet) arrivals(mean float64) int {
	count := 0
	for sum := f.random.ExpFloat64(); sum < mean; sum += f.random.ExpFloat64() {
		count++
	}
	return count
}

func (f *simFleet) report(n *simNode) {
	f.messages++
	uses, c, session, state := n.Report(f.now), n.coord, n.session, n.Node
	done := false
	f.after(f.way(simNear), func() {
		if c.dead {
			return
		}
		grants := c.Report(f.now, n.name, session, uses)
		f.after(f.way(simNear), func() {
			if n.session == session && n.Node == state {
				done = true
				n.Apply(f.now, grants)
			}
		})
	})
	f.after(simTimeout, func() {
		if !done && n.session == session && n.Node == state {
			n.Failed()
		}
	})
}

func (f *simFleet) exchange(c *simCoordinator) {
	var peers []*simCoordinator
	var names []string
	for d, peer := range f.coords {
		if d != c.domain {
			peers = append(peers, peer)
			names = append(names, peer.name)
		}
	}
	c.BeginExchange(f.now, names)
	c.exchanging = true
	for _, peer := range peers {
		f.messages++
		uses := c.Totals(peer.name)
		done := false
		f.after(f.way(simFar), func() {
			if peer.dead || c.dead || f.apart(c, peer) {
				return
			}
			own := peer.Receive(f.now, domainName(c.domain), c.name, c.incarnation, uses)
			f.after(f.way(simFar), func() {
				done = true
				c.Receive(f.now, domainName(peer.domain), peer.name, peer.incarnation, own)
				c.Exchanged(f.now, domainName(peer.domain), peer.name, peer.incarnation)
			})
		})
		f.after(simTimeout, func() {
			if !done {
				c.ExchangeFailed(f.now, domainName(peer.domain))
			}
		})
	}
	f.after(simFar*2, func() { c.exchanging = false })
}

func (f *simFleet) apart(a, b *simCoordinator) bool {
	return (a.domain == f.cut) != (b.domain == f.cut)
}

// result is what a run is judged by. All of it is the worst of any window.
type result struct {
	// use is the use as a share of the bound, over the requests above it.
	use, over float64
	// short is what was refused wrongly, as a share of the permitted excess.
	short float64
	// served is what was admitted in all, as a share of what one bucket would have admitted.
	served float64
}

const windowSteps = int(windowSeconds * time.Second / simStep)

// judge evaluates the steps since from by the quota.
func (f *simFleet) judge(from int, quota Quota) result {
	worst := result{over: -quota.WindowBound()}
	var admitted, wrong, all, allWrong float64
	for i := from; i < len(f.admitted); i++ {
		all += f.admitted[i]
		allWrong += f.wrong[i]
		admitted += f.admitted[i]
		wrong += f.wrong[i]
		if old := i - windowSteps; old >= from {
			admitted -= f.admitted[old]
			wrong -= f.wrong[old]
		}
		worst.use = max(worst.use, admitted/quota.WindowBound())
		worst.over = max(worst.over, admitted-quota.WindowBound())
		worst.short = max(worst.short, wrong/quota.excess())
	}
	worst.served = all / max(1, all+allWrong)
	return worst
}

// pattern is one load pattern: what happens at a time, the demand as a share of the rate, and the
// node that a request comes to.
type pattern struct {
	name   string
	demand func(second float64) float64
	pick   func(f *simFleet, second float64) int
	at     func(f *simFleet, second float64)
	// from is the second from which the run is judged, seconds its length if it is not simSeconds.
	from, seconds float64
}

func anyNode(f *simFleet, _ float64) int { return f.random.IntN(len(f.nodes)) }

func inDomain(f *simFleet, domain int) int {
	return f.random.IntN(len(f.nodes)/simDomains)*simDomains + domain
}

func constant(share float64) func(float64) float64 { return func(float64) float64 { return share } }

// hot is 7.5 times the usual use, of which the quota is 1.6 times.
const hot = 7.5 / 1.6

func onceAt(second float64, do func(f *simFleet)) func(*simFleet, float64) {
	done := false
	return func(f *simFleet, now float64) {
		if !done && now >= second {
			done = true
			do(f)
		}
	}
}

func patterns() []pattern {
	all := []pattern{
		{name: "steady 0.6", demand: constant(0.6), pick: anyNode, from: 2},
		{name: "steady 1.0", demand: constant(1), pick: anyNode, from: 2},
		{name: "hot", demand: func(s float64) float64 {
			if s > 6 && s < 16 {
				return hot
			}
			return 1 / 1.6
		}, pick: anyNode, from: 2},
		{name: "one domain", demand: constant(hot), pick: func(f *simFleet, _ float64) int { return inDomain(f, 1) }},
		{name: "one node 0.6", demand: constant(0.6), pick: func(*simFleet, float64) int { return 4 }, from: 2},
		{name: "hopping domains", demand: constant(hot), pick: func(f *simFleet, s float64) int { return inDomain(f, int(s)%simDomains) }},
		{name: "bursts after silence", demand: func(s float64) float64 {
			if int(s)%6 == 5 {
				return hot
			}
			return 0
		}, pick: anyNode},
		{name: "coordinators killed", demand: constant(hot), pick: anyNode, at: everySecond(func(f *simFleet, s int) { f.kill(s % simDomains) })},
		{name: "all restarted", demand: constant(hot), pick: anyNode, at: onceAt(8, (*simFleet).restart)},
	}
	for _, seconds := range []float64{5, 30} {
		for _, share := range []float64{0.6, hot} {
			start, end := onceAt(6, func(f *simFleet) { f.cut = 0 }), onceAt(6+seconds, func(f *simFleet) { f.cut = -1 })
			all = append(all, pattern{name: fmt.Sprintf("cut off %v s at %.1f", seconds, share), demand: constant(share), pick: anyNode, from: 2, seconds: seconds + 15,
				at: func(f *simFleet, s float64) { start(f, s); end(f, s) }})
		}
	}
	return all
}

func everySecond(do func(f *simFleet, second int)) func(*simFleet, float64) {
	last := 0
	return func(f *simFleet, now float64) {
		if second := int(now); second > last {
			last = second
			do(f, second)
		}
	}
}

const simSeconds = 20.0

func (f *simFleet) run(p pattern, seconds float64) {
	for s := 0.0; s < seconds; s += simStep.Seconds() {
		if p.at != nil {
			p.at(f, s)
		}
		f.step(p.demand(s)*f.quota.RatePerS, func() int { return p.pick(f, s) })
	}
}

// TestQuotaHoldsOverFleet guards against use over the permitted window, and against requests that
// are refused although the quota has room: the permitted excess counts in both directions.
func TestQuotaHoldsOverFleet(t *testing.T) {
	for _, nodes := range []int{12, 79, 300} {
		for _, quota := range []Quota{{2, 2}, {20, 20}, {632, 632}} {
			for _, p := range patterns() {
				t.Run(fmt.Sprintf("%d nodes/%v a second/%s", nodes, quota.RatePerS, p.name), func(t *testing.T) {
					is := is.New(t)
					f := newSimFleet(nodes, quota, simSeed)
					f.others = 10
					seconds := max(p.seconds, simSeconds)
					f.run(p, seconds)
					r := f.judge(int(p.from/simStep.Seconds()), quota)
					t.Logf("use %.3f of the bound, over %.0f, short %.2f of the excess, served %.3f, messages %.1f/s", r.use, r.over, r.short, r.served, float64(f.messages)/seconds)
					is.True(r.over <= 0)  // over the permitted window
					is.True(r.short <= 1) // refused below the quota
				})
			}
		}
	}
}

// TestLoweredQuota guards against use by the old quota: one window after it was lowered, only the
// new one counts, and a raised one is served again.
func TestLoweredQuota(t *testing.T) {
	is := is.New(t)
	high, low := Quota{600, 600}, Quota{60, 60}
	f := newSimFleet(79, high, simSeed)
	p := pattern{demand: constant(0.8), pick: anyNode}
	f.run(p, 10)
	f.quota = low
	p.demand = constant(8)
	from := len(f.admitted)
	f.bucket = 0
	f.run(p, 10)
	lowered := f.judge(from, low)
	f.quota = high
	p.demand = constant(0.8)
	from = len(f.admitted)
	f.bucket = 0
	f.run(p, 10)
	raised := f.judge(from, high)
	t.Logf("lowered: %+v; raised: %+v", lowered, raised)
	is.True(lowered.over <= 0) // the old quota was used
	is.True(raised.short <= 1) // the raised quota is not served
}

// TestSingleRequestsOfIdleTenant guards against a refusal of requests that come to each node a few
// times a minute: each has to be admitted without asking.
func TestSingleRequestsOfIdleTenant(t *testing.T) {
	is := is.New(t)
	quota := Quota{8, 8}
	f := newSimFleet(79, quota, simSeed)
	f.run(pattern{demand: constant(0), pick: anyNode}, 2) // buckets start empty
	next := 0
	f.run(pattern{demand: constant(0.625), pick: func(f *simFleet, _ float64) int { next++; return next % len(f.nodes) }}, 60)
	asked, refused := 0.0, 0.0
	for i := range f.asked {
		asked += f.asked[i]
		refused += f.asked[i] - f.admitted[i]
	}
	t.Logf("refused %.0f of %.0f", refused, asked)
	is.Equal(refused, 0.0)
}

// TestMessagesEndWithRequests guards against messages for a tenant that sends no requests and is
// not limited.
func TestMessagesEndWithRequests(t *testing.T) {
	is := is.New(t)
	f := newSimFleet(79, Quota{20, 20}, simSeed)
	f.run(pattern{demand: constant(0.6), pick: anyNode}, 5)
	f.run(pattern{demand: constant(0), pick: anyNode}, 1)
	before := f.messages
	f.run(pattern{demand: constant(0), pick: anyNode}, 5)
	is.True(before > 0)
	is.Equal(f.messages, before)
}
