package node

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"jasminegate/internal/coordination/usagecap"
	"jasminegate/internal/logging"
	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/state"
)

const (
	// tenantLabels is how many tenants the metrics name: those with the largest quotas. The
	// others are counted together.
	tenantLabels = 20
	otherTenants = "other"
	// usageLogInterval is the time between two looks at what has changed. Without it, a look
	// over all tenants would follow every report.
	usageLogInterval = time.Second
	// maxUsageLines bounds the lines about tenants of one look.
	maxUsageLines = 20
)

// logChanges logs which tenants are over their quota and which domains are not heard, where that
// has changed. The lock must be held, and this node be the coordinator.
func (u *usageExchange) logChanges(now time.Time) {
	if now.Sub(u.loggedAt) < usageLogInterval {
		return
	}
	u.loggedAt = now
	changes := u.own.Changes(now)
	for _, change := range changes[:min(len(changes), maxUsageLines)] {
		event := logging.TenantWithinQuota
		if change.Over {
			event = logging.TenantOverQuota
		}
		u.node.logger.Event(event).Str("tenant", change.Tenant).
			Str("rate_per_s", decimal(change.Quota.RatePerS)).Str("burst", decimal(change.Quota.Burst)).
			Str("demand_per_s", decimal(change.Demand)).Str("level", decimal(change.Level)).Str("domain_share", decimal(change.Share)).
			Int("left_out", int64(max(0, len(changes)-maxUsageLines))).Send()
	}
	silent := u.own.SilentDomains(now)
	for _, domain := range silent {
		if !slices.Contains(u.silent, domain) {
			u.node.logger.Event(logging.UsageDomainSilent).Str("domain", domain).Send()
		}
	}
	for _, domain := range u.silent {
		if !slices.Contains(silent, domain) {
			u.node.logger.Event(logging.UsageDomainHeard).Str("domain", domain).Send()
		}
	}
	u.silent = silent
}

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }

// addUse adds the use against their quotas to the tenants of the list, and names the coordinator.
func (u *usageExchange) addUse(list *adminapi.TenantList) {
	u.mu.Lock()
	defer u.mu.Unlock()
	list.Coordinator = u.fit().ID
	if len(list.Tenants) == 0 {
		return
	}
	totals := make(map[string]usagecap.Total)
	for _, use := range u.local.Totals() {
		totals[use.Tenant] = use
	}
	statuses := make(map[string]usagecap.Status)
	if u.own != nil {
		for _, status := range u.own.Statuses(time.Now()) {
			statuses[status.Tenant] = status
		}
	}
	for i := range list.Tenants {
		tenant := &list.Tenants[i]
		use := totals[tenant.Name]
		tenant.NodeRequests, tenant.NodeRefused = use.Asked, use.Refused
		if status, known := statuses[tenant.Name]; known {
			tenant.Fleet = &adminapi.TenantFleetUsage{Level: status.Level, DemandPerS: status.Demand, DomainShare: status.Share, Over: status.Over}
		}
	}
}

// writeMetrics writes the requests of the tenants with the largest quotas, and those of all others
// together, in the Prometheus text format.
func (u *usageExchange) writeMetrics(w io.Writer, snapshot *state.Snapshot) {
	named := largestTenants(snapshot)
	u.mu.Lock()
	totals := u.local.Totals()
	u.mu.Unlock()
	sums := map[string]usagecap.Total{otherTenants: {}}
	for _, use := range totals {
		name := otherTenants
		if named[use.Tenant] {
			name = use.Tenant
		}
		sum := sums[name]
		sums[name] = usagecap.Total{Asked: sum.Asked + use.Asked, Refused: sum.Refused + use.Refused}
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		use := sums[name]
		_, _ = fmt.Fprintf(w, "jasminegate_tenant_requests_total{tenant=%q,result=\"admitted\"} %d\n", name, use.Asked-use.Refused)
		_, _ = fmt.Fprintf(w, "jasminegate_tenant_requests_total{tenant=%q,result=\"refused\"} %d\n", name, use.Refused)
	}
}

// largestTenants returns the names of the tenants with the largest quotas.
func largestTenants(snapshot *state.Snapshot) map[string]bool {
	named := make(map[string]bool)
	if !snapshot.HasTenants() {
		return named
	}
	tenants := snapshot.Tenants()
	slices.SortStableFunc(tenants, func(a, b state.Tenant) int { return cmp.Compare(b.RatePerS, a.RatePerS) })
	for _, tenant := range tenants[:min(len(tenants), tenantLabels)] {
		named[tenant.Name] = true
	}
	return named
}
