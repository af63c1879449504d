package calls

import (
	"cmp"
	"fmt"
	"net/http"

	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/state"
)

// headerFraming is what each header line has beside its name and value: a
// colon, a space and the line's end.
const headerFraming = 4

// headerBytes is the size of the request's line and headers as the caller sent
// them, give or take white space.
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

// defaultHeaderBytes bounds headers where the configuration does not.
const defaultHeaderBytes = 64 << 10

// overLimits refuses a request whose headers are over the configuration's bound.
func overLimits(r *http.Request, limits state.CallerLimits) *problem.Problem {
	bound := cmp.Or(limits.HeaderBytes, defaultHeaderBytes)
	if size := headerBytes(r); size > bound {
		p := notRun("headers-too-large", "The headers are too large", http.StatusRequestHeaderFieldsTooLarge, "Send fewer or shorter headers.", 0)
		p.Detail = fmt.Sprintf("headers have %d bytes, over the bound of %d", size, bound)
		return p
	}
	return nil
}

// bodyLimit is the smaller of the node's and the configuration's bound.
func (d *Runner) bodyLimit(limits state.CallerLimits) int64 {
	if limits.BodyBytes == 0 {
		return d.options.Settings.MaxBodyBytes
	}
	return min(d.options.Settings.MaxBodyBytes, limits.BodyBytes)
}
