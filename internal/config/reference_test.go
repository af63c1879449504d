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
// each key, with the default and the bounds of the code.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings-reference.md")
	is.NoErr(err)
	bounds := map[string]string{"node.seed": "any", "telemetry.profiling": "true, false", "calls.fixed_limit": "true, false"}
	for _, rule := range rules {
		bounds[rule.key] = rule.bounds
	}
	for _, scalar := range strictyaml.Scalars(Defaults()) {
		row := fmt.Sprintf("| `%s` | %s | %s | ", scalar.Key, defaultOf(scalar, bounds[scalar.Key]), bounds[scalar.Key])
		if strings.Count(string(page), row) != 1 {
			t.Errorf("docs/settings-reference.md: want exactly one row that begins with: %s", row)
		}
	}
	is.Equal(strings.Count(string(page), "\n| `"), len(bounds)+1) // one more for the list node.seeds
}

func defaultOf(scalar strictyaml.Scalar, bounds string) string {
	switch value := scalar.Value.(type) {
	case string:
		if value == "" && !strings.HasSuffix(bounds, "or empty") {
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
