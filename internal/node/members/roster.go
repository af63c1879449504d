package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/platformlog"
)

const (
	// rosterRequestTimeout bounds one request to the members stream.
	rosterRequestTimeout = 2 * time.Second
	// rosterJoinInterval is the mean time between two reads while the node has
	// not found the fleet.
	rosterJoinInterval = 2 * time.Second
	// rosterInterval is the mean time between two looks at the stream by the
	// first node of a domain.
	rosterInterval = time.Minute
	// rosterRefreshInterval is the longest time between two appends for a domain; it
	// must be under half of the stream's retention.
	rosterRefreshInterval = 10 * time.Minute
	// rosterJoinSpread is over how long nodes that find nobody append
	// themselves, so that a herd stays under the platform's rate.
	rosterJoinSpread = 10 * time.Second
)

// rosterStream reads and writes the members stream, by which nodes find each other
// when their seeds are gone. The first node of a domain appends all of its live
// members at a time; a node appends itself only while it finds nobody.
type rosterStream struct {
	runner     *Runner
	random     *rand.Rand
	nextOffset int64
	// registerAt is when this node appends itself if it is still alone.
	registerAt time.Time
	// appended is the last record of the domain, and when it was appended.
	appended   []byte
	appendedAt time.Time
}

// runRoster follows the stream until ctx ends.
func (d *Runner) runRoster(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, d.options.Self.Incarnation+1))
	r := &rosterStream{runner: d, random: random}
	r.registerAt = d.options.Now().Add(time.Duration(random.Int64N(int64(rosterJoinSpread))))
	for {
		if r.needed() {
			r.read(ctx)
			r.write(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.interval()):
		}
	}
}

// needed reports whether this node has to do with the stream at present.
func (r *rosterStream) needed() bool {
	joined, firstRelay := r.runner.joinStatus()
	return !joined || firstRelay || r.runner.needsExternalContact()
}

// interval is jittered, so that nodes that start together spread.
func (r *rosterStream) interval() time.Duration {
	mean := rosterJoinInterval
	if joined, _ := r.runner.joinStatus(); joined && !r.runner.needsExternalContact() {
		mean = rosterInterval
	}
	return mean/2 + time.Duration(r.random.Int64N(int64(mean)))
}

// joinStatus reports whether the node found the fleet and whether it is the first of
// its domain.
func (d *Runner) joinStatus() (joined, firstRelay bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Joined(), d.machine.IsFirstRelay()
}

// needsExternalContact reports whether the fence depends on contact that the platform
// can give.
func (d *Runner) needsExternalContact() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.NeedsExternalContact()
}

// read takes in the records that came since the last read. Without the platform
// the node goes on with what it knows.
func (r *rosterStream) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterRequestTimeout)
	defer cancel()
	sentAt := r.runner.options.Now()
	log := r.runner.options.Log
	bounds, err := log.Bounds(ctx, platformlog.StreamMembers)
	if err != nil {
		return
	}
	r.nextOffset = max(r.nextOffset, bounds.First)
	for r.nextOffset < bounds.Next {
		batch, err := log.Read(ctx, platformlog.StreamMembers, r.nextOffset, 0)
		if err != nil || len(batch.Records) == 0 {
			return
		}
		r.learn(batch.Records)
	}
	r.runner.events.TryPush(membership.PlatformContacted{SentAt: sentAt})
}

func (r *rosterStream) learn(records []platformlog.Record) {
	for _, record := range records {
		r.nextOffset = record.Offset + 1
	}
	r.runner.learnSeeds(records)
}

// learnSeeds takes in the nodes that records of the members stream name.
func (d *Runner) learnSeeds(records []platformlog.Record) {
	var seeds []membership.Seed
	for _, record := range records {
		var roster wire.Roster
		if err := proto.Unmarshal(record.Data, &roster); err != nil {
			d.options.Logger.Event(logging.BadMessage).Str("stream", platformlog.StreamMembers).Err(err).Send()
			continue
		}
		for _, m := range membersFromWire(roster.GetMembers()) {
			seeds = append(seeds, membership.Seed{ID: m.ID, Domain: m.Domain, ControlAddress: m.ControlAddress, Incarnation: m.Incarnation})
		}
	}
	d.events.Push(membership.SeedsLearned{Seeds: seeds}, d.done)
}

// write appends the domain when it changed or its record grows old, or this
// node when it is alone.
func (r *rosterStream) write(ctx context.Context) {
	now := r.runner.options.Now()
	joined, _ := r.runner.joinStatus()
	if !joined && now.Before(r.registerAt) {
		return
	}
	data, err := proto.Marshal(r.runner.rosterRecord())
	if err != nil {
		return
	}
	refresh := rosterRefreshInterval/2 + time.Duration(r.random.Int64N(int64(rosterRefreshInterval/2)))
	if slices.Equal(data, r.appended) && now.Sub(r.appendedAt) < refresh {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rosterRequestTimeout)
	defer cancel()
	if _, err := r.runner.options.Log.Append(ctx, platformlog.StreamMembers, data); err != nil {
		return
	}
	r.appended, r.appendedAt = data, now
}

// rosterRecord lists the live members of the own domain, with what it takes to
// join by them.
func (d *Runner) rosterRecord() *wire.Roster {
	view := d.View()
	record := &wire.Roster{Domain: view.Self.Domain}
	for _, m := range append(view.DomainPeers(), view.Self) {
		record.Members = append(record.Members, joinableMember(m))
	}
	return record
}

// joinableMember holds what it takes to join by the member.
func joinableMember(m membership.Member) *wire.Member {
	return &wire.Member{
		Id:             m.ID,
		Incarnation:    m.Incarnation,
		Domain:         m.Domain,
		ControlAddress: m.ControlAddress,
		State:          uint32(membership.Alive),
	}
}
