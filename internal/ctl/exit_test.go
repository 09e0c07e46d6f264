package ctl

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"parsleyramp/internal/program"
)

// TestExitCodesAreDocumented compares the operators' page with the code.
func TestExitCodesAndCommandsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/parsleyctl.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, code := range []int{program.ExitOK, program.ExitFailed, program.ExitUsage, ExitInvalid, ExitConflict, ExitNotReconciled, ExitNoLeader, ExitUnauthorized} {
		if !strings.Contains(string(page), fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("exit code %d is not on the page", code)
		}
	}
	for _, c := range commands {
		if !strings.Contains(string(page), "| `"+c.name) {
			t.Errorf("command %s is not on the page", c.name)
		}
	}
	for code, exit := range exitCodes {
		if nextSteps[code] == "" && exit != program.ExitUsage {
			t.Errorf("failure %s has no next step", code)
		}
	}
}
