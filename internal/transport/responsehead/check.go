// Package responsehead checks the heads of HTTP responses for what net/http accepts and RFC 9112
// does not allow. Such a response was written by a server in trouble: where its body ends, and
// whose it is, is not known.
package responsehead

import (
	"net/http"

	"github.com/joomcode/errorx"
)

// Errors of responses.
var (
	Errors = errorx.NewNamespace("responsehead")

	// ErrMalformed means that a head is not one of HTTP/1.
	ErrMalformed = errorx.NewType(Errors, "malformed")
)

// Statuses of RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// Check fails with ErrMalformed if the response is not of HTTP/1, has a status that HTTP does not
// have, or a field whose name is no token.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return ErrMalformed.New("the response is of %q: the server has to speak HTTP/1.1", response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return ErrMalformed.New("the response has the status %d: the server has to send one from %d to %d", response.StatusCode, minStatus, maxStatus)
	}
	return CheckNames(response.Header)
}

// CheckNames fails with ErrMalformed if the name of a field is no token. net/http keeps a name with a
// blank, also one before the colon, and then does not know the field.
func CheckNames(header http.Header) error {
	for name := range header {
		if !isToken(name) {
			return ErrMalformed.New("the response has a field with the name %q: the server has to send a token", name)
		}
	}
	return nil
}

// isToken reports whether the text is a token of RFC 9110, section 5.6.2.
func isToken(text string) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return text != ""
}

func isTokenByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// transport fails for responses with malformed heads.
type transport struct{ *http.Transport }

// Checked returns a transport that fails with ErrMalformed for a response that Check rejects.
func Checked(inner *http.Transport) http.RoundTripper { return transport{inner} }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
