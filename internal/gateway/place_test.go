package gateway

import (
	"testing"
	"testing/synctest"
	"time"

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
		draw: func() float64 { return 0 }, paces: fleet.NewPaces(),
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
	for limit, longest := range map[time.Duration]time.Duration{
		12 * time.Second: 1500 * time.Millisecond, 2 * time.Second: 300 * time.Millisecond,
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
