package fleetcontrol

import (
	"context"
	"fmt"
	"io"
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
	e := &document.Engine{Slots: 24, WeightsMB: 200e3, AdapterPlaces: 8, LoadsPerSecond: 3}
	for i := range 4 {
		e.Models = append(e.Models, document.Model{Name: fmt.Sprintf("m%d", i), WeightsMB: 65e3, Load: time.Second, Adapters: 10, AdapterMB: 66})
	}
	return &document.Document{Version: 1, Services: []document.Service{{Name: "s", Engine: e}}}
}

// fakeEngine polices what an engine allows: its room, its sequence, one order
// at a time. A lost answer leaves an order that may be carried out later. What
// it reports is reportDelay old.
type fakeEngine struct {
	mu       sync.Mutex
	sequence uint64
	held     map[string]map[string]bool
	late     []Order
	// loading arrives at doneAt; loadTime is how long a model takes.
	loading  string
	doneAt   time.Time
	loadTime time.Duration
	reported []timedReport
	// overcommitted says what broke a limit first.
	overcommitted string
	orders        int
	lose          func() bool
}

type timedReport struct {
	from time.Time
	r    *Report
}

// reportDelay is how old a report is; it is within reportLag.
const reportDelay = 200 * time.Millisecond

// arrive lets what has been loaded by now be held.
func (f *fakeEngine) arrive() {
	if f.loading == "" || time.Now().Before(f.doneAt) {
		return
	}
	if f.held[f.loading] == nil {
		f.held[f.loading] = map[string]bool{}
	}
	f.loading = ""
	f.record(f.doneAt)
}

// record notes what the engine reports from the time on.
func (f *fakeEngine) record(from time.Time) {
	f.reported = append(f.reported, timedReport{from: from, r: f.report()})
}

func (f *fakeEngine) accept(o Order) OrderResult {
	f.arrive()
	if o.ExpectedSequence != f.sequence || f.loading != "" && o.Adapter == "" {
		return OrderConflict
	}
	if len(f.reported) == 0 {
		f.record(time.Time{})
	}
	defer func() { f.record(time.Now()) }()
	d := testDocument().Services[0].Engine
	if o.Load && !roomFor(d, f.held, nil, f.loading, o) && f.overcommitted == "" {
		f.overcommitted = fmt.Sprintf("%+v onto %v", o, f.held)
	}
	f.sequence++
	switch {
	case o.Load && o.Adapter == "" && f.held[o.Model] == nil:
		f.loading, f.doneAt = o.Model, time.Now().Add(f.loadTime)
		f.arrive()
	case o.Load && o.Adapter == "":
	case o.Load && f.held[o.Model] != nil:
		f.held[o.Model][o.Adapter] = true
	case o.Adapter == "":
		delete(f.held, o.Model)
	case f.held[o.Model] != nil:
		delete(f.held[o.Model], o.Adapter)
		return OrderSatisfied
	}
	return OrderAccepted
}

// carryOutLate lets unanswered orders take effect, if they still may.
func (f *fakeEngine) carryOutLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.late {
		f.accept(o)
	}
	f.late = nil
}

func (f *fakeEngine) Endpoints(context.Context) ([]ListedEndpoint, error) { return nil, nil }

func (f *fakeEngine) Report(context.Context, string, string) (*Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrive()
	for _, x := range slices.Backward(f.reported) {
		if time.Since(x.from) >= reportDelay {
			return x.r, nil
		}
	}
	return f.report(), nil
}

// report returns what the engine says of itself now.
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

func (f *fakeEngine) Order(_ context.Context, _, _ string, o Order) (OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	if f.lose != nil && f.lose() {
		f.late = append(f.late, o)
		return OrderUnknown, io.ErrUnexpectedEOF
	}
	return f.accept(o), nil
}

// wanted names an adapter of the test's service.
func wanted(model, adapter string) wantedAdapter {
	return wantedAdapter{service: "s", adapterName: adapterName{model, adapter}}
}

// testLead returns a lead that may give orders to one engine that holds models.
func testLead(t *testing.T, f *fakeEngine, models ...HeldModel) (*leadState, *engineState) {
	start := time.Now()
	s := &Server{
		cfg: DefaultSettings(), log: testLog(), turns: newTurns(), adapter: Dependencies{Platform: f},
		clock: func() time.Duration { return time.Since(start) },
	}
	l := newLeadState(t.Context(), s, 1)
	l.doc = testDocument()
	l.allowed = func(context.Context, string) bool { return true }
	l.takeList([]ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: 24, Models: models}})
	return l, l.engines["e"]
}

func TestEngineThatStartsEmptyIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{}}
		l, e := testLead(t, f)
		planned := e.planned(l.doc.Services[0].Engine, time.Second)
		if planned.Closed || planned.Busy {
			t.Errorf("%+v: an engine without models gets no step", planned)
		}
		e.ordering, e.loading = true, "m0"
		e.carryOut(t.Context(), residency.Step{Engine: "e", Load: "m0"})
		if f.held["m0"] == nil || e.held["m0"] == nil || e.ordering {
			t.Errorf("engine %v, known %v, ordering %v", f.held, e.held, e.ordering)
		}
	})
}

func TestListDoesNotGoBehindARecentOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{}}
		l, e := testLead(t, f)
		e.ordering, e.loading = true, "m0"
		e.carryOut(t.Context(), residency.Step{Engine: "e", Load: "m0"})
		lagging := []ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: 24}}
		l.takeList(lagging)
		if e.held["m0"] == nil {
			t.Error("a list that lags took back what an order has loaded")
		}
		time.Sleep(listTrust + time.Second)
		l.takeList(lagging)
		if e.held["m0"] != nil || e.sequenceKnown {
			t.Error("an engine that lost its models is still taken to hold them")
		}
	})
}

func TestStepWithoutRoomIsNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The leader's picture is older than the engine: another leader has
		// loaded two models meanwhile.
		f := &fakeEngine{sequence: 2, held: map[string]map[string]bool{"m0": {}, "m1": {}, "m2": {}}}
		_, e := testLead(t, f, HeldModel{Name: "m0"})
		e.ordering, e.loading = true, "m3"
		e.carryOut(t.Context(), residency.Step{Engine: "e", Load: "m3"})
		if f.overcommitted != "" || f.orders != 0 {
			t.Errorf("%d orders, overcommitted by %s", f.orders, f.overcommitted)
		}
	})
}

func TestAdaptersOfManyCallersKeepWithinThePlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}}}
		l, _ := testLead(t, f, HeldModel{Name: "m0"})
		var all sync.WaitGroup
		for i := range 12 {
			all.Go(func() { l.ensureAdapter(t.Context(), wanted("m0", fmt.Sprintf("a%d", i))) })
		}
		all.Wait()
		if f.overcommitted != "" {
			t.Errorf("overcommitted by %s", f.overcommitted)
		}
		if n := len(f.held["m0"]); n != 8 {
			t.Errorf("%d adapters, want every place taken", n)
		}
	})
}

// TestNearlyFullEnginesShareAnAdapter asks for an adapter again while the engine
// that holds it has no place left.
func TestNearlyFullEnginesShareAnAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {"a1": true}}}
		l, _ := testLead(t, f, HeldModel{Name: "m0", Adapters: []string{"a1"}})
		var listed []ListedEndpoint
		for _, id := range []string{"e", "busy", "idle"} {
			x := ListedEndpoint{ID: id, Service: "s", Address: id, Slots: 24, Models: []HeldModel{{Name: "m0"}}}
			if id == "e" {
				x.Models[0].Adapters = []string{"a1"}
			}
			listed = append(listed, x)
		}
		l.takeList(listed)
		l.loads["e"], l.loads["busy"] = &wire.InProgress{Running: 24}, &wire.InProgress{Running: 22}
		w := wanted("m0", "a1")
		if got := l.ensureAdapter(t.Context(), w); got != "e" {
			t.Errorf("the adapter is at %q, want e", got)
		}
		w.more = true
		if got := l.ensureAdapter(t.Context(), w); got != "idle" {
			t.Errorf("one more engine with the adapter is %q, want the one least in use", got)
		}
		if got := l.ensureAdapter(t.Context(), w); got != "" {
			t.Errorf("one more engine with the adapter is %q, which is nearly full itself", got)
		}
	})
}

func TestIdleAdapterMakesPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}}}
		l, _ := testLead(t, f, HeldModel{Name: "m0"})
		time.Sleep(time.Minute)
		for i := range 10 {
			name := fmt.Sprintf("a%d", i)
			l.demand.Add("m0", name, 1, time.Second, l.s.clock())
			if got := l.ensureAdapter(t.Context(), wanted("m0", name)); got != "e" {
				t.Fatalf("%s is at %q", name, got)
			}
			time.Sleep(2 * adapterIdle)
		}
		if f.held["m0"]["a0"] || !f.held["m0"]["a9"] || f.overcommitted != "" {
			t.Errorf("held %v, overcommitted by %q; want the oldest to have made place", f.held, f.overcommitted)
		}
	})
}

// TestEngineThatLoadsForAnotherIsLeftAlone lets a replica begin to lead while
// an engine still loads what the leader before it has ordered. The engine
// reports neither the model nor what it will take.
func TestEngineThatLoadsForAnotherIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}, "m1": {}}, loadTime: 6 * time.Second}
		f.accept(Order{Load: true, Model: "m2"})
		time.Sleep(time.Second)
		l, e := testLead(t, f, HeldModel{Name: "m0"}, HeldModel{Name: "m1"})
		ctx := t.Context()
		e.meet(ctx)
		if planned := e.planned(l.doc.Services[0].Engine, l.s.clock()); !planned.Busy {
			t.Error("a step is planned for an engine that carries out another leader's order")
		}
		for i := range 8 {
			l.ensureAdapter(ctx, wanted("m0", fmt.Sprintf("a%d", i)))
		}
		e.ordering, e.loading = true, "m3"
		e.carryOut(ctx, residency.Step{Engine: "e", Load: "m3"})
		if f.overcommitted != "" || f.orders != 0 {
			t.Errorf("%d orders, overcommitted by %q", f.orders, f.overcommitted)
		}
		time.Sleep(8 * time.Second)
		planned := e.planned(l.doc.Services[0].Engine, l.s.clock())
		if planned.Busy || !planned.Models["m2"] {
			t.Errorf("%+v: the engine has done with the order and holds m2", planned)
		}
	})
}

// act is one thing that happens to an engine or its leader.
type act struct {
	kind           int
	model, adapter string
	unload         string
	wait           time.Duration
}

// Kinds of acts.
const (
	actStep = iota
	actAdapter
	actLateOrders
	actWait
	actKinds
)

func drawAct(t *rapid.T) act {
	a := act{
		kind:    rapid.IntRange(0, actKinds-1).Draw(t, "act"),
		model:   fmt.Sprintf("m%d", rapid.IntRange(0, 3).Draw(t, "model")),
		adapter: fmt.Sprintf("a%d", rapid.IntRange(0, 9).Draw(t, "adapter")),
		wait:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "unload") {
		a.unload = fmt.Sprintf("m%d", rapid.IntRange(0, 3).Draw(t, "unloaded"))
	}
	return a
}

// TestOrdersNeverOvercommit gives random steps and adapters to an engine that
// takes time to load, loses answers, carries orders out late, and may still
// carry out an earlier leader's order.
func TestOrdersNeverOvercommit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loadTime := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "load ms")) * time.Millisecond
		earlier := rapid.Bool().Draw(rt, "earlier leader")
		holds := []string{"m0", "m1"}[:rapid.IntRange(1, 2).Draw(rt, "held")]
		acts := rapid.SliceOfN(rapid.Custom(drawAct), 1, 25).Draw(rt, "acts")
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
			f.lose = func() bool { return lost[f.orders%len(lost)] == 0 }
			l, e := testLead(t, f, listed...)
			for _, a := range acts {
				f.play(t.Context(), l, e, a)
			}
			f.carryOutLate()
			if f.overcommitted != "" {
				rt.Errorf("overcommitted by %s", f.overcommitted)
			}
		})
	})
}

// play carries one act out.
func (f *fakeEngine) play(ctx context.Context, l *leadState, e *engineState, a act) {
	switch a.kind {
	case actStep:
		step := residency.Step{Engine: "e", Load: a.model}
		if a.unload != "" {
			step.Unload = []string{a.unload}
		}
		e.ordering, e.loading = true, a.model
		e.carryOut(ctx, step)
	case actAdapter:
		l.ensureAdapter(ctx, wanted(a.model, a.adapter))
	case actLateOrders:
		f.carryOutLate()
	case actWait:
		time.Sleep(a.wait)
	}
}

func TestNewLeaderLeavesEnginesOfAnotherAlone(t *testing.T) {
	const lease = 3 * time.Second
	turns := newTurns()
	turns.observe([]*wire.OrderNote{{Endpoint: "theirs", Holder: "b", Index: 7}, {Endpoint: "mine", Holder: "a", Index: 8}}, 10*time.Second)
	// Seen again, the same note does not start anew.
	turns.observe([]*wire.OrderNote{{Endpoint: "theirs", Holder: "b", Index: 7}}, 12*time.Second)
	if got := turns.freeAt("theirs", "a", lease); got < 10*time.Second+lease+noteValid || got > 12*time.Second+lease {
		t.Errorf("free at %v, want the lease after the note's last order", got)
	}
	for _, id := range []string{"mine", "never ordered"} {
		if got := turns.freeAt(id, "a", lease); got != 0 {
			t.Errorf("%s: free at %v, want at once", id, got)
		}
	}
}

func TestNotesCoverOrdersForAWhile(t *testing.T) {
	turns := newTurns()
	if turns.covered("e", time.Second) {
		t.Error("covered without a note")
	}
	turns.noted("e", time.Second)
	if !turns.covered("e", time.Second+noteValid-1) || turns.covered("e", time.Second+noteValid) {
		t.Error("a note covers orders for another time than its own")
	}
}

func TestSettledNotesAreTakenBack(t *testing.T) {
	const lease = 3 * time.Second
	own := newTurns()
	own.noted("old", time.Second)
	own.noted("new", 4*time.Second)
	// An order that the old note covers may have left noteValid after it.
	if got := own.settled(lease, time.Second+lease+noteValid); len(got) != 0 {
		t.Errorf("%v are settled while their orders may hold", got)
	}
	got := own.settled(lease, time.Second+lease+noteValid+turnMargin+1)
	if len(got) != 1 || got[0] != "old" {
		t.Fatalf("settled: %v", got)
	}
	own.forget(got)
	if again := own.settled(lease, time.Second+lease+noteValid+turnMargin+1); len(again) != 0 {
		t.Errorf("%v are taken back twice", again)
	}
	other := newTurns()
	other.observe([]*wire.OrderNote{{Endpoint: "old", Holder: "a", Index: 1}}, 5*time.Second)
	other.observe(nil, 6*time.Second)
	if at := other.freeAt("old", "b", lease); at != 0 {
		t.Errorf("an engine whose note was taken back is free at %v, want at once", at)
	}
}

// TestViewsGrowOverALapseOfTheLease lets a replica lose its lease and lead again
// in the same term. Gateways take only views that are newer than theirs.
func TestViewsGrowOverALapseOfTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := testLead(t, &fakeEngine{held: map[string]map[string]bool{}})
		time.Sleep(time.Second)
		for i := range 5 {
			l.takeList([]ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: i + 1}})
		}
		before := fleet.NewView(l.published.since(l.term, 0))
		again := newLeadState(l.ctx, l.s, l.term)
		time.Sleep(time.Second)
		again.takeList([]ListedEndpoint{{ID: "e", Service: "s", Address: "e", Slots: 9, Leaving: true}})
		after, ok := before.Update(again.published.since(l.term, before.Revision))
		if !ok || !after.Endpoints[0].Leaving {
			t.Errorf("revision %d after %d in the same term: no gateway takes the view", again.published.newest, before.Revision)
		}
	})
}

// TestAdapterLeavesRoomForAModelThatIsLoading orders an adapter while a step
// loads a model that a report does not list yet.
func TestAdapterLeavesRoomForAModelThatIsLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{"m0": {}, "m1": {}}}
		l, e := testLead(t, f, HeldModel{Name: "m0"}, HeldModel{Name: "m1"})
		l.doc.Services[0].Engine.WeightsMB = 3*65e3 + 50
		e.ordering, e.loading = true, "m2"
		if answer := e.orderAdapter(t.Context(), l.doc.Services[0].Engine, adapterName{"m0", "a1"}); answer != OrderNotSent {
			t.Errorf("%v: the adapter takes the room of the model", answer)
		}
	})
}

// TestOrderWithoutAnAnswerIsSentAgainAtOnce loses the answer to an order, which
// the engine carries out late, if it still may.
func TestOrderWithoutAnAnswerIsSentAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{held: map[string]map[string]bool{}}
		f.lose = func() bool { return f.orders == 1 }
		_, e := testLead(t, f)
		e.ordering, e.loading = true, "m0"
		e.carryOut(t.Context(), residency.Step{Engine: "e", Load: "m0"})
		if f.held["m0"] == nil || f.orders != 2 {
			t.Errorf("the engine holds %v after %d orders", f.held, f.orders)
		}
		f.carryOutLate()
		if f.sequence != 1 {
			t.Errorf("%d orders were accepted, want one of the two", f.sequence)
		}
	})
}
