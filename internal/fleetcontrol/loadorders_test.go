package fleetcontrol

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/state"
)

// answeringEngine responds to the first order that it gets, or to none, and carries out none.
type answeringEngine struct {
	*restartingEngine
	result OrderResult
}

func (a *answeringEngine) Order(_ context.Context, _, _ string, _ Order, mayWrite func() bool) (OrderResult, error) {
	if !mayWrite() {
		return OrderNotSent, nil
	}
	return a.result, nil
}

// refreshNow makes the engine report r, and reads it.
func refreshNow(t *testing.T, e *engineState, engine *restartingEngine, r Report) {
	t.Helper()
	engine.report.Store(&r)
	if _, err := e.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// nextLeader returns the leaderState of the replica after the one of former, which knows what
// the group has committed.
func nextLeader(t *testing.T, former *leaderState, replica string) *leaderState {
	t.Helper()
	s := former.s
	if replica != s.cfg.ID {
		s = &Server{cfg: s.cfg, log: s.log, intents: newOrderIntents(), deps: s.deps, clock: s.clock, node: s.node}
		s.cfg.ID = replica
		s.leads.Store(7)
	}
	s.refreshIntents(t.Context())
	next := newLeaderState(t.Context(), s, former.term)
	next.doc = testDocument()
	return next
}

// TestOrderOfAnEarlierLeaderKeepsItsRoomAfterARestart guards against an engine that gets more
// than it holds, because an order that an earlier leader sent to its former process arrives.
func TestOrderOfAnEarlierLeaderKeepsItsRoomAfterARestart(t *testing.T) {
	full := []HeldModel{{Name: "m1"}, {Name: "m3"}}
	places := []HeldModel{{Name: "m0", Adapters: []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7"}}}
	m0, m2 := Order{Load: true, Model: "m0"}, Order{Load: true, Model: "m2"}
	a0, a8 := Order{Load: true, Model: "m0", Adapter: "a0"}, Order{Load: true, Model: "m0", Adapter: "a8"}
	restarted := Report{Sequence: 1, StartedUnixMs: 2000, Models: full}
	for _, c := range []struct {
		name string
		// next is the replica that leads after a.
		next   string
		order  Order
		answer OrderResult
		// report is that of the engine at the next leader, after a time.
		report Report
		after  time.Duration
		// other needs the last place.
		other Order
		want  bool
	}{
		{"model", "b", m0, OrderUnknown, restarted, 0, m2, false},
		{"the same replica leads again", "a", m0, OrderUnknown, restarted, 0, m2, false},
		{"adapter", "b", a0, OrderUnknown, Report{Sequence: 1, StartedUnixMs: 2000, Models: places}, 0, a8, false},
		{"late but possible", "b", m0, OrderUnknown, restarted, lateOrderTTL - time.Second, m2, false},
		{"too late", "b", m0, OrderUnknown, restarted, lateOrderTTL + intentValidity, m2, true},
		{"the same process", "b", m0, OrderUnknown, Report{Sequence: 2, StartedUnixMs: 1000, Models: full}, 0, m2, true},
		{"beyond its sequence", "b", m0, OrderUnknown, Report{Sequence: 3, StartedUnixMs: 2000, Models: full}, 0, m2, true},
		{"rejected", "b", m0, OrderRejected, restarted, 0, m2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &answeringEngine{&restartingEngine{fakeEngine: &fakeEngine{}}, c.answer}
				engine.report.Store(&Report{})
				former := newReplicatedLeader(t, "a", engine)
				listed := []ListedEndpoint{{ID: "e", Service: "s", Address: "192.0.2.1:80", Slots: 24}}
				former.applyList(listed)
				e := former.engines["e"]
				refreshNow(t, e, engine.restartingEngine, Report{Sequence: 2, StartedUnixMs: 1000, Models: []HeldModel{{Name: "m0"}}})
				if result := e.sendOrder(t.Context(), c.order); result != c.answer {
					t.Fatalf("order %v, want %v", result, c.answer)
				}
				former.withdrawLoads(t.Context())
				next := nextLeader(t, former, c.next)
				time.Sleep(c.after)
				next.applyList(listed)
				refreshNow(t, next.engines["e"], engine.restartingEngine, c.report)
				next.mu.Lock()
				defer next.mu.Unlock()
				if got := next.engines["e"].fits(c.other); got != c.want {
					t.Errorf("the last place is free: %v, want %v", got, c.want)
				}
			})
		})
	}
}

// TestAnnouncedOrdersAreWithdrawn guards against orders to load that stay in the replicated state.
func TestAnnouncedOrdersAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &answeringEngine{&restartingEngine{fakeEngine: &fakeEngine{}}, OrderUnknown}
		engine.report.Store(&Report{StartedUnixMs: 1000})
		former := newReplicatedLeader(t, "a", engine)
		former.applyList([]ListedEndpoint{{ID: "e", Service: "s", Address: "192.0.2.1:80"}})
		loadUntilSent(t, former.engines["e"], "m0")
		next := nextLeader(t, former, "b")
		for _, l := range []*leaderState{former, next} {
			announced := func() (n int) {
				l.withdrawLoads(t.Context())
				if err := l.s.node.ReadStale(t.Context(), func(m *state.Machine) { n = len(m.LoadOrders()) }); err != nil {
					t.Fatal(err)
				}
				return n
			}
			if n := announced(); n != 1 {
				t.Fatalf("%d announced orders, want the one without a response", n)
			}
			if l == former {
				continue
			}
			time.Sleep(lateOrderTTL + intentValidity)
			if n := announced(); n != 0 {
				t.Errorf("%d announced orders after the time in which one may arrive, want none", n)
			}
		}
	})
}

// TestEnginesThatWaitForACommitShareIt guards against loads that wait for a commit of each other
// engine.
func TestEnginesThatWaitForACommitShareIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newReplicatedLeader(t, "a", newOrderRecorder())
		l.commitIntent(t.Context(), ListedEndpoint{ID: "e-0", Address: "e-0:80"})
		before := appliedIndex(t, l)
		var engines []ListedEndpoint
		for _, id := range []string{"e-1", "e-2", "e-3", "e-4"} {
			engines = append(engines, ListedEndpoint{ID: id, Address: id + ":80"})
			l.announced.request(engines[len(engines)-1])
		}
		for _, x := range engines {
			if !l.commitIntent(t.Context(), x) {
				t.Errorf("no intent for %s", x.ID)
			}
		}
		if n := appliedIndex(t, l) - before; n != 1 {
			t.Errorf("%d commits for four engines that wait, want 1", n)
		}
	})
}

func appliedIndex(t *testing.T, l *leaderState) (index uint64) {
	t.Helper()
	if err := l.s.node.ReadStale(t.Context(), func(m *state.Machine) { index = m.AppliedIndex() }); err != nil {
		t.Fatal(err)
	}
	return index
}
