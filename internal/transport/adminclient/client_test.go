package adminclient

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/state"
)

// testTimeout ends a test that hangs.
const testTimeout = 30 * time.Second

var ticket = state.Ticket{Number: 7, RemoveRoutes: []string{"stock"}}

// responder handles one request to the test node.
type responder func(w http.ResponseWriter, r *http.Request)

func respondAccepted(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	decoded, err := state.DecodeTicket(data)
	if err != nil {
		problem.Write(w, problem.Problem{Status: 400, Outcome: problem.Rejected, Detail: err.Error(), Remedy: "correct it"})
		return
	}
	hash, _ := decoded.ContentHash()
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(adminapi.PublishResponse{Number: decoded.Number, Content: adminapi.FormatHash(hash), Offset: 12})
}

// closeWithoutResponse reads the request and closes the connection.
func closeWithoutResponse(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	panic(http.ErrAbortHandler)
}

func truncateBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write([]byte(`{"number":7`))
	panic(http.ErrAbortHandler)
}

func respondProblem(status int) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		problem.Write(w, problem.Problem{Status: status, Outcome: problem.Unavailable, Detail: "no", Remedy: "later", RetryAfterMS: 10})
	}
}

func respondText(text string) responder {
	return func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, text) }
}

// startNode starts a server that handles the nth request with the nth responder
// and all requests beyond with the last one. It returns a client of the server
// and the number of requests received.
func startNode(t *testing.T, responders ...responder) (*Client, *atomic.Int64) {
	requests := new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(requests.Add(1))
		responders[min(n, len(responders))-1](w, r)
	}))
	t.Cleanup(server.Close)
	return New(server.URL), requests
}

func TestPublish(t *testing.T) {
	cases := map[string]struct {
		responders []responder
		requests   int64
		wantErr    *errorx.Type
	}{
		"accepted":             {[]responder{respondAccepted}, 1, nil},
		"response lost":        {[]responder{closeWithoutResponse, respondAccepted}, 2, nil},
		"response cut off":     {[]responder{truncateBody, respondAccepted}, 2, nil},
		"platform unavailable": {[]responder{respondProblem(503), respondProblem(503), respondAccepted}, 3, nil},
		"rejected":             {[]responder{respondProblem(400)}, 1, ErrRejected},
		"too large":            {[]responder{respondProblem(413)}, 1, ErrRejected},
		"not an admin address": {[]responder{respondText("<html>")}, 1, ErrUnexpectedResponse},
		"not found":            {[]responder{http.NotFound}, 1, ErrUnexpectedResponse},
		"other number":         {[]responder{respondText(`{"number":8,"content":"00","offset":1}`)}, 1, ErrUnexpectedResponse},
		"other content":        {[]responder{respondText(`{"number":7,"content":"0000000000000000","offset":1}`)}, 1, ErrUnexpectedResponse},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, requests := startNode(t, tc.responders...)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			got, err := client.Publish(ctx, ticket)
			is.Equal(requests.Load(), tc.requests)
			if tc.wantErr != nil {
				is.True(errorx.IsOfType(err, tc.wantErr))
				return
			}
			is.NoErr(err)
			is.Equal(got.Number, ticket.Number)
			is.Equal(got.Offset, int64(12))
		})
	}
}

// TestPublishEndsWithItsContext publishes to a node that never responds and to a
// closed port. Publish must end with the context and fail with ErrUnreachable,
// which leaves open whether the ticket was published.
func TestPublishEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections; nothing responds
	is.NoErr(err)
	defer silent.Close()
	for _, address := range []string{silent.Addr().String(), closedAddress(t)} {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err = New(address).Publish(ctx, ticket)
		cancel()
		is.True(errorx.IsOfType(err, ErrUnreachable))
	}
}

func closedAddress(t *testing.T) string {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	return listener.Addr().String()
}

func respondState(state adminapi.TicketState) responder {
	return respondText(`{"number":7,"state":` + strconv.Quote(string(state)) + `}`)
}

func TestWait(t *testing.T) {
	cases := map[string]struct {
		responders    []responder
		last          adminapi.TicketState
		notifications int
		wantErr       *errorx.Type
	}{
		"in force":                       {[]responder{respondState("unknown"), respondState("accepted"), respondState("in_force")}, "in_force", 3, nil},
		"rejected":                       {[]responder{respondState("rejected")}, "rejected", 1, nil},
		"node unreachable between reads": {[]responder{respondState("accepted"), respondProblem(503), closeWithoutResponse, respondState("in_force")}, "in_force", 2, nil},
		"not an admin address":           {[]responder{respondText("hello")}, "", 0, ErrUnexpectedResponse},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, _ := startNode(t, tc.responders...)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			notifications := 0
			status, err := client.Wait(ctx, 7, "", func(adminapi.TicketStatus) { notifications++ })
			if tc.wantErr != nil {
				is.True(errorx.IsOfType(err, tc.wantErr))
				return
			}
			is.NoErr(err)
			is.Equal(status.State, tc.last)
			is.Equal(notifications, tc.notifications)
		})
	}
}

// TestWaitEndsWithItsContext cancels a wait. It must return the last status read,
// and fail only if no status was read.
func TestWaitEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	client, _ := startNode(t, respondState("unconfirmed"))
	status, err := client.Wait(ctx, 7, "", func(adminapi.TicketStatus) { cancel() })
	is.NoErr(err)
	is.Equal(status.State, adminapi.TicketUnconfirmed)
	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = New(closedAddress(t)).Wait(ctx, 7, "", func(adminapi.TicketStatus) {})
	is.True(errorx.IsOfType(err, ErrUnreachable))
}
