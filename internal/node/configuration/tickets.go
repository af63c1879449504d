package configuration

import (
	"context"
	"slices"
	"sync"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/readback"
	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/platformlog"
)

// maxPublications limits the recorded tickets that were published through this
// node.
const maxPublications = 256

// publications records the newest tickets published through this node. It is
// safe for concurrent use.
type publications struct {
	mu     sync.Mutex
	recent []readback.Publication
}

func (p *publications) add(publication readback.Publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recent = append(p.recent, publication)
	if len(p.recent) > maxPublications {
		p.recent = slices.Delete(p.recent, 0, len(p.recent)-maxPublications)
	}
}

func (p *publications) all() []readback.Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.recent)
}

// Publish appends the ticket to the log and returns its offset. After an error
// the ticket may or may not be in the log; publishing it again is safe.
func (r *Runner) Publish(ctx context.Context, ticket state.Ticket) (int64, error) {
	data, err := ticket.Encode()
	if err != nil {
		return 0, err
	}
	content, err := ticket.ContentHash()
	if err != nil {
		return 0, err
	}
	r.stats.platformAppends.Add(1)
	offset, err := r.options.Log.Append(ctx, platformlog.StreamTickets, data)
	if err != nil {
		return 0, err
	}
	r.options.OnPlatformContact()
	r.published.add(readback.Publication{Number: ticket.Number, ContentHash: content, Offset: offset})
	return offset, nil
}

// TicketStatus returns the status of the ticket with the given number and content
// hash; content 0 selects by number alone. If the ticket is unknown or pending,
// it also makes the machine pull newer verdicts, so that a later call may return
// its outcome. The time is not used: the summaries hold ages relative to it.
func (r *Runner) TicketStatus(number, content uint64, summaries []membership.Summary, _ time.Time) readback.Status {
	local := readback.LocalState{
		Published: r.published.all(),
		Domains:   activeDomains(r.options.View()),
		Summaries: summaries,
	}
	if fold := r.foldState.Load(); fold != nil {
		local.Verdicts, local.NextOffset, local.HighestNumber = fold.verdicts, fold.next, fold.highest
	}
	status := readback.Evaluate(readback.Query{Number: number, ContentHash: content}, local)
	if status.State == readback.Unknown || status.State == readback.Pending {
		r.messages.TryPush(message{event: spread.VerdictRequested{}})
	}
	return status
}

// activeDomains returns the names of the local domain and of every failure domain
// with at least one member that has not left, sorted and without duplicates.
func activeDomains(view *membership.View) []string {
	names := []string{view.Self.Domain}
	for _, member := range view.Members {
		if member.State != membership.Left {
			names = append(names, member.Domain)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
