// Package headers names the HTTP headers that the system reads and writes.
package headers

// Headers of calls and their responses.
const (
	// Timeout holds the time that the caller still waits, in whole milliseconds.
	Timeout = "Jasminegate-Timeout"
	// Outcome holds the outcome of a call to which the system itself responds, a
	// problem.Outcome.
	Outcome = "Jasminegate-Outcome"
	// CallID holds the ID of the call in logs and traces. A target that echoes it in its
	// response lets the node tell the response from one to another call.
	CallID = "Jasminegate-Call-Id"
	// Attempts holds how many more attempts the whole chain of calls may make.
	Attempts = "Jasminegate-Attempts"
	// IdempotencyKey identifies a call that is not idempotent, so that a retry by
	// the caller does not run it again.
	IdempotencyKey = "Idempotency-Key"
	// TargetRateLimit holds, in a target's responses, the calls per second that the
	// target takes from all callers together, for as long as it sends the header.
	TargetRateLimit = "Jasminegate-Target-Rate-Limit"
	// TargetLeaving is "1" in the responses of a target that is about to stop.
	TargetLeaving = "Jasminegate-Target-Leaving"
	// Tenant holds the name of the tenant on whose behalf the call is made, for the target.
	Tenant = "Jasminegate-Tenant"
	// Credentials holds a caller's API key after CredentialsScheme and a space.
	Credentials = "Authorization"
	// CredentialsScheme is the authentication scheme of API keys, in any case.
	CredentialsScheme = "Token"
	// WWWAuthenticate names the accepted scheme in a response with status 401.
	WWWAuthenticate = "WWW-Authenticate"
	// RetryAfter holds the seconds after which a refused call may be sent again, as
	// a whole number unless Contract.PreciseRetryAfter is set.
	RetryAfter = "Retry-After"
)
