package calls

import (
	"cmp"
	"fmt"
	"net/http"

	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/state"
)

// headerFraming is the number of bytes of a header line in addition to its name
// and value: a colon, a space and the line end.
const headerFraming = 4

// headerBytes returns the size of the request line and headers as the caller
// sent them, except for optional white space.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerFraming
	size += len("Host") + len(r.Host) + headerFraming
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerFraming
		}
	}
	return size
}

// defaultHeaderBytes limits the headers if the configuration does not.
const defaultHeaderBytes = 64 << 10

// headersTooLarge returns a problem if the headers exceed the configured limit.
func headersTooLarge(r *http.Request, limits state.CallerLimits) *problem.Problem {
	bound := cmp.Or(limits.HeaderBytes, defaultHeaderBytes)
	if size := headerBytes(r); size > bound {
		p := notRun("headers-too-large", "The headers are too large", http.StatusRequestHeaderFieldsTooLarge, "Send fewer or shorter headers.", 0)
		p.Detail = fmt.Sprintf("headers have %d bytes, over the bound of %d", size, bound)
		return p
	}
	return nil
}

// bodyLimit returns the smaller of the node's and the configuration's limit, in
// bytes.
func (r *Runner) bodyLimit(limits state.CallerLimits) int64 {
	if limits.BodyBytes == 0 {
		return r.options.Settings.MaxBodyBytes
	}
	return min(r.options.Settings.MaxBodyBytes, limits.BodyBytes)
}
