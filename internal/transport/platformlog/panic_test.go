package platformlog_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"jasminegate/internal/logging"
	"jasminegate/internal/transport/platformlog"
)

// TestPanicInReadEndsProcess lets one attempt of a read panic. The read fails as one without a
// response, and the next one succeeds.
func TestPanicInReadEndsProcess(t *testing.T) {
	is := is.New(t)
	logger := logging.Discard()
	panics := true
	hedge := platformlog.Hedge{Timeout: time.Minute, Logger: logger}
	read := func() (int, error) {
		return platformlog.ReadHedged(context.Background(), hedge, func(context.Context, platformlog.Attempt) (int, error) {
			if panics {
				panic("on purpose, in a read")
			}
			return 1, nil
		})
	}
	_, err := read()
	is.True(errorx.IsOfType(err, platformlog.ErrUnavailable))
	is.Equal(logger.Panics(), uint64(1))
	panics = false
	got, err := read()
	is.NoErr(err)
	is.Equal(got, 1)
}

// panickingTransport panics once it has got a request.
type panickingTransport struct{ http.RoundTripper }

func (panickingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	panic("on purpose, in a request")
}

// TestPanicInRequestToPlatformEndsProcess lets the client panic in a read.
func TestPanicInRequestToPlatformEndsProcess(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(respondText("{}"))
	defer server.Close()
	log := platformlog.New(server.URL, time.Second, &http.Client{Transport: panickingTransport{}})
	_, err := log.Bounds(context.Background(), stream)
	is.True(errorx.IsOfType(err, platformlog.ErrUnavailable))
}
