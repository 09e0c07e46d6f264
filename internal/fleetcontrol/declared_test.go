package fleetcontrol

import (
	"fmt"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"

	"parsleyramp/internal/wire"
)

// TestModelsThatNoServiceDeclaresAreNotRemembered guards against clients that take the leader's memory with names of models.
func TestModelsThatNoServiceDeclaresAreNotRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
		l.s.leader.Store(l)
		for i := range 100 {
			name := fmt.Sprint("undeclared-", i)
			l.sync(&wire.SyncRequest{Gateway: &wire.Gateway{Id: "g"}, Demand: []*wire.ModelDemand{{Model: name, Adapter: name, Arrivals: 1, PlaceMs: 2000}}})
			if _, err := (&fleetService{l.s}).Want(t.Context(), connect.NewRequest(&wire.WantRequest{Service: "s", Model: name, Adapter: name})); err != nil {
				t.Fatal(err)
			}
			l.mu.Lock()
			if slots := l.demand.Slots(name, l.s.clock()); slots != 0 {
				t.Errorf("the demand for %s is %v slots, want 0", name, slots)
			}
			l.mu.Unlock()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if n := len(l.requestedUntil) + len(l.waits) + len(l.jobs); n != 0 || len(l.demand.RecentAdapters(l.s.clock())) != 0 {
			t.Errorf("%d requests of undeclared models are remembered, want none", n)
		}
	})
}
