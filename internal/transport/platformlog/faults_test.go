package platformlog_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"jasminegate/internal/standin/platform"
	"jasminegate/internal/standin/relay"
	"jasminegate/internal/transport/platformlog"
)

// pooledConnections is how many idle connections a test leaves in the pool.
const pooledConnections = 3

// newRelayedClient returns a client of the platform behind a relay, and the relay.
func newRelayedClient(t *testing.T, timeout time.Duration) (*platformlog.Client, *relay.Relay) {
	is := is.New(t)
	server, err := platform.Start("127.0.0.1:0", platform.Options{})
	is.NoErr(err)
	path, err := relay.Start("127.0.0.1:0", server.Address(), relay.Options{})
	is.NoErr(err)
	transport := &http.Transport{MaxIdleConnsPerHost: pooledConnections}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		path.Close()
		server.Close()
	})
	return platformlog.New("http://"+path.Address(), timeout, &http.Client{Transport: transport}), path
}

// TestUnresponsiveIdleConnections lets all pooled connections go silent while new
// ones work, as after a loss of connection state on the path. Only one request
// may fail: its timeout must close the other idle connections.
func TestUnresponsiveIdleConnections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log, path := newRelayedClient(t, faultTimeout)
	var reads sync.WaitGroup
	for range pooledConnections {
		reads.Go(func() { log.Read(ctx, stream, 0, generousTimeout) })
	}
	for path.Stats().Open < pooledConnections {
		time.Sleep(time.Millisecond)
	}
	_, err := log.Append(ctx, stream, []byte("r0")) // wakes the reads
	is.NoErr(err)
	reads.Wait()

	is.NoErr(path.SetMode(relay.Mode{Kind: relay.Silent}))
	_, err = log.Append(ctx, stream, []byte("lost"))
	is.True(errorx.IsOfType(err, platformlog.ErrUnavailable))
	offset, err := log.Append(ctx, stream, []byte("r1"))
	is.NoErr(err) // uses a new connection, not another silent one
	is.Equal(offset, int64(1))
}

func TestReadsAreCompressed(t *testing.T) {
	is := is.New(t)
	log, path := newRelayedClient(t, generousTimeout)
	data := bytes.Repeat([]byte("rider-view "), 10_000)
	_, err := log.Append(context.Background(), stream, data)
	is.NoErr(err)
	before := path.Stats().Bytes
	batch, err := log.Read(context.Background(), stream, 0, 0)
	is.NoErr(err)
	is.Equal(batch.Records[0].Data, data)
	is.True(path.Stats().Bytes-before < int64(len(data))/10)
}

// TestMalformedResponses sends the client responses that are not valid responses
// of the log. Each must fail with ErrUnavailable and return no records.
func TestMalformedResponses(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"another service":   respondText("<html>welcome</html>"),
		"empty":             respondText(""),
		"no bounds":         respondText(`{"records":[]}`),
		"bounds reversed":   respondText(`{"first":5,"next":4}`),
		"negative bounds":   respondText(`{"first":-1,"next":4}`),
		"missing record":    respondText(`{"first":0,"next":9,"records":[{"offset":1},{"offset":3}]}`),
		"earlier record":    respondText(`{"first":0,"next":9,"records":[{"offset":0}]}`),
		"repeated record":   respondText(`{"first":0,"next":9,"records":[{"offset":1},{"offset":1}]}`),
		"record past next":  respondText(`{"first":0,"next":1,"records":[{"offset":1}]}`),
		"data not base64":   respondText(`{"first":0,"next":9,"records":[{"offset":1,"data":"*"}]}`),
		"trimmed, no bound": respondStatus(http.StatusGone, "{}"),
		"redirect loop":     func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, r.URL.String(), http.StatusFound) },
		"cut off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			io.WriteString(w, `{"first":0`)
		},
		"never ends": func(w http.ResponseWriter, r *http.Request) {
			w.Write([]byte("{"))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
	}
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(handler)
			defer server.Close()
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			log := platformlog.New(server.URL, time.Second, &http.Client{Transport: transport})
			batch, err := log.Read(context.Background(), stream, 1, 0)
			is.True(errorx.IsOfType(err, platformlog.ErrUnavailable)) // read
			is.Equal(len(batch.Records), 0)
			_, err = log.Append(context.Background(), stream, []byte("x"))
			is.True(errorx.IsOfType(err, platformlog.ErrUnavailable)) // append
		})
	}
}

// TestResponsesAreBounded sends a response far over the size limit. The client
// must stop reading and fail with ErrUnavailable.
func TestResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	const tooMuch = 256 << 20
	written := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 1<<20)
		total := 0
		for total < tooMuch {
			if _, err := w.Write(part); err != nil {
				break
			}
			total += len(part)
		}
		written <- total
	}))
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	log := platformlog.New(server.URL, generousTimeout, &http.Client{Transport: transport})
	_, err := log.Read(context.Background(), stream, 0, 0)
	is.True(errorx.IsOfType(err, platformlog.ErrUnavailable))
	is.True(strings.Contains(err.Error(), "is over"))
	is.True(<-written < tooMuch) // the client stopped reading
}

func respondText(body string) http.HandlerFunc { return respondStatus(http.StatusOK, body) }

func respondStatus(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		io.WriteString(w, body)
	}
}

// TestFailedAttemptEndsHedgedRead guards against a read that is given up because a later attempt is
// refused or reset, while a slow log still responds to the first one.
func TestFailedAttemptEndsHedgedRead(t *testing.T) {
	fail := map[string]http.HandlerFunc{
		"refused": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"reset":   func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, respond := range fail {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) > 1 {
					respond(w, r)
					return
				}
				time.Sleep(2 * faultTimeout)
				_, _ = io.WriteString(w, `{"first":3,"next":19}`)
			}))
			defer server.Close()
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			bounds, err := platformlog.New(server.URL, faultTimeout, &http.Client{Transport: transport}).Bounds(context.Background(), stream)
			is.NoErr(err)
			is.Equal(bounds.Next, int64(19))
			is.True(requests.Load() > 1)
		})
	}
}
