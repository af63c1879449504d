package configuration

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/spread"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/codec"
	"jasminegate/internal/transport/platformlog"
)

// checkpointTries is how many of the newest checkpoints are looked at for one
// that can be read and whose following tickets are still kept.
const checkpointTries = 8

// platformRequest carries out one request to the platform's log.
func (d *Runner) platformRequest(ctx context.Context, request spread.Action) spread.Event {
	event, err := d.askPlatform(ctx, request)
	if err != nil {
		d.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return spread.PlatformFailed{Request: request}
	}
	d.options.PlatformContact()
	return event
}

func (d *Runner) askPlatform(ctx context.Context, request spread.Action) (spread.Event, error) {
	timeout := d.options.Platform.RequestTimeout
	if read, ok := request.(spread.ReadTickets); ok && read.Wait {
		timeout += d.options.Platform.ReadWait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch r := request.(type) {
	case spread.ReadBounds:
		d.stats.platformReads.Add(1)
		bounds, err := d.options.Log.Bounds(ctx, streamName(r.Stream))
		return spread.BoundsRead{Stream: r.Stream, Next: bounds.Next}, err
	case spread.ReadTickets:
		return d.readTickets(ctx, r)
	case spread.ReadNewestTicket:
		return d.readNewest(ctx, r)
	case spread.WriteCheckpoint:
		return d.writeCheckpoint(ctx, r.Update)
	default:
		return d.readCheckpoint(ctx)
	}
}

func streamName(stream spread.Stream) string {
	if stream == spread.StreamCheckpoints {
		return platformlog.StreamCheckpoints
	}
	return platformlog.StreamTickets
}

func (d *Runner) readTickets(ctx context.Context, request spread.ReadTickets) (spread.Event, error) {
	var wait time.Duration
	if request.Wait {
		wait = d.options.Platform.ReadWait
	}
	d.stats.platformReads.Add(1)
	batch, err := d.options.Log.Read(ctx, platformlog.StreamTickets, request.From, wait)
	if errorx.IsOfType(err, platformlog.ErrTrimmed) {
		return spread.TicketsTrimmed{}, nil
	}
	if err != nil {
		return nil, err
	}
	return spread.TicketsRead{Records: recordsOf(batch)}, nil
}

func (d *Runner) readNewest(ctx context.Context, request spread.ReadNewestTicket) (spread.Event, error) {
	d.stats.platformReads.Add(1)
	batch, err := d.options.Keyed.Newest(ctx, platformlog.StreamTickets)
	if err != nil {
		return nil, err
	}
	return spread.NewestTicketRead{ForJoin: request.ForJoin, Records: recordsOf(batch), Next: batch.Bounds.Next}, nil
}

func recordsOf(batch platformlog.Batch) []spread.Record {
	records := make([]spread.Record, 0, len(batch.Records))
	for _, record := range batch.Records {
		records = append(records, spread.Record{Offset: record.Offset, Data: record.Data, Skip: record.Skip})
	}
	return records
}

func (d *Runner) writeCheckpoint(ctx context.Context, whole acceptance.Update) (spread.Event, error) {
	data, err := codec.EncodeCheckpoint(whole)
	if err != nil {
		return nil, err
	}
	d.stats.platformAppends.Add(1)
	offset, err := d.options.Log.Append(ctx, platformlog.StreamCheckpoints, data)
	if err != nil {
		return nil, err
	}
	line := d.options.Logger.Event(logging.CheckpointWritten).Str("version", whole.To.String())
	line.Int("offset", offset).Int("bytes", int64(len(data))).Send()
	return spread.CheckpointWritten{Offset: offset}, nil
}

// readCheckpoint returns the newest checkpoint that can be read and that the
// kept tickets follow on.
func (d *Runner) readCheckpoint(ctx context.Context) (spread.Event, error) {
	tickets, err := d.options.Log.Bounds(ctx, platformlog.StreamTickets)
	if err != nil {
		return nil, err
	}
	bounds, err := d.options.Log.Bounds(ctx, platformlog.StreamCheckpoints)
	if err != nil {
		return nil, err
	}
	d.stats.platformReads.Add(2)
	for offset := bounds.Next - 1; offset >= max(bounds.First, bounds.Next-checkpointTries); offset-- {
		update, err := d.checkpointAt(ctx, offset)
		if errorx.IsOfType(err, platformlog.ErrUnavailable) || ctx.Err() != nil {
			return nil, err
		}
		if err != nil {
			d.options.Logger.Event(logging.CheckpointUnusable).Int("offset", offset).Err(err).Send()
			continue
		}
		if update.NextOffset >= tickets.First {
			return spread.CheckpointRead{Update: update, Found: true}, nil
		}
	}
	return spread.CheckpointRead{}, nil
}

func (d *Runner) checkpointAt(ctx context.Context, offset int64) (acceptance.Update, error) {
	d.stats.platformReads.Add(1)
	batch, err := d.options.Log.Read(ctx, platformlog.StreamCheckpoints, offset, 0)
	if err != nil {
		return acceptance.Update{}, err
	}
	if len(batch.Records) == 0 {
		return acceptance.Update{}, platformlog.ErrTrimmed.New("checkpoint %d is gone: an older one is read", offset)
	}
	return codec.DecodeCheckpoint(batch.Records[0].Data)
}
