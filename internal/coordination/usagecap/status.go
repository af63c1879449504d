package usagecap

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// overMemory is how long a tenant counts as over its quota after its last refused request.
const overMemory = 10 * time.Second

// Status is what a coordinator knows of one tenant.
type Status struct {
	Tenant string
	Quota  Quota
	// Level is what is left of the quota over all domains, negative for a debt, and Demand the
	// requests a second in all domains. Share is the own domain's part of the quota.
	Level, Demand, Share float64
	// Over is set while requests of the tenant are refused in the own domain.
	Over bool
}

// Statuses returns what the coordinator knows of each tenant, ordered by name.
func (c *Coordinator) Statuses(now time.Time) []Status {
	var list []Status
	for _, name := range slices.Sorted(maps.Keys(c.tenants)) {
		if t := c.tenant(now, name); t != nil {
			list = append(list, c.status(now, t))
		}
	}
	return list
}

func (c *Coordinator) status(now time.Time, t *capTenant) Status {
	return Status{
		Tenant: t.name, Quota: t.quota, Level: t.level, Demand: c.fleetDemand(now, t),
		Share: c.domainShare(now, t, c.domain), Over: t.over,
	}
}

// Changes returns the tenants that are over their quota, or keep to it again, since the last call.
func (c *Coordinator) Changes(now time.Time) []Status {
	var changed []Status
	for _, t := range c.tenants {
		over := !t.refusedAt.IsZero() && now.Sub(t.refusedAt) < overMemory
		if over != t.over {
			t.over = over
			changed = append(changed, c.status(now, t))
		}
	}
	slices.SortFunc(changed, func(a, b Status) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return changed
}

// SilentDomains returns the domains that are not heard, in order.
func (c *Coordinator) SilentDomains(now time.Time) []string {
	var silent []string
	for _, name := range c.names {
		if c.domains[name].silent(now) {
			silent = append(silent, name)
		}
	}
	return silent
}

// Total holds a node's own counts of one tenant since the node's start.
type Total struct {
	Tenant string
	// Asked counts all requests, Refused those over the quota.
	Asked, Refused int64
}

// Totals returns the node's own counts, ordered by tenant.
func (n *Node) Totals() []Total {
	totals := make([]Total, 0, len(n.tenants))
	for name, t := range n.tenants {
		totals = append(totals, Total{Tenant: name, Asked: t.asked, Refused: t.refused})
	}
	slices.SortFunc(totals, func(a, b Total) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return totals
}
