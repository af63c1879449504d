package calls

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/protocol/headers"
)

// cutCase is a response that a target breaks off.
type cutCase struct {
	method, response string
	// body is that of the whole response. ends says that the close of the connection is the end of the
	// body, and never that the response cannot be passed on, however much of it has come.
	body        string
	ends, never bool
}

const cutBody = "the whole body"

var cutCases = map[string]cutCase{
	"HEAD":                    {"HEAD", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 14\r\n\r\n", "", false, false},
	"HEAD without length":     {"HEAD", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "", false, false},
	"no content":              {"GET", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n", "", false, false},
	"not modified":            {"GET", "HTTP/1.1 304 Not Modified\r\nETag: b\r\nContent-Length: 14\r\n\r\n", "", false, false},
	"length, then chunks":     {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nthe whole body\r\n0\r\n\r\n", cutBody, false, false},
	"chunks, then length":     {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\ne\r\nthe whole body\r\n0\r\n\r\n", cutBody, false, false},
	"two lengths":             {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 14\r\n\r\n" + cutBody, "", false, true},
	"length twice":            {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nContent-Length: 14\r\n\r\n" + cutBody, cutBody, false, false},
	"HTTP/1.0":                {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 14\r\n\r\n" + cutBody, cutBody, false, false},
	"HTTP/1.0 without length": {"GET", "HTTP/1.0 200 OK\r\nA: b\r\n\r\n" + cutBody, cutBody, true, false},
	"lines without returns":   {"GET", "HTTP/1.1 200 OK\nContent-Length: 14\n\n" + cutBody, cutBody, false, false},
	"continued line":          {"GET", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 14\r\n\r\n" + cutBody, cutBody, false, false},
}

// sealedContract demands of a success that it has the request's ID and a seal.
func sealedContract() headers.Contract {
	return headers.Contract{RequestID: attemptIDHeader, ResponseSeal: "X-Seal", NotRun: "X-Not-Run"}
}

// cutAt returns the first bytes of the response to the request, with its seal if it has one.
func (c cutCase) cutAt(cut int, request *http.Request) string {
	if id := request.Header.Get(attemptIDHeader); id != "" {
		at := strings.IndexByte(c.response, '\n') + 1
		sealed := c.response[:at] + attemptIDHeader + ": " + id + "\r\nX-Seal: s\r\n" + c.response[at:]
		return sealed[:len(sealed)*cut/len(c.response)]
	}
	return c.response[:cut]
}

// TestCutFramingReachesCallerAsWhole lets a target break off responses whose head says in another way, or
// twice, where they end. A caller gets a success only for a whole one, also after a lost first attempt.
func TestCutFramingReachesCallerAsWhole(t *testing.T) {
	for name, tc := range cutCases {
		for _, sealed := range []bool{false, true} {
			for _, lostFirst := range []bool{false, true} {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, sealed %v, first attempt lost %v, reset %v", name, sealed, lostFirst, reset), func(t *testing.T) {
						tc.play(t, sealed, lostFirst, reset)
					})
				}
			}
		}
	}
}

func (c cutCase) play(t *testing.T, sealed, lostFirst, reset bool) {
	t.Parallel()
	is := is.New(t)
	options := fleetOptions{nodes: 2, settings: hostileSettings}
	var header []string
	if sealed {
		options.contract, header = sealedContract(), []string{attemptIDHeader, "id-1"}
	}
	f := newFleet(t, options, nil)
	var cut, attempts atomic.Int64
	for _, n := range f.nodes {
		newRawTarget(t, func(conn net.Conn, request *http.Request) bool {
			if attempts.Add(1) > 1 || !lostFirst {
				_, _ = io.WriteString(conn, c.cutAt(int(cut.Load()), request))
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return false
		}).useAsTarget(n, 8)
	}
	head := strings.Index(c.response, "\r\n\r\n") + len("\r\n\r\n")
	for at := range len(c.response) + 1 {
		cut.Store(int64(at))
		attempts.Store(0)
		got := f.call(0, c.method, "/read", "", header...)
		whole := at == len(c.response) && !c.never
		ended := c.ends && !reset && at >= head
		if got.err == nil && got.status < 400 && !whole && !ended {
			t.Fatalf("%d of %d bytes: the caller got %d %q", at, len(c.response), got.status, got.body)
		}
		if got.err == nil && got.status < 400 && whole {
			is.Equal(got.body, c.body)
		}
	}
}

// TestCutResponseReachesNextRequest breaks off the second of three pipelined responses, at each byte. The
// callers' first response must be whole, the second no success, and the third, if there is one, its own.
func TestCutResponseReachesNextRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
	f := newFleet(t, fleetOptions{nodes: 1, settings: hostileSettings}, nil)
	f.serveCallers(0)
	var cut atomic.Int64
	newRawTarget(t, func(conn net.Conn, request *http.Request) bool {
		text := response + request.URL.Path
		if request.URL.Path == "/read/2" {
			_, _ = io.WriteString(conn, text[:cut.Load()])
			return false
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	}).useAsTarget(f.nodes[0], 8)
	for at := range len(response) + len("/read/2") {
		cut.Store(int64(at))
		conn := f.sendRaw("GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /read/2 HTTP/1.1\r\nHost: a\r\n\r\nGET /read/3 HTTP/1.1\r\nHost: a\r\n\r\n")
		f.is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
		reader := bufio.NewReader(conn)
		for i := 1; i <= 3; i++ {
			got, err := http.ReadResponse(reader, nil)
			if err != nil {
				f.is.True(i > 1) // the first request got no response
				break
			}
			body, err := io.ReadAll(got.Body)
			if err != nil {
				f.is.Equal(i, 2)
				break
			}
			if success := got.StatusCode < 300; success && (i == 2 || string(body) != fmt.Sprintf("/read/%d", i)) {
				t.Fatalf("%d bytes of the second response: the caller got %q in place of response %d", at, body, i)
			}
		}
		_ = conn.Close()
	}
}
