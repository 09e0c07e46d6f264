package control_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"parsleyramp/internal/control"
	"parsleyramp/internal/ctl"
	"parsleyramp/internal/program"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/testnet"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestNoTokenIsLogged applies a section with the right token and with a wrong
// one. Neither may appear in the logs of the control replica or in the output of
// parsleyctl.
func TestNoTokenIsLogged(t *testing.T) {
	const right, wrong = "right-hush-4711", "wrong-hush-4712"
	cfg := control.DefaultSettings()
	cfg.Address, cfg.Domain, cfg.DataFolder, cfg.LiveList = testnet.Address(t), "domain-1", t.TempDir(), testnet.Address(t)
	cfg.TeamTokens = map[string]settings.Secret{"desk": right}
	logs := &lockedBuffer{}
	ctx, cancel := context.WithCancel(t.Context())
	log := telemetry.NewLogger(telemetry.Settings{LogLevel: "trace"}, logs, "parsleyramp-control", cfg.Address)
	log.WithField("settings", cfg).Info("settings read")
	s, err := control.Start(ctx, cfg, 1, log)
	if err != nil {
		t.Fatal(err)
	}
	section := filepath.Join(t.TempDir(), "section.json")
	text := `{"team": "desk", "models": [{"name": "note", "version": "1", "memory_mb": 10, "replicas": 1}], "classes": [{"name": "counter", "first_token_ms": 690}]}`
	if err := os.WriteFile(section, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	run := func(token string, want bool, args ...string) {
		t.Helper()
		var printed bytes.Buffer
		all := append([]string{"-control", cfg.Address, "-token", token, "-timeout", "30s"}, args...)
		code := ctl.Main(context.Background(), all, &printed, &printed)
		fmt.Fprint(logs, printed.String())
		if (code == program.ExitOK) != want {
			t.Fatalf("parsleyctl %v: exit code %d: %s", args, code, printed.String())
		}
	}
	run(right, true, "bootstrap")
	run(right, true, "apply", section)
	run(wrong, false, "apply", section)
	if err := s.Shutdown(context.Background(), cancel); err != nil {
		t.Fatal(err)
	}
	if text := logs.String(); strings.Contains(text, "hush") || !strings.Contains(text, "control started") {
		t.Fatalf("the output contains a token, or the log line of the start is missing:\n%s", text)
	}
}
