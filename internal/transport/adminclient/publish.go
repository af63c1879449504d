package adminclient

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/state"
)

const (
	// firstBackoff is the delay before the first retry of a publish; it doubles
	// up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// pollInterval is the delay between two reads of a ticket's status.
	pollInterval = 200 * time.Millisecond
)

// Publish appends the ticket to the log through the node. It retries the
// request, which is idempotent, until the node accepts it or ctx ends. It fails
// with ErrRejected, ErrUnexpectedResponse or, when ctx ends, ErrUnreachable.
func (c *Client) Publish(ctx context.Context, ticket state.Ticket) (adminapi.PublishResponse, error) {
	body, err := ticket.Encode()
	if err != nil {
		return adminapi.PublishResponse{}, ErrRejected.New("ticket cannot be encoded: %v: check it with jasminegate ticket check", err)
	}
	backoff := firstBackoff
	for {
		response, err := c.publishOnce(ctx, ticket, body)
		if err == nil || !errorx.IsOfType(err, ErrUnreachable) {
			return response, err
		}
		wait := max(backoff, retryAfter(err))
		if !sleep(ctx, wait) {
			return response, ErrUnreachable.New("node %s: %s: ticket %d may or may not be published: publish the same ticket again, through this or another node; publishing it twice has no further effect", c.base, errorDetail(err), ticket.Number)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) publishOnce(ctx context.Context, ticket state.Ticket, body []byte) (adminapi.PublishResponse, error) {
	var response adminapi.PublishResponse
	if err := c.do(ctx, http.MethodPost, adminapi.PathTickets, body, &response); err != nil {
		return response, err
	}
	hash, err := ticket.ContentHash()
	if err != nil {
		return response, ErrUnexpectedResponse.New("ticket has no content hash: %v: check it with jasminegate ticket check", err)
	}
	if response.Number != ticket.Number || response.Content != adminapi.FormatHash(hash) {
		return response, ErrUnexpectedResponse.New("node accepted ticket %d with content %s instead of %d with %s: use the release that the node runs", response.Number, response.Content, ticket.Number, adminapi.FormatHash(hash))
	}
	return response, nil
}

// Wait polls the ticket's status until its state is final or ctx ends, and
// returns the last status read. It calls notify with each status. A node that
// is unreachable is polled again; if no status was read by the time ctx ends,
// Wait fails with ErrUnreachable. Any other error ends Wait at once.
func (c *Client) Wait(ctx context.Context, number uint64, content string, notify func(adminapi.TicketStatus)) (adminapi.TicketStatus, error) {
	var last adminapi.TicketStatus
	var lastErr error = ErrUnreachable.New("node %s: the timeout expired before the first request: set a longer --timeout", c.base)
	for {
		status, err := c.TicketStatus(ctx, number, content)
		switch {
		case err == nil:
			last, lastErr = status, nil
			notify(status)
		case !errorx.IsOfType(err, ErrUnreachable):
			return last, err
		case last.State == "" && ctx.Err() == nil:
			lastErr = err
		}
		if status.State.Final() || !sleep(ctx, pollInterval) {
			return last, lastErr
		}
	}
}

// sleep waits for the duration and reports false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
