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

// Echo is what an answer's content is derived from. A caller that fills it in
// from its own request can tell by content whether an answer belongs to it.
type Echo struct {
	// ID is the request's X-Test-Id, or else its Jasminegate-Call-Id.
	ID string `json:"id"`
	// Method is the request's method.
	Method string `json:"method"`
	// URI is the request's path with its query.
	URI string `json:"uri"`
	// BodyHash is the xxhash of the request's body.
	BodyHash uint64 `json:"body_hash"`
	// MinBodyBytes is the least size of the answer's body.
	MinBodyBytes int `json:"-"`
}

// Content returns the answer's body: the echo as a line of JSON, followed by
// bytes that depend on that line up to the size.
func (e Echo) Content() []byte {
	line, err := json.Marshal(e)
	if err != nil {
		panic(err) // text and numbers always encode
	}
	content := append(line, '\n')
	state := xxhash.Sum64(content)
	for len(content) < e.MinBodyBytes {
		state = next(state)
		content = binary.LittleEndian.AppendUint64(content, state)
	}
	return content[:max(e.MinBodyBytes, len(line)+1)]
}

// Check says how body differs from the content, or nil if it does not.
func (e Echo) Check(body []byte) error {
	want := e.Content()
	if bytes.Equal(body, want) {
		return nil
	}
	if len(body) < len(want) && bytes.HasPrefix(want, body) {
		return fmt.Errorf("answer to %s was cut off after %d of %d bytes", e.ID, len(body), len(want))
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return fmt.Errorf("answer to %s is of another request: %.200s", e.ID, line)
}

// next steps a xorshift64* generator (Vigna, 2016).
func next(state uint64) uint64 {
	state ^= state >> 12
	state ^= state << 25
	state ^= state >> 27
	return state*0x2545f4914f6cdd1d | 1
}

func echoOf(r *http.Request, size int) (Echo, error) {
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
