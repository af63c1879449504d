package calls

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// requestBody is the body of a caller's request. The part that fits into the
// buffer is kept, so that the call can be sent again; the rest is read while it
// is sent.
type requestBody struct {
	buffered []byte
	rest     io.Reader
	// consumed is set once some of rest may have been read.
	consumed atomic.Bool
}

// readBody reads the body up to the buffer limit. It returns errBodyTooLarge if the
// body is known to exceed the limit, and the read error if the body ends early.
func readBody(r *http.Request, buffer, limit int64) (*requestBody, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge.New("body has %d bytes, over the bound of %d: send less", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	var buffered bytes.Buffer
	if r.ContentLength > 0 {
		buffered.Grow(int(min(r.ContentLength, buffer)) + bytes.MinRead)
	}
	n, err := io.Copy(&buffered, io.LimitReader(r.Body, buffer))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, errBodyTooLarge.New("body has more than %d bytes, over the bound: send less", limit)
	}
	body := &requestBody{buffered: buffered.Bytes()}
	if n == buffer && r.ContentLength != n {
		body.rest = &limitedBody{reader: r.Body, remaining: limit - n}
	}
	return body, nil
}

// limitedBody fails with errBodyTooLarge when more than remaining bytes are read.
type limitedBody struct {
	reader    io.Reader
	remaining int64
}

// Read reads from the body, or fails with errBodyTooLarge past the limit.
func (b *limitedBody) Read(data []byte) (int, error) {
	n, err := b.reader.Read(data)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge.New("body is over the bound: send less")
	}
	return n, err
}
