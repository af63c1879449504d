package calls

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// targetIdleTimeout closes idle connections to the target. It is lowered for a target
	// that states a shorter timeout.
	targetIdleTimeout = 2 * time.Second
	// keepAliveMargin is how long before the end of the idle timeout that the target
	// states a connection is given up: for the time that a request takes to reach the
	// target, and for a node that gets no processor time.
	keepAliveMargin = 500 * time.Millisecond
	// recentUse is how long a connection may be idle that takes a non-idempotent call.
	// Targets do not state idle timeouts below 1 s.
	recentUse = 100 * time.Millisecond
	// targetDialTimeout bounds opening a connection to the target.
	targetDialTimeout = time.Second
	// MaxResponseHeadBytes limits the status line and the headers of a response,
	// those of interim responses (1xx) included. A head takes a multiple of its size
	// while it is parsed.
	MaxResponseHeadBytes = 32 << 10
)

// targetConns are the connections to one process of the target. Idle connections are
// closed by the transports alone, which take a connection from the pool before they
// close it: a close from elsewhere could cross a request.
type targetConns struct {
	limit int64
	open  atomic.Int64
	// targetRefuses is set if responses of the target may say that it did not run the request.
	targetRefuses bool
	// pooled reuses connections for idempotent calls until its idle timeout, which
	// follows what the target states.
	pooled atomic.Pointer[http.Transport]
	// recent reuses connections that were used within recentUse.
	recent *http.Transport
	// singleUse opens a connection for each request: on a reused connection the HTTP
	// client would send a request without a body again by itself.
	singleUse *http.Transport
	// dialTCP opens connections.
	dialTCP func(ctx context.Context, network, address string) (net.Conn, error)
}

func newTargetConns(limit int) *targetConns {
	dialer := net.Dialer{Timeout: targetDialTimeout}
	c := &targetConns{limit: int64(limit), dialTCP: dialer.DialContext}
	c.pooled.Store(c.newTransport(targetIdleTimeout))
	c.recent = c.newTransport(recentUse)
	c.singleUse = c.newTransport(0)
	c.singleUse.DisableKeepAlives = true
	return c
}

// newTransport returns a transport whose connections may be idle for the time.
func (c *targetConns) newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    int(c.limit),
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: MaxResponseHeadBytes,
	}
}

// transportFor returns the transport for the request.
func (c *targetConns) transportFor(request *http.Request, idempotent, hasBody bool) *http.Transport {
	switch {
	case !hasBody && !usuallyWithoutBody(request.Method) && resentByClient(request):
		return c.singleUse
	case idempotent:
		return c.pooled.Load()
	case hasBody:
		return c.recent
	default:
		return c.singleUse
	}
}

// resentByClient reports whether the HTTP client sends the request again by itself if it has no body
// and a reused connection breaks.
func resentByClient(request *http.Request) bool {
	_, key := request.Header["Idempotency-Key"]
	_, otherKey := request.Header["X-Idempotency-Key"]
	return key || otherKey
}

// closeIdle closes the idle connections.
func (c *targetConns) closeIdle() {
	c.pooled.Load().CloseIdleConnections()
	c.recent.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// observeKeepAlive lowers the idle timeout of pooled connections to what a response
// states. It is not raised again: the shortest of several timeouts holds.
func (c *targetConns) observeKeepAlive(header http.Header) {
	stated, ok := keepAliveTimeout(header)
	if !ok {
		return
	}
	idle := max(stated-keepAliveMargin, recentUse)
	current := c.pooled.Load()
	if idle >= current.IdleConnTimeout {
		return
	}
	if c.pooled.CompareAndSwap(current, c.newTransport(idle)) {
		// Connections in use are closed when they become idle.
		current.CloseIdleConnections()
	}
}

// maxKeepAliveSeconds is the largest timeout that is read.
const maxKeepAliveSeconds = 24 * 60 * 60

// keepAliveTimeout returns the idle timeout that a response states, if any.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, value := range header.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			seconds, err := strconv.Atoi(strings.Trim(strings.TrimSpace(text), `"`))
			if strings.EqualFold(strings.TrimSpace(name), "timeout") && err == nil && seconds >= 0 {
				return time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second, true
			}
		}
	}
	return 0, false
}

// dial opens a connection if the limit on open connections permits one more.
func (c *targetConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if c.open.Add(1) > c.limit {
		c.closeIdle()
		if c.open.Load() > c.limit {
			c.open.Add(-1)
			return nil, errConnectionLimit.New("%d connections to the target are open, which is the limit: raise the connections of the service, or those that the target announces", c.limit)
		}
	}
	conn, err := c.dialTCP(ctx, network, address)
	if err != nil {
		c.open.Add(-1)
		return nil, err
	}
	return &targetConn{Conn: conn, conns: c}, nil
}
