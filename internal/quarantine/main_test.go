package quarantine

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that runs are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
