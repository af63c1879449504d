// Package adminclient is an HTTP client of a node's admin address.
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
	// RequestTimeout bounds one attempt, its response included.
	RequestTimeout = 5 * time.Second
	// maxResponseBytes bounds a response's body.
	maxResponseBytes = 16 << 20
)

// Client sends requests to one node. Each attempt opens its own connection, so
// that an unresponsive connection does not affect later attempts.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the node at the admin address, which is IP:PORT or an
// HTTP URL.
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

// TicketStatus returns the status of the ticket with the number and the content
// hash. An empty content matches any ticket with that number.
func (c *Client) TicketStatus(ctx context.Context, number uint64, content string) (adminapi.TicketStatus, error) {
	path := adminapi.TicketPath(number)
	if content != "" {
		path += "?" + adminapi.QueryContent + "=" + url.QueryEscape(content)
	}
	var status adminapi.TicketStatus
	err := c.do(ctx, http.MethodGet, path, nil, &status)
	return status, err
}

// Verdicts returns the recent verdicts of the node.
func (c *Client) Verdicts(ctx context.Context) (adminapi.VerdictList, error) {
	var list adminapi.VerdictList
	err := c.do(ctx, http.MethodGet, adminapi.PathTickets, nil, &list)
	return list, err
}

// Status returns the node's state, its view of the members and its calls.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	var status adminapi.Status
	err := c.do(ctx, http.MethodGet, adminapi.PathStatus, nil, &status)
	return status, err
}

// Quarantine returns the requests under which targets crashed.
func (c *Client) Quarantine(ctx context.Context) (adminapi.QuarantineList, error) {
	var list adminapi.QuarantineList
	err := c.do(ctx, http.MethodGet, adminapi.PathQuarantine, nil, &list)
	return list, err
}

// LiftQuarantine lets the request with the ID through again, at all nodes, and returns the others.
func (c *Client) LiftQuarantine(ctx context.Context, id string) (adminapi.QuarantineList, error) {
	var list adminapi.QuarantineList
	err := c.do(ctx, http.MethodDelete, adminapi.QuarantinePath(url.PathEscape(id)), nil, &list)
	return list, err
}

// Rollouts returns the last rollout of each service.
func (c *Client) Rollouts(ctx context.Context) (adminapi.RolloutList, error) {
	var list adminapi.RolloutList
	err := c.do(ctx, http.MethodGet, adminapi.PathRollouts, nil, &list)
	return list, err
}

// AbortRollout rolls the running rollout of the service back, and returns the rollouts.
func (c *Client) AbortRollout(ctx context.Context, service string) (adminapi.RolloutList, error) {
	var list adminapi.RolloutList
	err := c.do(ctx, http.MethodDelete, adminapi.RolloutPath(url.PathEscape(service)), nil, &list)
	return list, err
}

// Tenants returns the tenants in force at the node, with their quotas and use.
func (c *Client) Tenants(ctx context.Context) (adminapi.TenantList, error) {
	var list adminapi.TenantList
	err := c.do(ctx, http.MethodGet, adminapi.PathTenants, nil, &list)
	return list, err
}

// Tenant returns the tenant with the name, its quota and use, and the digests of its keys.
func (c *Client) Tenant(ctx context.Context, name string) (adminapi.TenantList, error) {
	var list adminapi.TenantList
	err := c.do(ctx, http.MethodGet, adminapi.TenantPath(name), nil, &list)
	return list, err
}

// do sends one request and decodes the response into result.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return ErrUnreachable.New("node %s: response was cut off: %v: try again", c.base, err)
	}
	if len(data) > maxResponseBytes {
		return ErrUnexpectedResponse.New("node %s: response is over %d bytes: check that this is a node's admin address", c.base, maxResponseBytes)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return c.responseError(response, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return ErrUnexpectedResponse.New("node %s: response cannot be decoded: %v: check that this is a node's admin address", c.base, err)
	}
	return nil
}

// responseError returns the error for a response with an error status.
func (c *Client) responseError(response *http.Response, data []byte) error {
	var body problem.Problem
	if json.Unmarshal(data, &body) != nil || body.Detail == "" {
		body = problem.Problem{Detail: "responded " + response.Status, Remedy: "check that this is a node's admin address"}
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
