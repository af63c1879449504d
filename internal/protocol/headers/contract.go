package headers

// Contract names the headers by which callers, this system and targets
// understand each other. An empty name means that the deployment has no such
// header.
type Contract struct {
	// Timeout holds the whole milliseconds that the caller still waits.
	Timeout string
	// Attempts holds how many more attempts the whole chain of calls may make.
	Attempts string
	// CallID tells the target how logs and traces name the call.
	CallID string
	// IdempotencyKey names a call across the caller's repeats.
	IdempotencyKey string
	// RequestID is the caller's own name of the request. It goes on unchanged, and
	// an answer that bears another one belongs to another request.
	RequestID string
	// NestedSeparator stands in the RequestID of a call that a running request
	// made, between that request's own and the rest. Without it such calls cannot
	// be told from others that come from the target's address.
	NestedSeparator string
	// CallerService tells the target which service's instance the call came from.
	CallerService string
	// TargetInstance names the target process that a call is meant for.
	TargetInstance string
	// InstanceID names the target's process in its answer to a health check.
	InstanceID string
	// NotRun marks a target's answer to a call that it did not run.
	NotRun string
	// ResponseSeal marks each successful answer as the target's own.
	ResponseSeal string
	// PreciseRetryAfter says that callers read fractions of a second.
	PreciseRetryAfter bool
}

// DefaultContract is the product's own contract.
func DefaultContract() Contract {
	return Contract{Timeout: Timeout, Attempts: Attempts, CallID: CallID, IdempotencyKey: IdempotencyKey}
}

// SystemHeaders returns the headers that only the system sets towards targets; what a
// caller sent under these names does not go on.
func (c Contract) SystemHeaders() []string {
	return []string{c.Timeout, c.Attempts, c.CallID, c.CallerService, c.TargetInstance}
}
