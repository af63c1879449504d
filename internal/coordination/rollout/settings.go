// Package rollout decides about the progressive rollout of a new version of a service:
// which calls go to the new version, whether it is bad, and when the rollout ends.
//
// Load pattern: a service with a steady stream of calls at 1 to 1,500 nodes, at whose targets
// some calls fail and some targets are slow or cold in both versions. The new version is good,
// or fails a share of its calls or is several times slower: at once, after some time, only
// under the load of an old target, or on one route only. Nodes restart, the coordinator fails,
// and failure domains are cut off while the rollout runs.
//
// A Node is the part at each node for one running rollout, a Coordinator the part at the node
// that ranks first for it. docs/design/rollouts.md describes how they work together.
package rollout

import "time"

// Settings are the bounds of all rollouts.
type Settings struct {
	// ExposeShare is the fraction of the service's calls between the order and its time
	// limit that a bad version may get, and ExposeSlack the number of calls in addition.
	ExposeShare float64
	ExposeSlack int
	// RollbackBound is how long after its 50th bad response a bad version may get calls.
	RollbackBound time.Duration
	// ChangeBound is how long an order may need to become known to all nodes in contact.
	ChangeBound time.Duration
	// ReportInterval is the interval of a node's reports to the coordinator.
	ReportInterval time.Duration
	// GrantValidity is how long a grant is valid. Shorter values end the use of the new
	// version sooner at nodes that are cut off, longer ones tolerate more lost reports.
	GrantValidity time.Duration
}

// DefaultSettings returns the settings where the deployment states nothing else. The share
// is 0, which means that the feature is off.
func DefaultSettings() Settings {
	return Settings{
		ExposeSlack: 50, RollbackBound: 5 * time.Second, ChangeBound: 2500 * time.Millisecond,
		ReportInterval: 250 * time.Millisecond, GrantValidity: time.Second,
	}
}
