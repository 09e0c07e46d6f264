// Package rapidtest runs the tests of a package with fixed seeds for rapid, so that
// runs are reproducible.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests with the number of checks for each property. It does not return.
func Main(m *testing.M, checks int) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
