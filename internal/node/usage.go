package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/coordination/usagecap"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/state"
)

// usageTimeout bounds one report or exchange: a later response would be about older counts than
// those of the next one.
const usageTimeout = usagecap.ReportInterval

var errNoContact = errorx.NewType(Errors, "no-contact")

// usageExchange holds the tenants' quotas: it admits requests, reports to the coordinator of the
// failure domain, and is the coordinator where the node ranks first.
type usageExchange struct {
	node *node
	// reportDue and exchangeDue have an item when something may be due earlier than before.
	reportDue, exchangeDue chan struct{}

	mu    sync.Mutex
	local *usagecap.Node
	// nextReport is when the next report is planned, zero if none is.
	nextReport time.Time
	// coordinator is the node that gets the reports, session numbers the sessions with it.
	coordinator membership.Member
	session     uint64
	// view and snapshot are those to which the state was fitted last.
	view     *membership.View
	snapshot *state.Snapshot
	// own is the coordinator's state, nil if this node is not it; started numbers its starts.
	own     *usagecap.Coordinator
	started uint64
	// loggedAt is when changes were looked for last, silent has the domains logged as not heard.
	loggedAt time.Time
	silent   []string
}

func newUsageExchange(n *node, seed uint64) *usageExchange {
	return &usageExchange{
		node: n, local: usagecap.NewNode(seed), session: n.self.Incarnation, started: n.self.Incarnation,
		reportDue: make(chan struct{}, 1), exchangeDue: make(chan struct{}, 1),
	}
}

// Admit charges one request of the tenant, or returns the time until its quota admits one again.
func (u *usageExchange) Admit(tenant string, quota usagecap.Quota) (ok bool, retryAfter time.Duration) {
	if !quota.Limited() {
		return true, 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	ok, retryAfter = u.local.Admit(now, tenant, quota)
	u.planReport(now)
	return ok, retryAfter
}

// Refund takes back the charge of a request that did not run.
func (u *usageExchange) Refund(tenant string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.local.Refund(now, tenant)
	u.planReport(now)
}

// planReport wakes the reports if one is due earlier than planned. The lock must be held.
func (u *usageExchange) planReport(now time.Time) {
	due, any := u.local.ReportDue(now)
	if any && (u.nextReport.IsZero() || due.Before(u.nextReport)) {
		u.nextReport = due
		wake(u.reportDue)
	}
}

func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// run sends reports and, at the coordinator, exchanges totals, while there is something to send.
func (u *usageExchange) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for place, run := range map[string]func(context.Context) error{"usage reports": u.runReports, "usage exchange": u.runExchanges} {
		group.Go(func() error {
			return u.node.logger.Guard(place, func() error { return run(ctx) })
		})
	}
	return group.Wait()
}

// runWhenDue calls work when it is due. Due returns false if nothing is, until wake has an item.
func runWhenDue(ctx context.Context, wake chan struct{}, due func() (time.Time, bool), work func(context.Context)) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		at, any := due()
		wait := time.Until(at)
		if any && wait <= 0 {
			work(ctx)
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		var elapsed <-chan time.Time
		if any {
			timer.Reset(wait)
			elapsed = timer.C
		}
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-elapsed:
		}
	}
}

func (u *usageExchange) runReports(ctx context.Context) error {
	return runWhenDue(ctx, u.reportDue, func() (time.Time, bool) {
		u.mu.Lock()
		defer u.mu.Unlock()
		due, any := u.local.ReportDue(time.Now())
		u.nextReport = time.Time{}
		if any {
			u.nextReport = due
		}
		return due, any
	}, u.report)
}

// report sends one report to the domain's coordinator, which may be this node.
func (u *usageExchange) report(ctx context.Context) {
	u.mu.Lock()
	coordinator := u.fit()
	now, session := time.Now(), u.session
	uses := u.local.Report(now)
	if coordinator.ID == u.node.self.ID {
		u.local.Apply(now, u.receiveReport(now, coordinator.ID, session, uses))
		u.mu.Unlock()
		return
	}
	u.mu.Unlock()
	grants, err := u.sendReport(ctx, coordinator, &wire.UsageReport{Node: u.node.self.ID, Incarnation: session, Uses: usesToWire(uses)})
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil || grants.GetCoordinator() != "" {
		u.local.Failed()
		return
	}
	u.local.Apply(time.Now(), grantsFromWire(grants))
}

func (u *usageExchange) sendReport(ctx context.Context, coordinator membership.Member, report *wire.UsageReport) (*wire.UsageGrants, error) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	conn, err := u.node.controlPool.Get(ctx, coordinator.ControlAddress)
	if err != nil {
		return nil, err
	}
	grants, err := wire.NewDRPCControlClient(conn).ReportUsage(ctx, report)
	if err != nil {
		conn.Discard()
		return nil, err
	}
	conn.Release()
	return grants, nil
}

// fit brings the state in line with the member table and the configuration, and returns the
// domain's coordinator. The lock must be held.
func (u *usageExchange) fit() membership.Member {
	if view := u.node.members.View(); view != u.view {
		u.view = view
		coordinator := usageCoordinator(view, u.node.self.Domain, u.node.self)
		counts := usageNodes(view)
		total := 0
		for _, count := range counts {
			total += count
		}
		u.local.SetNodes(total)
		u.fitCoordinator(coordinator, counts)
	}
	if snapshot := u.node.configuration.Snapshot(); snapshot != u.snapshot {
		u.snapshot = snapshot
		u.local.Keep(func(tenant string) bool { _, known := quotaOf(snapshot, tenant); return known })
	}
	return u.coordinator
}

func (u *usageExchange) fitCoordinator(coordinator membership.Member, counts map[string]int) {
	if coordinator.ID != u.coordinator.ID {
		if u.coordinator.ID != "" {
			u.session++
			u.local.NewSession()
			u.node.logger.Event(logging.UsageCoordinatorChanged).Str("coordinator", coordinator.ID).Str("before", u.coordinator.ID).Send()
		}
	}
	u.coordinator = coordinator
	switch {
	case coordinator.ID != u.node.self.ID:
		u.own, u.silent = nil, nil
		return
	case u.own == nil:
		u.started++
		u.own = usagecap.NewCoordinator(time.Now(), u.node.self.Domain, func(tenant string) (usagecap.Quota, bool) {
			return quotaOf(u.node.configuration.Snapshot(), tenant)
		})
	}
	u.own.SetNodes(counts)
}

// quotaOf returns the tenant's quota, and whether there is such a tenant.
func quotaOf(snapshot *state.Snapshot, name string) (usagecap.Quota, bool) {
	if !snapshot.HasTenants() {
		return usagecap.Quota{}, false
	}
	tenant, known := snapshot.Tenant(name)
	return usagecap.Quota{RatePerS: tenant.RatePerS, Burst: tenant.Burst}, known
}

// usageCoordinator returns the usage coordinator of the domain: of its live nodes the first by
// rendezvous hash, or the fallback if there are none.
func usageCoordinator(view *membership.View, domain string, fallback membership.Member) membership.Member {
	first, weight := fallback, uint64(0)
	for _, member := range view.Members {
		if member.Domain != domain || member.State != membership.Alive && member.State != membership.Suspect {
			continue
		}
		if w := xxhash.Sum64String(member.ID + "\x00usage"); w >= weight {
			first, weight = member, w
		}
	}
	return first
}

// usageNodes counts the nodes of each domain. Those that are taken as dead may be cut off: their
// domain keeps its part of the quotas.
func usageNodes(view *membership.View) map[string]int {
	counts := make(map[string]int)
	for _, member := range view.Members {
		if member.State != membership.Left {
			counts[member.Domain]++
		}
	}
	return counts
}

// receiveReport takes over a node's report. The lock must be held, and this node be the
// coordinator.
func (u *usageExchange) receiveReport(now time.Time, node string, session uint64, uses []usagecap.Use) usagecap.Grants {
	grants := u.own.Report(now, node, session, uses)
	u.logChanges(now)
	if _, any := u.own.ExchangeDue(); any {
		wake(u.exchangeDue)
	}
	return grants
}

// ReportUsage takes over a node's report and returns the node's limits, or names the coordinator
// if this node is not it.
func (s *controlServer) ReportUsage(_ context.Context, report *wire.UsageReport) (*wire.UsageGrants, error) {
	u := s.node.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	if coordinator := u.fit(); coordinator.ID != s.node.self.ID {
		return &wire.UsageGrants{Coordinator: coordinator.ID}, nil
	}
	return grantsToWire(u.receiveReport(time.Now(), report.GetNode(), report.GetIncarnation(), usesFromWire(report.GetUses()))), nil
}

func (u *usageExchange) runExchanges(ctx context.Context) error {
	return runWhenDue(ctx, u.exchangeDue, func() (time.Time, bool) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.fit(); u.own == nil {
			return time.Time{}, false
		}
		return u.own.ExchangeDue()
	}, u.exchange)
}

// exchange sends the domain's totals to the coordinators of the other domains.
func (u *usageExchange) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	u.mu.Lock()
	own, started := u.own, u.started
	if own == nil {
		u.mu.Unlock()
		return
	}
	peers := make(map[string]membership.Member)
	var names []string
	for domain := range usageNodes(u.view) {
		if domain == u.node.self.Domain {
			continue
		}
		peers[domain] = usageCoordinator(u.view, domain, membership.Member{})
		if peers[domain].ID != "" {
			names = append(names, peers[domain].ID)
		}
	}
	own.BeginExchange(time.Now(), names)
	totals := make(map[string]*wire.UsageTotals)
	for domain, peer := range peers {
		totals[domain] = &wire.UsageTotals{
			Domain: u.node.self.Domain, Coordinator: u.node.self.ID, Incarnation: started, Uses: usesToWire(own.Totals(peer.ID)),
		}
	}
	u.mu.Unlock()
	var group errgroup.Group
	for domain, peer := range peers {
		group.Go(func() error {
			return u.node.logger.Guard("usage exchange", func() error {
				response, err := u.sendTotals(ctx, peer, totals[domain])
				u.mu.Lock()
				defer u.mu.Unlock()
				now := time.Now()
				if err != nil || response.GetDomain() != domain {
					own.ExchangeFailed(now, domain)
					return nil
				}
				own.Receive(now, domain, response.GetCoordinator(), response.GetIncarnation(), usesFromWire(response.GetUses()))
				own.Exchanged(now, domain, response.GetCoordinator(), response.GetIncarnation())
				return nil
			})
		})
	}
	_ = group.Wait()
}

func (u *usageExchange) sendTotals(ctx context.Context, peer membership.Member, totals *wire.UsageTotals) (*wire.UsageTotals, error) {
	if peer.ID == "" {
		return nil, errNoContact.New("no node of the domain is in contact")
	}
	conn, err := u.node.controlPool.Get(ctx, peer.ControlAddress)
	if err != nil {
		return nil, err
	}
	response, err := wire.NewDRPCControlClient(conn).ExchangeUsage(ctx, totals)
	if err != nil {
		conn.Discard()
		return nil, err
	}
	conn.Release()
	return response, nil
}

// ExchangeUsage takes over the totals of another domain's coordinator and returns the own ones of
// the same tenants. A node that is not the coordinator returns no domain.
func (s *controlServer) ExchangeUsage(_ context.Context, totals *wire.UsageTotals) (*wire.UsageTotals, error) {
	u := s.node.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fit(); u.own == nil {
		return &wire.UsageTotals{}, nil
	}
	own := u.own.Receive(time.Now(), totals.GetDomain(), totals.GetCoordinator(), totals.GetIncarnation(), usesFromWire(totals.GetUses()))
	return &wire.UsageTotals{
		Domain: s.node.self.Domain, Coordinator: s.node.self.ID, Incarnation: u.started, Uses: usesToWire(own),
	}, nil
}

func usesToWire(uses []usagecap.Use) []*wire.TenantUse {
	encoded := make([]*wire.TenantUse, len(uses))
	for i, use := range uses {
		encoded[i] = &wire.TenantUse{Tenant: use.Tenant, Asked: uint64(use.Asked), Admitted: uint64(use.Admitted)}
	}
	return encoded
}

func usesFromWire(encoded []*wire.TenantUse) []usagecap.Use {
	uses := make([]usagecap.Use, len(encoded))
	for i, use := range encoded {
		uses[i] = usagecap.Use{Tenant: use.GetTenant(), Asked: int64(use.GetAsked()), Admitted: int64(use.GetAdmitted())}
	}
	return uses
}

func grantsToWire(grants usagecap.Grants) *wire.UsageGrants {
	encoded := &wire.UsageGrants{ValidMs: uint32(grants.Valid.Milliseconds())}
	for _, limit := range grants.Limits {
		encoded.Limits = append(encoded.Limits, &wire.UsageLimit{
			Tenant: limit.Tenant, RatePerS: limit.RatePerS, Burst: limit.Burst, WaitMs: uint32(limit.Wait.Milliseconds()),
		})
	}
	return encoded
}

func grantsFromWire(encoded *wire.UsageGrants) usagecap.Grants {
	grants := usagecap.Grants{Valid: time.Duration(encoded.GetValidMs()) * time.Millisecond}
	for _, limit := range encoded.GetLimits() {
		grants.Limits = append(grants.Limits, usagecap.Limit{
			Tenant: limit.GetTenant(), RatePerS: limit.GetRatePerS(), Burst: limit.GetBurst(),
			Wait: time.Duration(limit.GetWaitMs()) * time.Millisecond,
		})
	}
	return grants
}
