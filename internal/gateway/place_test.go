package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wire"
)

// fullEndpoint returns a gateway whose only endpoint has no place left, and a
// request that has the time for it.
func fullEndpoint(t *testing.T, limit time.Duration) (*Gateway, *request) {
	start := time.Now()
	g := &Gateway{
		clock: func() time.Duration { return time.Since(start) }, loads: fleet.NewLoads(func(int) int { return 0 }),
		draw: func() float64 { return 0 }, paces: fleet.NewPaces(), waits: fleet.NewWaits(),
	}
	g.changed.init()
	g.view.Store(fleet.NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{{Id: "e", Service: "s", Slots: 1}}}))
	for range 2 {
		g.loads.Begin("e", 0, 0, 0)
	}
	return g, &request{g: g, route: &document.Route{}, need: fleet.Need{Service: "s"}, end: limit, ctx: t.Context()}
}

func TestRequestWaitsForAPlaceThatComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const free = 300 * time.Millisecond
		g, q := fullEndpoint(t, 12*time.Second)
		time.AfterFunc(free, func() {
			g.loads.End("e", 0)
			g.loads.End("e", 0)
		})
		e, err := q.place(map[string]bool{})
		if err != nil || e.ID != "e" || g.clock() < free || g.clock() > free+placePoll {
			t.Errorf("%v, %v after %v", e, err, g.clock())
		}
	})
}

func TestRequestIsRefusedWhereNoPlaceComes(t *testing.T) {
	// A request waits 2.5 s for a place, or 0.4 of its time where that is less.
	for limit, longest := range map[time.Duration]time.Duration{
		12 * time.Second: 2500*time.Millisecond + placePoll, 2 * time.Second: 800*time.Millisecond + placePoll,
	} {
		synctest.Test(t, func(t *testing.T) {
			g, q := fullEndpoint(t, limit)
			e, err := q.place(map[string]bool{})
			if e != nil || !fail.Is(err, fail.Overloaded) || fail.From(err).RetryAfter == 0 {
				t.Errorf("%v, %v", e, err)
			}
			if g.clock() > longest {
				t.Errorf("refused after %v of %v, want within %v", g.clock(), limit, longest)
			}
		})
	}
}

// TestWaitEndsBeforeTheCallerOfAStreamLeaves gives a request much time, whose
// caller leaves after two seconds without an event.
func TestWaitEndsBeforeTheCallerOfAStreamLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, q := fullEndpoint(t, 12*time.Second)
		q.route.Patience = 2 * time.Second
		if e, err := q.place(map[string]bool{}); e != nil || !fail.Is(err, fail.Overloaded) {
			t.Errorf("%v, %v", e, err)
		}
		if longest := 800*time.Millisecond + placePoll; g.clock() > longest {
			t.Errorf("refused after %v, want within %v", g.clock(), longest)
		}
	})
}

func TestOlderDocumentIsNotTaken(t *testing.T) {
	g := &Gateway{log: testLog(), adapter: Dependencies{Decode: func(text []byte) (*document.Document, error) {
		return &document.Document{Version: uint64(len(text))}, nil
	}}}
	g.changed.init()
	for _, version := range []uint64{3, 2, 3, 5, 4} {
		g.takeDocument(&wire.Document{Version: version, Text: make([]byte, version)})
		if got := g.table.Load().Document.Version; got < 3 || got < version && version > 3 {
			t.Errorf("version %d in force after %d was told", got, version)
		}
	}
	if got := g.table.Load().Document.Version; got != 5 {
		t.Errorf("version %d in force, want the highest", got)
	}
}

// fakeReserver gives out the places of endpoints.
type fakeReserver struct {
	places map[string]int
	asked  []string
}

func (f *fakeReserver) Reserve(_ context.Context, _, endpoint string, _ int, _ time.Duration) (string, error) {
	f.asked = append(f.asked, endpoint)
	left, known := f.places[endpoint]
	switch {
	case !known:
		return "", fail.New(fail.EndpointFailed, "no answer")
	case left == 0:
		return "", nil
	}
	f.places[endpoint]--
	return "place at " + endpoint, nil
}

// contended returns a request for a model whose endpoints are in high use.
func contended(t *testing.T, r *fakeReserver, endpoints ...string) *request {
	g, q := fullEndpoint(t, 12*time.Second)
	g.adapter.Reserver = r
	g.log = testLog()
	// Control has said that no further replica is on its way.
	g.wants.answered = map[wantKey]wantAnswer{{demandKey: demandKey{model: "m"}}: {at: time.Hour}}
	w := &wire.FleetView{}
	for _, id := range endpoints {
		w.Endpoints = append(w.Endpoints, &wire.FleetEndpoint{Id: id, Service: "s", Slots: 10, Models: []*wire.HeldModel{{Name: "m"}}})
		for range 8 {
			g.loads.Begin(id, 0, 0, 0)
		}
	}
	g.view.Store(fleet.NewView(w))
	q.need, q.keepPlace = fleet.Need{Service: "s", Model: "m"}, time.Second
	return q
}

func TestPlaceIsReservedWhereOthersMayTakeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReserver{places: map[string]int{"a": 0, "b": 1}}
		q := contended(t, r, "a", "b")
		e, err := q.place(map[string]bool{})
		if err != nil || e.ID != "b" || q.reservation != "place at b" {
			t.Errorf("%v, %v with %q", e, err, q.reservation)
		}
		e, err = q.place(map[string]bool{})
		if e != nil || !fail.Is(err, fail.Overloaded) || q.reservation != "" {
			t.Errorf("%v, %v with %q and no place left", e, err, q.reservation)
		}
	})
}

func TestEndpointsThatDoNotAnswerAreNotAskedForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReserver{places: map[string]int{}}
		q := contended(t, r, "a")
		e, err := q.place(map[string]bool{})
		if e != nil || !fail.Is(err, fail.Unavailable) || len(r.asked) != maxSilent {
			t.Errorf("%v, %v after %v", e, err, r.asked)
		}
	})
}

func TestNoPlaceIsReservedAtEndpointsInLowUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReserver{}
		q := contended(t, r, "a")
		for range 6 {
			q.g.loads.End("a", 0)
		}
		if e, err := q.place(map[string]bool{}); err != nil || e.ID != "a" || len(r.asked) > 0 {
			t.Errorf("%v, %v after %v", e, err, r.asked)
		}
	})
}

func testLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}
