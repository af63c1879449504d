// Package adminclient speaks to a node's admin address.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/problem"
)

// Bounds of one request.
const (
	// RequestTimeout bounds one attempt.
	RequestTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer's body.
	maxAnswerBytes = 16 << 20
)

// Client sends requests to one node. Each attempt uses its own connection, so
// that a silent one spoils nothing after it.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the node whose admin address is given as IP:PORT or
// as an HTTP URL.
func New(address string) *Client {
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{
			Timeout:   RequestTimeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// TicketStatus reads a ticket back. An empty content means any ticket of that
// number.
func (c *Client) TicketStatus(ctx context.Context, number uint64, content string) (adminapi.TicketStatus, error) {
	path := adminapi.TicketPath(number)
	if content != "" {
		path += "?" + adminapi.QueryContent + "=" + url.QueryEscape(content)
	}
	var status adminapi.TicketStatus
	err := c.do(ctx, http.MethodGet, path, nil, &status)
	return status, err
}

// Verdicts reads the recent verdicts.
func (c *Client) Verdicts(ctx context.Context) (adminapi.VerdictList, error) {
	var list adminapi.VerdictList
	err := c.do(ctx, http.MethodGet, adminapi.PathTickets, nil, &list)
	return list, err
}

// Status reads what the node knows.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	var status adminapi.Status
	err := c.do(ctx, http.MethodGet, adminapi.PathStatus, nil, &status)
	return status, err
}

// do sends one request and decodes the answer into result.
func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return ErrRejected.New("address %s: %v: give the node's admin address as IP:PORT", c.base, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ErrUnreachable.New("node %s: %v: check the address, or try another node", c.base, err).
			WithProperty(detailProperty, err.Error())
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return ErrUnreachable.New("node %s: answer broke off: %v: try again", c.base, err)
	}
	if len(data) > maxAnswerBytes {
		return ErrUnexpectedResponse.New("node %s: answer is over %d bytes: check that this is a node's admin address", c.base, maxAnswerBytes)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return c.refusal(response, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return ErrUnexpectedResponse.New("node %s: answer is not what was asked for: %v: check that this is a node's admin address", c.base, err)
	}
	return nil
}

// refusal turns an answer with an error status into an error.
func (c *Client) refusal(response *http.Response, data []byte) error {
	var body problem.Problem
	if json.Unmarshal(data, &body) != nil || body.Detail == "" {
		body = problem.Problem{Detail: "answered " + response.Status, Remedy: "check that this is a node's admin address"}
	}
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		return ErrUnreachable.New("node %s: %s: %s", c.base, body.Detail, body.Remedy).
			WithProperty(retryAfterProperty, body.RetryAfter()).
			WithProperty(detailProperty, body.Detail)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return ErrRejected.New("%s: %s", body.Detail, body.Remedy)
	}
	return ErrUnexpectedResponse.New("node %s: %s: %s", c.base, body.Detail, body.Remedy)
}
