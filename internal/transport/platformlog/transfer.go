package platformlog

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// MaxTransferTime bounds a request whose data keeps arriving or being sent.
const MaxTransferTime = 30 * time.Second

// Transfer limits one HTTP exchange by its progress in place of its duration: a large
// body takes long on a slow link, but data arrives all the time. The exchange is
// cancelled when no byte is sent or received within the timeout, or after
// MaxTransferTime.
type Transfer struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	first   time.Duration // until the response begins
	timeout time.Duration // between two parts of it
	stalled *time.Timer
	limit   *time.Timer
}

// NewTransfer returns a transfer. The first byte of the response may take as long as first.
// Stop must be called when the exchange has ended.
func NewTransfer(parent context.Context, first, timeout time.Duration) *Transfer {
	ctx, cancel := context.WithCancelCause(parent)
	t := &Transfer{ctx: ctx, cancel: cancel, first: first, timeout: timeout}
	t.stalled = time.AfterFunc(first, func() {
		cancel(ErrStalled.New("no data within %v of the request, or %v of the last data: check the network path to the platform", first, timeout))
	})
	t.limit = time.AfterFunc(first+MaxTransferTime, func() {
		cancel(ErrStalled.New("not complete after %v: check the bandwidth to the platform", MaxTransferTime))
	})
	return t
}

// Context returns the context of the exchange's request.
func (t *Transfer) Context() context.Context { return t.ctx }

// Stop releases the transfer's resources.
func (t *Transfer) Stop() {
	t.stalled.Stop()
	t.limit.Stop()
	t.cancel(nil)
}

// NewRequest returns a request in the transfer's context. Sending the body counts as
// progress.
func (t *Transfer) NewRequest(method, target string, body []byte) (*http.Request, error) {
	if len(body) == 0 {
		return http.NewRequestWithContext(t.ctx, method, target, http.NoBody)
	}
	request, err := http.NewRequestWithContext(t.ctx, method, target, t.reader(bytes.NewReader(body), t.first))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(t.reader(bytes.NewReader(body), t.first)), nil }
	return request, nil
}

// Reader returns a reader of r whose reads count as progress. The body of a
// response is to be read through it once the header has arrived.
func (t *Transfer) Reader(r io.Reader) io.Reader { return t.reader(r, t.timeout) }

// reader returns a reader of r after each read of which progress has to be made within limit.
func (t *Transfer) reader(r io.Reader, limit time.Duration) io.Reader {
	t.stalled.Reset(limit)
	return &progressReader{transfer: t, reader: r, limit: limit}
}

// Err returns ErrStalled if err is a consequence of the transfer's limits, otherwise
// err.
func (t *Transfer) Err(err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(t.ctx); errorx.IsOfType(cause, ErrStalled) {
		return cause
	}
	return err
}

type progressReader struct {
	transfer *Transfer
	reader   io.Reader
	limit    time.Duration
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.transfer.stalled.Reset(r.limit)
	}
	return n, err
}
