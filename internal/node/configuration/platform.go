package configuration

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/codec"
	"jasminegate/internal/transport/platformlog"
)

// maxCheckpointTries is how many of the newest checkpoints are tried to find one
// that can be decoded and whose following tickets are all still retained.
const maxCheckpointTries = 8

// platformRequest performs one request to the platform's log and logs its failure.
func (r *Runner) platformRequest(ctx context.Context, request spread.Action) spread.Event {
	start := time.Now()
	event, err := r.doPlatformRequest(ctx, request)
	if err != nil {
		r.stats.platformFailures.Add(1)
		r.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return spread.PlatformFailed{Request: request, Reason: fmt.Sprintf("after %d ms: %v", time.Since(start).Milliseconds(), err)}
	}
	r.options.OnPlatformContact()
	return event
}

func (r *Runner) doPlatformRequest(ctx context.Context, request spread.Action) (spread.Event, error) {
	switch typed := request.(type) {
	case spread.ReadBounds:
		r.stats.platformReads.Add(1)
		bounds, err := r.options.Log.Bounds(ctx, streamName(typed.Stream))
		return spread.BoundsRead{Stream: typed.Stream, Next: bounds.Next}, err
	case spread.ReadTickets:
		return r.readTickets(ctx, typed)
	case spread.ReadNewestTicket:
		return r.readNewest(ctx)
	case spread.WriteCheckpoint:
		return r.writeCheckpoint(ctx, typed.Update)
	default:
		return r.readCheckpoint(ctx)
	}
}

func streamName(stream spread.Stream) string {
	if stream == spread.StreamCheckpoints {
		return platformlog.StreamCheckpoints
	}
	return platformlog.StreamTickets
}

func (r *Runner) readTickets(ctx context.Context, request spread.ReadTickets) (spread.Event, error) {
	var wait time.Duration
	if request.Wait {
		wait = r.options.Platform.ReadWait
	}
	r.stats.platformReads.Add(1)
	batch, err := r.options.Log.Read(r.reportingResponse(ctx), platformlog.StreamTickets, request.From, wait)
	if errorx.IsOfType(err, platformlog.ErrTrimmed) {
		return spread.TicketsTrimmed{}, nil
	}
	if err != nil {
		return nil, err
	}
	if r.options.CompactedLog != nil && len(batch.Records) == 0 && batch.Bounds.Next > request.From {
		// The platform leaves out a record over its read size, but returns it as the
		// newest one.
		return spread.TicketsTrimmed{}, nil
	}
	r.passOrders(batch, false)
	return spread.TicketsRead{Records: recordsOf(batch)}, nil
}

// reportingResponse returns the context for a read that tells the machine when its response begins.
func (r *Runner) reportingResponse(ctx context.Context) context.Context {
	return platformlog.OnResponse(ctx, func(delay time.Duration) {
		// A full queue drops the event: the response is then taken for overdue for a while.
		r.messages.TryPush(message{event: spread.ReadResponding{Delay: delay}})
	})
}

func (r *Runner) readNewest(ctx context.Context) (spread.Event, error) {
	r.stats.platformReads.Add(1)
	batch, err := r.options.CompactedLog.NewestByKey(r.reportingResponse(ctx), platformlog.StreamTickets)
	if err != nil {
		return nil, err
	}
	r.passOrders(batch, true)
	batch.Records = slices.DeleteFunc(batch.Records, func(record platformlog.Record) bool { return record.Skip })
	return spread.NewestTicketRead{Records: recordsOf(batch), Next: batch.Bounds.Next}, nil
}

// passOrders passes the orders of rollouts on that a read found.
func (r *Runner) passOrders(batch platformlog.Batch, all bool) {
	if r.options.OnOrders == nil {
		return
	}
	orders := Orders{All: all, Next: batch.Bounds.Next}
	for _, record := range batch.Records {
		if record.Order != nil {
			orders.Orders = append(orders.Orders, NumberedOrder{Order: *record.Order, Number: uint64(record.Offset + 1)})
		}
	}
	if all || len(orders.Orders) > 0 {
		r.options.OnOrders(orders)
	}
}

func recordsOf(batch platformlog.Batch) []spread.Record {
	records := make([]spread.Record, 0, len(batch.Records))
	for _, record := range batch.Records {
		records = append(records, spread.Record{Offset: record.Offset, Data: record.Data, Skip: record.Skip})
	}
	return records
}

func (r *Runner) writeCheckpoint(ctx context.Context, full acceptance.Update) (spread.Event, error) {
	data, err := codec.EncodeCheckpoint(full)
	if err != nil {
		return nil, err
	}
	r.stats.platformAppends.Add(1)
	offset, err := r.options.Log.Append(ctx, platformlog.StreamCheckpoints, data)
	if err != nil {
		return nil, err
	}
	line := r.options.Logger.Event(logging.CheckpointWritten).Str("version", full.To.String())
	line.Int("offset", offset).Int("bytes", int64(len(data))).Send()
	return spread.CheckpointWritten{Offset: offset}, nil
}

// readCheckpoint returns the newest checkpoint that can be decoded and after
// which no ticket has been trimmed.
func (r *Runner) readCheckpoint(ctx context.Context) (spread.Event, error) {
	tickets, err := r.options.Log.Bounds(ctx, platformlog.StreamTickets)
	if err != nil {
		return nil, err
	}
	bounds, err := r.options.Log.Bounds(ctx, platformlog.StreamCheckpoints)
	if err != nil {
		return nil, err
	}
	r.stats.platformReads.Add(2)
	for offset := bounds.Next - 1; offset >= max(bounds.First, bounds.Next-maxCheckpointTries); offset-- {
		update, err := r.checkpointAt(ctx, offset)
		if errorx.IsOfType(err, platformlog.ErrUnavailable) || ctx.Err() != nil {
			return nil, err
		}
		if err != nil {
			r.options.Logger.Event(logging.CheckpointUnusable).Int("offset", offset).Err(err).Send()
			continue
		}
		if update.NextOffset >= tickets.First {
			return spread.CheckpointRead{Update: update, Found: true}, nil
		}
	}
	return spread.CheckpointRead{}, nil
}

func (r *Runner) checkpointAt(ctx context.Context, offset int64) (acceptance.Update, error) {
	r.stats.platformReads.Add(1)
	batch, err := r.options.Log.Read(ctx, platformlog.StreamCheckpoints, offset, 0)
	if err != nil {
		return acceptance.Update{}, err
	}
	if len(batch.Records) == 0 {
		return acceptance.Update{}, platformlog.ErrTrimmed.New("the read at offset %d returned no checkpoint: trying an older one", offset)
	}
	return codec.DecodeCheckpoint(batch.Records[0].Data)
}
