package rollout

import (
	"math/rand/v2"
	"time"
)

// Outcome is the end of one attempt of a call.
type Outcome uint8

// The outcomes.
const (
	// Succeeded: the target sent a response that does not count as a failure.
	Succeeded Outcome = iota
	// Failed: the target responded with a failure, or broke the connection.
	Failed
	// NotCounted: the attempt says nothing about its target, for example because the gate
	// refused it or the caller left.
	NotCounted
)

// Decision says where an attempt may go.
type Decision struct {
	// Attempt identifies the attempt in Sent, Cancel and Observe.
	Attempt uint64
	// New is set if the attempt must go to a target of Version, the new version. Otherwise it
	// must go to a target of any other version.
	New     bool
	Version string
	// Endpoints lists the nodes to choose from if New is set; empty means all.
	Endpoints []string
}

// Node is the part of one running rollout at one node. It decides for each call of the
// service which version it goes to, and counts. It is not safe for concurrent use.
type Node struct{}

// NewNode returns the part of the node with this ID and incarnation for a rollout. Random
// is used to choose the calls that go to the new version.
func NewNode(id string, incarnation uint64, domain string, record Record, settings Settings, random *rand.Rand) *Node {
	return &Node{}
}

// Route decides where an attempt of a call on a route goes, and counts it as sent. Each
// attempt ends with Cancel or Observe.
func (n *Node) Route(now time.Time, route string) Decision { return Decision{} }

// Sent says which endpoint was chosen for an attempt.
func (n *Node) Sent(attempt uint64, endpoint string) {}

// Cancel takes back an attempt that was not sent, for example because no endpoint was free.
// It must be called before the next Report.
func (n *Node) Cancel(attempt uint64) {}

// Observe notes the end of an attempt. Its response time is counted from Route.
func (n *Node) Observe(now time.Time, attempt uint64, outcome Outcome) {}

// Refuses reports whether the gate must refuse new calls for its target, whose version
// is given.
func (n *Node) Refuses(now time.Time, version string) bool { return false }

// Report returns the report to the coordinator. Version is that of the local target if it
// belongs to the service, otherwise empty; inUse counts the calls that are running or queued
// at its gate. If the report says idle, the gate must not admit calls from then on, so inUse
// must be read after Refuses began to return true.
func (n *Node) Report(now time.Time, version string, inUse int) Report { return Report{} }

// Apply takes over the directive that responded to a report.
func (n *Node) Apply(now time.Time, report Report, d Directive) {}

// Learn takes over a record of this order or a later one. The node then follows its phase at once.
func (n *Node) Learn(now time.Time, r Record) {}

// Record returns the newest record that the node knows of its order.
func (n *Node) Record() Record { return Record{} }

// Stopped reports whether the node found the new version bad by its own responses, and why.
// The runner then reports at once and tells all members (Report.Stopped).
func (n *Node) Stopped() (reason string, stopped bool) { return "", false }
