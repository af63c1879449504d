package target

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// Echo holds the request fields from which the response body is generated. A
// caller that fills it in from its own request can verify that a response
// belongs to that request.
type Echo struct {
	// ID is the request's X-Test-Id header, or its Jasminegate-Call-Id without
	// one.
	ID string `json:"id"`
	// Method is the request's method.
	Method string `json:"method"`
	// URI is the request's path and query.
	URI string `json:"uri"`
	// BodyHash is the xxhash of the request's body.
	BodyHash uint64 `json:"body_hash"`
	// MinBodyBytes is the minimum size of the response body.
	MinBodyBytes int `json:"-"`
}

// Content returns the response body: the echo as one line of JSON, padded up to
// the minimum size with pseudorandom bytes that are seeded by that line.
func (e Echo) Content() []byte {
	line, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	content := append(line, '\n')
	state := xxhash.Sum64(content)
	for len(content) < e.MinBodyBytes {
		state = nextRandom(state)
		content = binary.LittleEndian.AppendUint64(content, state)
	}
	return content[:max(e.MinBodyBytes, len(line)+1)]
}

// Check returns nil if body equals Content, and otherwise an error that says
// whether body is truncated or belongs to another request.
func (e Echo) Check(body []byte) error {
	want := e.Content()
	if bytes.Equal(body, want) {
		return nil
	}
	if len(body) < len(want) && bytes.HasPrefix(want, body) {
		return fmt.Errorf("response to %s truncated after %d of %d bytes", e.ID, len(body), len(want))
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return fmt.Errorf("response to %s belongs to another request: %.200s", e.ID, line)
}

// nextRandom steps a xorshift64* generator (Vigna, 2016).
func nextRandom(state uint64) uint64 {
	state ^= state >> 12
	state ^= state << 25
	state ^= state >> 27
	return state*0x2545f4914f6cdd1d | 1
}

// newEcho consumes the request's body and returns its echo for a response of at
// least size bytes.
func newEcho(r *http.Request, size int) (Echo, error) {
	hash := xxhash.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		return Echo{}, err
	}
	id := r.Header.Get(HeaderTestID)
	if id == "" {
		id = r.Header.Get(HeaderCallID)
	}
	return Echo{
		ID:           id,
		Method:       r.Method,
		URI:          r.URL.RequestURI(),
		BodyHash:     hash.Sum64(),
		MinBodyBytes: size,
	}, nil
}
