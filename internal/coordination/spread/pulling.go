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

// newerPeer is a peer that reported a version newer than this node's.
type newerPeer struct {
	member  membership.Member
	version state.Version
}

// pulling is the asking of peers for what this node lacks.
type pulling struct {
	ahead   map[string]newerPeer
	request attempt
	// at is when the next pull may start; zero when none is planned.
	at time.Time
	// peer is the one that the pull in flight went to.
	peer membership.Member
	// whole says that the next pull asks for the whole state, because an update
	// did not fit.
	whole bool
	// asked says that a read-back wants verdicts; nextAsk limits how often.
	asked   bool
	nextAsk time.Time
	// diverged is the last position at which a peer had another digest.
	diverged uint64
}

func (m *Machine) takePeerVersion(now time.Time, e PeerVersion) {
	own := m.fold.Version()
	if e.Version.Position == own.Position && e.Version.Digest != own.Digest {
		m.reportDivergence(e)
	}
	if !e.Version.Newer(own) {
		delete(m.pulling.ahead, e.Peer.ID)
		return
	}
	_, known := m.pulling.ahead[e.Peer.ID]
	if !known && len(m.pulling.ahead) >= maxAhead {
		return
	}
	m.pulling.ahead[e.Peer.ID] = newerPeer{member: e.Peer, version: e.Version}
	m.planPull(now, m.delayFor(e.Peer))
}

func (m *Machine) reportDivergence(e PeerVersion) {
	if !m.join.joined || m.pulling.diverged == e.Version.Position {
		return
	}
	m.pulling.diverged = e.Version.Position
	m.do(ReportRefusedUpdate{Err: state.ErrDigestMismatch.New("%s runs %s, this node runs %s: restart the node whose digest differs from the others'", e.Peer.ID, e.Version, m.fold.Version())})
}

func (m *Machine) delayFor(peer membership.Member) time.Duration {
	if !m.join.joined {
		return 0
	}
	if peer.Domain != m.options.Self.Domain {
		return relayPullDelay
	}
	return pullDelay
}

func (m *Machine) planPull(now time.Time, delay time.Duration) {
	if m.pulling.at.IsZero() {
		m.pulling.at = now.Add(delay + jitter(m.random, pullJitter))
	}
}

func (m *Machine) wantPull(now time.Time) {
	p := &m.pulling
	m.dropReached()
	m.wantAnswer(now)
	if m.joinsByPeers(now) {
		m.planPull(now, 0)
	}
	if p.at.IsZero() || p.request.running || !m.due(now, p.at) || !m.due(now, p.request.notBefore) {
		return
	}
	p.at = time.Time{}
	peer, ok := m.choosePeer(now)
	if !ok {
		return
	}
	from := m.fold.Version()
	if p.whole || from.Position == 0 {
		from = state.Version{}
	}
	p.request.running = true
	p.peer = peer
	p.asked = false
	m.do(PullUpdate{Peer: peer, From: from})
}

// wantAnswer plans a pull for a read-back, not more often than askDelay. A
// reader folds the log itself and needs none.
func (m *Machine) wantAnswer(now time.Time) {
	p := &m.pulling
	if !p.asked {
		return
	}
	if m.roster.alone() || (m.roster.reader(m.options.Readers) && !m.reading.lost) {
		p.asked = false
		return
	}
	if m.due(now, p.nextAsk) {
		p.nextAsk = now.Add(askDelay)
		if p.at.IsZero() {
			p.at = now
		}
	}
}

// joinsByPeers reports whether a starting node asks its peers for the state.
func (m *Machine) joinsByPeers(now time.Time) bool {
	if m.join.joined || m.roster.alone() {
		return false
	}
	return !m.wantsPlatform(now) || m.reading.trimmed || m.reading.lost
}

func (m *Machine) dropReached() {
	for id, peer := range m.pulling.ahead {
		if !peer.version.Newer(m.fold.Version()) {
			delete(m.pulling.ahead, id)
		}
	}
}

// choosePeer returns a random one of the peers known to be newer, or, for a
// node that joins or reads back, another live peer.
func (m *Machine) choosePeer(now time.Time) (membership.Member, bool) {
	candidates := make([]membership.Member, 0, maxAhead)
	for _, peer := range m.pulling.ahead {
		candidates = append(candidates, peer.member)
	}
	slices.SortFunc(candidates, func(a, b membership.Member) int { return cmp.Compare(a.ID, b.ID) })
	if len(candidates) == 0 && (m.pulling.asked || m.joinsByPeers(now)) {
		candidates = m.fallbackPeers()
	}
	if len(candidates) == 0 {
		return membership.Member{}, false
	}
	return candidates[m.random.IntN(len(candidates))], true
}

// fallbackPeers returns the readers as this node sees them, and, for a node that
// joins, in half of the cases any peer, since readers limit their answers.
func (m *Machine) fallbackPeers() []membership.Member {
	peers := m.roster.peers()
	if !m.join.joined && m.random.IntN(2) == 0 {
		return peers
	}
	return peers[:min(len(peers), m.options.Readers)]
}

func (m *Machine) pullDone(now time.Time, e PullDone) {
	p := &m.pulling
	if e.Failed || e.Answer.RetryAfter > 0 {
		m.pullRefused(now, e)
		return
	}
	p.request.succeeded()
	moved, err := m.adopt(e.Answer.Update)
	m.settleJoin()
	switch {
	case moved:
		p.whole = false
		m.pulled(now)
	case errorx.IsOfType(err, acceptance.ErrOutdated):
		delete(p.ahead, e.PeerID)
		m.delayPull(now)
	default:
		m.refuse(now, err)
		m.delayPull(now)
	}
	m.planMore(now)
}

// pulled goes on after a pull that brought something new.
func (m *Machine) pulled(now time.Time) {
	if m.pulling.peer.Domain != m.options.Self.Domain {
		m.pushEntry()
	} else {
		m.forward()
	}
	if !m.join.joined && m.join.known {
		m.join.patience = now // the few records up to the floor are read at the platform
	}
}

func (m *Machine) pullRefused(now time.Time, e PullDone) {
	p := &m.pulling
	m.delayPull(now)
	if e.Failed {
		delete(p.ahead, e.PeerID)
	}
	if e.Answer.RetryAfter > 0 {
		p.request.notBefore = later(p.request.notBefore, now.Add(min(e.Answer.RetryAfter, joinRetryMax)))
	}
	m.planMore(now)
}

func (m *Machine) delayPull(now time.Time) {
	m.pulling.request.failed(now, joinRetryMax/2, m.random)
}

// planMore plans another pull while newer peers are known.
func (m *Machine) planMore(now time.Time) {
	m.dropReached()
	if len(m.pulling.ahead) > 0 {
		m.planPull(now, 0)
	}
}

// refuse reports an update that does not fit. One whose content differs or that
// contradicts itself makes the next pull ask for the whole state.
func (m *Machine) refuse(now time.Time, err error) {
	switch {
	case errorx.IsOfType(err, acceptance.ErrOutdated):
		return
	case errorx.IsOfType(err, acceptance.ErrGap):
		// The sender learns the version held from the answer and sends again.
		if m.join.joined {
			m.do(ReportRefusedUpdate{Err: err})
		}
		return
	}
	m.do(ReportRefusedUpdate{Err: err})
	m.pulling.whole = true
	m.pulling.asked = true
	m.planPull(now, 0)
}

// servePull answers a peer. Whole states are limited per second, so that a herd
// of joining nodes does not hold up the node.
func (m *Machine) servePull(now time.Time, e PullReceived) {
	if !m.join.joined || e.From.Position > m.position() {
		m.refusePull(e.Token)
		return
	}
	update, whole := m.updateSince(e.From.Position)
	if (whole || e.From.Position == 0) && !m.limiter.AllowN(now, 1) {
		m.refusePull(e.Token)
		return
	}
	m.do(AnswerPull{Token: e.Token, Answer: PullAnswer{Update: update}})
}

func (m *Machine) refusePull(token uint64) {
	retryAfter := refusedPullDelay/2 + jitter(m.random, refusedPullDelay)
	m.do(AnswerPull{Token: token, Answer: PullAnswer{RetryAfter: retryAfter}})
}
