package adminapi

// Health is the response of PathHealth. Any response means that the process is
// alive.
type Health struct {
	Healthy bool `json:"healthy"`
}

// Readiness is the response of PathReady from a node that admits calls. Other
// nodes respond with a problem.
type Readiness struct {
	Ready bool      `json:"ready"`
	State NodeState `json:"state"`
}
