package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/platformlog"
)

const (
	// rosterJoinInterval is the mean time between two reads while the node has not
	// joined the fleet or needs external contact.
	rosterJoinInterval = 2 * time.Second
	// rosterInterval is the mean time between two reads by the first relay of a
	// domain.
	rosterInterval = time.Minute
	// rosterRefreshInterval is the age of the last record from which every write
	// appends it again; each write draws its limit between half of this age and all
	// of it. It must be less than half of the stream's retention.
	rosterRefreshInterval = 10 * time.Minute
	// rosterJoinSpread is the interval over which nodes that have not joined append
	// themselves, so that many nodes starting together stay under the platform's
	// rate limit.
	rosterJoinSpread = 10 * time.Second
)

// rosterStream reads and writes the members stream, through which nodes can
// discover each other without configured seeds. A joined node uses it only while it
// is the first relay of its domain or needs external contact, and appends one record
// with the domain's live members. A node that has not joined appends itself. On a
// compacted log, directory is used instead.
type rosterStream struct {
	runner     *Runner
	random     *rand.Rand
	nextOffset int64
	// appendSelfAt is when this node appends itself if it has not joined by then.
	appendSelfAt time.Time
	// appended is the last record that this node appended, at appendedAt.
	appended   []byte
	appendedAt time.Time
}

// runRoster reads and writes the members stream until ctx ends.
func (r *Runner) runRoster(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.RandomSeed, r.options.Self.Incarnation+1))
	stream := &rosterStream{runner: r, random: random}
	stream.appendSelfAt = r.options.Now().Add(time.Duration(random.Int64N(int64(rosterJoinSpread))))
	for {
		if stream.needed() {
			stream.read(ctx)
			stream.write(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(stream.interval()):
		}
	}
}

// needed reports whether this node currently has to read and write the stream.
func (r *rosterStream) needed() bool {
	joined, firstRelay := r.runner.joinStatus()
	return !joined || firstRelay || r.runner.needsExternalContact()
}

// interval returns the time until the next read, with jitter so that nodes that
// start together do not read together.
func (r *rosterStream) interval() time.Duration {
	mean := rosterJoinInterval
	if joined, _ := r.runner.joinStatus(); joined && !r.runner.needsExternalContact() {
		mean = rosterInterval
	}
	return mean/2 + time.Duration(r.random.Int64N(int64(mean)))
}

// joinStatus reports whether the node has joined the fleet and whether it is the
// first relay of the local domain.
func (r *Runner) joinStatus() (joined, firstRelay bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Joined(), r.machine.IsFirstRelay()
}

// needsExternalContact reports whether the node needs external contact to stay
// unfenced. A response from the platform provides it.
func (r *Runner) needsExternalContact() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.NeedsExternalContact()
}

// read applies the records appended since the last read. If the platform is
// unreachable the node continues with the members it knows.
func (r *rosterStream) read(ctx context.Context) {
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
	r.runner.learnSeeds(membersOf(decodeRosters(records, r.runner.options.Logger)))
}

// learnSeeds passes the nodes in records of the members stream to the machine as
// seeds.
func (r *Runner) learnSeeds(members []membership.Member) {
	r.events.Push(membership.SeedsLearned{Seeds: seedsOf(members)}, r.done)
}

func seedsOf(members []membership.Member) []membership.Seed {
	seeds := make([]membership.Seed, 0, len(members))
	for _, m := range members {
		seeds = append(seeds, membership.Seed{ID: m.ID, Domain: m.Domain, ControlAddress: m.ControlAddress, Incarnation: m.Incarnation})
	}
	return seeds
}

// write appends the live members of the local domain (this node alone before it
// has joined) if they changed or the last record is due for a refresh. A node
// that has not joined waits until appendSelfAt.
func (r *rosterStream) write(ctx context.Context) {
	now := r.runner.options.Now()
	joined, _ := r.runner.joinStatus()
	if !joined && now.Before(r.appendSelfAt) {
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
	if _, err := r.runner.options.Log.Append(ctx, platformlog.StreamMembers, data); err != nil {
		return
	}
	r.appended, r.appendedAt = data, now
}

// rosterRecord lists the live members of the local domain, with the fields needed
// to join through them.
func (r *Runner) rosterRecord() *wire.Roster {
	view := r.View()
	record := &wire.Roster{Domain: view.Self.Domain}
	for _, m := range append(view.DomainPeers(), view.Self) {
		record.Members = append(record.Members, joinableMember(m))
	}
	return record
}

// joinableMember returns the fields needed to join through the member.
func joinableMember(m membership.Member) *wire.Member {
	return &wire.Member{
		Id:             m.ID,
		Incarnation:    m.Incarnation,
		Domain:         m.Domain,
		ControlAddress: m.ControlAddress,
		State:          uint32(membership.Alive),
		BandwidthKbps:  m.BandwidthKbps,
	}
}
