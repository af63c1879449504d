package responsehead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// serve returns the URL of a server that writes the response to every connection.
func serve(t *testing.T, response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

func TestHeads(t *testing.T) {
	for response, wellFormed := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                  true,
		"HTTP/1.0 200 OK\r\n\r\nok":                                                       true,
		"HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nok":                                   true,
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: b\r\nContent-Length: 2\r\n\r\nok":        true,
		"HTTP/1.1 200 OK\r\nX a: b\r\nContent-Length: 2\r\n\r\nok":                        false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nokmore":                             false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":      false,
		"HTTP/1.1 200 OK\r\nX\x01a: b\r\nContent-Length: 2\r\n\r\nok":                     false,
		"HTTP/1.1 200 OK\r\nX(a): b\r\nContent-Length: 2\r\n\r\nok":                       false,
		"HTTP/1.1 200 OK\r\nX\xe9: b\r\nContent-Length: 2\r\n\r\nok":                      false,
		"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok":                                   false,
		"HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok":                                   false,
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok":                                   false,
		"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok":                                   false,
		"HTTP/3.7 200 OK\r\nContent-Length: 2\r\n\r\nok":                                  false,
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok":                                  false,
		"HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok":                                  false,
		"HTTP/1.1 200 OK\r\n: b\r\nContent-Length: 2\r\n\r\nok":                           false,
		"HTTP/1.1 200 OK\r\n X-A: b\r\nContent-Length: 2\r\n\r\nok":                       false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok":             false,
		"HTTP/1.1 200 OK\r\nX-A: b\x00\r\nContent-Length: 2\r\n\r\nok":                    false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n": false,
	} {
		t.Run(response, func(t *testing.T) {
			client := &http.Client{Transport: Checked(&http.Transport{DisableKeepAlives: true})}
			got, err := client.Get(serve(t, response))
			if err == nil {
				_ = got.Body.Close()
			}
			if (err == nil) != wellFormed {
				t.Errorf("error %v, want well-formed %v", err, wellFormed)
			}
		})
	}
}

func TestTrailerNames(t *testing.T) {
	is := is.New(t)
	is.NoErr(CheckNames(http.Header{"X-A": {"b"}}))
	is.True(errorx.IsOfType(CheckNames(http.Header{"X a": {"b"}}), ErrMalformed))
}
