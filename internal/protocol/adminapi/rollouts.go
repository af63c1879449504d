package adminapi

// RolloutList is the response to GET PathRollouts and DELETE PathRollout.
type RolloutList struct {
	// Enabled is false if the settings or the platform do not enable rollouts.
	Enabled  bool      `json:"enabled"`
	Rollouts []Rollout `json:"rollouts"`
}

// Rollout is the last rollout of one service.
type Rollout struct {
	Service string `json:"service"`
	// Order is the number of the order; a later order has a greater one.
	Order uint64 `json:"order"`
	// Version is the new version, Previous the one that served when the order was accepted.
	Version  string `json:"version"`
	Previous string `json:"previous"`
	Phase    string `json:"phase"`
	// Reason says why the phase was entered.
	Reason     string `json:"reason"`
	ElapsedMS  int64  `json:"elapsed_ms"`
	DurationMS int64  `json:"duration_ms"`
	// Coordinator is the node that coordinates the rollout as far as this node knows; it is empty
	// after the result.
	Coordinator string           `json:"coordinator,omitempty"`
	Versions    []RolloutVersion `json:"versions"`
}

// RolloutVersion is a version of the service's ready targets.
type RolloutVersion struct {
	Version string `json:"version"`
	Targets int    `json:"targets"`
	// Use is how calls use it: current, held (no calls outside of a rollout's grants), retired (calls only
	// if no target of the current version is left) or beside (it appeared without an order).
	Use string `json:"use"`
	// Attempts, Failed and NotCounted count this node's attempts of calls since it started.
	Attempts   uint64 `json:"attempts"`
	Failed     uint64 `json:"failed"`
	NotCounted uint64 `json:"not_counted"`
}

// Uses of a version.
const (
	VersionCurrent = "current"
	VersionHeld    = "held"
	VersionRetired = "retired"
	VersionBeside  = "beside"
)

// RolloutOrder is the body of POST PathRollouts, on the product's own log.
type RolloutOrder struct {
	Service string `json:"service"`
	// Version is the new version of the targets' software.
	Version string `json:"version"`
	// DurationMS is the time limit in milliseconds, counted from the order's acceptance.
	DurationMS int64 `json:"duration_ms"`
}

// RolloutPath returns PathRollout for the service.
func RolloutPath(service string) string { return PathRollouts + "/" + service }
