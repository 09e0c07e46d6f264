package fleetcontrol

import (
	"bytes"
	"os"
	"os/exec"
	"testing"
)

// runAlone runs the calling test in a process of its own, whose limits the test may change, and
// reports whether this is that process. Under the limits of this one, the testing package
// could not write its own files.
func runAlone(t *testing.T) bool {
	t.Helper()
	const variable = "PARSLEYRAMP_TEST_ALONE"
	if os.Getenv(variable) == t.Name() {
		return true
	}
	c := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
	c.Env = append(os.Environ(), variable+"="+t.Name())
	out, err := c.CombinedOutput()
	if err != nil || !bytes.Contains(out, []byte("--- PASS: "+t.Name())) {
		t.Fatalf("%v\n%s", err, out)
	}
	return false
}
