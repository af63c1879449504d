// Package membership tracks which nodes are in the fleet, the target of each, and
// the configuration version that each runs. Within a failure domain it probes
// with suspicion and incarnations as in SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN
// 2002). Between failure domains, relays send each other changed records and
// summaries, and compare their tables if the digests differ.
package membership

// State is the state of a node's process as seen by the fleet.
type State uint8

// States of a node. At the same incarnation and revision, a greater state
// supersedes a lesser one.
const (
	Alive   State = 1
	Suspect State = 2
	Dead    State = 3
	Left    State = 4
)

// TargetState is the state that a target announced to its local node.
type TargetState uint8

// States of a target.
const (
	TargetAbsent   TargetState = 0
	TargetReady    TargetState = 1
	TargetDraining TargetState = 2
)

// Member is the record of one node and of the target beside it. Of two records
// with the same ID, the one with the greater (Incarnation, Revision, State)
// supersedes the other.
type Member struct {
	ID string
	// Incarnation increases with each start of the node's process.
	Incarnation    uint64
	Domain         string
	ControlAddress string
	CallsAddress   string
	State          State
	Service        string
	Slots          uint32
	Target         TargetState
	// Revision increases with each change that the member makes to its own record
	// within an incarnation, including to refute a suspicion.
	Revision uint64
	// BandwidthKbps is the bandwidth of the instance's link in kbit/s, 0 if unknown.
	BandwidthKbps uint32
	// TargetVersion is the version of the target's software, empty if not announced.
	TargetVersion string
	// LogUnreachable means that the node's last request to the platform's log failed or
	// has no response in time.
	LogUnreachable bool
}

// IsEndpoint reports whether calls may be sent to the member's target.
func (m Member) IsEndpoint() bool {
	return (m.State == Alive || m.State == Suspect) && m.Target == TargetReady && m.Service != ""
}

// View is an immutable copy of the member table, ordered by ID.
type View struct {
	// Epoch increases with each change of the table.
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
