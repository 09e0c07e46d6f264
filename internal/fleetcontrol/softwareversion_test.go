package fleetcontrol

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestSoftwareOfARestartedProcessIsUnknownUntilItIsListed(t *testing.T) {
	for _, c := range []struct {
		name string
		// listed is the start that entries name after the restart.
		listed int64
		wait   time.Duration
		want   string
	}{
		{"not listed yet", 1000, 2 * listLag, ""},
		{"listed with its start", 2000, 0, "v1.1"},
		{"entries name no start, and lag", 0, listLag / 2, ""},
		{"entries name no start", 0, listLag, "v1.1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, e := newTestLeader(t, &fakeEngine{})
				list := func(version string, started int64) {
					l.applyList([]ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: 24, Version: version, StartedUnixMs: started}})
				}
				list("v1", 1000)
				if e.version.known != "v1" {
					t.Fatalf("version %q, want v1", e.version.known)
				}
				l.mu.Lock()
				e.observeStart(2000)
				l.mu.Unlock()
				if e.version.known != "" || e.runs("v1") {
					t.Errorf("version %q right after the restart, want none", e.version.known)
				}
				time.Sleep(c.wait)
				list("v1.1", c.listed)
				if e.version.known != c.want {
					t.Errorf("version %q, want %q", e.version.known, c.want)
				}
			})
		})
	}
}
