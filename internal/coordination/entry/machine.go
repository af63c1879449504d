package entry

import (
	"math/rand/v2"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/rollout"
)

// Options configures a Machine.
type Options struct {
	// Node, Incarnation and Domain are the ID, process incarnation and failure domain
	// of this node.
	Node        string
	Incarnation uint64
	Domain      string
	// RetryRatio is the number of retry tokens that each call adds to its service's
	// retry budget: the fraction of the calls that may be retried.
	RetryRatio float64
	// OverloadTries is how many other gates a call may be sent to, one after another
	// and without delay, after a gate refused it for overload, before one gate may
	// accept it for a late response. These retries take no retry token, since the
	// refusals cost no target any work. With 0, retries after such refusals are charged
	// and delayed like others.
	OverloadTries int
	// SpillLoad is the load of the gate chosen in the local domain, 1 being full, from
	// which a call may go to another domain. With 0, a call goes to another domain
	// only if no local gate is left to try, for example after refusals.
	SpillLoad float64
	// ExpectedTime places calls by the service times that gates report, and refuses a call that
	// no gate can take after at most one further try.
	ExpectedTime bool
	// Versions decides to which versions of targets calls go; nil does not distinguish them.
	Versions VersionPolicy
	// Seed seeds the random number generator of all choices.
	Seed uint64
}

// Machine is the state machine of all requests that callers send to one node. It
// is not safe for concurrent use.
type Machine struct {
	options   Options
	random    *rand.Rand
	endpoints map[string]*endpoint
	groups    map[string]*group
	budgets   map[string]*budget
	requests  map[uint64]*request
	split     trafficSplit
	// usual holds the usual service time of each route, in nanoseconds.
	usual map[string]float64
	// targetReports holds, by endpoint ID, the newest report on its target. It outlives
	// incarnations of the endpoint.
	targetReports  map[string]call.TargetReport
	counter        uint64
	retries        uint64
	chargedRetries uint64
	// pickBuffer is reused by betterOfTwo to avoid an allocation per call.
	pickBuffer []*endpoint
}

// request is one caller's request.
type request struct {
	Begin
	sent int
	// overloadRetries counts the retries after refusals for overload until allowLate
	// is set, which resets it. allowLate says that these retries are used up or no gate
	// is left to try, so that the next gate may accept the call for a late response.
	overloadRetries int
	allowLate       bool
	// requiredInTime says that the last attempt's gate was told to refuse the call unless it
	// expects to meet the soft deadline.
	requiredInTime bool
	// flow is that of flowOf and usual is the usual service time of the route, in nanoseconds; 0 if it is not known. Both are
	// set with Options.ExpectedTime only.
	flow  string
	usual float64
	// budgetTries counts the retries after refusals for the retry budget of a gate.
	budgetTries int
	// uncharged counts the retries that took no token of the retry budget.
	uncharged int
	// excluded lists the IDs of the endpoints that must not get a further attempt, and
	// rateLimited those that refused because of their target's rate limit.
	excluded    []string
	rateLimited []string
	// attempted lists the IDs of the endpoints of all attempts, in order.
	attempted       []string
	attemptID       call.ID
	endpoint        *endpoint
	resolving       bool
	resolveAttempts int
	waiting         bool
	// choice is that of the attempt in progress, if choiceOpen is set.
	choice     VersionChoice
	choiceOpen bool
	// newConnection says that the attempt uses a new connection.
	newConnection bool
	// bodyConsumed says that a part of the request body is consumed, so that the call
	// cannot be sent again.
	bodyConsumed bool
	lastRefusal  Refused
	// lost is the attempt whose connection was lost, and after which another one was made;
	// nil if there is none, or if its gate was asked already.
	lost *lostAttempt
	// otherUnknown is set once an attempt other than lost may have run without a response.
	otherUnknown bool
	// outcomeUnknown is set once an attempt has run, or may have run, without a
	// response.
	outcomeUnknown bool
	// rejected is set once a target rejected an attempt.
	rejected bool
}

// lostAttempt is an attempt of an idempotent call whose connection broke or went silent.
type lostAttempt struct {
	id       call.ID
	endpoint Endpoint
}

// New returns a machine without endpoints.
func New(options Options) *Machine {
	return &Machine{
		options:       options,
		random:        rand.New(rand.NewPCG(options.Seed, options.Incarnation)),
		endpoints:     make(map[string]*endpoint),
		groups:        make(map[string]*group),
		budgets:       make(map[string]*budget),
		requests:      make(map[uint64]*request),
		split:         make(trafficSplit),
		usual:         make(map[string]float64),
		targetReports: make(map[string]call.TargetReport),
	}
}

// InFlight returns how many requests have begun and not ended.
func (m *Machine) InFlight() int { return len(m.requests) }

// Retries returns how many attempts followed the first of their request.
func (m *Machine) Retries() uint64 { return m.retries }

// ChargedRetries returns how many retries took a token of a retry budget.
func (m *Machine) ChargedRetries() uint64 { return m.chargedRetries }

// Step handles one event and returns the actions to perform.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case SetEndpoints:
		m.setEndpoints(now, e.Endpoints)
	case PeerLoadReceived:
		m.recordPeerLoad(e)
	case Begin:
		return m.begin(now, e)
	case ResponseReceived:
		m.responseReceived(now, e)
	case Refused:
		return m.refused(now, e)
	case NotSent:
		return m.notSent(now, e)
	case ConnectionLost:
		return m.connectionLost(now, e)
	case Resume:
		return m.resume(now, e.Handle)
	case GiveUp:
		return m.giveUp(now, e)
	case End:
		m.end(now, e.Handle)
	}
	return nil
}

func (m *Machine) setEndpoints(now time.Time, list []Endpoint) {
	known := m.endpoints
	m.endpoints = make(map[string]*endpoint, len(list))
	groups := make(map[string]*group)
	for _, item := range list {
		e := known[item.ID]
		if e == nil || e.Incarnation != item.Incarnation || e.Service != item.Service {
			e = &endpoint{slowStartFrom: now}
		}
		e.Endpoint = item
		m.endpoints[item.ID] = e
		g := groups[item.Service]
		if g == nil {
			g = &group{}
			groups[item.Service] = g
		}
		g.endpoints = append(g.endpoints, e)
	}
	m.groups = groups
	if m.options.Versions != nil {
		m.options.Versions.SetEndpoints(now, list)
	}
	m.forgetOldReports(now)
}

func (m *Machine) budgetOf(service string) *budget {
	b := m.budgets[service]
	if b == nil {
		b = &budget{tokens: maxRetryTokens}
		m.budgets[service] = b
	}
	return b
}

func (m *Machine) recordPeerLoad(e PeerLoadReceived) {
	if known := m.endpoints[e.Endpoint]; known != nil {
		known.peerLoad = e.Load
		known.peerLoadAt = e.At
	}
}

func (m *Machine) begin(now time.Time, e Begin) []Action {
	if len(e.Destinations) > 0 {
		e.Service = m.split.choose(e.Route, e.Destinations, m.random)
	}
	c := &request{Begin: e}
	if m.options.ExpectedTime {
		c.flow = flowOf(e)
	}
	m.requests[e.Handle] = c
	m.budgetOf(e.Service).refill(m.options.RetryRatio)
	return m.send(now, c)
}

func (m *Machine) send(now time.Time, c *request) []Action {
	chosen := m.pick(now, c)
	if chosen == nil && m.options.ExpectedTime && !c.allowLate {
		c.allowLate = true // gates may have refused such calls only because they would be late
		chosen = m.pick(now, c)
	}
	if chosen == nil {
		m.refusedEverywhere(now, c)
		return m.fetchLostOrFail(now, c, call.ReasonNoEndpoint)
	}
	return m.sendTo(c, chosen)
}

// sendTo sends the call to the endpoint; nil fails the request.
func (m *Machine) sendTo(c *request, chosen *endpoint) []Action {
	if chosen == nil {
		return m.fail(c, call.ReasonNoEndpoint)
	}
	m.counter++
	m.attach(c, chosen)
	c.newConnection = chosen.suspectConnection
	c.requiredInTime = m.options.OverloadTries > 0 && !c.allowLate
	c.sent++
	if c.sent > 1 {
		m.retries++
	}
	c.excluded = append(c.excluded, chosen.ID)
	c.attempted = append(c.attempted, chosen.ID)
	c.attemptID = call.ID{Entry: m.options.Node, Incarnation: m.options.Incarnation, Counter: m.counter}
	return []Action{Send{
		Handle: c.Handle, ID: c.attemptID, Endpoint: chosen.Endpoint,
		AttemptsLeft: max(0, c.MaxAttempts-c.sent+c.uncharged), NewConnection: chosen.suspectConnection,
		RequireSoftDeadline: c.requiredInTime,
		Repeat:              c.repeat(),
		RetriedIfLost:       c.Idempotent && c.Key == "" && c.sent-c.uncharged < c.MaxAttempts && m.budgetOf(c.Service).ample(),
		TargetReport:        m.reportFor(chosen),
	}}
}

// repeat returns the kind of the next attempt.
func (c *request) repeat() call.Repeat {
	switch {
	case c.outcomeUnknown || c.rejected:
		return call.Retried
	case c.Repeated:
		return call.Inherited
	}
	return call.First
}

func (m *Machine) attach(c *request, e *endpoint) {
	c.endpoint = e
	e.outstanding++
}

func (m *Machine) detach(c *request) {
	if c.endpoint != nil {
		c.endpoint.outstanding--
		c.endpoint = nil
	}
}

func (m *Machine) end(now time.Time, handle uint64) {
	if c := m.requests[handle]; c != nil {
		m.observe(now, c, rollout.NotCounted)
		m.detach(c)
		delete(m.requests, handle)
	}
}

// observe ends the attempt in progress for the version policy, once.
func (m *Machine) observe(now time.Time, c *request, outcome rollout.Outcome) {
	if c.choiceOpen {
		c.choiceOpen = false
		m.options.Versions.Observe(now, c.choice, c.Service, c.choice.sentVersion, outcome)
	}
}

func (c *request) isExcluded(e *endpoint) bool {
	for _, id := range c.excluded {
		if id == e.ID {
			return true
		}
	}
	return false
}
