package calls

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCutResponseReachesCallerAsWhole lets a target close, or reset, its connection at each byte of its
// response. A caller gets a success only with the whole body.
func TestCutResponseReachesCallerAsWhole(t *testing.T) {
	const body = "the whole body"
	responses := map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 14\r\n\r\n" + body,
		"interim":        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + body,
		"continue":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + body,
		"chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n5;a=b\r\n body\r\n0\r\n\r\n",
		"trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\ne\r\nthe whole body\r\n0\r\nA: b\r\n\r\n",
		"without length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	}
	for name, response := range responses {
		for _, remote := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, remote %v, reset %v", name, remote, reset), func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote, settings: hostileSettings}, nil)
					cut := 0
					raw := newRawTarget(t, func(conn net.Conn, _ *http.Request) bool {
						_, _ = io.WriteString(conn, response[:cut])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					raw.useAsTarget(f.nodes[1], 8)
					if !remote {
						raw.useAsTarget(f.nodes[0], 8)
					}
					for cut = range len(response) + 1 {
						for _, method := range []string{"GET /read", "POST /file"} {
							verb, path, _ := strings.Cut(method, " ")
							got := f.call(0, verb, path, "")
							// The close of the connection is the end of a body without a length.
							ended := name == "without length" && !reset && cut >= len(response)-len(body)
							if got.status == http.StatusOK && got.err == nil && got.body != body && !ended {
								t.Fatalf("%s: %d bytes of the response: the caller got %q", method, cut, got.body)
							}
							if cut == len(response) && !reset {
								is.Equal(got.body, body)
							}
						}
					}
				})
			}
		}
	}
}
