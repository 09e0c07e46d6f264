package program

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/settings"
)

type testSettings struct {
	Name string `json:"name"`
}

func (s *testSettings) Check(c *settings.Checker) { c.Require(s.Name != "", "name", "a name") }

// startReloader runs a Reloader on a file with the content text, for a program
// that started with the content initial. Applied names are sent to applied.
func startReloader(t *testing.T, initial, text string) (path string, applied chan string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings.jsonc")
	writeFile(t, path, text)
	applied = make(chan string, 8)
	r := Reloader{
		Defaults: func() settings.Checked { return &testSettings{} },
		Apply:    func(c settings.Checked) { applied <- c.(*testSettings).Name },
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	ready := make(chan struct{})
	r.onWatching = func() { close(ready) }
	go r.watch(ctx, path, []byte(initial), logrus.NewEntry(log))
	<-ready
	return path, applied
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func sendHangUp(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

func expectApplied(t *testing.T, applied chan string, want string) {
	t.Helper()
	select {
	case got := <-applied:
		if got != want {
			t.Errorf("applied %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("settings %q not applied within 10 s", want)
	}
}

func TestHangUpReloadsSettings(t *testing.T) {
	path, applied := startReloader(t, `{"name": "a"}`, `{"name": "a"}`)
	sendHangUp(t)
	expectApplied(t, applied, "a")
	writeFile(t, path, `{"name": ""}`)
	sendHangUp(t)
	writeFile(t, path, "{\"name\": \"b\"} // valid again\n")
	sendHangUp(t)
	expectApplied(t, applied, "b")
}

func TestChangedFileIsReloadedWithoutASignal(t *testing.T) {
	path, applied := startReloader(t, `{"name": "a"}`, `{"name": "a"}`)
	writeFile(t, path, `{"name": "b"}`)
	expectApplied(t, applied, "b")
}

func TestChangeDuringStartupIsApplied(t *testing.T) {
	_, applied := startReloader(t, `{"name": "a"}`, `{"name": "b"}`)
	expectApplied(t, applied, "b")
}

func TestSettingsReloadedWhileAServerStartsAreApplied(t *testing.T) {
	var target ReloadTarget[string]
	var applied []string
	target.Apply("a")
	target.Apply("b")
	target.Started(func(name string) { applied = append(applied, name) })
	target.Apply("c")
	if want := []string{"b", "c"}; !slices.Equal(applied, want) {
		t.Errorf("applied %v, want %v", applied, want)
	}
}
