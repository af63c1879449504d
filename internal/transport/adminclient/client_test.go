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

// safetyNet only ends a test that hangs.
const safetyNet = 30 * time.Second

var ticket = state.Ticket{Number: 7, RemoveRoutes: []string{"stock"}}

// answer is what the fake node does with one request.
type answer func(w http.ResponseWriter, r *http.Request)

func accept(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	decoded, err := state.DecodeTicket(data)
	if err != nil {
		problem.Write(w, problem.Problem{Status: 400, Outcome: problem.Rejected, Detail: err.Error(), Remedy: "mend it"})
		return
	}
	hash, _ := decoded.ContentHash()
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(adminapi.PublishResponse{Number: decoded.Number, Content: adminapi.FormatHash(hash), Offset: 12})
}

// loseAnswer takes the request and cuts the connection.
func loseAnswer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	panic(http.ErrAbortHandler)
}

func cutInBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write([]byte(`{"number":7`))
	panic(http.ErrAbortHandler)
}

func refuse(status int) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		problem.Write(w, problem.Problem{Status: status, Outcome: problem.Unavailable, Detail: "no", Remedy: "later", RetryAfterMS: 10})
	}
}

func reply(text string) answer {
	return func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, text) }
}

// node answers the nth request with the nth answer, the last one from then on.
func node(t *testing.T, answers ...answer) (*Client, *atomic.Int64) {
	requests := new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(requests.Add(1))
		answers[min(n, len(answers))-1](w, r)
	}))
	t.Cleanup(server.Close)
	return New(server.URL), requests
}

func TestPublish(t *testing.T) {
	cases := map[string]struct {
		answers  []answer
		requests int64
		fails    *errorx.Type
	}{
		"taken":                 {[]answer{accept}, 1, nil},
		"answer lost":           {[]answer{loseAnswer, accept}, 2, nil},
		"answer cut":            {[]answer{cutInBody, accept}, 2, nil},
		"platform out":          {[]answer{refuse(503), refuse(503), accept}, 3, nil},
		"rejected":              {[]answer{refuse(400)}, 1, ErrRejected},
		"too large":             {[]answer{refuse(413)}, 1, ErrRejected},
		"not an admin address":  {[]answer{reply("<html>")}, 1, ErrUnexpectedResponse},
		"not found":             {[]answer{http.NotFound}, 1, ErrUnexpectedResponse},
		"answer of another one": {[]answer{reply(`{"number":8,"content":"00","offset":1}`)}, 1, ErrUnexpectedResponse},
		"other content":         {[]answer{reply(`{"number":7,"content":"0000000000000000","offset":1}`)}, 1, ErrUnexpectedResponse},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, requests := node(t, tc.answers...)
			ctx, cancel := context.WithTimeout(context.Background(), safetyNet)
			defer cancel()
			got, err := client.Publish(ctx, ticket)
			is.Equal(requests.Load(), tc.requests)
			if tc.fails != nil {
				is.True(errorx.IsOfType(err, tc.fails))
				return
			}
			is.NoErr(err)
			is.Equal(got.Number, ticket.Number)
			is.Equal(got.Offset, int64(12))
		})
	}
}

// A publish that nobody answers ends with the time and does not claim that the
// ticket is not published.
func TestPublishEndsWithItsTime(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never answers
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

func stateAnswer(state adminapi.TicketState) answer {
	return reply(`{"number":7,"state":` + strconv.Quote(string(state)) + `}`)
}

func TestWait(t *testing.T) {
	cases := map[string]struct {
		answers []answer
		last    adminapi.TicketState
		notices int
		fails   *errorx.Type
	}{
		"in force":            {[]answer{stateAnswer("unknown"), stateAnswer("accepted"), stateAnswer("in_force")}, "in_force", 3, nil},
		"rejected":            {[]answer{stateAnswer("rejected")}, "rejected", 1, nil},
		"node out in between": {[]answer{stateAnswer("accepted"), refuse(503), loseAnswer, stateAnswer("in_force")}, "in_force", 2, nil},
		"foreign answer":      {[]answer{reply("hello")}, "", 0, ErrUnexpectedResponse},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, _ := node(t, tc.answers...)
			ctx, cancel := context.WithTimeout(context.Background(), safetyNet)
			defer cancel()
			notices := 0
			status, err := client.Wait(ctx, 7, "", func(adminapi.TicketStatus) { notices++ })
			if tc.fails != nil {
				is.True(errorx.IsOfType(err, tc.fails))
				return
			}
			is.NoErr(err)
			is.Equal(status.State, tc.last)
			is.Equal(notices, tc.notices)
		})
	}
}

// When the time is up the last state read is returned, and an error only when
// none was ever read.
func TestWaitEndsWithItsTime(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	client, _ := node(t, stateAnswer("unconfirmed"))
	status, err := client.Wait(ctx, 7, "", func(adminapi.TicketStatus) { cancel() })
	is.NoErr(err)
	is.Equal(status.State, adminapi.TicketUnconfirmed)
	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = New(closedAddress(t)).Wait(ctx, 7, "", func(adminapi.TicketStatus) {})
	is.True(errorx.IsOfType(err, ErrUnreachable))
}
