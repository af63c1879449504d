package ticketfile

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/state"
)

// TestKeysBecomeDigests guards against API keys of a ticket file that are published.
func TestKeysBecomeDigests(t *testing.T) {
	is := is.New(t)
	ticket, err := Parse("t.yaml", []byte("number: 1\ntenants:\n  - {name: nord, keys: [plain-1, plain-2], key_digests: ["+state.DigestKey("plain-3").String()+"]}\n"))
	is.NoErr(err)
	is.Equal(len(ticket.Tenants[0].KeyDigests), 3)
	is.Equal(ticket.Tenants[0].KeyDigests[1], state.DigestKey("plain-1").String())
	data, err := ticket.Encode()
	is.NoErr(err)
	is.True(!strings.Contains(string(data), "plain"))
	decoded, err := state.DecodeTicket(data)
	is.NoErr(err)
	is.Equal(decoded.Tenants, ticket.Tenants)
}

// TestKeysAreNotShownInProblems guards against problems that print a key, and against
// tenants that are published without one.
func TestKeysAreNotShownInProblems(t *testing.T) {
	for tenant, problem := range map[string]string{
		`{name: nord, keys: [7654321]}`:                            "the key is not text",
		`{name: nord, keys: ["7654321 x"]}`:                        "tenants[0].keys[0]: has characters",
		`{name: nord, keys: [""]}`:                                 "tenants[0].keys[0]: is empty",
		`{name: nord, keys: ["7654321", "7654321"]}`:               "give each key to one tenant, once",
		`{name: nord, key_digests: ["7654321"]}`:                   "is not a digest",
		`{name: nord}`:                                             "give the tenant a key",
		`{name: a, keys: ["7654321"]}, {name: b, keys: [7654321]}`: "the key is not text",
	} {
		_, err := Parse("t.yaml", []byte("number: 1\ntenants: ["+tenant+"]\n"))
		if err == nil || !strings.Contains(err.Error(), problem) || strings.Contains(err.Error(), "7654321") {
			t.Errorf("%s: %v, want %q", tenant, err, problem)
		}
	}
}
