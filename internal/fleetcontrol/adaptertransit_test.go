package fleetcontrol

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// transitEngine accepts a second order for an adapter that it loads, without advancing its
// sequence.
type transitEngine struct{ *fakeEngine }

func (e transitEngine) Order(ctx context.Context, address, id string, o Order, mayWrite func() bool) (OrderResult, error) {
	e.mu.Lock()
	loads := o.Load && e.held[o.Model][o.Adapter]
	e.mu.Unlock()
	if loads {
		e.orders++
		return OrderAccepted, nil
	}
	return e.fakeEngine.Order(ctx, address, id, o, mayWrite)
}

// TestAdapterInTransitIsNotOrderedAgain guards against an engine that accepts no further order,
// because its sequence was taken to advance with a second order for the same adapter.
func TestAdapterInTransitIsNotOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}}}
		l, _ := newTestLeader(t, f, HeldModel{Name: "m0"})
		// The first report of the engine is read in the background.
		synctest.Wait()
		l.s.deps.Platform = transitEngine{f}
		more := newAdapterRequest("m0", "a6")
		more.additional = true
		var requests sync.WaitGroup
		for _, req := range []adapterRequest{newAdapterRequest("m0", "a6"), more, newAdapterRequest("m0", "a7")} {
			requests.Go(func() {
				if got := l.ensureAdapter(t.Context(), req); got != "e" {
					t.Errorf("adapter %s is on %q, want e", req.adapter, got)
				}
			})
			time.Sleep(time.Millisecond)
		}
		requests.Wait()
		if f.orders != 2 || f.sequence != 2 {
			t.Errorf("%d orders, sequence %d; want 2, one for each adapter", f.orders, f.sequence)
		}
	})
}
