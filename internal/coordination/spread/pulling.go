package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// newerPeer is a peer with a version newer than this node's.
type newerPeer struct {
	member  membership.Member
	version state.Version
}

// pullingState tracks the pulls of this node from its peers.
type pullingState struct {
	newerPeers map[string]newerPeer
	request    requestState
	// failures counts the pulls that have failed since the last response.
	failures int
	// scheduledAt is when the next pull may start, or zero if none is scheduled.
	scheduledAt time.Time
	// inFlightPeer is the peer of the pull in flight.
	inFlightPeer membership.Member
	// needsFullState makes pulls request the full state until a pulled update is
	// applied. It is set after an update that failed with any error but ErrOutdated
	// and ErrGap.
	needsFullState bool
	// pullRequested requests a pull even if no peer is known to have a newer version:
	// for an unknown verdict, or after an update that could not be applied. The pull
	// is not scheduled before nextRequestedPull.
	pullRequested     bool
	nextRequestedPull time.Time
	// divergedPosition is the last position at which a peer with a different digest
	// was reported.
	divergedPosition uint64
}

func (m *Machine) handlePeerVersion(now time.Time, e PeerVersion) {
	e.Version = m.inLogEra(e.Version)
	own := m.fold.Version()
	if e.Version.Position == own.Position && e.Version.Digest != own.Digest {
		m.reportDivergence(e)
	}
	if !e.Version.Newer(own) {
		delete(m.pulling.newerPeers, e.Peer.ID)
		return
	}
	_, known := m.pulling.newerPeers[e.Peer.ID]
	if !known && len(m.pulling.newerPeers) >= maxNewerPeers {
		return
	}
	m.pulling.newerPeers[e.Peer.ID] = newerPeer{member: e.Peer, version: e.Version}
	m.schedulePull(now, m.pullDelayFor(e.Peer))
}

// reportDivergence reports a peer with another digest at the same position, but not
// twice in a row for one position. Position 0, which a peer without a configuration
// has, is the initial divergedPosition and so is never reported.
func (m *Machine) reportDivergence(e PeerVersion) {
	if !m.join.joined || m.pulling.divergedPosition == e.Version.Position {
		return
	}
	m.pulling.divergedPosition = e.Version.Position
	m.emit(ReportRefusedUpdate{Err: state.ErrDigestMismatch.New("%s runs %s, this node runs %s: restart the node whose digest differs from the others'", e.Peer.ID, e.Version, m.fold.Version())})
}

func (m *Machine) pullDelayFor(peer membership.Member) time.Duration {
	if !m.join.joined {
		return 0
	}
	if peer.Domain != m.options.Self.Domain {
		return crossDomainPullDelay
	}
	return pullDelay
}

// schedulePull schedules a pull after delay and a jitter, unless one is scheduled
// already.
func (m *Machine) schedulePull(now time.Time, delay time.Duration) {
	maxJitter := pullJitter
	if !m.join.joined {
		maxJitter = joinPullJitter
	}
	if m.pulling.scheduledAt.IsZero() {
		m.pulling.scheduledAt = now.Add(delay + jitter(m.random, maxJitter))
	}
}

func (m *Machine) maybePull(now time.Time) {
	p := &m.pulling
	m.pruneNewerPeers()
	m.scheduleRequestedPull(now)
	if m.joinsFromPeers(now) {
		m.schedulePull(now, 0)
	}
	if p.scheduledAt.IsZero() || p.request.inFlight || !m.dueOrWake(now, p.scheduledAt) || !m.dueOrWake(now, p.request.notBefore) {
		return
	}
	p.scheduledAt = time.Time{}
	peer, ok := m.choosePeer(now)
	if !ok {
		return
	}
	from := m.fold.Version()
	if p.needsFullState || m.hasEarlierPosition(peer) || m.awaitsAcceptedTicket(now) {
		from = state.Version{}
	}
	p.request.inFlight = true
	p.inFlightPeer = peer
	p.pullRequested = false
	m.emit(PullUpdate{Peer: peer, From: from, Failures: p.failures})
}

// hasEarlierPosition reports whether the peer's newer version has an earlier position than
// this node's: it was accepted before the log was restored from a copy, this node's after
// that.
func (m *Machine) hasEarlierPosition(peer membership.Member) bool {
	newer, known := m.pulling.newerPeers[peer.ID]
	return known && newer.version.Position < m.position()
}

// scheduleRequestedPull schedules a requested pull, at most once per
// minRequestedPullInterval. A reader needs none while it can read the log.
func (m *Machine) scheduleRequestedPull(now time.Time) {
	p := &m.pulling
	if !p.pullRequested {
		return
	}
	if m.topology.isAlone() || (m.topology.isReader(m.options.Readers) && !m.reading.platformUnreachable) {
		p.pullRequested = false
		return
	}
	if m.dueOrWake(now, p.nextRequestedPull) {
		p.nextRequestedPull = now.Add(minRequestedPullInterval)
		if p.scheduledAt.IsZero() {
			p.scheduledAt = now
		}
	}
}

// joinsFromPeers reports whether a joining node pulls the state from its peers.
func (m *Machine) joinsFromPeers(now time.Time) bool {
	if m.join.joined || m.topology.isAlone() {
		return false
	}
	return !m.shouldReadLog(now) || m.reading.recordsMissing || m.reading.platformUnreachable || m.awaitsAcceptedTicket(now)
}

// IsBehind reports whether a peer is known to have a newer version than this node.
func (m *Machine) IsBehind() bool { return len(m.pulling.newerPeers) > 0 }

func (m *Machine) pruneNewerPeers() {
	for id, peer := range m.pulling.newerPeers {
		if !peer.version.Newer(m.fold.Version()) {
			delete(m.pulling.newerPeers, id)
		}
	}
}

// choosePeer returns a random peer with a newer version. If none is known, and the
// node joins or a pull is requested, it returns another live peer.
func (m *Machine) choosePeer(now time.Time) (membership.Member, bool) {
	candidates := make([]membership.Member, 0, maxNewerPeers)
	for _, peer := range m.pulling.newerPeers {
		candidates = append(candidates, peer.member)
	}
	slices.SortFunc(candidates, func(a, b membership.Member) int { return cmp.Compare(a.ID, b.ID) })
	if len(candidates) == 0 && (m.pulling.pullRequested || m.joinsFromPeers(now)) {
		candidates = m.fallbackPeers()
	}
	if len(candidates) == 0 {
		return membership.Member{}, false
	}
	return candidates[m.random.IntN(len(candidates))], true
}

// fallbackPeers returns the peers that are probably readers. For a joining node it
// returns all peers in half of the cases, because each node limits the rate of
// full states that it sends.
func (m *Machine) fallbackPeers() []membership.Member {
	peers := m.topology.pullPeers()
	if !m.join.joined && m.random.IntN(2) == 0 {
		return peers
	}
	return peers[:min(len(peers), m.options.Readers)]
}

func (m *Machine) handlePullDone(now time.Time, e PullDone) {
	p := &m.pulling
	if e.Failed {
		p.failures++
	} else {
		p.failures = 0
	}
	if e.Failed || e.Response.RetryAfter > 0 {
		m.handlePullFailure(now, e)
		return
	}
	p.request.succeeded()
	advanced, err := m.applyUpdate(e.Response.Update)
	m.installIfJoined(now)
	switch {
	case advanced:
		p.needsFullState = false
		m.pushPulledUpdate(now)
	case errorx.IsOfType(err, acceptance.ErrOutdated):
		delete(p.newerPeers, e.PeerID)
		m.backOffPull(now)
	default:
		m.handleUpdateError(now, err)
		m.backOffPull(now)
	}
	m.schedulePullIfBehind(now)
}

// pushPulledUpdate pushes a pulled update on. An update from another domain is
// pushed to the root of this domain's tree too. A joining node pushes nothing, but
// ends its wait for peers.
func (m *Machine) pushPulledUpdate(now time.Time) {
	if m.pulling.inFlightPeer.Domain != m.options.Self.Domain {
		m.pushToRootAndChildren()
	} else {
		m.pushToChildren()
	}
	if !m.join.joined && m.join.offsetKnown {
		m.join.peerWaitEnd = now // read the few records left up to the join offset from the log
	}
}

func (m *Machine) handlePullFailure(now time.Time, e PullDone) {
	p := &m.pulling
	m.backOffPull(now)
	if e.Failed {
		delete(p.newerPeers, e.PeerID)
	}
	if e.Response.RetryAfter > 0 {
		p.request.notBefore = later(p.request.notBefore, now.Add(min(e.Response.RetryAfter, maxRetryDelay)))
	}
	m.schedulePullIfBehind(now)
}

func (m *Machine) backOffPull(now time.Time) {
	m.pulling.request.failed(now, maxRetryDelay/2, m.random)
}

// schedulePullIfBehind schedules another pull while peers with newer versions are
// known.
func (m *Machine) schedulePullIfBehind(now time.Time) {
	m.pruneNewerPeers()
	if len(m.pulling.newerPeers) > 0 {
		m.schedulePull(now, 0)
	}
}

// handleUpdateError reports an update that could not be applied, except an outdated
// one or, while this node joins, one with a gap. After any error but ErrOutdated and
// ErrGap, the next pull requests the full state.
func (m *Machine) handleUpdateError(now time.Time, err error) {
	switch {
	case errorx.IsOfType(err, acceptance.ErrOutdated):
		return
	case errorx.IsOfType(err, acceptance.ErrGap):
		// The sender learns this node's version from the response and sends again.
		if m.join.joined {
			m.emit(ReportRefusedUpdate{Err: err})
		}
		return
	}
	m.emit(ReportRefusedUpdate{Err: err})
	m.pulling.needsFullState = true
	m.pulling.pullRequested = true
	m.schedulePull(now, 0)
}

// servePull responds to a peer's pull. The rate of full states is limited, so that many
// nodes joining at once do not overload this node.
func (m *Machine) servePull(now time.Time, e PullReceived) {
	e.From = m.inLogEra(e.From)
	if !m.join.joined || e.From.Position > m.position() {
		m.refusePull(e.Token)
		return
	}
	update, fullState := m.updateSince(e.From.Position)
	if (fullState || e.From.Position == 0) && !m.limiter.AllowN(now, 1) {
		m.refusePull(e.Token)
		return
	}
	m.emit(RespondToPull{Token: e.Token, Response: PullResponse{Update: update}})
}

func (m *Machine) refusePull(token uint64) {
	retryAfter := meanPullRetryAfter/2 + jitter(m.random, meanPullRetryAfter)
	m.emit(RespondToPull{Token: token, Response: PullResponse{RetryAfter: retryAfter}})
}
