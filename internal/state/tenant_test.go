package state

import (
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func tenantOf(name string, keys ...APIKey) Tenant {
	return Tenant{Name: name, Keys: keys, Priority: 2}.DigestKeys()
}

func applyTicket(t testing.TB, s *Snapshot, ticket Ticket) (*Snapshot, error) {
	changes, err := ticket.Changes()
	is.New(t).NoErr(err)
	return s.With(s.Version().Position+1, changes)
}

// TestKeysFollowTheTenants guards against an index of keys that is not that of the
// snapshot: a removed or replaced key that is still found, or a change of one
// snapshot that shows in an earlier one.
func TestKeysFollowTheTenants(t *testing.T) {
	is := is.New(t)
	holder := func(s *Snapshot, key string) string {
		tenant, _ := s.TenantByKeyDigest(DigestKey(key))
		return tenant.Name
	}
	is.True(!Empty().HasTenants())
	first, err := applyTicket(t, Empty(), Ticket{Tenants: []Tenant{tenantOf("a", "a1", "a2"), tenantOf("b", "b1")}})
	is.NoErr(err)
	second, err := applyTicket(t, first, Ticket{Tenants: []Tenant{tenantOf("a", "a2")}})
	is.NoErr(err)
	third, err := applyTicket(t, second, Ticket{Services: []Service{validTicket().Services[0]}, RemoveTenants: []string{"b"}})
	is.NoErr(err)
	is.Equal([]string{holder(first, "a1"), holder(first, "a2"), holder(first, "b1")}, []string{"a", "a", "b"})
	is.Equal([]string{holder(second, "a1"), holder(second, "a2"), holder(second, "b1")}, []string{"", "a", "b"})
	is.Equal([]string{holder(third, "a1"), holder(third, "a2"), holder(third, "b1")}, []string{"", "a", ""})
	is.True(third.HasTenants())
	_, err = applyTicket(t, third, Ticket{Tenants: []Tenant{tenantOf("c", "a2")}})
	is.True(errorx.IsOfType(err, ErrAmbiguousKey))
}

// TestTenantViolations guards against tenants that nodes cannot use, and against a
// key that is shown when it was written in the place of its digest.
func TestTenantViolations(t *testing.T) {
	is := is.New(t)
	valid := Ticket{Number: 1, Tenants: []Tenant{tenantOf("Société du Nord", "k")}}
	is.NoErr(valid.Validate())
	for path, tenants := range map[string][]Tenant{
		"tenants[0].name":           {tenantOf("")},
		"tenants[0].rate_per_s":     {{Name: "a", RatePerS: -1}},
		"tenants[0].burst":          {{Name: "a", Burst: MaxBurst * 2}},
		"tenants[0].priority":       {{Name: "a", Priority: -1}},
		"tenants[0].key_digests[0]": {{Name: "a", KeyDigests: []string{"plaintext-key"}}},
		"tenants[1].key_digests[0]": {tenantOf("a", "k"), tenantOf("b", "k")},
		"tenants[1].name":           {tenantOf("a"), tenantOf("a")},
	} {
		violations := Ticket{Number: 1, Tenants: tenants}.Violations()
		is.Equal(len(violations), 1)
		is.Equal(violations[0].Path, path)
		is.True(violations[0].Text != `is "plaintext-key"`)
	}
}

// BenchmarkTenantByKeyDigest measures a lookup among 10,000 keys, with and without
// the hash of the key.
func BenchmarkTenantByKeyDigest(b *testing.B) {
	ticket := Ticket{}
	for i := range 1000 {
		tenant := Tenant{Name: fmt.Sprint("tenant-", i)}
		for j := range 10 {
			tenant.Keys = append(tenant.Keys, APIKey(fmt.Sprintf("key-%d-%d-of-usual-length", i, j)))
		}
		ticket.Tenants = append(ticket.Tenants, tenant.DigestKeys())
	}
	snapshot, err := applyTicket(b, Empty(), ticket)
	is.New(b).NoErr(err)
	key := "key-500-5-of-usual-length"
	digest := DigestKey(key)
	b.Run("lookup", func(b *testing.B) {
		for b.Loop() {
			snapshot.TenantByKeyDigest(digest)
		}
	})
	b.Run("hash and lookup", func(b *testing.B) {
		for b.Loop() {
			snapshot.TenantByKeyDigest(DigestKey(key))
		}
	})
}
