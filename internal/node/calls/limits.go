package calls

import (
	"cmp"
	"fmt"
	"net/http"

	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/callerconn"
)

// headerFraming is the least number of bytes of a header line in addition to its name and value: a
// colon and the line end.
const headerFraming = 2

// headerBytes returns the least size that the request line and headers can have had as the caller
// sent them. The connection limits the size that they had (callerconn.Limits).
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \n")
	size += len("Host") + len(r.Host) + headerFraming
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerFraming
		}
	}
	return size + len("\n")
}

// DefaultHeaderBytes limits the headers if the configuration does not.
const DefaultHeaderBytes = 64 << 10

// headersTooLarge returns a problem if the headers exceed the configured limit.
func headersTooLarge(r *http.Request, limits state.CallerLimits) *problem.Problem {
	bound := cmp.Or(limits.HeaderBytes, DefaultHeaderBytes)
	if size := headerBytes(r); size > bound {
		p := oversizedHeaders()
		p.Detail = fmt.Sprintf("headers have %d bytes, over the bound of %d", size, bound)
		return p
	}
	return nil
}

func oversizedHeaders() *problem.Problem {
	return notRun("headers-too-large", "The headers are too large", http.StatusRequestHeaderFieldsTooLarge, "Send fewer or shorter headers.", 0)
}

// RespondUnparsed writes the response to a request that is refused before its headers were parsed.
func (r *Runner) RespondUnparsed(w http.ResponseWriter, refusal callerconn.Refusal) {
	p := noRoom(noRoomRetryAfter)
	if refusal == callerconn.HeadTooLarge {
		p = oversizedHeaders()
	}
	r.counters.requests.Add(1)
	r.counters.notRun.Add(1)
	r.metrics.countProblem(p)
	r.failedLog.event(logging.CallFailed, "").Str("type", p.Type).Str("outcome", string(p.Outcome)).Int("retry_after_ms", p.RetryAfterMS).Send()
	p.PreciseRetryAfter = r.options.Contract.PreciseRetryAfter
	problem.Write(w, *p)
}

// bodyLimit returns the smaller of the node's and the configuration's limit, in
// bytes.
func (r *Runner) bodyLimit(limits state.CallerLimits) int64 {
	if limits.BodyBytes == 0 {
		return r.options.Settings.MaxBodyBytes
	}
	return min(r.options.Settings.MaxBodyBytes, limits.BodyBytes)
}
