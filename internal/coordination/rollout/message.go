package rollout

import "time"

// VersionStats counts the responses of one version on one route since the order, in one
// incarnation of the reporting node.
type VersionStats struct {
	Version, Route string
	// Endpoint is the node of the target. It is empty for versions other than the new one,
	// whose targets are counted together.
	Endpoint            string
	Successes, Failures uint64
	// Slow counts the calls that took longer than the slow limit of the route, or have had no
	// response for that time. They are not counted in the other fields.
	Slow uint64
	// LogSum and LogSquares are the sums of the natural logarithms of the response times of
	// the successes in milliseconds, and of their squares.
	LogSum, LogSquares float64
}

// Report is a node's cumulative report on one rollout.
type Report struct {
	Node        string
	Incarnation uint64
	Domain      string
	Service     string
	Order       uint64
	// Calls counts the calls of the service that this node sent to targets, Exposed those of
	// them that it sent to the new version.
	Calls, Exposed uint64
	Stats          []VersionStats
	// Idle means that this node's gate refuses new calls for its target of an earlier version
	// and has none running or queued.
	Idle bool
	// Stopped means that the node found the new version bad and sends it nothing more.
	Stopped bool
	// SentAt is when the report was made. It stays at the node.
	SentAt time.Time
}

// Directive is the coordinator's response to a report.
type Directive struct {
	Record Record
	// Grant is how many further calls, counted from Report.Exposed, the node may send to the
	// new version within GrantFor of Report.SentAt. It replaces an earlier grant.
	Grant    uint32
	GrantFor time.Duration
	// Share is the fraction of the service's calls that go to the new version.
	Share float64
	// RouteShares replaces Share for the routes that it lists.
	RouteShares map[string]float64
	// Endpoints lists the nodes of the new version to use; empty means all.
	Endpoints []string
	// SlowLimits has for each route the response time from which a response counts as slow.
	SlowLimits map[string]time.Duration
}

// Member is what membership knows of a node.
type Member struct {
	ID     string
	Domain string
	// Version is the version of the node's target if it belongs to the service of the
	// rollout; otherwise it is empty.
	Version string
	// Ready means that the target takes calls.
	Ready bool
	Slots int
	// Alive means that this node is in contact with the member. Members that have left are
	// not listed.
	Alive bool
}

// Action is an output of the coordinator.
type Action interface{ action() }

// WriteRecord requests that the record be appended to the store under the condition that
// the store still ends where it was read. The runner responds with Coordinator.Written, or with
// Coordinator.Learn if it reads another record. Without a response it is repeated.
type WriteRecord struct{ Record Record }

// Announce requests that the record be merged into the local table and sent to all members.
type Announce struct{ Record Record }

func (WriteRecord) action() {}
func (Announce) action()    {}
