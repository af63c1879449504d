package node

import (
	"net/http"
	"strconv"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/state"
)

// getTenants lists the tenants in force at this node with their quotas and use, or the one that is
// named with its key digests too.
func (n *node) getTenants(w http.ResponseWriter, r *http.Request) {
	snapshot := n.configuration.Snapshot()
	list := adminapi.TenantList{Version: snapshot.VersionOrNone(), Tenants: []adminapi.Tenant{}}
	if !r.URL.Query().Has(adminapi.QueryName) {
		if snapshot != nil {
			for _, tenant := range snapshot.Tenants() {
				list.Tenants = append(list.Tenants, tenantOf(tenant))
			}
		}
		n.usage.addUse(&list)
		writeJSON(w, http.StatusOK, list)
		return
	}
	name := r.URL.Query().Get(adminapi.QueryName)
	var tenant state.Tenant
	found := false
	if snapshot != nil {
		tenant, found = snapshot.Tenant(name)
	}
	if !found {
		problem.Write(w, problem.Problem{
			Status: http.StatusNotFound, Outcome: problem.NotFound,
			Detail: "no tenant " + strconv.Quote(name) + " is in force at this node", Remedy: "take a name of `jasminegate tenants list`",
		})
		return
	}
	named := tenantOf(tenant)
	named.KeyDigests = tenant.KeyDigests
	list.Tenants = append(list.Tenants, named)
	n.usage.addUse(&list)
	writeJSON(w, http.StatusOK, list)
}

func tenantOf(t state.Tenant) adminapi.Tenant {
	return adminapi.Tenant{Name: t.Name, Keys: len(t.KeyDigests), Priority: t.Priority, RatePerS: t.RatePerS, Burst: t.Burst}
}
