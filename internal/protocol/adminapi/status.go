package adminapi

// NodeState is the state of a node. A node admits calls only in NodeServing.
type NodeState string

// States of a node.
const (
	// NodeJoining means that the node has no configuration yet.
	NodeJoining NodeState = "joining"
	NodeServing NodeState = "serving"
	// NodeFenced means that the node lacks the contact that serving requires, has
	// left, or was replaced by a later incarnation.
	NodeFenced NodeState = "fenced"
	// NodeStopping means that the node is shutting down.
	NodeStopping NodeState = "stopping"
)

// Version identifies one accepted configuration.
type Version struct {
	// Position is one past the log offset of the last accepted ticket; 0 means
	// that no ticket has been accepted. On a log with eras it is greater by the era
	// times 2^40, here and in all other positions.
	Position uint64 `json:"position"`
	// Digest is the digest of the full state, as 16 hexadecimal digits.
	Digest string `json:"digest"`
}

// Status is the response of PathStatus: the node's state and its view of the
// members.
type Status struct {
	Node string `json:"node"`
	// Incarnation identifies the start of the node's process.
	Incarnation uint64    `json:"incarnation"`
	Domain      string    `json:"domain"`
	State       NodeState `json:"state"`
	// Version is the configuration that the node applies.
	Version Version  `json:"version"`
	Members []Member `json:"members"`
	// Domains holds the newest summary of each failure domain.
	Domains       []DomainProgress `json:"domains"`
	CallsInFlight int              `json:"calls_in_flight"`
	// QueueLength is the number of calls queued at the node's gate.
	QueueLength int `json:"queue_length"`
}

// Member is one node and its target.
type Member struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	// State is alive, suspect, dead or left.
	State   string `json:"state"`
	Service string `json:"service,omitempty"`
	// Target is absent, ready or draining.
	Target string `json:"target"`
	// Slots is how many calls the target runs at once.
	Slots uint32 `json:"slots,omitempty"`
}
