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
	// directorySpread is over how long the nodes of a starting fleet write
	// themselves down, so that they stay under the platform's rate.
	directorySpread = 300 * time.Millisecond
	// directoryRetry is the mean time between two tries while the node is not
	// written down or has not found the fleet.
	directoryRetry = 500 * time.Millisecond
	// directoryInterval is the mean time between two looks by the first node of a
	// domain, which also drops nodes that are gone.
	directoryInterval = time.Minute
	// targetCheck is how often the own record is compared with the target.
	targetCheck = 500 * time.Millisecond
	// directoryKeep is how long the record of a node that is gone is kept.
	directoryKeep = 5 * time.Minute
)

// directory is the members stream on a log that keeps the newest record of each
// key: every node writes itself down once, and again when it knows its target.
// Nothing is refreshed.
type directory struct {
	duty    *Runner
	random  *rand.Rand
	written bool
	// service and slots are the target's in the own record, and changed is when
	// they were last brought there.
	service string
	slots   uint32
	changed time.Time
	// gone is when each node was first seen to be gone.
	gone map[string]time.Time
}

// runDirectory writes this node down and finds the others until ctx ends.
func (d *Runner) runDirectory(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, d.options.Self.Incarnation+1))
	r := &directory{duty: d, random: random, gone: make(map[string]time.Time)}
	r.service, r.slots = d.options.Former.Service, d.options.Former.Slots
	next := time.NewTimer(time.Duration(random.Int64N(int64(directorySpread))))
	defer next.Stop()
	check := time.NewTicker(targetCheck)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(r.work(ctx))
		case <-check.C:
			r.followTarget(ctx)
		}
	}
}

// followTarget writes down what the next process of this node needs to know of
// the target, and a change of it not more often than the other looks come.
func (r *directory) followTarget(ctx context.Context) {
	self := r.duty.View().Self
	known := self.Slots == 0 || self.Slots == r.slots && self.Service == r.service
	now := r.duty.options.Now()
	if !r.written || known || !r.changed.IsZero() && now.Sub(r.changed) < directoryInterval {
		return
	}
	if r.write(ctx) {
		r.changed = now
	}
}

// work does what is due and returns the pause after it.
func (r *directory) work(ctx context.Context) time.Duration {
	if !r.written {
		r.written = r.write(ctx)
	}
	joined, first := r.duty.place()
	if !joined || first {
		r.read(ctx)
	}
	if !r.written || !joined {
		return r.jittered(directoryRetry)
	}
	r.prune(ctx, first)
	return r.jittered(directoryInterval)
}

func (r *directory) jittered(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.random.Int64N(int64(mean)))
}

// write puts this node under its own key, replacing its former process.
func (r *directory) write(ctx context.Context) bool {
	self := r.duty.options.Self
	member := joinableMember(self)
	member.Service, member.Slots = r.service, r.slots
	if current := r.duty.View().Self; current.Slots > 0 {
		member.Service, member.Slots = current.Service, current.Slots
	}
	record := &wire.Roster{Domain: self.Domain, Members: []*wire.Member{member}}
	data, err := proto.Marshal(record)
	if err != nil {
		r.duty.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return false
	}
	if !r.put(ctx, self.ID, data) {
		return false
	}
	r.service, r.slots = member.Service, member.Slots
	return true
}

func (r *directory) put(ctx context.Context, key string, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, rosterRequestTimeout)
	defer cancel()
	if err := r.duty.options.Directory.Put(ctx, platformlog.StreamMembers, key, data); err != nil {
		r.duty.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return false
	}
	return true
}

func (r *directory) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterRequestTimeout)
	defer cancel()
	sentAt := r.duty.options.Now()
	batch, err := r.duty.options.Directory.Newest(ctx, platformlog.StreamMembers)
	if err != nil {
		r.duty.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return
	}
	r.duty.learnSeeds(batch.Records)
	r.duty.events.TryPush(membership.PlatformContacted{SentAt: sentAt})
}

// prune drops the records of nodes that have been gone for long.
func (r *directory) prune(ctx context.Context, first bool) {
	now := r.duty.options.Now()
	gone := make(map[string]time.Time)
	for _, m := range r.duty.View().Members {
		if m.State == membership.Alive || m.State == membership.Suspect {
			continue
		}
		gone[m.ID] = now
		if since, known := r.gone[m.ID]; known {
			gone[m.ID] = since
		}
		if first && now.Sub(gone[m.ID]) >= directoryKeep && r.put(ctx, m.ID, nil) {
			gone[m.ID] = now
		}
	}
	r.gone = gone
}

// Former returns what the process that last wrote the node down said of itself
// and its target; without one it is empty. A process that starts after the
// instance's clock was set back must come after it all the same.
func Former(ctx context.Context, directory platformlog.Keyed, id string) (membership.Member, error) {
	batch, err := directory.Newest(ctx, platformlog.StreamMembers)
	if err != nil {
		return membership.Member{}, err
	}
	var former membership.Member
	for _, record := range batch.Records {
		var roster wire.Roster
		if proto.Unmarshal(record.Data, &roster) != nil {
			continue // told when the directory is read to join
		}
		for _, m := range membersFromWire(roster.GetMembers()) {
			if m.ID == id && m.Incarnation >= former.Incarnation {
				former = m
			}
		}
	}
	return former, nil
}
