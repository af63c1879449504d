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
	// rosterAloneInterval is the mean time between two reads while the node has
	// not found the fleet.
	rosterAloneInterval = 2 * time.Second
	// rosterInterval is the mean time between two looks at the stream by the
	// first node of a domain.
	rosterInterval = time.Minute
	// rosterRefresh is the longest time between two appends for a domain; it
	// must be under half of the stream's retention.
	rosterRefresh = 10 * time.Minute
	// rosterAloneSpread is over how long nodes that find nobody append
	// themselves, so that a herd stays under the platform's rate.
	rosterAloneSpread = 10 * time.Second
)

// roster reads and writes the members stream, by which nodes find each other
// when their seeds are gone. The first node of a domain appends all of its live
// members at a time; a node appends itself only while it finds nobody.
type roster struct {
	duty   *Runner
	random *rand.Rand
	next   int64
	// aloneAt is when this node appends itself if it is still alone.
	aloneAt time.Time
	// appended is the last record of the domain, and when it was appended.
	appended   []byte
	appendedAt time.Time
}

// runRoster follows the stream until ctx ends.
func (d *Runner) runRoster(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, d.options.Self.Incarnation+1))
	r := &roster{duty: d, random: random}
	r.aloneAt = d.options.Now().Add(time.Duration(random.Int64N(int64(rosterAloneSpread))))
	for {
		if r.wanted() {
			r.read(ctx)
			r.write(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.pause()):
		}
	}
}

// wanted reports whether this node has to do with the stream at present.
func (r *roster) wanted() bool {
	joined, first := r.duty.place()
	return !joined || first || r.duty.needsPlatform()
}

// pause is jittered, so that nodes that start together spread.
func (r *roster) pause() time.Duration {
	mean := rosterAloneInterval
	if joined, _ := r.duty.place(); joined && !r.duty.needsPlatform() {
		mean = rosterInterval
	}
	return mean/2 + time.Duration(r.random.Int64N(int64(mean)))
}

// place reports whether the node found the fleet and whether it is the first of
// its domain.
func (d *Runner) place() (joined, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Joined(), d.machine.IsFirstRelay()
}

// needsPlatform reports whether the fence depends on contact that the platform
// can give.
func (d *Runner) needsPlatform() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.NeedsExternalContact()
}

// read takes in the records that came since the last read. Without the platform
// the node goes on with what it knows.
func (r *roster) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterRequestTimeout)
	defer cancel()
	sentAt := r.duty.options.Now()
	log := r.duty.options.Log
	bounds, err := log.Bounds(ctx, platformlog.StreamMembers)
	if err != nil {
		return
	}
	r.next = max(r.next, bounds.First)
	for r.next < bounds.Next {
		batch, err := log.Read(ctx, platformlog.StreamMembers, r.next, 0)
		if err != nil || len(batch.Records) == 0 {
			return
		}
		r.take(batch.Records)
	}
	r.duty.events.TryPush(membership.PlatformContacted{SentAt: sentAt})
}

func (r *roster) take(records []platformlog.Record) {
	for _, record := range records {
		r.next = record.Offset + 1
	}
	r.duty.learnSeeds(records)
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
func (r *roster) write(ctx context.Context) {
	now := r.duty.options.Now()
	joined, _ := r.duty.place()
	if !joined && now.Before(r.aloneAt) {
		return
	}
	data, err := proto.Marshal(r.duty.rosterRecord())
	if err != nil {
		return
	}
	refresh := rosterRefresh/2 + time.Duration(r.random.Int64N(int64(rosterRefresh/2)))
	if slices.Equal(data, r.appended) && now.Sub(r.appendedAt) < refresh {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rosterRequestTimeout)
	defer cancel()
	if _, err := r.duty.options.Log.Append(ctx, platformlog.StreamMembers, data); err != nil {
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
