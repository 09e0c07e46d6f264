package fleetcontrol

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/journal"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// discardStorage stores nothing, and discardSender sends nothing: a group of one
// replica needs neither.
type discardStorage struct{}

func (discardStorage) Save(*wire.HardState, []*wire.LogEntry) error { return nil }

func (discardStorage) SaveSnapshot(*wire.Snapshot, *wire.HardState, []*wire.LogEntry) error {
	return nil
}

type discardSender struct{}

func (discardSender) Send([]*wire.RaftMessage, *wire.Membership) {}

// orderRecorder records when each holder sent its orders to a fakeEngine.
type orderRecorder struct {
	*fakeEngine
	// pause is the time that passes in the sender before it writes an order.
	pause time.Duration
	mu    sync.Mutex
	sent  map[string][]time.Time
}

func newOrderRecorder() *orderRecorder {
	return &orderRecorder{fakeEngine: &fakeEngine{held: map[string]map[string]bool{}}, sent: map[string][]time.Time{}}
}

func (r *orderRecorder) Order(ctx context.Context, address, id string, o Order, mayWrite func() bool) (OrderResult, error) {
	time.Sleep(r.pause)
	if !mayWrite() {
		return OrderNotSent, nil
	}
	r.mu.Lock()
	r.sent[o.Holder] = append(r.sent[o.Holder], time.Now())
	r.mu.Unlock()
	return r.fakeEngine.Order(ctx, address, id, o, mayWrite)
}

// newReplicatedLeader returns the state of the leader of a group of one replica,
// which commits its order intents.
func newReplicatedLeader(t *testing.T, holder string, p Platform) *leaderState {
	t.Helper()
	start := time.Now()
	s := &Server{
		cfg: DefaultSettings(), log: testLog(), intents: newOrderIntents(), deps: Dependencies{Platform: p},
		clock: func() time.Duration { return time.Since(start) },
	}
	s.cfg.ID = holder
	var err error
	s.node, err = replica.NewNode(replica.Options{
		Recovered: &journal.Recovered{Identity: journal.Identity{ID: 1}}, Storage: discardStorage{}, Sender: discardSender{},
		Consensus: s.cfg.consensusConfig(), SnapshotEntries: s.cfg.SnapshotEntries, Now: s.clock, Seed: 1, Log: s.log,
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.node.Run(t.Context()) }()
	if err := s.node.Bootstrap(t.Context(), &wire.Membership{Replicas: []*wire.Replica{{Id: 1}}}); err != nil {
		t.Fatal(err)
	}
	for {
		if term, ok := s.leadingTerm(t.Context()); ok {
			l := newLeaderState(t.Context(), s, term)
			l.doc = testDocument()
			return l
		}
		time.Sleep(leaderCheckInterval)
	}
}

// observeIntentsOf makes the replica of next observe the intents that the group of
// former has committed.
func observeIntentsOf(t *testing.T, next, former *leaderState) {
	t.Helper()
	err := former.s.node.ReadStale(t.Context(), func(m *state.Machine) {
		next.s.intents.observe(m.AppliedIndex(), m.OrderIntents(), next.s.clock())
	})
	if err != nil {
		t.Fatal(err)
	}
}

// loadUntilSent orders the model until the order is sent.
func loadUntilSent(t *testing.T, e *engineState, model string) {
	t.Helper()
	for range 100 {
		if e.ensureSequence(t.Context()) && e.sendOrder(t.Context(), Order{Load: true, Model: model}) != OrderNotSent {
			return
		}
		time.Sleep(intentPollInterval)
	}
	t.Fatal("the order was never sent")
}

func TestNewLeaderWaitsOutOrdersToFormerIncarnationAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOrderRecorder()
		former, next := newReplicatedLeader(t, "a", r), newReplicatedLeader(t, "b", r)
		// The engine at the address has restarted, which only the list of the next leader shows.
		former.applyList([]ListedEndpoint{{ID: "e-1", Service: "s", Address: "192.0.2.1:80"}})
		loadUntilSent(t, former.engines["e-1"], "m0")
		observeIntentsOf(t, next, former)
		next.applyList([]ListedEndpoint{{ID: "e-2", Service: "s", Address: "192.0.2.1:80"}})
		loadUntilSent(t, next.engines["e-2"], "m1")
		if gap := r.sent["b"][0].Sub(slices.MaxFunc(r.sent["a"], time.Time.Compare)); gap < next.s.cfg.OrderLease.D() {
			t.Errorf("orders of a and b to one address within %v, want the order lease between them", gap)
		}
	})
}

func TestOrderIsNotWrittenAfterPauseBeyondItsIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOrderRecorder()
		r.pause = 2 * intentValidity
		l := newReplicatedLeader(t, "a", r)
		l.applyList([]ListedEndpoint{{ID: "e", Service: "s", Address: "192.0.2.1:80"}})
		e := l.engines["e"]
		e.probe(t.Context())
		result := e.sendOrder(t.Context(), Order{Load: true, Model: "m0"})
		if len(r.sent["a"]) != 0 || result != OrderNotSent {
			t.Errorf("result %v, %d orders written %v after the check, want not_sent and no order", result, len(r.sent["a"]), r.pause)
		}
	})
}

func TestDelayedReadOfIntentsDoesNotMakeEngineAvailable(t *testing.T) {
	const lease = 3 * time.Second
	intents := newOrderIntents()
	intents.observe(9, []*wire.OrderNote{{Endpoint: "e", Holder: "b", Index: 9}}, 10*time.Second)
	for _, delayed := range [][]*wire.OrderNote{{{Endpoint: "e", Holder: "a", Index: 5}}, nil} {
		intents.observe(8, delayed, 10*time.Second)
		if got := intents.availableAt("e", "a", lease); got < 10*time.Second+lease {
			t.Errorf("engine available to a at %v after the intent of b was observed at 10s, want the order lease after it", got)
		}
	}
}

func TestEngineThatIsNoLongerListedGetsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOrderRecorder()
		l := newReplicatedLeader(t, "a", r)
		l.applyList([]ListedEndpoint{{ID: "e-1", Service: "s", Address: "192.0.2.1:80"}})
		e := l.engines["e-1"]
		e.probe(t.Context())
		l.applyList([]ListedEndpoint{{ID: "e-2", Service: "s", Address: "192.0.2.1:80"}})
		if result := e.sendOrder(t.Context(), Order{Load: true, Model: "m0"}); len(r.sent["a"]) != 0 || result != OrderNotSent {
			t.Errorf("result %v, %d orders sent to an engine that is no longer listed, want not_sent and no order", result, len(r.sent["a"]))
		}
	})
}

// roomRecorder records the orders that arrive at a fakeEngine without room for them,
// whether the engine accepts them or not.
type roomRecorder struct {
	*fakeEngine
	beyondRoom []string
}

func (r *roomRecorder) Order(ctx context.Context, address, id string, o Order, mayWrite func() bool) (OrderResult, error) {
	r.mu.Lock()
	r.completeLoad()
	if o.Load && !fitsLimits(testDocument().Services[0].Engine, r.held, nil, []string{r.loading}, o) {
		r.beyondRoom = append(r.beyondRoom, fmt.Sprintf("%s of %s onto %v and %q", o.Model, o.Holder, r.held, r.loading))
	}
	r.mu.Unlock()
	return r.fakeEngine.Order(ctx, address, id, o, mayWrite)
}

// TestNewLeaderDoesNotOrderByReportOlderThanTheLastOrderOfTheLeaderBefore guards against
// a load for which the engine has no room, because another one is on its way that the
// new leader's only report is too old to show.
func TestNewLeaderDoesNotOrderByReportOlderThanTheLastOrderOfTheLeaderBefore(t *testing.T) {
	for _, next := range []string{"b", "a"} {
		t.Run("replica a, then "+next, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &fakeEngine{loadTime: 10 * time.Second, held: map[string]map[string]bool{"m0": {}, "m1": {}}}
				engine.recordReport(time.Now())
				r := &roomRecorder{fakeEngine: engine}
				former, later := newReplicatedLeader(t, "a", r), newReplicatedLeader(t, next, r)
				listed := []ListedEndpoint{{ID: "e", Service: "s", Address: "192.0.2.1:80", Models: []HeldModel{{Name: "m0"}, {Name: "m1"}}}}
				former.applyList(listed)
				loadUntilSent(t, former.engines["e"], "m2")
				observeIntentsOf(t, later, former)
				later.startedAt = later.s.clock()
				later.applyList(listed)
				for range 60 {
					if e := later.engines["e"]; e.ensureSequence(t.Context()) {
						e.sendOrder(t.Context(), Order{Load: true, Model: "m3"})
					}
					time.Sleep(intentPollInterval)
				}
				if len(r.beyondRoom) > 0 {
					t.Errorf("ordered %s: the engine still loads for the leader before", r.beyondRoom[0])
				}
			})
		})
	}
}
