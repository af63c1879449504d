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
	Version string   `json:"version"`
	Tenants []Tenant `json:"tenants"`
}

// Tenant is a tenant as it is in force at the node.
type Tenant struct {
	Name string `json:"name"`
	// Keys is the number of API keys. A tenant without any cannot send requests.
	Keys     int `json:"keys"`
	Priority int `json:"priority"`
	// RatePerS and Burst are the quota; 0 means no limit.
	RatePerS float64 `json:"rate_per_s"`
	Burst    float64 `json:"burst"`
	// KeyDigests are the SHA-256 digests of the keys in hexadecimal; only for a tenant that
	// was asked for by name.
	KeyDigests []string `json:"key_digests,omitempty"`
}

// TenantPath returns the path for the tenant with the name.
func TenantPath(name string) string {
	return PathTenants + "?" + url.Values{QueryName: {name}}.Encode()
}
