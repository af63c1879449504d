package adminclient

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/state"
)

// Waits between attempts.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	pollInterval = 200 * time.Millisecond
)

// Publish puts the ticket on the log. It repeats the request, which has one
// effect however often it arrives, until the node takes it or ctx ends. It
// fails with ErrRejected, ErrAnswer or, when ctx ends, ErrUnreachable.
func (c *Client) Publish(ctx context.Context, ticket state.Ticket) (adminapi.PublishResponse, error) {
	body, err := ticket.Encode()
	if err != nil {
		return adminapi.PublishResponse{}, ErrRejected.New("ticket cannot be encoded: %v: check it with jasminegate ticket check", err)
	}
	backoff := firstBackoff
	for {
		answer, err := c.publishOnce(ctx, ticket, body)
		if err == nil || !errorx.IsOfType(err, ErrUnreachable) {
			return answer, err
		}
		wait := max(backoff, retryAfter(err))
		if !sleep(ctx, wait) {
			return answer, ErrUnreachable.New("node %s: %s: ticket %d may or may not be published: publish the same ticket again, there or through another node; a repeat has no further effect", c.base, detailOf(err), ticket.Number)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) publishOnce(ctx context.Context, ticket state.Ticket, body []byte) (adminapi.PublishResponse, error) {
	var answer adminapi.PublishResponse
	if err := c.do(ctx, http.MethodPost, adminapi.PathTickets, body, &answer); err != nil {
		return answer, err
	}
	hash, err := ticket.ContentHash()
	if err != nil {
		return answer, ErrUnexpectedResponse.New("ticket has no content hash: %v: check it with jasminegate ticket check", err)
	}
	if answer.Number != ticket.Number || answer.Content != adminapi.FormatHash(hash) {
		return answer, ErrUnexpectedResponse.New("node took ticket %d with content %s instead of %d with %s: use the release that the node runs", answer.Number, answer.Content, ticket.Number, adminapi.FormatHash(hash))
	}
	return answer, nil
}

// Wait reads the ticket back until its state is final or ctx ends, and returns
// the last state read. Each one read goes to notify. It fails only when nothing
// was ever read, with the last error.
func (c *Client) Wait(ctx context.Context, number uint64, content string, notify func(adminapi.TicketStatus)) (adminapi.TicketStatus, error) {
	var last adminapi.TicketStatus
	var lastErr error = ErrUnreachable.New("node %s: time was up before it was asked: give more time with --timeout", c.base)
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

// sleep waits for the duration and reports false when ctx ends first.
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
