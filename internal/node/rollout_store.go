package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/rollout"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/platformlog"
)

const (
	// storeTimeout bounds the requests of one write to the store, storeTries how often its
	// condition may fail, since other services' records are in the same stream.
	storeTimeout = 3 * time.Second
	storeTries   = 5
	// loadRetryInterval is the time between the first two reads of the records at the start. It
	// doubles with each that fails, up to maxLoadRetryInterval, so that the records are usually
	// read within the change bound after an outage of the store.
	loadRetryInterval    = 300 * time.Millisecond
	maxLoadRetryInterval = 1500 * time.Millisecond
)

// load reads the records from the platform until that succeeds or another node has sent them.
func (r *rollouts) load() {
	for wait := loadRetryInterval; r.ctx.Err() == nil; wait = min(2*wait, maxLoadRetryInterval) {
		ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
		stored, _, err := r.readRecords(ctx)
		cancel()
		if err == nil {
			now := time.Now()
			for _, record := range stored {
				r.learn(now, record, false)
			}
			r.markLoaded()
			return
		}
		if r.isLoaded() {
			return
		}
		select {
		case <-r.ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// readRecords returns the records in the store by service, and the offset at which the stream ends.
func (r *rollouts) readRecords(ctx context.Context) (map[string]rollout.Record, int64, error) {
	batch, err := r.log.NewestByKey(ctx, platformlog.StreamRollouts)
	if err != nil {
		r.node.logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return nil, 0, err
	}
	r.node.members.RecordPlatformContact()
	now := time.Now()
	stored := make(map[string]rollout.Record)
	for _, data := range batch.Records {
		message := &wire.RolloutRecord{}
		if err := proto.Unmarshal(data.Data, message); err != nil {
			r.node.logger.Event(logging.MalformedMessage).Str("stream", platformlog.StreamRollouts).Err(err).Send()
			continue
		}
		for _, record := range recordsFromWire(now, []*wire.RolloutRecord{message}) {
			stored[record.Service] = record
		}
	}
	return stored, batch.Bounds.Next, nil
}

// write writes the record in the background, unless a write of the service is in flight.
func (r *rollouts) write(record rollout.Record) {
	r.runsMu.Lock()
	run := r.runOf(record)
	if run.writing || run.order != record.Order {
		r.runsMu.Unlock()
		return
	}
	run.writing = true
	r.runsMu.Unlock()
	r.background(func() {
		defer func() {
			r.runsMu.Lock()
			defer r.runsMu.Unlock()
			run.writing = false
		}()
		stored, ok := r.store(record)
		r.runsMu.Lock()
		if ok && run.wanted != nil && (stored.Order > run.order || stored.Phase.Final()) {
			run.wanted = nil
		}
		r.runsMu.Unlock()
		if !ok {
			return
		}
		now := time.Now()
		r.runsMu.Lock()
		var actions []rollout.Action
		if run.coordinator != nil {
			actions = append(run.coordinator.Written(now, stored), run.coordinator.Learn(now, stored)...)
		}
		r.runsMu.Unlock()
		r.learn(now, stored, true)
		r.perform(now, actions)
		r.writeStatus(stored)
	})
}

// store appends the record unless the store has one that stands against it: a result of the same
// order, a later phase or a later order. It returns the record that the store then has; ok is
// false if that is not known.
func (r *rollouts) store(record rollout.Record) (stored rollout.Record, ok bool) {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	for range storeTries {
		records, next, err := r.readRecords(ctx)
		if err != nil {
			return rollout.Record{}, false
		}
		known := records[record.Service]
		if known.Order > record.Order || known.Order == record.Order && (known.Phase.Final() || known.Phase >= record.Phase) {
			return known, true
		}
		data, err := proto.Marshal(storedRecord(record))
		if err != nil {
			return rollout.Record{}, false
		}
		err = r.log.PutIf(ctx, platformlog.StreamRollouts, record.Service, data, next)
		switch {
		case err == nil:
			r.node.logger.Event(logging.RolloutWritten).Str("service", record.Service).Uint("order", record.Order).
				Str("version", record.TargetVersion).Str("phase", record.Phase.String()).Str("reason", record.Reason).Send()
			return record, true
		case !errorx.IsOfType(err, platformlog.ErrConditionFailed):
			r.node.logger.Event(logging.PlatformRequestFailed).Err(err).Send()
			return rollout.Record{}, false
		}
	}
	return rollout.Record{}, false
}

// stateOf returns the state that operators see for a phase.
func stateOf(phase rollout.Phase) platformlog.RolloutState {
	switch phase {
	case rollout.Completed:
		return platformlog.RolloutCompleted
	case rollout.RolledBack:
		return platformlog.RolloutRolledBack
	}
	return platformlog.RolloutRunning
}

// writeStatus writes the state of the service's rollout for operators. It follows the record in
// the store, which is read after the end of the stream of states: whoever changes the record later
// writes the state after that, so that no delayed write can replace a later state.
func (r *rollouts) writeStatus(record rollout.Record) {
	if r.hasStatus(record) {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	for range storeTries {
		batch, err := r.log.NewestByKey(ctx, platformlog.StreamStatus)
		if err != nil {
			r.node.logger.Event(logging.PlatformRequestFailed).Err(err).Send()
			return
		}
		records, _, err := r.readRecords(ctx)
		if err != nil {
			return
		}
		current := records[record.Service]
		if current.Order > record.Order {
			return
		}
		if current.Order < record.Order {
			if record.Phase.Final() {
				return // the result is not written yet
			}
			current = record
		}
		status := platformlog.RolloutStatus{Service: current.Service, State: stateOf(current.Phase), TargetVersion: current.TargetVersion}
		err = r.log.PutStatus(ctx, status, batch.Bounds.Next)
		switch {
		case err == nil:
			r.noteStatus(current)
			return
		case !errorx.IsOfType(err, platformlog.ErrConditionFailed):
			r.node.logger.Event(logging.PlatformRequestFailed).Err(err).Send()
			return
		}
	}
}

// hasStatus reports whether this node has written the record's state for operators, or a later one.
func (r *rollouts) hasStatus(record rollout.Record) bool {
	r.runsMu.Lock()
	defer r.runsMu.Unlock()
	run := r.runOf(record)
	return run.order != record.Order || run.status == stateOf(record.Phase) || run.status != "" && run.status != platformlog.RolloutRunning
}

func (r *rollouts) noteStatus(record rollout.Record) {
	r.runsMu.Lock()
	defer r.runsMu.Unlock()
	if run := r.runOf(record); run.order == record.Order {
		run.status = stateOf(record.Phase)
	}
}

// verify makes sure, at the node that ranks first, that the result and its state are in the store:
// the node that decided may have failed between its writes.
func (r *rollouts) verify(now time.Time, record rollout.Record) {
	if r.hasStatus(record) || now.Sub(record.Limit()) >= verifyTime {
		return
	}
	r.repeat(now, record)
}

// repeat writes the record unless this node has tried so a moment ago.
func (r *rollouts) repeat(now time.Time, record rollout.Record) {
	r.runsMu.Lock()
	run := r.runOf(record)
	due := now.Sub(run.repeatedAt) >= repeatInterval
	if due {
		run.repeatedAt = now
	}
	r.runsMu.Unlock()
	if due {
		r.write(record)
	}
}

// order accepts an order by an operator's request, on a log where orders are records of rollouts
// themselves: the number of the order is the offset of its first record plus one.
func (r *rollouts) order(ctx context.Context, service, version string, duration time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var err error
	for range storeTries {
		stored, next, readErr := r.readRecords(ctx)
		if readErr != nil {
			return readErr
		}
		now := time.Now()
		for _, record := range stored {
			r.learn(now, record, false)
		}
		r.mu.Lock()
		record := rollout.Record{
			Service: service, Order: uint64(next) + 1, TargetVersion: version, PreviousVersion: r.versions.Previous(now, service, version),
			Duration: duration, AcceptedAt: now, Phase: rollout.Pending, Reason: "the order was accepted",
		}
		r.mu.Unlock()
		data, marshalErr := proto.Marshal(storedRecord(record))
		if marshalErr != nil {
			return marshalErr
		}
		if err = r.log.PutIf(ctx, platformlog.StreamRollouts, service, data, next); err == nil {
			r.mu.Lock()
			r.accepted[service] = record.Order
			r.mu.Unlock()
			r.learn(now, record, true)
			return nil
		}
		if !errorx.IsOfType(err, platformlog.ErrConditionFailed) {
			break
		}
	}
	return err
}
