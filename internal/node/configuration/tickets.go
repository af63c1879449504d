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

// maxPublications bounds the remembered publishes of this node.
const maxPublications = 256

// publications remembers what was published through this node.
type publications struct {
	mu   sync.Mutex
	kept []readback.Publication
}

func (p *publications) add(publication readback.Publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept = append(p.kept, publication)
	if len(p.kept) > maxPublications {
		p.kept = slices.Delete(p.kept, 0, len(p.kept)-maxPublications)
	}
}

func (p *publications) all() []readback.Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.kept)
}

// Publish appends the ticket and returns its log offset. After an error the
// ticket may or may not be on the log; publishing it again is harmless.
func (d *Runner) Publish(ctx context.Context, ticket state.Ticket) (int64, error) {
	data, err := ticket.Encode()
	if err != nil {
		return 0, err
	}
	content, err := ticket.ContentHash()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.Platform.RequestTimeout)
	defer cancel()
	d.stats.platformAppends.Add(1)
	offset, err := d.options.Log.Append(ctx, platformlog.StreamTickets, data)
	if err != nil {
		return 0, err
	}
	d.options.PlatformContact()
	d.published.add(readback.Publication{Number: ticket.Number, ContentHash: content, Offset: offset})
	return offset, nil
}

// Ticket returns the read-back of a ticket by number and content hash; content
// 0 asks by number alone. An unknown ticket makes the duty ask a reader, so that
// asking again tells more.
func (d *Runner) Ticket(number, content uint64, summaries []membership.Summary, _ time.Time) readback.Status {
	known := readback.LocalState{
		Published: d.published.all(),
		Domains:   domains(d.options.View()),
		Summaries: summaries,
	}
	if folded := d.folded.Load(); folded != nil {
		known.Verdicts, known.NextOffset, known.HighestNumber = folded.verdicts, folded.next, folded.highest
	}
	status := readback.Evaluate(readback.Query{Number: number, ContentHash: content}, known)
	if status.State == readback.Unknown || status.State == readback.Pending {
		d.messages.TryPush(message{event: spread.VerdictRequested{}})
	}
	return status
}

// domains names the failure domains that have nodes which have not left.
func domains(view *membership.View) []string {
	names := []string{view.Self.Domain}
	for _, member := range view.Members {
		if member.State != membership.Left {
			names = append(names, member.Domain)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
