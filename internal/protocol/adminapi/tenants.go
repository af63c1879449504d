package adminapi

import "net/url"

// PathTenants lists the tenants in force at the node; QueryName selects one of them, whose
// key digests the response then has.
const (
	PathTenants = "/tenants"
	QueryName   = "name"
)

// TenantList is the response to GET PathTenants.
type TenantList struct {
	// Version is the version of the configuration that has the tenants.
	Version string `json:"version"`
	// Coordinator is the node that coordinates the quotas in the failure domain of the node that
	// responds. The coordinator's own list has the use of the whole fleet.
	Coordinator string   `json:"coordinator"`
	Tenants     []Tenant `json:"tenants"`
}

// Tenant is a tenant as it is in force at the node, with its quota and use.
type Tenant struct {
	Name string `json:"name"`
	// Keys is the number of API keys. A tenant without any cannot send requests.
	Keys     int `json:"keys"`
	Priority int `json:"priority"`
	// RatePerS and Burst are the quota; a rate of 0 means no limit.
	RatePerS float64 `json:"rate_per_s"`
	Burst    float64 `json:"burst"`
	// NodeRequests and NodeRefused count the tenant's requests at this node since its start, and
	// those of them that were refused with 429. Tenants without a limit are not counted.
	NodeRequests int64 `json:"node_requests"`
	NodeRefused  int64 `json:"node_refused"`
	// Fleet is the use over all nodes, at the coordinator only and for tenants in use.
	Fleet *TenantFleetUsage `json:"fleet,omitempty"`
	// KeyDigests are the SHA-256 digests of the keys in hexadecimal; only for a tenant that
	// was asked for by name.
	KeyDigests []string `json:"key_digests,omitempty"`
}

// TenantFleetUsage is the use of a tenant's quota over all nodes.
type TenantFleetUsage struct {
	// Level is how many requests the quota admits now; a negative one is a debt.
	Level float64 `json:"level"`
	// DemandPerS is how many requests a second come, refused ones included.
	DemandPerS float64 `json:"demand_per_s"`
	// DomainShare is the coordinator's failure domain's part of the quota.
	DomainShare float64 `json:"domain_share"`
	// Over is set while requests are refused in that domain, and for 10 s after.
	Over bool `json:"over"`
}

// TenantPath returns the path for the tenant with the name.
func TenantPath(name string) string {
	return PathTenants + "?" + url.Values{QueryName: {name}}.Encode()
}
