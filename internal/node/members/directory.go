package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/leaving"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/platformlog"
)

const (
	// directoryStartSpread is the interval over which the nodes of a starting fleet
	// register, so that they stay under the platform's rate limit.
	directoryStartSpread = 300 * time.Millisecond
	// directoryRetryInterval is the mean time between two syncs while the node is
	// not registered or has not joined the fleet.
	directoryRetryInterval = 500 * time.Millisecond
	// directoryRereadInterval is the minimum time between two reads of a node that has
	// not joined although the directory has other nodes.
	directoryRereadInterval = 2 * time.Second
	// directoryInterval is the mean time between two syncs of a registered node
	// that has joined. The first relay of a domain then reads the directory and
	// deletes the records of departed nodes.
	directoryInterval = time.Minute
	// targetCheckInterval is the time between two comparisons of this node's record
	// with its target.
	targetCheckInterval = 500 * time.Millisecond
	// directoryRenewSpread is the interval over which the nodes register again after the log
	// was restored from a copy, and the mean time between two tries of a node.
	directoryRenewSpread = 10 * time.Second
	// directoryRetention is how long the record of a dead or departed node is kept.
	directoryRetention = 5 * time.Minute
)

// directory registers nodes in the members stream of a compacted log. Every node
// writes its record once, and again when it has a new target. Records do not
// expire, so they are not refreshed.
type directory struct {
	runner     *Runner
	random     *rand.Rand
	registered bool
	// recordedService, recordedSlots and recordedVersion are those of the target in this
	// node's record, at first in the record of its previous incarnation. targetUpdatedAt
	// is when updateTarget last wrote them.
	recordedService string
	recordedSlots   uint32
	recordedVersion string
	targetUpdatedAt time.Time
	// era is that of the log, 0 if it is not known. renewAt is when the node registers again
	// because a new era began, or zero.
	era     uint64
	renewAt time.Time
	// departedAt is, by ID, when each dead or departed node was first seen as such,
	// or when its record was last deleted.
	departedAt map[string]time.Time
	// readAt is when the directory was last read, foundOthers whether it then had other
	// nodes.
	readAt      time.Time
	foundOthers bool
}

// runDirectory registers this node and discovers others until ctx ends.
func (r *Runner) runDirectory(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.RandomSeed, r.options.Self.Incarnation+1))
	previous := r.options.Registrations.Previous(r.options.Self.ID)
	dir := &directory{runner: r, random: random, departedAt: make(map[string]time.Time), readAt: r.options.Registrations.ReadAt}
	dir.recordedService, dir.recordedSlots, dir.recordedVersion = previous.Service, previous.Slots, previous.TargetVersion
	r.directory = dir
	dir.foundOthers = hasOthers(r.options.Registrations.members, r.options.Self.ID)
	next := time.NewTimer(time.Duration(random.Int64N(int64(directoryStartSpread))))
	defer next.Stop()
	check := time.NewTicker(targetCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(dir.sync(ctx))
		case <-check.C:
			dir.updateTarget(ctx)
			dir.renew(ctx)
		}
	}
}

// updateTarget records a changed target for the next incarnation of this node, at
// most once per directoryInterval. The record keeps the last target while there is
// none.
func (r *directory) updateTarget(ctx context.Context) {
	self := r.runner.View().Self
	upToDate := self.Slots == 0 || self.Slots == r.recordedSlots && self.Service == r.recordedService && self.TargetVersion == r.recordedVersion
	now := r.runner.options.Now()
	if !r.registered || upToDate || !r.targetUpdatedAt.IsZero() && now.Sub(r.targetUpdatedAt) < directoryInterval {
		return
	}
	if r.register(ctx) {
		r.targetUpdatedAt = now
	}
}

// renew registers the node again when the log was restored from a copy, which may lack its
// record. A node that starts meanwhile learns from it how new its configuration has to be.
func (r *directory) renew(ctx context.Context) {
	now := r.runner.options.Now()
	if era := r.runner.options.LogEra(); era != r.era {
		if r.era > 0 {
			r.renewAt = now.Add(time.Duration(r.random.Int64N(int64(directoryRenewSpread))))
		}
		r.era = era
	}
	if !r.registered || r.renewAt.IsZero() || now.Before(r.renewAt) {
		return
	}
	if r.register(ctx) {
		r.renewAt = time.Time{}
		return
	}
	r.renewAt = now.Add(r.jittered(directoryRenewSpread))
}

// sync registers the node, reads the directory and prunes it, each if due. It
// returns the delay until the next sync.
func (r *directory) sync(ctx context.Context) time.Duration {
	if !r.registered {
		r.registered = r.register(ctx)
	}
	joined, firstRelay := r.runner.joinStatus()
	if (!joined || firstRelay) && r.runner.options.Now().Sub(r.readAt) >= r.rereadInterval() {
		r.read(ctx)
	}
	if !r.registered || !joined {
		return r.jittered(directoryRetryInterval)
	}
	r.prune(ctx, firstRelay)
	return r.jittered(directoryInterval)
}

// rereadInterval is the time until the directory may be read again: short only if the
// last read found no other node to join through.
func (r *directory) rereadInterval() time.Duration {
	if r.foundOthers {
		return directoryRereadInterval
	}
	return directoryRetryInterval
}

func (r *directory) jittered(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.random.Int64N(int64(mean)))
}

// register writes this node's record under its ID, replacing that of its previous
// incarnation. It reports whether the write succeeded.
func (r *directory) register(ctx context.Context) bool { return r.write(ctx, nil) }

// write writes this node's record, with the history of its target at the end of a planned
// stop.
func (r *directory) write(ctx context.Context, history *wire.TargetHistory) bool {
	self := r.runner.options.Self
	member := joinableMember(self)
	member.Service, member.Slots, member.TargetVersion = r.recordedService, r.recordedSlots, r.recordedVersion
	if current := r.runner.View().Self; current.Slots > 0 {
		member.Service, member.Slots, member.TargetVersion = current.Service, current.Slots, current.TargetVersion
	}
	record := &wire.Roster{
		Domain: self.Domain, Members: []*wire.Member{member}, TargetHistory: history,
		AcceptedNumber: r.runner.options.AppliedVersion().Number,
	}
	data, err := proto.Marshal(record)
	if err != nil {
		r.runner.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return false
	}
	if !r.put(ctx, self.ID, data) {
		return false
	}
	r.recordedService, r.recordedSlots, r.recordedVersion = member.Service, member.Slots, member.TargetVersion
	return true
}

func (r *directory) put(ctx context.Context, key string, data []byte) bool {
	if err := r.runner.options.Directory.Put(ctx, platformlog.StreamMembers, key, data); err != nil {
		r.runner.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return false
	}
	return true
}

func (r *directory) read(ctx context.Context) {
	sentAt := r.runner.options.Now()
	batch, err := r.runner.options.Directory.NewestByKey(ctx, platformlog.StreamMembers)
	if err != nil {
		r.runner.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
		return
	}
	members := membersOf(decodeRosters(batch.Records, r.runner.options.Logger))
	r.readAt, r.foundOthers = sentAt, hasOthers(members, r.runner.options.Self.ID)
	r.runner.learnSeeds(members)
	r.runner.events.TryPush(membership.PlatformContacted{SentAt: sentAt})
}

// prune deletes, on the first relay, the records of nodes that have been dead or
// departed for directoryRetention. Every node records in departedAt when it first
// saw them so, since any node may become the first relay.
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
			departedAt[m.ID] = now // delete again only after another directoryRetention, if the member is still known
		}
	}
	r.departedAt = departedAt
}

// Registrations are the records of the directory, read when a node starts.
type Registrations struct {
	// ReadAt is when the read began, or zero if it failed.
	ReadAt  time.Time
	members []membership.Member
	// histories are, by node ID, those that nodes left behind at their planned stops.
	histories map[string]leaving.History
	// quarantine are the requests in quarantine.
	quarantine []*wire.QuarantineRecord
	// acceptedNumber is that of the newest ticket that any node had accepted.
	acceptedNumber uint64
}

// ReadDirectory reads the records of all nodes. The errors are those of the directory.
func ReadDirectory(ctx context.Context, directory platformlog.CompactedLog, now time.Time, logger *logging.Logger) (Registrations, error) {
	batch, err := directory.NewestByKey(ctx, platformlog.StreamMembers)
	if err != nil {
		return Registrations{}, err
	}
	rosters := decodeRosters(batch.Records, logger)
	return Registrations{
		ReadAt: now, members: membersOf(rosters), histories: historiesOf(rosters), quarantine: quarantineOf(rosters),
		acceptedNumber: acceptedNumberOf(rosters),
	}, nil
}

// AcceptedNumber returns the number of the newest ticket that any node had accepted when it
// registered. The log lacks that ticket if it was restored from a copy since.
func (r Registrations) AcceptedNumber() uint64 { return r.acceptedNumber }

func acceptedNumberOf(rosters []*wire.Roster) uint64 {
	var newest uint64
	for _, roster := range rosters {
		newest = max(newest, roster.GetAcceptedNumber())
	}
	return newest
}

// Quarantine returns the requests that were in quarantine when the directory was read.
func (r Registrations) Quarantine() []*wire.QuarantineRecord { return r.quarantine }

func quarantineOf(rosters []*wire.Roster) []*wire.QuarantineRecord {
	var records []*wire.QuarantineRecord
	for _, roster := range rosters {
		if record := roster.GetQuarantined(); record != nil {
			records = append(records, record)
		}
	}
	return records
}

// quarantineKeyPrefix begins the keys of requests in quarantine. A fingerprint follows.
const quarantineKeyPrefix = "quarantine/"

// WriteQuarantine records a request in quarantine for nodes that start, or deletes the record of the
// fingerprint if record is nil. It does nothing without a compacted log.
func (r *Runner) WriteQuarantine(ctx context.Context, fingerprint string, record *wire.QuarantineRecord) {
	if r.options.Directory == nil {
		return
	}
	var data []byte
	if record != nil {
		var err error
		if data, err = proto.Marshal(&wire.Roster{Quarantined: record}); err != nil {
			r.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
			return
		}
	}
	if err := r.options.Directory.Put(ctx, platformlog.StreamMembers, quarantineKeyPrefix+fingerprint, data); err != nil {
		r.options.Logger.Event(logging.PlatformRequestFailed).Err(err).Send()
	}
}

// TargetHistory returns what the previous incarnation of the node handed over at its planned
// stop: an empty history if there was none, and nil if it is not known.
func (r Registrations) TargetHistory(id string) *leaving.History {
	if r.ReadAt.IsZero() {
		return nil
	}
	if history, ok := r.histories[id]; ok {
		return &history
	}
	if r.Previous(id).Incarnation > 0 {
		return nil // it was killed, or still runs
	}
	return &leaving.History{At: r.ReadAt}
}

// End is how an incarnation of a node ended.
type End string

// Ends of an incarnation, as its successor finds them in the directory.
const (
	EndUnknown End = "unknown"
	EndNone    End = "none"
	EndStopped End = "stopped"
	// EndUnplanned stands also for an incarnation that still runs.
	EndUnplanned End = "ended"
)

// PreviousEnd returns how the previous incarnation of the node ended.
func (r Registrations) PreviousEnd(id string) End {
	switch _, handedOver := r.histories[id]; {
	case r.ReadAt.IsZero():
		return EndUnknown
	case r.Previous(id).Incarnation == 0:
		return EndNone
	case handedOver:
		return EndStopped
	}
	return EndUnplanned
}

// WriteTargetHistory hands the history to the next incarnation of this node. It is called once,
// after Run.
func (r *Runner) WriteTargetHistory(ctx context.Context, history leaving.History) {
	if r.directory == nil {
		return
	}
	r.directory.write(ctx, &wire.TargetHistory{
		Instance:  history.Newest.Instance,
		StartedMs: history.Newest.StartedMS,
		Left:      history.Left,
		EndedMs:   history.At.UnixMilli(),
	})
}

// Members returns the registered nodes.
func (r Registrations) Members() []membership.Member { return r.members }

// Previous returns the record, with its target, that the previous incarnation of the
// node wrote, or a zero record if there is none. With it the new incarnation number
// can exceed the previous one even if the instance's clock was set back.
func (r Registrations) Previous(id string) membership.Member {
	var previous membership.Member
	for _, m := range r.members {
		if m.ID == id && m.Incarnation >= previous.Incarnation {
			previous = m
		}
	}
	return previous
}

func hasOthers(members []membership.Member, id string) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return m.ID != id })
}

// decodeRosters returns the records of the members stream. Malformed ones are logged and
// skipped.
func decodeRosters(records []platformlog.Record, logger *logging.Logger) []*wire.Roster {
	var rosters []*wire.Roster
	for _, record := range records {
		roster := &wire.Roster{}
		if err := proto.Unmarshal(record.Data, roster); err != nil {
			logger.Event(logging.MalformedMessage).Str("stream", platformlog.StreamMembers).Err(err).Send()
			continue
		}
		if err := checkKey(record.Key, roster); err != nil {
			logger.Event(logging.MalformedMessage).Str("stream", platformlog.StreamMembers).Err(err).Send()
			continue
		}
		rosters = append(rosters, roster)
	}
	return rosters
}

// checkKey returns an error if the record is under the key of another node than the one that it
// describes.
func checkKey(key string, roster *wire.Roster) error {
	if key == "" {
		return nil // the stream has no keys
	}
	for _, member := range roster.GetMembers() {
		if member.GetId() != key {
			return errRecordKey.New("record of node %q under the key %q: it is skipped, each node writes its own", member.GetId(), key)
		}
	}
	return nil
}

func membersOf(rosters []*wire.Roster) []membership.Member {
	var members []membership.Member
	for _, roster := range rosters {
		members = append(members, membersFromWire(roster.GetMembers())...)
	}
	return members
}

func historiesOf(rosters []*wire.Roster) map[string]leaving.History {
	histories := make(map[string]leaving.History)
	for _, roster := range rosters {
		history, members := roster.GetTargetHistory(), roster.GetMembers()
		if history == nil || len(members) != 1 {
			continue
		}
		histories[members[0].GetId()] = leaving.History{
			Newest: call.TargetProcess{Instance: history.GetInstance(), StartedMS: history.GetStartedMs()},
			Left:   history.GetLeft(),
			At:     time.UnixMilli(history.GetEndedMs()),
		}
	}
	return histories
}
