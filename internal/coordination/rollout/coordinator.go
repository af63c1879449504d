package rollout

import "time"

// Coordinator is the part of one running rollout at the node that coordinates it. It is not
// safe for concurrent use.
type Coordinator struct{}

// NewCoordinator starts to coordinate a rollout from the newest record that is known, with
// the members that may send or run calls of the service. Fresh means that this node has
// just accepted the order, so that no other node has coordinated it before.
func NewCoordinator(now time.Time, record Record, settings Settings, members []Member, fresh bool) *Coordinator {
	return &Coordinator{}
}

// SetMembers replaces the members.
func (c *Coordinator) SetMembers(now time.Time, members []Member) {}

// Receive takes over a report.
func (c *Coordinator) Receive(now time.Time, r Report) []Action { return nil }

// Directive returns the response to the newest report of a node. The runner must send it
// only in response to that report.
func (c *Coordinator) Directive(now time.Time, node string) Directive { return Directive{} }

// Step makes the decisions that are due. It is called every Settings.ReportInterval.
func (c *Coordinator) Step(now time.Time) []Action { return nil }

// Written says that the record was stored.
func (c *Coordinator) Written(now time.Time, r Record) []Action { return nil }

// Learn takes over a record that was read from the store or sent by another node. After a
// result or a later order the coordinator requests nothing more.
func (c *Coordinator) Learn(now time.Time, r Record) []Action { return nil }

// Abort rolls the order back, for example because it was withdrawn or an operator requests it.
func (c *Coordinator) Abort(now time.Time, reason string) []Action { return nil }

// Record returns the record as decided, which may not be written yet.
func (c *Coordinator) Record() Record { return Record{} }
