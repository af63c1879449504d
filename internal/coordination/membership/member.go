// Package membership decides which nodes are in the fleet, what target each
// has, and what version each applies. In a failure domain it probes with
// suspicion and incarnations as in SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN
// 2002); between failure domains relays exchange digests.
package membership

// State is what the fleet holds of a node's process.
type State uint8

// States of a node, each overriding the former at the same incarnation and
// revision.
const (
	Alive   State = 1
	Suspect State = 2
	Dead    State = 3
	Left    State = 4
)

// TargetState is what a target announced to its local node.
type TargetState uint8

// States of a target.
const (
	TargetAbsent   TargetState = 0
	TargetReady    TargetState = 1
	TargetDraining TargetState = 2
)

// Member is what is known of one node and of the target beside it. Of two
// records with the same ID the one with the greater (Incarnation, Revision,
// State) holds.
type Member struct {
	ID string
	// Incarnation grows with each start of the node's process.
	Incarnation    uint64
	Domain         string
	ControlAddress string
	CallsAddress   string
	State          State
	Service        string
	Slots          uint32
	Target         TargetState
	// Revision grows with each change that the member itself makes in one
	// incarnation; it also refutes a suspicion.
	Revision uint64
}

// IsEndpoint reports whether calls may be sent to the member's target.
func (m Member) IsEndpoint() bool {
	return (m.State == Alive || m.State == Suspect) && m.Target == TargetReady && m.Service != ""
}

// View is an immutable copy of the member table, ordered by ID.
type View struct {
	// Epoch grows with each change.
	Epoch   uint64
	Self    Member
	Members []Member
}

// Endpoints returns the members whose targets serve the service.
func (v *View) Endpoints(service string) []Member {
	var endpoints []Member
	for _, member := range v.Members {
		if member.IsEndpoint() && member.Service == service {
			endpoints = append(endpoints, member)
		}
	}
	return endpoints
}

// DomainPeers returns the other live nodes of this node's failure domain.
func (v *View) DomainPeers() []Member {
	var peers []Member
	for _, member := range v.Members {
		live := member.State == Alive || member.State == Suspect
		if live && member.Domain == v.Self.Domain && member.ID != v.Self.ID {
			peers = append(peers, member)
		}
	}
	return peers
}
