package membership_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests so that runs are reproducible.
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	overridden := false
	flag.Visit(func(f *flag.Flag) { overridden = overridden || f.Name == "rapid.seed" })
	if !overridden {
		if err := flag.Set("rapid.seed", "20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
