package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSlowProcessReadsTheSettingsOfItsFirstStart guards against seeds that never form a group,
// because they had not read their settings when those of the next start were written.
func TestSlowProcessReadsTheSettingsOfItsFirstStart(t *testing.T) {
	dir := t.TempDir()
	n := &node{name: "control-0", program: "slow", folder: filepath.Join(dir, "control-0")}
	script := fmt.Sprintf("#!/bin/sh\nsleep 0.5\ncp \"$2\" %[1]s/read.json\nmkdir %[1]s/control-0\ntouch %[1]s/control-0/identity.json\n", dir)
	if err := os.WriteFile(filepath.Join(dir, n.program), []byte(script), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := (&system{dir: dir, bin: dir}).launch(n, map[string]any{"first_start": true}); err != nil {
		t.Fatal(err)
	}
	read, err := os.ReadFile(filepath.Join(dir, "read.json"))
	if err != nil || !strings.Contains(string(read), `"first_start":true`) {
		t.Errorf("the process read %s, %v; want its first start", read, err)
	}
	next, err := os.ReadFile(n.settings)
	if err != nil || !strings.Contains(string(next), `"first_start":false`) {
		t.Errorf("the settings of the next start are %s, %v", next, err)
	}
}
