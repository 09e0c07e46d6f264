package fleetcontrol

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/residency"
	"parsleyramp/internal/wire"
)

func testLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func testDocument() *document.Document {
	e := &document.Engine{Slots: 24, WeightsMB: 200e3, AdapterSlots: 8, LoadsPerSecond: 3}
	for i := range 4 {
		e.Models = append(e.Models, document.Model{Name: fmt.Sprintf("m%d", i), WeightsMB: 65e3, Load: time.Second, Adapters: 10, AdapterMB: 66})
	}
	return &document.Document{Version: 1, Services: []document.Service{{Name: "s", Engine: e}}}
}

// fakeEngine enforces the limits of an engine: its memory and adapter slots, its
// order sequence, and one model order at a time. An order whose response is lost
// may be executed later. Reports are reportDelay old.
type fakeEngine struct {
	mu       sync.Mutex
	sequence uint64
	held     map[string]map[string]bool
	delayed  []Order
	// loading is the model that is loaded at doneAt; loadTime is the time that a
	// load takes.
	loading  string
	doneAt   time.Time
	loadTime time.Duration
	reported []timedReport
	// overcommitted describes the first order to load more than the engine has room for,
	// also if it was rejected.
	overcommitted string
	orders        int
	// inUseUntil is until when requests use adapters, by name. One that is unloaded before
	// then keeps its place until then.
	inUseUntil map[string]time.Time
	// loseResponse delays an order, and loseAcceptance executes it; both lose the response.
	loseResponse, loseAcceptance func() bool
}

type timedReport struct {
	from time.Time
	r    *Report
}

// reportDelay is the age of a report. It is less than reportLag.
const reportDelay = 200 * time.Millisecond

// completeLoad adds the loading model to the held ones if doneAt has passed, and drops the
// adapters that no request uses any more.
func (f *fakeEngine) completeLoad() {
	for _, adapters := range f.held {
		for a, inUse := range adapters {
			if !inUse && !time.Now().Before(f.inUseUntil[a]) {
				delete(adapters, a)
				f.recordReport(f.inUseUntil[a])
			}
		}
	}
	if f.loading == "" || time.Now().Before(f.doneAt) {
		return
	}
	if f.held[f.loading] == nil {
		f.held[f.loading] = map[string]bool{}
	}
	f.loading = ""
	f.recordReport(f.doneAt)
}

// recordReport records the current state as the report from the time on.
func (f *fakeEngine) recordReport(from time.Time) {
	f.reported = append(f.reported, timedReport{from: from, r: f.report()})
}

func (f *fakeEngine) accept(o Order) OrderResult {
	f.completeLoad()
	if o.ExpectedSequence != f.sequence || f.loading != "" && o.Adapter == "" {
		return OrderConflict
	}
	if len(f.reported) == 0 {
		f.recordReport(time.Time{})
	}
	defer func() { f.recordReport(time.Now()) }()
	f.checkRoom(o)
	f.sequence++
	switch {
	case o.Load && o.Adapter == "" && f.held[o.Model] == nil:
		f.loading, f.doneAt = o.Model, time.Now().Add(f.loadTime)
		f.completeLoad()
	case o.Load && o.Adapter == "":
	case o.Load && f.held[o.Model] != nil:
		f.held[o.Model][o.Adapter] = true
	case o.Adapter == "":
		delete(f.held, o.Model)
	case time.Now().Before(f.inUseUntil[o.Adapter]):
		f.held[o.Model][o.Adapter] = false
	case f.held[o.Model] != nil:
		delete(f.held[o.Model], o.Adapter)
		return OrderSatisfied
	}
	return OrderAccepted
}

// checkRoom records an order to load more than the engine has room for.
func (f *fakeEngine) checkRoom(o Order) {
	d := testDocument().Services[0].Engine
	if o.Load && !fitsLimits(d, f.held, nil, []string{f.loading}, o) && f.overcommitted == "" {
		f.overcommitted = fmt.Sprintf("%+v onto %v", o, f.held)
	}
}

// executeDelayed executes the orders whose response was lost, if the engine still
// accepts them.
func (f *fakeEngine) executeDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.delayed {
		f.accept(o)
	}
	f.delayed = nil
}

func (f *fakeEngine) Endpoints(context.Context) ([]ListedEndpoint, error) { return nil, nil }

func (f *fakeEngine) Report(context.Context, string, string) (*Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completeLoad()
	for _, x := range slices.Backward(f.reported) {
		if time.Since(x.from) >= reportDelay {
			return x.r, nil
		}
	}
	return f.report(), nil
}

// report returns the current state of the engine.
func (f *fakeEngine) report() *Report {
	r := &Report{Sequence: f.sequence, Busy: f.loading != ""}
	for name, adapters := range f.held {
		m := HeldModel{Name: name}
		for a := range adapters {
			m.Adapters = append(m.Adapters, a)
		}
		r.Models = append(r.Models, m)
	}
	return r
}

func (f *fakeEngine) Order(_ context.Context, _, _ string, o Order, mayWrite func() bool) (OrderResult, error) {
	if !mayWrite() {
		return OrderNotSent, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	if f.loseResponse != nil && f.loseResponse() {
		f.delayed = append(f.delayed, o)
		return OrderUnknown, io.ErrUnexpectedEOF
	}
	f.completeLoad()
	f.checkRoom(o)
	if f.loseAcceptance != nil && f.loseAcceptance() {
		f.accept(o)
		return OrderUnknown, io.ErrUnexpectedEOF
	}
	return f.accept(o), nil
}

// newAdapterRequest returns a request for an adapter of the test's service.
func newAdapterRequest(model, adapter string) adapterRequest {
	return adapterRequest{service: "s", adapterName: adapterName{model, adapter}}
}

// newTestLeader returns the state of a leader that may send orders, and of its
// only engine, which holds the models.
func newTestLeader(t *testing.T, f *fakeEngine, models ...HeldModel) (*leaderState, *engineState) {
	start := time.Now()
	s := &Server{
		cfg: DefaultSettings(), log: testLog(), intents: newOrderIntents(), deps: Dependencies{Platform: f},
		clock: func() time.Duration { return time.Since(start) },
	}
	l := newLeaderState(t.Context(), s, 1)
	l.doc = testDocument()
	l.orderAllowed = func(context.Context, ListedEndpoint) (time.Duration, bool) { return math.MaxInt64, true }
	l.applyList([]ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: 24, Models: models}})
	return l, l.engines["e"]
}

// plannerInputOf returns the planner's input for an engine of the test's service.
func plannerInputOf(e *engineState, now time.Duration) residency.Engine {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	return e.plannerInput(e.leader.doc.Services[0].Engine, now)
}

func TestEmptyEngineIsPlanned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{}}
		_, e := newTestLeader(t, f)
		planned := plannerInputOf(e, time.Second)
		if planned.Unavailable || planned.Busy {
			t.Errorf("planner input = %+v, want an engine without models to be available", planned)
		}
		e.stepInFlight, e.loading = true, "m0"
		e.executeStep(t.Context(), residency.Step{Engine: "e", Load: "m0"})
		if f.held["m0"] == nil || e.held["m0"] == nil || e.stepInFlight {
			t.Errorf("engine holds %v, leader state has %v, step in flight %v; want m0 in both and no step", f.held, e.held, e.stepInFlight)
		}
	})
}

func TestLaggingListDoesNotOverrideRecentOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{}}
		l, e := newTestLeader(t, f)
		e.stepInFlight, e.loading = true, "m0"
		e.executeStep(t.Context(), residency.Step{Engine: "e", Load: "m0"})
		lagging := []ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: 24}}
		l.applyList(lagging)
		if e.held["m0"] == nil {
			t.Error("a lagging list removed a model that a recent order loaded")
		}
		time.Sleep(listLag + time.Second)
		l.applyList(lagging)
		if e.held["m0"] != nil || e.sequenceKnown {
			t.Error("the leader still assumes models that are no longer listed")
		}
	})
}

func TestStepExceedingMemoryIsNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The leader's state is older than the engine's: another leader has loaded
		// two models meanwhile.
		f := &fakeEngine{sequence: 2, held: map[string]map[string]bool{"m0": {}, "m1": {}, "m2": {}}}
		_, e := newTestLeader(t, f, HeldModel{Name: "m0"})
		e.stepInFlight, e.loading = true, "m3"
		e.executeStep(t.Context(), residency.Step{Engine: "e", Load: "m3"})
		if f.overcommitted != "" || f.orders != 0 {
			t.Errorf("%d orders sent, want 0; overcommitted by %q", f.orders, f.overcommitted)
		}
	})
}

func TestConcurrentAdapterRequestsStayWithinSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}}}
		l, _ := newTestLeader(t, f, HeldModel{Name: "m0"})
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() { l.ensureAdapter(t.Context(), newAdapterRequest("m0", fmt.Sprintf("a%d", i))) })
		}
		wg.Wait()
		if f.overcommitted != "" {
			t.Errorf("overcommitted by %s", f.overcommitted)
		}
		if n := len(f.held["m0"]); n != 8 {
			t.Errorf("%d adapters loaded, want all 8 slots used", n)
		}
	})
}

// TestAdditionalEngineLoadsAdapterOfNearlyFullOne requests an adapter again while
// the engine that holds it has no free slot.
func TestAdditionalEngineLoadsAdapterOfNearlyFullOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {"a1": true}}}
		l, _ := newTestLeader(t, f, HeldModel{Name: "m0", Adapters: []string{"a1"}})
		var listed []ListedEndpoint
		for _, id := range []string{"e", "busy", "idle"} {
			x := ListedEndpoint{ID: id, Service: "s", Address: id, Slots: 24, Models: []HeldModel{{Name: "m0"}}}
			if id == "e" {
				x.Models[0].Adapters = []string{"a1"}
			}
			listed = append(listed, x)
		}
		l.applyList(listed)
		// The only fake engine has answered the probes of all of them with its adapter.
		synctest.Wait()
		for _, x := range listed {
			l.engines[x.ID].held = modelSet(x.Models)
		}
		l.loads["e"], l.loads["busy"] = &wire.InProgress{Running: 24}, &wire.InProgress{Running: 22}
		req := newAdapterRequest("m0", "a1")
		if got := l.ensureAdapter(t.Context(), req); got != "e" {
			t.Errorf("adapter is on %q, want e", got)
		}
		req.additional = true
		if got := l.ensureAdapter(t.Context(), req); got != "idle" {
			t.Errorf("additional engine is %q, want idle, which has the lowest utilization", got)
		}
		if got := l.ensureAdapter(t.Context(), req); got != "" {
			t.Errorf("additional engine is %q, want none, because the remaining one is nearly full", got)
		}
	})
}

// TestReportOlderThanAnAcceptedOrderIsNotUsed reads a report right after eight adapters
// were loaded and a ninth order was rejected: the report shows the engine without them.
func TestReportOlderThanAnAcceptedOrderIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}}}
		l, e := newTestLeader(t, f, HeldModel{Name: "m0"})
		for i := range 8 {
			l.ensureAdapter(t.Context(), newAdapterRequest("m0", fmt.Sprintf("a%d", i)))
		}
		l.mu.Lock()
		e.sequenceKnown = false
		l.mu.Unlock()
		if _, err := e.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		l.ensureAdapter(t.Context(), newAdapterRequest("m0", "a8"))
		if f.overcommitted != "" || len(f.held["m0"]) != 8 {
			t.Errorf("overcommitted by %q, holds %v, want the eight adapters and no order beyond them", f.overcommitted, f.held)
		}
	})
}

// TestOrderOfUnknownOutcomeKeepsItsRoom loses the responses to a load that the engine
// executes late, and orders another one that does not fit beside it.
func TestOrderOfUnknownOutcomeKeepsItsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}, "m1": {}}, loadTime: 5 * time.Second}
		f.loseResponse = func() bool { return f.orders <= maxOrderAttempts }
		_, e := newTestLeader(t, f, HeldModel{Name: "m0"}, HeldModel{Name: "m1"})
		e.stepInFlight, e.loading = true, "m2"
		e.executeStep(t.Context(), residency.Step{Engine: "e", Load: "m2"})
		f.executeDelayed()
		e.stepInFlight, e.loading = true, "m3"
		e.executeStep(t.Context(), residency.Step{Engine: "e", Load: "m3"})
		if f.overcommitted != "" {
			t.Errorf("overcommitted by %q: an order whose outcome is unknown may still be executed", f.overcommitted)
		}
	})
}

func TestIdleAdapterIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}}}
		l, _ := newTestLeader(t, f, HeldModel{Name: "m0"})
		time.Sleep(time.Minute)
		for i := range 10 {
			name := fmt.Sprintf("a%d", i)
			l.demand.Add("m0", name, 1, time.Second, l.s.clock())
			if got := l.ensureAdapter(t.Context(), newAdapterRequest("m0", name)); got != "e" {
				t.Fatalf("adapter %s is on %q, want e", name, got)
			}
			time.Sleep(2 * minAdapterIdle)
		}
		if f.held["m0"]["a0"] || !f.held["m0"]["a9"] || f.overcommitted != "" {
			t.Errorf("held %v, overcommitted by %q; want a0 evicted and a9 loaded", f.held, f.overcommitted)
		}
	})
}

// TestEngineExecutingForeignOrderIsSkipped: a replica acquires leadership while an
// engine still loads a model that the previous leader ordered. The engine reports
// neither the model nor the memory that it needs, so further orders could
// overcommit the engine.
func TestEngineExecutingForeignOrderIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}, "m1": {}}, loadTime: 6 * time.Second}
		f.accept(Order{Load: true, Model: "m2"})
		time.Sleep(time.Second)
		l, e := newTestLeader(t, f, HeldModel{Name: "m0"}, HeldModel{Name: "m1"})
		ctx := t.Context()
		e.probe(ctx)
		if planned := plannerInputOf(e, l.s.clock()); !planned.Busy {
			t.Error("an engine that executes another leader's order is available to the planner")
		}
		for i := range 8 {
			l.ensureAdapter(ctx, newAdapterRequest("m0", fmt.Sprintf("a%d", i)))
		}
		e.stepInFlight, e.loading = true, "m3"
		e.executeStep(ctx, residency.Step{Engine: "e", Load: "m3"})
		if f.overcommitted != "" || f.orders != 0 {
			t.Errorf("%d orders sent, want 0; overcommitted by %q", f.orders, f.overcommitted)
		}
		time.Sleep(8 * time.Second)
		planned := plannerInputOf(e, l.s.clock())
		if planned.Busy || !planned.Models["m2"] {
			t.Errorf("planner input = %+v, want an available engine that holds m2", planned)
		}
	})
}

// action is one event at an engine or its leader.
type action struct {
	kind           int
	model, adapter string
	unload         string
	wait           time.Duration
}

// Kinds of actions.
const (
	actionStep = iota
	actionAdapter
	actionDelayedOrders
	actionWait
	actionKinds
)

func drawAction(t *rapid.T) action {
	a := action{
		kind:    rapid.IntRange(0, actionKinds-1).Draw(t, "act"),
		model:   fmt.Sprintf("m%d", rapid.IntRange(0, 3).Draw(t, "model")),
		adapter: fmt.Sprintf("a%d", rapid.IntRange(0, 9).Draw(t, "adapter")),
		wait:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "unload") {
		a.unload = fmt.Sprintf("m%d", rapid.IntRange(0, 3).Draw(t, "unloaded"))
	}
	return a
}

// TestOrdersNeverOvercommit executes random steps and adapter loads on an engine
// whose loads take time, that loses responses, executes orders late, and may still
// execute an order of an earlier leader.
func TestOrdersNeverOvercommit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loadTime := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "load ms")) * time.Millisecond
		earlier := rapid.Bool().Draw(rt, "earlier leader")
		holds := []string{"m0", "m1"}[:rapid.IntRange(1, 2).Draw(rt, "held")]
		actions := rapid.SliceOfN(rapid.Custom(drawAction), 1, 25).Draw(rt, "acts")
		lost := rapid.SliceOfN(rapid.IntRange(0, 3), 100, 100).Draw(rt, "lost")
		synctest.Test(t, func(t *testing.T) {
			f := &fakeEngine{held: map[string]map[string]bool{}, loadTime: loadTime}
			var listed []HeldModel
			for _, name := range holds {
				f.held[name] = map[string]bool{}
				listed = append(listed, HeldModel{Name: name})
			}
			if earlier {
				f.accept(Order{Load: true, Model: "m2"})
				time.Sleep(reportDelay)
			}
			f.loseResponse = func() bool { return lost[f.orders%len(lost)] == 0 }
			f.loseAcceptance = func() bool { return lost[f.orders%len(lost)] == 1 }
			l, e := newTestLeader(t, f, listed...)
			for _, a := range actions {
				f.perform(t.Context(), l, e, a)
			}
			f.executeDelayed()
			if f.overcommitted != "" {
				rt.Errorf("overcommitted by %s", f.overcommitted)
			}
		})
	})
}

// perform executes one action.
func (f *fakeEngine) perform(ctx context.Context, l *leaderState, e *engineState, a action) {
	switch a.kind {
	case actionStep:
		step := residency.Step{Engine: "e", Load: a.model}
		if a.unload != "" {
			step.Unload = []string{a.unload}
		}
		e.stepInFlight, e.loading = true, a.model
		e.executeStep(ctx, step)
	case actionAdapter:
		l.ensureAdapter(ctx, newAdapterRequest(a.model, a.adapter))
	case actionDelayedOrders:
		f.executeDelayed()
	case actionWait:
		time.Sleep(a.wait)
	}
}

func TestNewLeaderWaitsOutIntentsOfOthers(t *testing.T) {
	const lease = 3 * time.Second
	intents := newOrderIntents()
	intents.observe(8, []*wire.OrderNote{{Endpoint: "theirs", Holder: "b", Index: 7}, {Endpoint: "mine", Holder: "a", Index: 8}}, 10*time.Second)
	// Observing the same intent again does not extend it.
	intents.observe(9, []*wire.OrderNote{{Endpoint: "theirs", Holder: "b", Index: 7}}, 12*time.Second)
	if got := intents.availableAt("theirs", "a", lease); got < 10*time.Second+lease+intentValidity || got > 12*time.Second+lease {
		t.Errorf("engine with an intent of b available at %v, want the order lease after the intent's last order", got)
	}
	for _, id := range []string{"mine", "never ordered"} {
		if got := intents.availableAt(id, "a", lease); got != 0 {
			t.Errorf("engine %q available at %v, want 0", id, got)
		}
	}
}

func TestIntentCoversOrdersWhileValid(t *testing.T) {
	intents := newOrderIntents()
	if got := intents.coveredUntil("e"); got != 0 {
		t.Errorf("orders covered until %v without an intent, want 0", got)
	}
	intents.recordOwn("e", time.Second)
	if got := intents.coveredUntil("e"); got != time.Second+intentValidity {
		t.Errorf("orders covered until %v, want exactly intentValidity after the intent", got)
	}
}

func TestExpiredIntentsAreWithdrawn(t *testing.T) {
	const lease = 3 * time.Second
	own := newOrderIntents()
	own.recordOwn("old", time.Second)
	own.recordOwn("new", 4*time.Second)
	// The last order that the old intent covers may have been sent intentValidity
	// after it.
	if got := own.expired(lease, time.Second+lease+intentValidity); len(got) != 0 {
		t.Errorf("intents for %v expired while their orders may be valid", got)
	}
	got := own.expired(lease, time.Second+lease+intentValidity+orderLeaseMargin+1)
	if len(got) != 1 || got[0] != "old" {
		t.Fatalf("expired intents: %v, want [old]", got)
	}
	own.drop(got)
	if again := own.expired(lease, time.Second+lease+intentValidity+orderLeaseMargin+1); len(again) != 0 {
		t.Errorf("intents for %v expired again after they were dropped", again)
	}
	other := newOrderIntents()
	other.observe(1, []*wire.OrderNote{{Endpoint: "old", Holder: "a", Index: 1}}, 5*time.Second)
	other.observe(2, nil, 6*time.Second)
	if at := other.availableAt("old", "b", lease); at != 0 {
		t.Errorf("engine whose intent was withdrawn available at %v, want 0", at)
	}
}

// TestViewRevisionGrowsAcrossLeaseLapse: a replica loses its lease and leads again
// in the same term. Gateways apply only views that are newer than theirs, so the
// revision must not start again.
func TestViewRevisionGrowsAcrossLeaseLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
		time.Sleep(time.Second)
		for i := range 5 {
			l.applyList([]ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: i + 1}})
		}
		before := fleet.NewView(l.published.changesSince(l.term, 0))
		again := newLeaderState(l.ctx, l.s, l.term)
		time.Sleep(time.Second)
		again.applyList([]ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: 9, Leaving: true}})
		after, ok := before.Update(again.published.changesSince(l.term, before.Revision))
		if !ok || !after.Endpoints[0].Leaving {
			t.Errorf("revision %d after %d in the same term: gateways do not apply the view", again.published.latestRevision, before.Revision)
		}
	})
}

// TestAdapterOrderReservesMemoryOfLoadingModel orders an adapter while a step
// loads a model that is not in the engine's report yet.
func TestAdapterOrderReservesMemoryOfLoadingModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}, "m1": {}}}
		l, e := newTestLeader(t, f, HeldModel{Name: "m0"}, HeldModel{Name: "m1"})
		l.doc.Services[0].Engine.WeightsMB = 3*65e3 + 50
		e.stepInFlight, e.loading = true, "m2"
		if result := e.orderAdapter(t.Context(), l.doc.Services[0].Engine, adapterName{"m0", "a1"}); result != OrderNotSent {
			t.Errorf("order result %v, want not_sent: the adapter uses memory of the loading model", result)
		}
	})
}

// TestAdapterInUseKeepsItsPlaceUntilItsRequestsEnd evicts an adapter that long requests use:
// the engine accepts the order, and carries it out when they have ended.
func TestAdapterInUseKeepsItsPlaceUntilItsRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}}}
		l, e := newTestLeader(t, f, HeldModel{Name: "m0"})
		time.Sleep(time.Minute)
		f.inUseUntil = map[string]time.Time{}
		for i := range 8 {
			name := fmt.Sprintf("a%d", i)
			f.inUseUntil[name] = time.Now().Add(6 * time.Second)
			l.ensureAdapter(t.Context(), newAdapterRequest("m0", name))
		}
		time.Sleep(2 * minAdapterIdle)
		if got := l.ensureAdapter(t.Context(), newAdapterRequest("m0", "a8")); got != "" || f.overcommitted != "" {
			t.Errorf("adapter a8 is on %q, overcommitted by %q; want none while all adapters are in use", got, f.overcommitted)
		}
		l.mu.Lock()
		listed := len(e.toWire().Models[0].Adapters)
		l.mu.Unlock()
		if listed != 7 {
			t.Errorf("gateways are told of %d adapters, want 7 without the one that is about to go", listed)
		}
		time.Sleep(6 * time.Second)
		if got := l.ensureAdapter(t.Context(), newAdapterRequest("m0", "a8")); got != "e" || f.overcommitted != "" {
			t.Errorf("adapter a8 is on %q, overcommitted by %q; want e once requests have ended", got, f.overcommitted)
		}
	})
}

// TestAdapterJustRequestedIsNotEvicted requests more adapters at once than the engine has
// places for, before any gateway has reported the requests.
func TestAdapterJustRequestedIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}}}
		l, _ := newTestLeader(t, f, HeldModel{Name: "m0"})
		time.Sleep(time.Minute)
		for i := range 12 {
			l.ensureAdapter(t.Context(), newAdapterRequest("m0", fmt.Sprintf("a%d", i)))
		}
		for i := range 8 {
			if !f.held["m0"][fmt.Sprintf("a%d", i)] {
				t.Errorf("the engine holds %v, want a0 to a7, which requests wait for", f.held["m0"])
				break
			}
		}
	})
}

// TestUnansweredOrderIsResentAtOnce loses the response to an order. The engine
// executes that order later, if it still accepts it.
func TestUnansweredOrderIsResentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{}}
		f.loseResponse = func() bool { return f.orders == 1 }
		_, e := newTestLeader(t, f)
		e.stepInFlight, e.loading = true, "m0"
		e.executeStep(t.Context(), residency.Step{Engine: "e", Load: "m0"})
		if f.held["m0"] == nil || f.orders != 2 {
			t.Errorf("engine holds %v after %d orders, want m0 after 2", f.held, f.orders)
		}
		f.executeDelayed()
		if f.sequence != 1 {
			t.Errorf("engine accepted %d orders, want 1", f.sequence)
		}
	})
}
