package config

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/strictyaml"
)

// TestReferencePage checks that docs/settings-reference.md has exactly one row for
// each key, with the default and the accepted values of the code.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings-reference.md")
	is.NoErr(err)
	accepted := map[string]string{"node.seed": "any", "telemetry.profiling": "true, false", "calls.fixed_limit": "true, false", "deployment.revoke_strict": "true, false", "tenants.revoke_strict": "true, false"}
	for _, rule := range rules {
		accepted[rule.key] = rule.accepted
	}
	for _, scalar := range strictyaml.Scalars(Defaults()) {
		row := fmt.Sprintf("| `%s` | %s | %s | ", scalar.Key, defaultOf(scalar, accepted[scalar.Key]), accepted[scalar.Key])
		if strings.Count(string(page), row) != 1 {
			t.Errorf("docs/settings-reference.md: want exactly one row that begins with: %s", row)
		}
	}
	is.Equal(strings.Count(string(page), "\n| `"), len(accepted)+1) // one more for the list node.seeds
}

func defaultOf(scalar strictyaml.Scalar, accepted string) string {
	switch value := scalar.Value.(type) {
	case string:
		if value == "" && !strings.HasSuffix(accepted, "or empty") {
			return "required"
		}
		if value == "" {
			return "empty"
		}
		return value
	case int64:
		return strictyaml.FormatSize(value)
	}
	return formatValue(scalar.Value)
}
