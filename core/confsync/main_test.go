package confsync

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the size of the property tests unless flags give
// them, so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "20260301", "rapid.nofailfile": "true", "rapid.steps": "80", "rapid.checks": "200"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}
