package fleetcontrol

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// restartingEngine reports a process that has just started, with nothing of the one before.
type restartingEngine struct {
	*fakeEngine
	report atomic.Pointer[Report]
}

func (r *restartingEngine) Report(context.Context, string, string) (*Report, error) {
	return r.report.Load(), nil
}

func TestEngineThatStartedAgainUnderItsIDIsNotTakenForItsFormerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, e := newTestLeader(t, &fakeEngine{})
		engine := &restartingEngine{}
		engine.report.Store(&Report{Sequence: 5, StartedUnixMs: 1000, Models: []HeldModel{{Name: "m0"}}})
		l.s.deps.Platform = engine
		refresh := func() {
			t.Helper()
			if _, err := e.refresh(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		refresh()
		if e.sequence != 5 || e.held["m0"] == nil {
			t.Fatalf("sequence %d, models %v, want those of the report", e.sequence, e.held)
		}
		engine.report.Store(&Report{StartedUnixMs: 2000})
		refresh()
		if e.sequence != 0 || len(e.held) != 0 {
			t.Errorf("sequence %d, models %v after the restart, want none", e.sequence, e.held)
		}
		engine.report.Store(&Report{Sequence: 6, StartedUnixMs: 1000, Models: []HeldModel{{Name: "m0"}}})
		refresh()
		if e.sequence != 0 || len(e.held) != 0 {
			t.Errorf("sequence %d, models %v by a late report of the former process, want none", e.sequence, e.held)
		}
		time.Sleep(2 * listLag)
		l.applyList([]ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: 24, StartedUnixMs: 1000, Models: []HeldModel{{Name: "m0"}}}})
		if len(e.held) != 0 {
			t.Errorf("models %v by a late list, want none", e.held)
		}
	})
}

func TestOrderToAProcessThatHasEndedIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, e := newTestLeader(t, &fakeEngine{})
		engine := &restartingEngine{}
		engine.report.Store(&Report{StartedUnixMs: 1000})
		l.s.deps.Platform = engine
		if _, err := e.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, func() { engine.report.Store(&Report{StartedUnixMs: 2000}) })
		started := time.Now()
		if e.awaitEffect(t.Context(), true, "m0", time.Second) {
			t.Error("the order has taken effect at a process that holds nothing")
		}
		if took := time.Since(started); took > 3*time.Second {
			t.Errorf("waited %v for a process that ended after 1 s", took)
		}
	})
}

// silentEngine carries out no order, and responds to none.
type silentEngine struct{ *restartingEngine }

func (silentEngine) Order(context.Context, string, string, Order, func() bool) (OrderResult, error) {
	return OrderUnknown, nil
}

// TestOrderToAFormerProcessKeepsItsRoomAtTheNext guards against an engine that gets more than it
// holds, because an order without a response arrives after a restart under the same id.
func TestOrderToAFormerProcessKeepsItsRoomAtTheNext(t *testing.T) {
	for _, c := range []struct {
		name string
		// relisted is whether the engine leaves the list before it comes back.
		relisted bool
		// sequence is that of the new process.
		sequence uint64
		after    time.Duration
		want     bool
	}{
		{"its sequence may come again", false, 1, 0, false},
		{"it was off the list", true, 1, 0, false},
		{"the new process is beyond its sequence", false, 3, 0, true},
		{"it was sent too long ago", false, 1, lateOrderTTL, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, e := newTestLeader(t, &fakeEngine{})
				engine := silentEngine{&restartingEngine{fakeEngine: &fakeEngine{}}}
				l.s.deps.Platform = engine
				refresh := func(r Report) {
					t.Helper()
					engine.report.Store(&r)
					if _, err := e.refresh(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				refresh(Report{Sequence: 2, StartedUnixMs: 1000})
				// The engine has room for three of the models.
				if result := e.sendOrder(t.Context(), Order{Load: true, Model: "m0"}); result != OrderUnknown {
					t.Fatalf("order %v, want an unknown outcome", result)
				}
				if c.relisted {
					l.applyList(nil)
					l.applyList([]ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: 24}})
					e = l.engines["e"]
				}
				time.Sleep(c.after)
				refresh(Report{Sequence: c.sequence, StartedUnixMs: 2000, Models: []HeldModel{{Name: "m1"}, {Name: "m3"}}})
				l.mu.Lock()
				defer l.mu.Unlock()
				if got := e.fits(Order{Load: true, Model: "m2"}); got != c.want {
					t.Errorf("a third model fits: %v, want %v", got, c.want)
				}
			})
		})
	}
}
