package fleetcontrol

import (
	"testing"
	"testing/synctest"

	"parsleyramp/internal/wire"
)

func TestEndpointThatStatesThatItLeavesIsPublishedAsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, e := newTestLeader(t, &fakeEngine{})
		report := &wire.SyncRequest{Gateway: &wire.Gateway{Id: "g"}, Leaving: []string{"e", "unknown"}}
		l.sync(report)
		l.mu.Lock()
		defer l.mu.Unlock()
		if !e.toWire().Leaving || !e.plannerInput(l.doc.Services[0].Engine, 0).Unavailable {
			t.Error("the endpoint is neither published as leaving nor replaced by placement")
		}
		e.observeStart(1 << 40)
		e.observeStart(1<<40 + 1)
		if e.toWire().Leaving {
			t.Error("a new process under the id is taken for leaving")
		}
	})
}
