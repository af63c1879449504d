package headers

import (
	"net/http"
	"slices"
	"strings"
)

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
	// Tenant holds the name of the tenant on whose behalf the call is made, for the target.
	Tenant string
	// Credentials holds the caller's API key if the configuration has tenants.
	Credentials string
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
	return Contract{Timeout: Timeout, Attempts: Attempts, CallID: CallID, IdempotencyKey: IdempotencyKey, TargetRateLimit: TargetRateLimit, TargetLeaving: TargetLeaving, Tenant: Tenant, Credentials: Credentials}
}

// SystemHeaders returns the headers that only the system sets on requests to
// targets. Values that a caller sent in these headers are not forwarded.
func (c Contract) SystemHeaders() []string {
	return []string{c.Timeout, c.Attempts, c.CallID, c.CallerService, c.TargetInstance, c.Tenant}
}

// Keys returns the different API keys in the headers of a caller's request.
func (c Contract) Keys(header http.Header) []string {
	var keys []string
	for _, value := range header.Values(c.Credentials) {
		if key, ok := keyIn(value); ok && key != "" && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// RemoveKeys removes the API keys from the headers. Credentials of other schemes stay.
func (c Contract) RemoveKeys(header http.Header) {
	isKey := func(value string) bool {
		_, ok := keyIn(value)
		return ok
	}
	name := http.CanonicalHeaderKey(c.Credentials)
	if !slices.ContainsFunc(header[name], isKey) {
		return
	}
	// The values may be shared with a clone of the header.
	kept := slices.DeleteFunc(slices.Clone(header[name]), isKey)
	if len(kept) == 0 {
		delete(header, name)
		return
	}
	header[name] = kept
}

// keyIn returns the key in the value of the credentials header, and whether the value
// has the scheme of keys.
func keyIn(value string) (string, bool) {
	const space = " \t"
	value = strings.Trim(value, space)
	end := strings.IndexAny(value, space)
	if end < 0 {
		end = len(value)
	}
	if !strings.EqualFold(value[:end], CredentialsScheme) {
		return "", false
	}
	return strings.Trim(value[end:], space), true
}
