package headers

// Contract is the header convention between callers, this system and targets. Its
// string fields are header names, except for NestedSeparator. An empty name means
// that the deployment has no such header.
type Contract struct {
	// Timeout holds the time that the caller still waits, in whole milliseconds.
	Timeout string
	// Attempts holds how many more attempts the whole chain of calls may make.
	Attempts string
	// CallID holds the ID of the call in logs and traces, for the target.
	CallID string
	// IdempotencyKey identifies a call across the caller's retries.
	IdempotencyKey string
	// RequestID holds the caller's ID of the request. It is forwarded unchanged; a
	// response with another ID belongs to another request.
	RequestID string
	// NestedSeparator separates, in the RequestID of a nested call, the ID of the
	// running request that made the call from the rest. Without a separator, nested
	// calls cannot be distinguished from other calls from the target's address.
	NestedSeparator string
	// CallerService holds the service of the calling instance, for the target.
	CallerService string
	// TargetInstance holds the ID of the target process that should run the call.
	TargetInstance string
	// InstanceID holds the ID of the target's process in its response to a health
	// check.
	InstanceID string
	// NotRun is present in a target's response to a call that it did not run.
	NotRun string
	// ResponseSeal is present in each successful response that the target itself sent.
	ResponseSeal string
	// TargetRateLimit is present in a target's responses while the target limits the
	// calls that it takes from all callers together; it holds the calls per second, a
	// decimal number.
	TargetRateLimit string
	// TargetLeaving is "1" in the responses of a target that is about to stop.
	TargetLeaving string
	// PreciseRetryAfter means that callers accept fractions of a second in
	// Retry-After.
	PreciseRetryAfter bool
}

// DefaultContract returns the contract with the Jasminegate headers.
func DefaultContract() Contract {
	return Contract{Timeout: Timeout, Attempts: Attempts, CallID: CallID, IdempotencyKey: IdempotencyKey, TargetRateLimit: TargetRateLimit, TargetLeaving: TargetLeaving}
}

// SystemHeaders returns the headers that only the system sets on requests to
// targets. Values that a caller sent in these headers are not forwarded.
func (c Contract) SystemHeaders() []string {
	return []string{c.Timeout, c.Attempts, c.CallID, c.CallerService, c.TargetInstance}
}
