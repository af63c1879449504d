package calls

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/protocol/problem"
)

// problemBase is the prefix of every problem type.
const problemBase = "urn:jasminegate:problem:"

// fencedOrOverloadedRetryAfter is the Retry-After of a call refused because this
// node is fenced or overloaded.
const fencedOrOverloadedRetryAfter = time.Second

// startupRetryAfter is the Retry-After of a call that came before the node had
// a configuration: a start usually takes less.
const startupRetryAfter = 300 * time.Millisecond

// shutdownRetryAfter is the Retry-After of a call refused by a node that shuts
// down: another node accepts it at once.
const shutdownRetryAfter = 100 * time.Millisecond

// updateRetryAfter is the Retry-After of a call refused by a node that is about to get a newer
// configuration.
const updateRetryAfter = 200 * time.Millisecond

func notRun(kind, title string, status int, remedy string, retryAfter time.Duration) *problem.Problem {
	return &problem.Problem{
		Type: problemBase + kind, Title: title, Status: status, Remedy: remedy,
		Outcome: problem.NotRun, RetryAfterMS: retryAfter.Milliseconds(),
	}
}

func notReady() *problem.Problem {
	return notRun("not-ready", "This node has no configuration yet", http.StatusServiceUnavailable,
		"Send the call to another node, or again after the given time.", startupRetryAfter)
}

func fenced() *problem.Problem {
	return notRun("fenced", "This node is out of contact with the fleet", http.StatusServiceUnavailable,
		"Send the call to another node, or again after the given time.", fencedOrOverloadedRetryAfter)
}

func shuttingDown() *problem.Problem {
	return notRun("leaving", "This node is about to stop", http.StatusServiceUnavailable,
		"Send the call to another node, or again after the given time.", shutdownRetryAfter)
}

// waitedTooLong refuses a request whose time had passed before the requests in front of it
// on its connection were answered.
func waitedTooLong() *problem.Problem {
	return notRun("deadline", "The call's time passed while it waited behind others on its connection", http.StatusServiceUnavailable,
		"Send the call again over another connection.", shutdownRetryAfter)
}

func overloaded() *problem.Problem {
	return notRun("overloaded", "This node has too many calls in work", http.StatusServiceUnavailable,
		"Send the call to another node, or again after the given time.", fencedOrOverloadedRetryAfter)
}

// noRoomRetryAfter is the Retry-After of a call refused for lack of memory or connections.
const noRoomRetryAfter = time.Second

// noRoom refuses a request for which this node has no memory or connection left.
func noRoom(retryAfter time.Duration) *problem.Problem {
	return notRun(noRoomKind, "This node has no room for the call", http.StatusServiceUnavailable,
		"Send the call to another node, or again after the given time.", retryAfter)
}

const noRoomKind = "no-room"

// callerClosed is the response to a caller that closed its sending side before its call
// was answered.
func callerClosed() *problem.Problem {
	return &problem.Problem{
		Type: problemBase + "caller-closed", Title: "The connection's sending side was closed, and the call was cancelled",
		Status: http.StatusGatewayTimeout, Outcome: problem.Unknown,
		Remedy: "Keep the sending side open until the response has arrived.",
	}
}

// internalError is the response to a request whose handler panicked. The outcome is NotRun if
// the request was not sent to a gate.
func internalError(outcome problem.Outcome) *problem.Problem {
	p := &problem.Problem{
		Type: problemBase + "internal-error", Title: "The node failed while it served the call",
		Status: http.StatusGatewayTimeout, Outcome: outcome,
		Remedy: "Check with the target's service before sending a call again that must run once.",
	}
	if outcome == problem.NotRun {
		p.Status = http.StatusServiceUnavailable
		p.Remedy = "Send the call again after the given time."
		p.RetryAfterMS = shutdownRetryAfter.Milliseconds()
	}
	return p
}

func noRoute() *problem.Problem {
	return notRun("no-route", "No route matches the call", http.StatusNotFound,
		"Check host, path and method against the published routes.", 0)
}

// unauthorized refuses a request without a known API key.
func unauthorized() *problem.Problem {
	return notRun(string(call.ReasonUnauthorized), "The call has no known API key", http.StatusUnauthorized,
		"Send one valid key as `Authorization: Token KEY`, or none where the route needs none.", 0)
}

// keyNotKnownYet refuses a request with a key that a newer configuration may have.
func keyNotKnownYet() *problem.Problem {
	return notRun(string(call.ReasonKeyNotKnownYet), "This node does not know the API key and is about to get a newer configuration", http.StatusServiceUnavailable,
		"Send the call to another node, or again after the given time.", updateRetryAfter)
}

// keysUnconfirmed refuses a request with a key that may have been removed.
func keysUnconfirmed() *problem.Problem {
	return notRun(string(call.ReasonKeysUnconfirmed), "This node is out of contact and cannot know whether API keys were removed", http.StatusServiceUnavailable,
		"Send the call to another node, or again after the given time.", fencedOrOverloadedRetryAfter)
}

func badHeader(name, want string) *problem.Problem {
	p := notRun("bad-header", "A header of the contract cannot be read", http.StatusBadRequest,
		"Correct the header or leave it out.", 0)
	p.Detail = name + " must be " + want
	return p
}

func badBody(err error) *problem.Problem {
	if errorx.IsOfType(err, errBodyTooLarge) {
		p := notRun("body-too-large", "The body is too large", http.StatusRequestEntityTooLarge, "Send a smaller body.", 0)
		p.Detail = err.Error()
		return p
	}
	return notRun("body-incomplete", "The body did not come whole", http.StatusBadRequest, "Send the call again.", 0)
}

// failure returns the problem that tells a caller why there is no response from
// a target.
func failure(action entry.Fail) *problem.Problem {
	p := &problem.Problem{
		Type:    problemBase + string(action.Reason),
		Detail:  string(action.Reason),
		Outcome: problem.Outcome(action.Outcome.String()),
	}
	switch action.Outcome {
	case call.NotRun:
		p.Title = "The call was not run"
		p.Status = http.StatusServiceUnavailable
		p.Remedy = "It is safe to send the call again after the given time."
		p.RetryAfterMS = max(1, action.RetryAfter.Milliseconds())
		if action.Reason == call.ReasonKeyReused {
			p.Status = http.StatusUnprocessableEntity
			p.Remedy = "The key was used for another request: take a new key."
			p.RetryAfterMS = 0
		}
	case call.Ran:
		p.Title = "The call was run, and its answer is lost"
		p.Status = http.StatusBadGateway
		p.Remedy = "Do not send the call again; read its result where the target offers it."
	default:
		p.Title = "It is not known whether the call was run"
		p.Status = http.StatusGatewayTimeout
		p.Remedy = "Check with the target's service before sending a call again that must run once."
		if action.RetryAfter > 0 {
			p.Remedy = "Send the call again with the same Idempotency-Key after the given time, or check with the target's service."
			p.RetryAfterMS = action.RetryAfter.Milliseconds()
		}
	}
	return p
}
