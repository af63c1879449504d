package calls

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"jasminegate/internal/transport/reservation"
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

const (
	// firstBodyBytes is the size of the first buffer for a long body, or one of unknown length.
	// Beyond wholeBodyBytes a body is long.
	firstBodyBytes = 4 << 10
	wholeBodyBytes = 32 << 10
	// bodyCost is what a buffered byte takes: it is copied to be sent to a gate.
	bodyCost = 2
	// uploadBytes is what the rest of a body takes while it is sent on.
	uploadBytes = 3 * frameBytes
)

// readBody reads the body up to the buffer limit, and takes room for it as it arrives. It returns
// errBodyTooLarge if the body is known to exceed the limit, reservation.ErrFull if there is no room
// for it, and the read error if the body ends early.
func readBody(r *http.Request, room *reservation.Reservation, buffer, limit int64) (*requestBody, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge.New("body has %d bytes, over the bound of %d: send less", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	expected := buffer
	if r.ContentLength > 0 {
		expected = min(r.ContentLength, buffer)
	}
	data, err := readInto(room, io.LimitReader(r.Body, buffer), expected)
	if err != nil {
		return nil, err
	}
	n := int64(len(data))
	if n > limit {
		return nil, errBodyTooLarge.New("body has more than %d bytes, over the bound: send less", limit)
	}
	body := &requestBody{buffered: data}
	if n == buffer && r.ContentLength != n {
		if err := growRoom(room, uploadBytes); err != nil {
			return nil, err
		}
		body.rest = &limitedBody{reader: r.Body, remaining: limit - n}
	}
	return body, nil
}

// readInto reads to the end. Its buffer grows with what arrives, up to the expected size at first.
func readInto(room *reservation.Reservation, reader io.Reader, expected int64) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := nextBuffer(cap(data), int(expected)+bytes.MinRead)
			if err := growRoom(room, int64(bodyCost*(size-cap(data)))); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextBuffer returns the size of the buffer after a full one of the size.
func nextBuffer(size, expected int) int {
	switch {
	case size >= expected:
		return 2 * size
	case expected <= wholeBodyBytes:
		return expected
	}
	return min(max(firstBodyBytes, 2*size), expected)
}

// growRoom takes room for a part of a body.
func growRoom(room *reservation.Reservation, bytes int64) error {
	err := room.Grow(bytes)
	if errorx.IsOfType(err, reservation.ErrTooLarge) {
		return errBodyTooLarge.Wrap(err, "this node has no memory for the body")
	}
	return err
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
