package calls

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/membership"
)

// seenRequests records the requests that a target received.
type seenRequests struct {
	mu   sync.Mutex
	list []string
}

func (s *seenRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, fmt.Sprintf("%s %s %q %v", r.Method, r.URL.Path, body, err))
	_, _ = io.WriteString(w, "answer")
}

func (s *seenRequests) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.list...)
}

// rawExchange sends the bytes to the node's port for callers and, if end is
// set, closes the sending side. It returns the statuses of all responses until
// the node closes the connection.
func (f *fleet) rawExchange(node int, request string, end bool) []int {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.nodes[node].callers.Listener.Addr().String())
	f.is.NoErr(err)
	defer conn.Close()
	f.is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	go func() {
		_, _ = io.WriteString(conn, request) // the node may refuse before everything is sent
		if end {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}()
	var statuses []int
	responses := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
}

// TestAmbiguousRequests verifies that a request whose end two parsers may place
// differently (request smuggling) reaches no target as two requests, nor with
// bytes of another request.
func TestAmbiguousRequests(t *testing.T) {
	// inner is a request of its own if the node sees the end of the previous
	// request before it; the node closes the connection after it.
	const inner = "GET /read/inner HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"
	const innerSeen = `GET /read/inner "" <nil>`
	head := func(lines ...string) string {
		return "POST /file/outer HTTP/1.1\r\nHost: a.example\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
	length := fmt.Sprintf("Content-Length: %d", len(inner)+5)
	table := []struct {
		name    string
		request string
		// seen lists the requests that the target receives, and statuses those
		// of all responses.
		seen     []string
		statuses []int
	}{
		{"two lengths", head("Content-Length: 0", length) + inner, nil, []int{400}},
		{"length and chunks", head(length, "Transfer-Encoding: chunked") + "0\r\n\r\n" + inner, []string{`POST /file/outer "" <nil>`, innerSeen}, []int{200, 200}},
		{"unknown coding", head("Transfer-Encoding: xchunked") + "0\r\n\r\n" + inner, nil, []int{501}},
		{"two codings", head("Transfer-Encoding: chunked, identity") + "0\r\n\r\n" + inner, nil, []int{501}},
		{"space before the colon", head("Content-Length : 5") + "12345", nil, []int{400}},
		{"negative length", head("Content-Length: -1") + inner, nil, []int{400}},
		{"signed length", head("Content-Length: +5") + "12345", nil, []int{400}},
		{"folded header", head("X-Folded: a\r\n Transfer-Encoding: chunked", "Content-Length: 5") + "12345" + inner, []string{`POST /file/outer "12345" <nil>`, innerSeen}, []int{200, 200}},
		{"bare line feed", head("X-Split: a\nTransfer-Encoding: chunked") + "0\r\n\r\n" + inner, []string{`POST /file/outer "" <nil>`, innerSeen}, []int{200, 200}},
		{"no host", "GET /read HTTP/1.1\r\n\r\n", nil, []int{400}},
		{"two hosts", "GET /read HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n", nil, []int{400}},
		{"huge chunk length", head("Transfer-Encoding: chunked") + "fffffffffffffffff\r\n" + inner, nil, []int{400}},
		{"cut body", head("Content-Length: 100") + "12345", nil, []int{400}},
		{"endless head", "GET /read HTTP/1.1\r\nHost: a.example\r\nX-Long: " + strings.Repeat("x", 3<<20) + "\r\n\r\n", nil, []int{431}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var target seenRequests
			f := newFleet(t, fleetOptions{nodes: 1}, target.ServeHTTP)
			statuses := f.rawExchange(0, row.request, row.name == "cut body")
			t.Log(statuses, target.seen())
			is.Equal(target.seen(), row.seen)
			is.Equal(statuses, row.statuses)
		})
	}
}

// TestHopByHopHeaders verifies that the node does not forward hop-by-hop
// headers, nor those that the caller names in Connection.
func TestHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	var got http.Header
	f := newFleet(t, fleetOptions{nodes: 1}, func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Clone() })
	reply := f.call(0, "GET", "/read", "", "Connection", "X-Hop", "X-Hop", "1", "Te", "trailers", "Proxy-Authorization", "secret", "X-Kept", "2")
	is.Equal(reply.status, http.StatusOK)
	is.Equal(got.Get("X-Kept"), "2")
	for _, name := range []string{"X-Hop", "Connection", "Te", "Proxy-Authorization"} {
		is.Equal(got.Get(name), "") // name
	}
}

// TestEarlyResponses verifies that a response which the target sends before it
// has read the whole request reaches the caller.
func TestEarlyResponses(t *testing.T) {
	const large = 900 << 10
	for _, size := range []int{10, large} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) {})
			target := earlyTarget(t)
			f.nodes[0].runner.SetTarget(Target{Service: "depot", Slots: 8, Connections: 40, Address: target, State: membership.TargetReady})
			reply := f.call(0, "POST", "/file", strings.Repeat("x", size))
			is.Equal(reply.status, http.StatusForbidden)
			is.Equal(reply.body, "early")
		})
	}
}

// TestEarlyResponseToSlowCaller verifies that an early response does not wait
// for a caller that stops in the middle of its body.
func TestEarlyResponseToSlowCaller(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) {})
	f.nodes[0].runner.SetTarget(Target{Service: "depot", Slots: 8, Connections: 40, Address: earlyTarget(t), State: membership.TargetReady})
	body, sender := io.Pipe()
	defer sender.Close()
	go func() { _, _ = sender.Write(bytes.Repeat([]byte("x"), 300<<10)) }()
	request, err := http.NewRequest("POST", f.nodes[0].callers.URL+"/file", body)
	is.NoErr(err)
	client := http.Client{Timeout: testTimeout}
	response, err := client.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusForbidden) // while the body is still open
}

// earlyTarget responds to each request after its headers and discards the rest.
func earlyTarget(t *testing.T) string {
	t.Helper()
	listener := httptest.NewUnstartedServer(nil).Listener
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 403 Forbidden\r\nContent-Length: 5\r\nConnection: close\r\n\r\nearly")
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// TestConnectionIsReusedAfterUpload verifies that a caller's connection serves
// further requests after one whose body exceeded the buffer.
func TestConnectionIsReusedAfterUpload(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1}, func(w http.ResponseWriter, r *http.Request) {
		size, _ := io.Copy(io.Discard, r.Body) // the size shows a truncated body
		_, _ = fmt.Fprint(w, size)
	})
	const large = 900 << 10
	var addresses []string
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}}
	for range 5 {
		request, err := http.NewRequest("POST", f.nodes[0].callers.URL+"/file", newBody(strings.Repeat("x", large)))
		is.NoErr(err)
		request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { addresses = append(addresses, info.Conn.LocalAddr().String()) },
		}))
		response, err := client.Do(request)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(string(body), fmt.Sprint(large))
	}
	for _, address := range addresses {
		is.Equal(address, addresses[0])
	}
}
