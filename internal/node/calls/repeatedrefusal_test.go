package calls

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/protocol/headers"
)

const attemptIDHeader = "X-Request"

// refusalRepeater refuses the first request of each connection. It runs those behind it and writes the
// refusal once more in place of their responses.
type refusalRepeater struct {
	// echo returns the ID in the repeated refusal; empty for none.
	echo func(refused, running string) string
	// interim precedes each refusal.
	interim string

	mu      sync.Mutex
	refused map[net.Conn]string
	runs    map[string]int
	repeats int
}

func (r *refusalRepeater) respond(conn net.Conn, request *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := request.Header.Get(attemptIDHeader)
	refused, used := r.refused[conn]
	if !used {
		r.refused[conn] = id
		return r.refuse(conn, id)
	}
	r.runs[id]++
	r.repeats++
	return r.refuse(conn, r.echo(refused, id))
}

func (r *refusalRepeater) refuse(conn net.Conn, id string) bool {
	head := r.interim + "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		head += attemptIDHeader + ": " + id + "\r\n"
	}
	_, err := io.WriteString(conn, head+"\r\n")
	return err == nil
}

// TestEarlierRefusalIsTakenForNextRequest lets a target write a refusal once more while it runs the next
// request on a kept connection. That request's caller must not be told that it was not run, and it must
// not run at a second target.
func TestEarlierRefusalIsTakenForNextRequest(t *testing.T) {
	log.SetOutput(io.Discard) // net/http logs responses to no request
	defer log.SetOutput(os.Stderr)
	contract := headers.Contract{RequestID: attemptIDHeader, NotRun: "X-Not-Run"}
	cases := map[string]struct {
		echo func(refused, running string) string
		// unnamed requests have no ID.
		unnamed bool
		interim string
	}{
		"without an ID":            {echo: func(string, string) string { return "" }},
		"with its ID":              {echo: func(refused, _ string) string { return refused }},
		"of a request without one": {echo: func(string, string) string { return "" }, unnamed: true},
		"behind an interim one":    {echo: func(string, string) string { return "" }, interim: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
	for name, test := range cases {
		for _, method := range []string{"POST /file", "GET /read"} {
			t.Run(method+" "+name, func(t *testing.T) {
				is := is.New(t)
				target := &refusalRepeater{echo: test.echo, interim: test.interim, refused: make(map[net.Conn]string), runs: make(map[string]int)}
				f := newFleet(t, fleetOptions{nodes: 2, contract: contract, settings: hostileSettings}, nil)
				for _, node := range f.nodes {
					newRawTarget(t, target.respond).useAsTarget(node, 8)
				}
				method, path, body := method[:len(method)-6], method[len(method)-5:], ""
				if method == http.MethodPost {
					body = "x"
				}
				for i := range 100 {
					id := fmt.Sprintf("id-%d", i)
					if test.unnamed {
						id = ""
					}
					before := target.runsOf(id)
					got := f.call(0, method, path, body, attemptIDHeader, id)
					runs := target.runsOf(id) - before
					if runs > 0 && impliesNotRun(got.status) {
						t.Fatalf("the caller of a request that ran %d times was told %d", runs, got.status)
					}
					if runs > 1 && method == http.MethodPost {
						t.Fatalf("the request ran %d times", runs)
					}
				}
				is.Equal(target.repeats, 0) // a connection was used again after a refusal
			})
		}
	}
}

// TestEarlierRefusalOfSameRequestIsTakenForNewOne sends a request once more after its refusal: it must
// not use the connection on which the refusal may come again.
func TestEarlierRefusalOfSameRequestIsTakenForNewOne(t *testing.T) {
	contract := headers.Contract{RequestID: attemptIDHeader, NotRun: "X-Not-Run"}
	target := &refusalRepeater{
		echo:    func(_, running string) string { return running },
		refused: make(map[net.Conn]string), runs: make(map[string]int),
	}
	f := newFleet(t, fleetOptions{nodes: 1, contract: contract, settings: hostileSettings}, nil)
	newRawTarget(t, target.respond).useAsTarget(f.nodes[0], 8)
	for _, method := range []string{"POST /file", "GET /read"} {
		method, path, body := method[:len(method)-6], method[len(method)-5:], ""
		if method == http.MethodPost {
			body = "x"
		}
		for range 20 {
			got := f.call(0, method, path, body, attemptIDHeader, method)
			if runs := target.runsOf(method); runs > 0 {
				t.Fatalf("%s: the request ran on a connection that had its refusal, and its caller was told %d", method, got.status)
			}
		}
	}
}

func (r *refusalRepeater) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
