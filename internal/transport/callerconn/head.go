package callerconn

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"unicode"
)

// headScanner finds the empty line that ends a request's head, in bytes that come in parts.
type headScanner struct {
	// lineStart is set at the start of a line, returnSeen once a carriage return followed.
	lineStart, returnSeen bool
}

// scan returns how many bytes of data belong to the head, and whether it ends there.
func (s *headScanner) scan(data []byte) (n int, ended bool) {
	for i, b := range data {
		switch {
		case b == '\n' && s.lineStart:
			*s = headScanner{}
			return i + 1, true
		case b == '\n':
			*s = headScanner{lineStart: true}
		case b == '\r' && s.lineStart && !s.returnSeen:
			s.returnSeen = true
		default:
			*s = headScanner{}
		}
	}
	return len(data), false
}

// parseHead returns the request whose head data begins with, and the head's size. It returns
// nil if the head is incomplete, or if the request can be served in its turn only: it has a
// body, asks for something that concerns the connection, or may be malformed.
func parseHead(data []byte) (request *http.Request, size int) {
	var scanner headScanner
	size, ended := scanner.scan(data)
	if !ended {
		return nil, 0
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data[:size])))
	if err != nil || !plain(request) {
		return nil, 0
	}
	return request, size
}

// plain reports whether the request has neither a body nor a header by which net/http would
// refuse it or change the connection.
func plain(request *http.Request) bool {
	if request.ContentLength != 0 || len(request.TransferEncoding) > 0 || request.Close {
		return false
	}
	if !request.ProtoAtLeast(1, 1) || request.Host == "" {
		return false
	}
	for _, name := range []string{"Expect", "Upgrade", "Trailer"} {
		if request.Header.Get(name) != "" {
			return false
		}
	}
	for _, values := range request.Header {
		for _, value := range values {
			if strings.ContainsFunc(value, func(r rune) bool { return r != '\t' && unicode.IsControl(r) }) {
				return false
			}
		}
	}
	return true
}
