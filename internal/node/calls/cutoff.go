package calls

import (
	"cmp"
	"net/http"
	"strings"
	"time"

	"jasminegate/internal/logging"
	"jasminegate/internal/transport/callerconn"
)

// Causes of a caller's connection that ends before its response is complete, in addition
// to those of package callerconn.
const (
	// causeResponseAborted means that the response from the gate broke off, or could not
	// be written.
	causeResponseAborted callerconn.Cause = "response-aborted"
	// causePanic means that the handler panicked after a part of the response was written.
	causePanic callerconn.Cause = "panic"
	// causeNone means that no cause is known.
	causeNone callerconn.Cause = "none"
)

// noteCutOff counts and logs that the caller gets no response, or only a part of one. An
// empty cause stands for the one that its connection recorded. incomplete says why a response that
// broke off stayed incomplete.
func (r *Runner) noteCutOff(request *http.Request, c *callerRequest, cause callerconn.Cause, incomplete string) {
	conn := callerconn.FromContext(request.Context()).Describe()
	cause = cmp.Or(cause, conn.Cause, causeNone)
	r.metrics.cutOff[cause].Inc()
	limits := r.currentRoutes().snapshot.CallerLimits()
	r.cutOffLog.event(logging.CallerCutOff, r.requestID(request)).
		Str("cause", string(cause)).Str("incomplete", incomplete).Str("route", c.route.Name).Str("gates", strings.Join(c.gates, ",")).
		Int("request_ms", r.options.Now().Sub(c.receivedAt).Milliseconds()).
		Int("connection_ms", conn.Age.Milliseconds()).Int("waited_ms", conn.Waited.Milliseconds()).Int("written", conn.Written).
		Int("closed_ms", conn.Closed.Milliseconds()).Int("close_read_ms", conn.CloseRead.Milliseconds()).
		Int("header_timeout_ms", time.Duration(limits.HeaderTimeout).Milliseconds()).
		Int("idle_timeout_ms", time.Duration(limits.IdleTimeout).Milliseconds()).Send()
}
