package platformlog

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/logging"
	"jasminegate/internal/state"
)

// Bounds of one request to the platform.
const (
	// MaxReadBytes is the limit of record data that one read requests, in bytes.
	MaxReadBytes = 1 << 20
	// maxResponseBytes bounds a response's body after decompression. A read's response
	// has up to MaxReadBytes of records and one record more, in base64.
	maxResponseBytes = (MaxReadBytes + state.MaxTicketBytes) * 3 / 2
	// maxErrorTextBytes bounds how much of an error response's body is read.
	maxErrorTextBytes = 512
)

// Client is the HTTP client of the platform's log. It is safe for concurrent
// use and never retries an append by itself. docs/platform-log.md describes
// the HTTP protocol.
type Client struct {
	base           string
	requestTimeout time.Duration
	http           *http.Client
	// Logger gets the panics of reads; nil drops them.
	Logger *logging.Logger
}

var (
	_ Log        = (*Client)(nil)
	_ RolloutLog = (*Client)(nil)
)

// New returns a client of the log at url, for example
// "http://10.0.0.5:7400". requestTimeout bounds the time without progress of each
// request; a read without a response is then repeated (Hedge), its wait is added. client makes the requests and should
// set no timeout of its own.
func New(url string, requestTimeout time.Duration, client *http.Client) *Client {
	return &Client{
		base:           strings.TrimRight(url, "/"),
		requestTimeout: requestTimeout,
		http:           client,
	}
}

// Append implements Log. After ErrTooLarge the record was not added; after
// ErrUnavailable it may have been added.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var response appendResponse
	err := c.do(ctx, Attempt{Limit: ResponseLimit(c.requestTimeout)}, http.MethodPost, c.streamURL(stream)+"/records", data, &response)
	if err != nil {
		return 0, err
	}
	return response.offset()
}

// Read implements Log. With ErrTrimmed it returns a batch that has only the
// stream's bounds. Any other error is ErrUnavailable.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	response, err := get[readResponse](ctx, c, wait, func(wait time.Duration) string {
		query := url.Values{
			"from":      {strconv.FormatInt(from, 10)},
			"wait_ms":   {strconv.FormatInt(wait.Milliseconds(), 10)},
			"max_bytes": {strconv.Itoa(MaxReadBytes)},
		}
		return c.streamURL(stream) + "/records?" + query.Encode()
	})
	var trimmed *trimmedError
	if errors.As(err, &trimmed) {
		return Batch{Bounds: trimmed.bounds}, trimmed.toErrTrimmed(stream, from)
	}
	if err != nil {
		return Batch{}, err
	}
	return response.batch(from)
}

// Bounds implements Log. It fails with ErrUnavailable.
func (c *Client) Bounds(ctx context.Context, stream string) (Bounds, error) {
	response, err := get[boundsResponse](ctx, c, 0, func(time.Duration) string { return c.streamURL(stream) })
	if err != nil {
		return Bounds{}, err
	}
	return response.bounds()
}

// NewestByKey implements RolloutLog. The log has no keys: it returns all retained records in the order
// of their offsets, so that the last one with a key is its newest. StreamStatus is always empty.
func (c *Client) NewestByKey(ctx context.Context, stream string) (Batch, error) {
	if stream == StreamStatus {
		return Batch{}, nil
	}
	bounds, err := c.Bounds(ctx, stream)
	all := Batch{Bounds: bounds}
	for from := bounds.First; err == nil && from < bounds.Next; {
		var batch Batch
		batch, err = c.Read(ctx, stream, from, 0)
		if err == nil && len(batch.Records) == 0 {
			return Batch{}, malformed("a read below the end of the stream returned no record")
		}
		for _, record := range batch.Records {
			if from++; record.Offset < bounds.Next {
				all.Records = append(all.Records, record)
			}
		}
	}
	if err != nil {
		return Batch{}, err
	}
	return all, nil
}

// PutIf implements RolloutLog. The key has to be part of the data.
func (c *Client) PutIf(ctx context.Context, stream, _ string, data []byte, next int64) error {
	var response appendResponse
	query := url.Values{"next": {strconv.FormatInt(next, 10)}}
	if err := c.do(ctx, Attempt{Limit: ResponseLimit(c.requestTimeout)}, http.MethodPost, c.streamURL(stream)+"/records?"+query.Encode(), data, &response); err != nil {
		return err
	}
	_, err := response.offset()
	return err
}

// PutStatus does nothing: operators read the states from the nodes.
func (c *Client) PutStatus(context.Context, RolloutStatus, int64) error { return nil }

func (c *Client) streamURL(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream)
}

// get performs a read, which may wait for a record, and decodes the body of a 200 response. target
// returns the URL for a wait.
func get[T any](ctx context.Context, c *Client, wait time.Duration, target func(wait time.Duration) string) (T, error) {
	hedge := Hedge{Timeout: c.requestTimeout, Wait: wait, BeforeRetry: c.http.CloseIdleConnections, Logger: c.Logger}
	return ReadHedged(ctx, hedge, func(ctx context.Context, attempt Attempt) (response T, err error) {
		err = c.do(ctx, attempt, http.MethodGet, target(attempt.Wait), nil, &response)
		return response, err
	})
}

// do sends one request and decodes the body of a 200 response into result.
func (c *Client) do(ctx context.Context, attempt Attempt, method, target string, body []byte, result any) error {
	transfer := NewTransfer(ctx, attempt.Limit, c.requestTimeout)
	defer transfer.Stop()
	request, err := transfer.NewRequest(method, target, body)
	if err != nil {
		return ErrUnavailable.New("platform address %q: correct platform.url in the settings: %v", c.base, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.requestError(transfer.Err(err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	if attempt.Began != nil {
		attempt.Began()
	}
	if err := decodeResponse(transfer.Reader(response.Body), result); err != nil {
		return c.requestError(transfer.Err(err))
	}
	return nil
}

// requestError wraps an error of the request or its response in ErrUnavailable.
// After a timeout it closes the idle connections, since the network path may have
// lost the state of all pooled connections; the next request opens a new one.
func (c *Client) requestError(err error) error {
	if errors.Is(err, context.Canceled) {
		return ErrUnavailable.Wrap(err, "request to the platform was cancelled")
	}
	if isTimeout(err) {
		c.http.CloseIdleConnections()
	}
	return ErrUnavailable.Wrap(err, "no valid response from the platform log: check that it runs and is reachable at %s", c.base)
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errorx.IsOfType(err, ErrStalled) || errors.As(err, &timeout) && timeout.Timeout()
}
