package ctl

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"parsleyramp/internal/program"
)

// TestExitCodesAndCommandsAreDocumented checks that the operators' page lists every exit
// code and command, and that every failure other than wrong usage has a next step.
func TestExitCodesAndCommandsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/parsleyctl.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, code := range []int{program.ExitOK, program.ExitFailed, program.ExitUsage, ExitInvalid, ExitConflict, ExitNotReconciled, ExitNoLeader, ExitUnauthorized} {
		if !strings.Contains(string(page), fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("parsleyctl.md does not list exit code %d", code)
		}
	}
	for _, c := range commands {
		if !strings.Contains(string(page), "| `"+c.name) {
			t.Errorf("parsleyctl.md does not list command %s", c.name)
		}
	}
	for code, exit := range exitCodes {
		if nextSteps[code] == "" && exit != program.ExitUsage {
			t.Errorf("failure code %s has no next step", code)
		}
	}
}
