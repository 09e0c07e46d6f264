package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

func engine(id, domain string, models ...*wire.HeldModel) *wire.FleetEndpoint {
	return &wire.FleetEndpoint{Id: id, Service: "s", Address: id, Domain: domain, Slots: 10, Models: models}
}

// sequentialDraws returns a draw function that yields 0, 1, 2 and so on, modulo n.
func sequentialDraws() func(int) int {
	next := -1
	return func(n int) int {
		next++
		return next % n
	}
}

func held(name string, adapters ...string) *wire.HeldModel {
	return &wire.HeldModel{Name: name, Adapters: adapters}
}

// setOthers sets the requests in flight at the other gateways, by endpoint.
func setOthers(t *testing.T, l *Loads, v *View, busy map[string]uint32) {
	t.Helper()
	running := make([]uint32, len(v.Endpoints))
	for i, e := range v.Endpoints {
		running[i] = busy[e.ID]
	}
	if !l.SetOthers(v.Endpoints, Counts{Running: running, TokenUnits: make([]uint32, len(running))}) {
		t.Fatal("SetOthers rejected the counts")
	}
}

var requirements = Requirements{Service: "s", Model: "m", Domain: "d1"}

func chosenID(c Choice) string {
	if c.Endpoint == nil {
		return ""
	}
	return c.Endpoint.ID
}

func TestChooseRequiresModelAndAdapter(t *testing.T) {
	for _, c := range []struct {
		name         string
		endpoint     *wire.FleetEndpoint
		requirements Requirements
		ok           bool
	}{
		{"holds the model", engine("a", "d1", held("m")), requirements, true},
		{"holds another one", engine("a", "d1", held("x")), requirements, false},
		{"is loading it", engine("a", "d1", &wire.HeldModel{Name: "m", Loading: true}), requirements, false},
		{"is about to unload it", engine("a", "d1", &wire.HeldModel{Name: "m", Leaving: true}), requirements, false},
		{"lacks the adapter", engine("a", "d1", held("m", "a1")), Requirements{Service: "s", Model: "m", Adapter: "a2"}, false},
		{"holds the adapter", engine("a", "d1", held("m", "a1")), Requirements{Service: "s", Model: "m", Adapter: "a1"}, true},
		{"is leaving", &wire.FleetEndpoint{Id: "a", Service: "s", Leaving: true, Models: []*wire.HeldModel{held("m")}}, requirements, false},
		{"belongs to another service", engine("a", "d1", held("m")), Requirements{Service: "t", Model: "m"}, false},
		{"no model requested", engine("a", "d1"), Requirements{Service: "s"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{c.endpoint}})
			if got := NewLoads(sequentialDraws()).Choose(v, c.requirements, nil, 0); (got.Endpoint != nil) != c.ok {
				t.Errorf("chosen %q", chosenID(got))
			}
		})
	}
}

func TestChooseCountsOtherGateways(t *testing.T) {
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m")), engine("b", "d1", held("m"))}})
	l := NewLoads(sequentialDraws())
	setOthers(t, l, v, map[string]uint32{"a": 8})
	for range 7 {
		c := l.Choose(v, requirements, nil, 0)
		if chosenID(c) != "b" {
			t.Fatalf("chosen %q, want b while a has more requests in flight", chosenID(c))
		}
		l.Begin("b", 0, 0, 0)
	}
	l.Begin("b", 0, 0, 0)
	l.Begin("b", 0, 0, 0)
	if c := l.Choose(v, requirements, nil, 0); chosenID(c) != "a" {
		t.Errorf("chosen %q, want a with 8 requests in flight against 9", chosenID(c))
	}
	if c := l.Choose(v, requirements, map[string]bool{"a": true}, 0); chosenID(c) != "b" || c.Utilization != 0.9 {
		t.Errorf("chosen %q at %v, want b at 0.9", chosenID(c), c.Utilization)
	}
}

func TestChooseCountsMemory(t *testing.T) {
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m")), engine("b", "d1", held("m"))}})
	l := NewLoads(sequentialDraws())
	l.Begin("a", 900, 0, 0)
	for range 5 {
		l.Begin("b", 10, 0, 0)
	}
	req := requirements
	req.CacheTokens = 1000
	if c := l.Choose(v, req, nil, 0); chosenID(c) != "b" {
		t.Errorf("chosen %q, want b because the memory of a is nearly full", chosenID(c))
	}
}

func TestChooseAvoidsEnginesWithPrefill(t *testing.T) {
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m")), engine("b", "d1", held("m"))}})
	l := NewLoads(sequentialDraws())
	l.SetStale(false, 7)
	l.Begin("a", 0, 1000, 0)
	l.Begin("b", 0, 0, 0)
	l.Begin("b", 0, 0, 0)
	if c := l.Choose(v, requirements, nil, 0); chosenID(c) != "b" {
		t.Errorf("chosen %q, want b because a has a prompt to prefill", chosenID(c))
	}
	l.EndPrefill("a", 1000)
	if c := l.Choose(v, requirements, nil, 0); chosenID(c) != "a" {
		t.Errorf("chosen %q, want a after it prefilled its prompt", chosenID(c))
	}
}

// TestGatewaysSpreadABurst simulates a burst at seven gateways before they exchange
// counts. If all chose the least loaded endpoint, they would overload it together.
func TestGatewaysSpreadABurst(t *testing.T) {
	var all []*wire.FleetEndpoint
	busy := map[string]uint32{}
	for i := range 10 {
		id := fmt.Sprintf("e%d", i)
		all = append(all, engine(id, "d1", held("m")))
		if i > 0 {
			busy[id] = 4
		}
	}
	v := NewView(&wire.FleetView{Endpoints: all})
	r := rand.New(rand.NewPCG(1, 1))
	got := map[string]int{}
	const gateways, requests = 7, 4
	for range gateways {
		l := NewLoads(r.IntN)
		l.SetStale(false, gateways)
		setOthers(t, l, v, busy)
		for range requests {
			c := l.Choose(v, requirements, nil, 0)
			l.Begin(c.Endpoint.ID, 0, 800, 0)
			got[c.Endpoint.ID]++
		}
	}
	if got["e0"] > gateways*requests/3 {
		t.Errorf("%d of %d requests sent to the engine that was empty, want at most a third", got["e0"], gateways*requests)
	}
}

func TestStaleCountsAreEstimated(t *testing.T) {
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m"))}})
	l := NewLoads(sequentialDraws())
	setOthers(t, l, v, map[string]uint32{"a": 3})
	l.Begin("a", 0, 0, 0)
	l.Begin("a", 0, 0, 0)
	l.SetStale(true, 4)
	if c := l.Choose(v, requirements, nil, 0); c.Utilization != 0.8 {
		t.Errorf("utilization %v, want 0.8: 2 requests at each of 4 gateways", c.Utilization)
	}
	l.SetStale(true, 80)
	if c := l.Choose(v, requirements, nil, 0); c.Utilization != 1 {
		t.Errorf("utilization %v, want 1: an estimate never keeps a new request from an endpoint", c.Utilization)
	}
	l.SetStale(false, 4)
	if c := l.Choose(v, requirements, nil, 0); c.Utilization != 0.5 {
		t.Errorf("utilization %v, want 0.5: 2 own requests and 3 of the other gateways", c.Utilization)
	}
}

func TestFailingEndpointsAreAvoidedTemporarily(t *testing.T) {
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m")), engine("b", "d2", held("m"))}})
	l := NewLoads(sequentialDraws())
	for range 6 {
		l.Record("a", Failed, time.Second)
	}
	if c := l.Choose(v, requirements, nil, time.Second); chosenID(c) != "b" {
		t.Errorf("chosen %q, want b after six failures of a", chosenID(c))
	}
	if c := l.Choose(v, requirements, nil, 20*time.Second); chosenID(c) != "a" {
		t.Errorf("chosen %q, want a long after its failures", chosenID(c))
	}
	l.Record("a", Unreachable, 20*time.Second)
	if c := l.Choose(v, requirements, nil, 20*time.Second+unreachableBlockTime/2); chosenID(c) != "b" {
		t.Errorf("chosen %q, want b just after a was unreachable", chosenID(c))
	}
}

func TestSessionsKeepTheirEndpoint(t *testing.T) {
	var all []*wire.FleetEndpoint
	for i := range 10 {
		all = append(all, engine(fmt.Sprintf("e%d", i), "d1", held("m")))
	}
	before := NewView(&wire.FleetView{Endpoints: all})
	after := NewView(&wire.FleetView{Endpoints: all[1:]})
	l := NewLoads(sequentialDraws())
	moved := 0
	const sessions = 200
	for i := range sessions {
		req := requirements
		req.Session = fmt.Sprint(i)
		first := chosenID(l.Choose(before, req, nil, 0))
		if first != chosenID(l.Choose(before, req, nil, 0)) {
			t.Fatal("a session moved although no endpoint changed")
		}
		if first != "e0" && first != chosenID(l.Choose(after, req, nil, 0)) {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of %d sessions moved although their endpoint stayed", moved, sessions)
	}
}

func TestServiceTimeIsEstimatedForEachModel(t *testing.T) {
	s := NewServiceTimes()
	if got := s.Estimate("m", 100); got != 100*defaultTokenTime {
		t.Errorf("estimate %v without samples, want the default", got)
	}
	for range 100 {
		s.Record("fast", 100, 60*time.Millisecond)
		s.Record("slow", 100, 900*time.Millisecond)
	}
	if got := s.Estimate("fast", 200); got < 110*time.Millisecond || got > 130*time.Millisecond {
		t.Errorf("estimate for the fast model %v, want about 120ms", got)
	}
	if got := s.Estimate("slow", 200); got < 1700*time.Millisecond || got > 1900*time.Millisecond {
		t.Errorf("estimate for the slow model %v, want about 1.8s", got)
	}
}

func TestUpdateAcceptsNewerViews(t *testing.T) {
	type view struct{ term, revision, since uint64 }
	encode := func(v view) *wire.FleetView {
		return &wire.FleetView{Term: v.term, Revision: v.revision, Since: v.since}
	}
	for _, c := range []struct {
		next, old view
		want      bool
	}{
		{view{1, 1, 0}, view{}, true},
		{view{1, 2, 0}, view{1, 1, 0}, true},
		{view{1, 1, 0}, view{1, 1, 0}, false},
		{view{2, 1, 0}, view{1, 9, 0}, true},
		{view{1, 9, 0}, view{2, 1, 0}, false},
		{view{1, 5, 3}, view{1, 3, 0}, true},
		{view{1, 5, 3}, view{1, 2, 0}, false},
		{view{2, 5, 3}, view{1, 3, 0}, false},
		{view{1, 5, 3}, view{}, false},
	} {
		var old *View
		if c.old.term > 0 {
			old = NewView(encode(c.old))
		}
		if _, got := old.Update(encode(c.next)); got != c.want {
			t.Errorf("update %+v of view %+v accepted: %v", c.next, c.old, got)
		}
	}
}

// TestDeltaKeepsTheRestOfAView applies a delta in which an engine loads a model and
// an endpoint and a gateway join and leave.
func TestDeltaKeepsTheRestOfAView(t *testing.T) {
	v := NewView(&wire.FleetView{
		Term: 1, Revision: 4, Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("x")), engine("b", "d1", held("m")), engine("c", "d1")},
		Gateways: []*wire.Gateway{{Id: "g"}, {Id: "h"}},
	})
	next, ok := v.Update(&wire.FleetView{
		Term: 1, Revision: 6, Since: 4, Endpoints: []*wire.FleetEndpoint{engine("d", "d1", held("m")), engine("a", "d1", held("m"))},
		RemovedEndpoints: []string{"c"}, Gateways: []*wire.Gateway{{Id: "i"}}, RemovedGateways: []string{"g"},
	})
	if !ok {
		t.Fatal("Update rejected the delta")
	}
	var ids, gateways []string
	for _, e := range next.Service("s") {
		ids = append(ids, e.ID)
	}
	for _, g := range next.Gateways {
		gateways = append(gateways, g.Id)
	}
	if want := []string{"a", "b", "d"}; !slices.Equal(ids, want) || len(next.candidates("s", "m")) != 3 || len(next.candidates("s", "x")) != 0 {
		t.Errorf("endpoints %v, want %v, all of them with model m", ids, want)
	}
	if want := []string{"h", "i"}; !slices.Equal(gateways, want) {
		t.Errorf("gateways %v, want %v", gateways, want)
	}
	if len(v.Service("s")) != 3 || len(v.candidates("s", "m")) != 1 {
		t.Error("the old view has changed")
	}
}

// TestCountsOfAnotherViewAreRejected guards against counts of another view. They
// are matched to endpoints by position, so both must be of the same endpoints.
func TestCountsOfAnotherViewAreRejected(t *testing.T) {
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1"), engine("b", "d1")}})
	if NewLoads(sequentialDraws()).SetOthers(v.Endpoints, Counts{Running: []uint32{1}, TokenUnits: []uint32{1}}) {
		t.Error("SetOthers accepted one count for two endpoints")
	}
}

// TestHealthRanksEndpoints chooses among a healthy, a failing, a full and a dead
// endpoint and excludes each one once it was chosen.
func TestHealthRanksEndpoints(t *testing.T) {
	var all []*wire.FleetEndpoint
	for _, id := range []string{"dead", "failing", "full", "sound"} {
		all = append(all, engine(id, "d1", held("m")))
	}
	v := NewView(&wire.FleetView{Endpoints: all})
	l := NewLoads(rand.New(rand.NewPCG(1, 1)).IntN)
	setOthers(t, l, v, map[string]uint32{"full": 12, "sound": 8})
	l.SetSuspects(map[string]bool{"failing": true}, map[string]bool{"dead": true})
	tried := map[string]bool{}
	for _, want := range []string{"sound", "failing", "full", "dead"} {
		if got := chosenID(l.Choose(v, requirements, tried, 0)); got != want {
			t.Errorf("chosen %q with %v excluded, want %q", got, tried, want)
		}
		tried[want] = true
	}
	l.SetSuspects(nil, nil)
	if got := chosenID(l.Choose(v, requirements, map[string]bool{"sound": true, "failing": true}, 0)); got != "dead" {
		t.Errorf("chosen %q, want the empty endpoint, which is no longer considered dead", got)
	}
}

func TestUnresponsiveEndpointsAreReported(t *testing.T) {
	l := NewLoads(sequentialDraws())
	l.Begin("a", 0, 0, time.Second)
	l.Begin("a", 0, 0, time.Second+unresponsiveAfter/2)
	l.Begin("b", 0, 0, time.Second)
	now := time.Second + unresponsiveAfter + 1
	l.RecordReceived("b", now)
	for _, w := range l.Report(now) {
		if heard := w.Endpoint == "b"; w.Heard != heard || w.Silent == heard {
			t.Errorf("unresponsive a, responsive b: reported %v", w)
		}
	}
	l.RecordReceived("a", now)
	l.End("a", 0)
	for _, w := range l.Report(now + unresponsiveAfter) {
		if a := w.Endpoint == "a"; w.Heard != a || w.Silent {
			t.Errorf("bytes received only from a since the last report: reported %v", w)
		}
	}
}

func TestReportContainsResultsOnce(t *testing.T) {
	l := NewLoads(sequentialDraws())
	l.Begin("a", 30, 0, 0)
	l.Record("a", Served, 0)
	l.Record("a", Failed, 0)
	l.Record("b", Unreachable, 0)
	got := map[string]*wire.InProgress{}
	for _, w := range l.Report(unresponsiveAfter + 1) {
		got[w.Endpoint] = w
	}
	if a := got["a"]; a.Running != 1 || a.Tokens != 30 || a.Served != 1 || a.Failed != 1 || !a.Silent {
		t.Errorf("a: reported %v, want 1 running, 30 tokens, 1 served, 1 failed, silent", a)
	}
	if b := got["b"]; b.Running != 0 || b.Failed != 1 || b.Silent {
		t.Errorf("b: reported %v, want 0 running, 1 failed, not silent", b)
	}
	if again := l.Report(unresponsiveAfter + 1); len(again) != 1 || again[0].Served+again[0].Failed != 0 {
		t.Errorf("results reported twice: %v", again)
	}
}

func TestLatencyIsReportedWithTheExpectedOne(t *testing.T) {
	s := NewServiceTimes()
	if got := s.ChunkInterval("m"); got != 0 {
		t.Errorf("chunk interval %v without samples, want 0", got)
	}
	for range minServiceTimeSamples {
		s.Record("m", 100, 2*time.Second)
		s.RecordChunks("m", 41, 2*time.Second)
	}
	if got := s.ChunkInterval("m"); got < 45*time.Millisecond || got > 55*time.Millisecond {
		t.Errorf("chunk interval %v, want about 50ms", got)
	}
	l := NewLoads(sequentialDraws())
	l.RecordLatency("a", Latency{Took: 300 * time.Millisecond, Expected: 50 * time.Millisecond})
	l.RecordLatency("a", Latency{Took: 100 * time.Millisecond, Expected: 50 * time.Millisecond})
	l.RecordLatency("b", Latency{Took: time.Second})
	got := l.Report(0)
	if len(got) != 1 || got[0].Endpoint != "a" || got[0].TookMs != 400 || got[0].ExpectedMs != 100 {
		t.Errorf("reported %v, want only the latency of a, since none is expected of b", got)
	}
	if again := l.Report(0); len(again) != 0 {
		t.Errorf("latencies reported twice: %v", again)
	}
}

func TestEndpointInWhosePlaceAnotherAnsweredIsNotChosen(t *testing.T) {
	l := NewLoads(sequentialDraws())
	view := func(address string) *View {
		return NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{{Id: "a", Service: "s", Slots: 4, Address: address}, {Id: "b", Service: "s", Slots: 4, Leaving: true}}})
	}
	v := view("here")
	l.MarkReplaced(v.Endpoints[0], time.Second)
	for _, c := range []struct {
		name string
		view *View
		now  time.Duration
		want bool
	}{
		{"at once", v, time.Second, false},
		{"before it may be tried again", v, time.Second + replacedTTL - 1, false},
		{"after that", v, time.Second + replacedTTL, true},
		{"at another address", view("there"), time.Second, true},
	} {
		if got := l.Choose(c.view, Requirements{Service: "s"}, nil, c.now).Endpoint != nil; got != c.want {
			t.Errorf("%s: chosen %t, want %t", c.name, got, c.want)
		}
	}
}
