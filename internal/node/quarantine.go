package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/semaphore"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/quarantine"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/protocol/wire"
)

const (
	// quarantineInterval is the time between two comparisons of the quarantine with a random
	// node, for nodes that were cut off when records were shared; quarantineStartInterval that
	// of a node that has started, until another one has responded.
	quarantineInterval      = time.Second
	quarantineStartInterval = 100 * time.Millisecond
	// remoteShare is the share of the comparisons with nodes of other domains, where traffic
	// is expensive.
	remoteShare = 0.2
	// quarantineTimeout bounds one exchange with a node, and one write to the platform.
	quarantineTimeout = time.Second
	// quarantineSenders bounds the exchanges in flight.
	quarantineSenders = 32
)

// quarantineSpread exchanges the records of the quarantine with other nodes.
type quarantineSpread struct {
	node  *node
	slots *semaphore.Weighted
	ctx   context.Context
	stop  context.CancelFunc
}

func newQuarantineSpread(n *node) *quarantineSpread {
	ctx, stop := context.WithCancel(context.Background())
	return &quarantineSpread{node: n, slots: semaphore.NewWeighted(quarantineSenders), ctx: ctx, stop: stop}
}

// share sends the records to all nodes. One that is not reached learns them by compare.
func (s *quarantineSpread) share(records []quarantine.Record) {
	message := &wire.QuarantineExchange{Records: quarantineToWire(time.Now(), records)}
	s.background(func() {
		for _, peer := range s.peers() {
			if s.slots.Acquire(s.ctx, 1) != nil {
				return
			}
			s.background(func() {
				defer s.slots.Release(1)
				_, _ = s.exchange(peer, message)
			})
		}
	})
}

// background runs work in a goroutine. A panic of it is logged.
func (s *quarantineSpread) background(work func()) {
	go func() {
		_ = s.node.logger.Guard("quarantine", func() error { work(); return nil })
	}()
}

// persist writes the record to the platform, or deletes it there if it refuses nothing.
func (s *quarantineSpread) persist(record quarantine.Record) {
	var written *wire.QuarantineRecord
	if record.Refused() {
		written = quarantineToWire(time.Now(), []quarantine.Record{record})[0]
		written.RemainingMs, written.ExpiresMs = 0, record.ExpiresAt.UnixMilli()
	}
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, quarantineTimeout)
		defer cancel()
		s.node.members.WriteQuarantine(ctx, calls.FormatFingerprint(record.Fingerprint), written)
	})
}

// peers returns the other nodes that may be reached.
func (s *quarantineSpread) peers() []membership.Member {
	var peers []membership.Member
	for _, member := range s.node.members.View().Members {
		if member.ID != s.node.self.ID && (member.State == membership.Alive || member.State == membership.Suspect) {
			peers = append(peers, member)
		}
	}
	return peers
}

// exchange sends the message to the node and returns its response.
func (s *quarantineSpread) exchange(peer membership.Member, message *wire.QuarantineExchange) (*wire.QuarantineExchange, error) {
	ctx, cancel := context.WithTimeout(s.ctx, quarantineTimeout)
	defer cancel()
	conn, err := s.node.controlPool.Get(ctx, peer.ControlAddress)
	if err != nil {
		return nil, err
	}
	response, err := wire.NewDRPCControlClient(conn).ShareQuarantine(ctx, message)
	if err != nil {
		conn.Discard()
		return nil, err
	}
	conn.Release()
	return response, nil
}

// run compares the records with a random node's in each interval: a node without any until one
// node has responded, which covers its start, and every node that has some.
func (s *quarantineSpread) run(ctx context.Context) error {
	defer s.stop()
	timer := time.NewTimer(quarantineStartInterval)
	defer timer.Stop()
	heard := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		records, digest := s.node.calls.QuarantineRecords()
		if peer, ok := s.randomPeer(); ok && (!heard || len(records) > 0) {
			heard = s.compare(peer, records, digest) || heard
		}
		timer.Reset(quarantineStartInterval)
		if heard {
			timer.Reset(quarantineInterval)
		}
	}
}

// randomPeer returns a node to compare the records with, most often one of the own domain. It
// returns false if there is no other node.
func (s *quarantineSpread) randomPeer() (membership.Member, bool) {
	peers := s.peers()
	remote := rand.Float64() < remoteShare
	preferred := slices.DeleteFunc(slices.Clone(peers), func(m membership.Member) bool {
		return (m.Domain != s.node.self.Domain) != remote
	})
	if len(preferred) > 0 {
		peers = preferred
	}
	if len(peers) == 0 {
		return membership.Member{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

// compare takes over what the node has in addition, and sends it what it lacks. It reports whether
// the node responded.
func (s *quarantineSpread) compare(peer membership.Member, records []quarantine.Record, digest uint64) bool {
	response, err := s.exchange(peer, &wire.QuarantineExchange{Digest: digest})
	if err != nil {
		return false
	}
	if response.GetDigest() == digest {
		return true
	}
	s.node.calls.LearnQuarantine(quarantineFromWire(time.Now(), response.GetRecords()))
	if len(records) > 0 {
		_, _ = s.exchange(peer, &wire.QuarantineExchange{Records: quarantineToWire(time.Now(), records)})
	}
	return true
}

// ShareQuarantine takes over another node's records. It responds with its own if the request has
// none and another digest.
func (s *controlServer) ShareQuarantine(_ context.Context, message *wire.QuarantineExchange) (*wire.QuarantineExchange, error) {
	now := time.Now()
	s.node.calls.LearnQuarantine(quarantineFromWire(now, message.GetRecords()))
	records, digest := s.node.calls.QuarantineRecords()
	response := &wire.QuarantineExchange{Digest: digest}
	if len(message.GetRecords()) == 0 && message.GetDigest() != digest {
		response.Records = quarantineToWire(now, records)
	}
	return response, nil
}

func quarantineToWire(now time.Time, records []quarantine.Record) []*wire.QuarantineRecord {
	encoded := make([]*wire.QuarantineRecord, len(records))
	for i, r := range records {
		encoded[i] = &wire.QuarantineRecord{
			Fingerprint: r.Fingerprint, Epoch: r.Epoch, Crashes: r.Crashes, Again: r.Again, Alone: r.Alone,
			RemainingMs: uint32(max(0, r.ExpiresAt.Sub(now).Milliseconds())),
		}
		if r.Refused() { // operators need no names of those that are only suspected
			encoded[i].Method, encoded[i].Uri, encoded[i].Caller = r.Description.Method, r.Description.URI, r.Description.Caller
		}
	}
	return encoded
}

func quarantineFromWire(now time.Time, encoded []*wire.QuarantineRecord) []quarantine.Record {
	records := make([]quarantine.Record, len(encoded))
	for i, r := range encoded {
		records[i] = quarantine.Record{
			Fingerprint: r.GetFingerprint(), Epoch: r.GetEpoch(), Crashes: r.GetCrashes(), Again: r.GetAgain(), Alone: r.GetAlone(),
			ExpiresAt:   now.Add(time.Duration(r.GetRemainingMs()) * time.Millisecond),
			Description: quarantine.Description{Method: r.GetMethod(), URI: r.GetUri(), Caller: r.GetCaller()},
		}
		if r.GetExpiresMs() > 0 {
			records[i].ExpiresAt = time.UnixMilli(r.GetExpiresMs())
		}
	}
	return records
}
