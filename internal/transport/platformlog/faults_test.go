package platformlog_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"jasminegate/internal/standin/platform"
	"jasminegate/internal/standin/relay"
	"jasminegate/internal/transport/platformlog"
)

// pooledConnections is how many connections a test leaves idle.
const pooledConnections = 3

// relayed returns a client of the platform through a relay.
func relayed(t *testing.T, timeout time.Duration) (*platformlog.Client, *relay.Relay) {
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

// TestSilentConnections leaves several idle connections in the pool, silences
// all of them and lets new ones through: one request may be lost, no more.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log, path := relayed(t, faultTimeout)
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
	is.NoErr(err) // a fresh connection, not a silent sibling
	is.Equal(offset, int64(1))
}

func TestReadsAreCompressed(t *testing.T) {
	is := is.New(t)
	log, path := relayed(t, generousTimeout)
	data := bytes.Repeat([]byte("rider-view "), 10_000)
	_, err := log.Append(context.Background(), stream, data)
	is.NoErr(err)
	before := path.Stats().Bytes
	batch, err := log.Read(context.Background(), stream, 0, 0)
	is.NoErr(err)
	is.Equal(batch.Records[0].Data, data)
	is.True(path.Stats().Bytes-before < int64(len(data))/10)
}

// TestForeignAnswers gives the client what a log must not answer.
func TestForeignAnswers(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"another service":   text("<html>welcome</html>"),
		"empty":             text(""),
		"no bounds":         text(`{"records":[]}`),
		"bounds reversed":   text(`{"first":5,"next":4}`),
		"negative bounds":   text(`{"first":-1,"next":4}`),
		"gap":               text(`{"first":0,"next":9,"records":[{"offset":1},{"offset":3}]}`),
		"earlier record":    text(`{"first":0,"next":9,"records":[{"offset":0}]}`),
		"repeated record":   text(`{"first":0,"next":9,"records":[{"offset":1},{"offset":1}]}`),
		"record past next":  text(`{"first":0,"next":1,"records":[{"offset":1}]}`),
		"data not base64":   text(`{"first":0,"next":9,"records":[{"offset":1,"data":"*"}]}`),
		"trimmed, no bound": status(http.StatusGone, "{}"),
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

// TestAnswersAreBounded sends far more than an answer may hold.
func TestAnswersAreBounded(t *testing.T) {
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

func text(body string) http.HandlerFunc { return status(http.StatusOK, body) }

func status(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		io.WriteString(w, body)
	}
}
