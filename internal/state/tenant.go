package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Limits of tenants.
const (
	MaxKeyBytes = 1024
	MaxRatePerS = 1e9
	MaxBurst    = 1e9
)

// APIKey is a key in plaintext. Its formatted text does not contain the key.
type APIKey string

// String hides the key, so that it is not logged by accident.
func (APIKey) String() string { return "(hidden)" }

// CheckAPIKey returns what is wrong with the key and what to write instead; both are
// empty for a key that a request can carry. The texts do not contain the key.
func CheckAPIKey(key APIKey) (text, remedy string) {
	switch {
	case key == "":
		return "is empty", "write a key"
	case len(key) > MaxKeyBytes:
		return fmt.Sprintf("has %d bytes", len(key)), fmt.Sprintf("use at most %d", MaxKeyBytes)
	case strings.ContainsFunc(string(key), func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		return "has characters that a header cannot carry", "use visible ASCII characters without spaces"
	}
	return "", ""
}

// KeyDigest is the SHA-256 of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String formats the digest in hexadecimal, as in Tenant.KeyDigests.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// parseKeyDigest parses a digest in lower-case hexadecimal.
func parseKeyDigest(text string) (digest KeyDigest, ok bool) {
	if len(text) != hex.EncodedLen(len(digest)) || text != strings.ToLower(text) {
		return digest, false
	}
	_, err := hex.Decode(digest[:], []byte(text))
	return digest, err == nil
}

// Tenant is a customer on whose behalf callers send requests. If the configuration
// has tenants, callers identify theirs by an API key.
type Tenant struct {
	Name string `json:"name" yaml:"name"`
	// Keys are API keys in a ticket file. Publishing replaces them by their digests:
	// they are part of no encoding.
	Keys []APIKey `json:"-" yaml:"keys,omitempty"`
	// KeyDigests are the SHA-256 digests of the tenant's API keys in lower-case
	// hexadecimal. A tenant without any cannot send requests.
	KeyDigests []string `json:"key_digests,omitempty" yaml:"key_digests,omitempty"`
	// Priority replaces the priority of the routes; 0 is the most urgent.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// RatePerS limits the tenant's requests per second over all nodes; 0 means no
	// limit. Burst is how many requests it may send beyond that at once.
	RatePerS float64 `json:"rate_per_s,omitempty" yaml:"rate_per_s,omitempty"`
	Burst    float64 `json:"burst,omitempty" yaml:"burst,omitempty"`
}

// DigestKeys returns the tenant with its Keys replaced by their digests.
func (t Tenant) DigestKeys() Tenant {
	t.KeyDigests = slices.Clone(t.KeyDigests)
	for _, key := range t.Keys {
		t.KeyDigests = append(t.KeyDigests, DigestKey(string(key)).String())
	}
	t.Keys = nil
	return t
}

// tenantIndex finds tenants by the digests of their keys. It is immutable.
type tenantIndex map[KeyDigest]*Tenant

// newTenantIndex fails with ErrAmbiguousKey if two tenants hold the same key. Every
// node gives the same reason, which names the tenants and not the key's digest.
func newTenantIndex(tenants map[string]*Tenant) (tenantIndex, error) {
	index := make(tenantIndex)
	for _, name := range slices.Sorted(maps.Keys(tenants)) {
		for _, text := range tenants[name].KeyDigests {
			digest, ok := parseKeyDigest(text)
			if !ok {
				return nil, ErrUndecodable.New("tenant %q has an invalid key digest: publish it again", name)
			}
			if holder := index[digest]; holder != nil && holder.Name != name {
				return nil, ErrAmbiguousKey.New("tenants %q and %q hold the same API key: give each its own", holder.Name, name)
			}
			index[digest] = tenants[name]
		}
	}
	return index, nil
}

// HasTenants reports whether callers need an API key, except on routes with NoAuth.
// A nil snapshot has none.
func (s *Snapshot) HasTenants() bool { return s != nil && len(s.tenants) > 0 }

// Tenant returns the tenant with the given name, and whether it exists.
func (s *Snapshot) Tenant(name string) (Tenant, bool) {
	if tenant := s.tenants[name]; tenant != nil {
		return *tenant, true
	}
	return Tenant{}, false
}

// Tenants returns all tenants, sorted by name.
func (s *Snapshot) Tenants() []Tenant {
	tenants := make([]Tenant, 0, len(s.tenants))
	for _, name := range slices.Sorted(maps.Keys(s.tenants)) {
		tenants = append(tenants, *s.tenants[name])
	}
	return tenants
}

// TenantByKeyDigest returns the tenant that holds the key with the given digest, and
// whether there is one.
func (s *Snapshot) TenantByKeyDigest(digest KeyDigest) (Tenant, bool) {
	if tenant := s.tenantsByKey[digest]; tenant != nil {
		return *tenant, true
	}
	return Tenant{}, false
}

// indexTenants builds the index of keys if a tenant changed since it was built.
func (s *Snapshot) indexTenants() error {
	if !s.tenantsChanged {
		return nil
	}
	index, err := newTenantIndex(s.tenants)
	if err != nil {
		return err
	}
	s.tenantsByKey, s.tenantsChanged = index, false
	return nil
}

func (c *checker) checkTenant(path string, tenant Tenant) {
	c.resource = tenant.Name
	defer func() { c.resource = "" }()
	if text, remedy := CheckName(tenant.Name, MaxNameBytes); text != "" {
		c.add(path+".name", text, remedy)
	} else {
		c.recordOnce(path+".name", path, Key{KindTenant, tenant.Name})
	}
	c.checkRange(path+".priority", tenant.Priority, 0, MaxPriority)
	c.checkNumber(path+".rate_per_s", tenant.RatePerS, MaxRatePerS)
	c.checkNumber(path+".burst", tenant.Burst, MaxBurst)
	for i, text := range tenant.KeyDigests {
		digest, ok := parseKeyDigest(text)
		if !ok {
			// The text may be a key that was written here by mistake.
			c.add(fmt.Sprintf("%s.key_digests[%d]", path, i), "is not a digest", "write the key's SHA-256 in lower-case hexadecimal, or the key itself under keys")
			continue
		}
		if holder, held := c.keyHolders[digest]; held {
			c.add(fmt.Sprintf("%s.key_digests[%d]", path, i), fmt.Sprintf("is held by tenant %q too", holder), "give each key to one tenant, once")
			continue
		}
		c.keyHolders[digest] = tenant.Name
	}
}

// checkNumber checks a number against 0 and the limit high.
func (c *checker) checkNumber(path string, value, high float64) {
	if !(value >= 0 && value <= high) {
		c.add(path, fmt.Sprintf("is %g", value), fmt.Sprintf("use 0 to %g", high))
	}
}
