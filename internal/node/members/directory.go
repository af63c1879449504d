package members

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/platformlog"
)

const (
	// directoryStartSpread is over how long the nodes of a starting fleet write
	// themselves down, so that they stay under the platform's rate.
	directoryStartSpread = 300 * time.Millisecond
	// directoryRetryInterval is the mean time between two tries while the node is not
	// written down or has not found the fleet.
	directoryRetryInterval = 500 * time.Millisecond
	// directoryInterval is the mean time between two looks by the first node of a
	// domain, which also drops nodes that are gone.
	directoryInterval = time.Minute
	// targetCheckInterval is how often the own record is compared with the target.
	targetCheckInterval = 500 * time.Millisecond
	// directoryRetention is how long the record of a node that is gone is kept.
	directoryRetention = 5 * time.Minute
)

// directory is the members stream on a log that keeps the newest record of each
// key: every node writes itself down once, and again when it knows its target.
// Nothing is refreshed.
type directory struct {
	runner     *Runner
	random     *rand.Rand
	registered bool
	// recordedService and slots are the target's in the own record, and changed is when
	// they were last brought there.
	recordedService string
	recordedSlots   uint32
	targetUpdatedAt time.Time
	// departedAt is when each node was first seen to be departedAt.
	departedAt map[string]time.Time
}

// runDirectory writes this node down and finds the others until ctx ends.
func (d *Runner) runDirectory(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, d.options.Self.Incarnation+1))
	r := &directory{runner: d, random: random, departedAt: make(map[string]time.Time)}
	r.recordedService, r.recordedSlots = d.options.Former.Service, d.options.Former.Slots
	next := time.NewTimer(time.Duration(random.Int64N(int64(directoryStartSpread))))
	defer next.Stop()
	check := time.NewTicker(targetCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(r.sync(ctx))
		case <-check.C:
			r.updateTarget(ctx)
		}
	}
}

// updateTarget writes down what the next process of this node needs to know of
// the target, and a change of it not more often than the other looks come.
func (r *directory) updateTarget(ctx context.Context) {
	self := r.runner.View().Self
	upToDate := self.Slots == 0 || self.Slots == r.recordedSlots && self.Service == r.recordedService
	now := r.runner.options.Now()
	if !r.registered || upToDate || !r.targetUpdatedAt.IsZero() && now.Sub(r.targetUpdatedAt) < directoryInterval {
		return
	}
	if r.register(ctx) {
		r.targetUpdatedAt = now
	}
}

// sync does what is due and returns the pause after it.
func (r *directory) sync(ctx context.Context) time.Duration {
	if !r.registered {
		r.registered = r.register(ctx)
	}
	joined, firstRelay := r.runner.joinStatus()
	if !joined || firstRelay {
		r.read(ctx)
	}
	if !r.registered || !joined {
		return r.jittered(directoryRetryInterval)
	}
	r.prune(ctx, firstRelay)
	return r.jittered(directoryInterval)
}

func (r *directory) jittered(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.random.Int64N(int64(mean)))
}

// register puts this node under its own key, replacing its former process.
func (r *directory) register(ctx context.Context) bool {
	self := r.runner.options.Self
	member := joinableMember(self)
	member.Service, member.Slots = r.recordedService, r.recordedSlots
	if current := r.runner.View().Self; current.Slots > 0 {
		member.Service, member.Slots = current.Service, current.Slots
	}
	record := &wire.Roster{Domain: self.Domain, Members: []*wire.Member{member}}
	data, err := proto.Marshal(record)
	if err != nil {
		r.runner.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return false
	}
	if !r.put(ctx, self.ID, data) {
		return false
	}
	r.recordedService, r.recordedSlots = member.Service, member.Slots
	return true
}

func (r *directory) put(ctx context.Context, key string, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, rosterRequestTimeout)
	defer cancel()
	if err := r.runner.options.Directory.Put(ctx, platformlog.StreamMembers, key, data); err != nil {
		r.runner.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return false
	}
	return true
}

func (r *directory) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterRequestTimeout)
	defer cancel()
	sentAt := r.runner.options.Now()
	batch, err := r.runner.options.Directory.Newest(ctx, platformlog.StreamMembers)
	if err != nil {
		r.runner.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return
	}
	r.runner.learnSeeds(batch.Records)
	r.runner.events.TryPush(membership.PlatformContacted{SentAt: sentAt})
}

// prune drops the records of nodes that have been gone for long.
func (r *directory) prune(ctx context.Context, firstRelay bool) {
	now := r.runner.options.Now()
	departedAt := make(map[string]time.Time)
	for _, m := range r.runner.View().Members {
		if m.State == membership.Alive || m.State == membership.Suspect {
			continue
		}
		departedAt[m.ID] = now
		if since, known := r.departedAt[m.ID]; known {
			departedAt[m.ID] = since
		}
		if firstRelay && now.Sub(departedAt[m.ID]) >= directoryRetention && r.put(ctx, m.ID, nil) {
			departedAt[m.ID] = now
		}
	}
	r.departedAt = departedAt
}

// Former returns what the process that last wrote the node down said of itself
// and its target; without one it is empty. A process that starts after the
// instance's clock was set back must come after it all the same.
func Former(ctx context.Context, directory platformlog.Keyed, id string) (membership.Member, error) {
	batch, err := directory.Newest(ctx, platformlog.StreamMembers)
	if err != nil {
		return membership.Member{}, err
	}
	var previous membership.Member
	for _, record := range batch.Records {
		var roster wire.Roster
		if proto.Unmarshal(record.Data, &roster) != nil {
			continue // told when the directory is read to join
		}
		for _, m := range membersFromWire(roster.GetMembers()) {
			if m.ID == id && m.Incarnation >= previous.Incarnation {
				previous = m
			}
		}
	}
	return previous, nil
}
