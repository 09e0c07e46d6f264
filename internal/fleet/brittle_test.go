package fleet

import (
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

// brittleFleet returns counts by which an endpoint of ten slots has as many requests in flight.
func brittleFleet(t *testing.T, running uint32) (*Loads, *View) {
	t.Helper()
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m"))}})
	l := NewLoads(sequentialDraws())
	setOthers(t, l, v, map[string]uint32{"a": running})
	return l, v
}

func TestBrittleEndpointHasLessRoom(t *testing.T) {
	l, v := brittleFleet(t, 8)
	if c := l.Choose(v, requirements, nil, 0); DecideOnSlot(c.Utilization, 0, time.Second) != Dispatch {
		t.Fatalf("utilization %v of an endpoint with two free slots, want a dispatch", c.Utilization)
	}
	l.SetBrittle("s", 5, 0)
	for _, stale := range []bool{false, true} {
		l.SetStale(stale, 1)
		if stale {
			for range 8 {
				l.Begin("a", 0, 0, 0)
			}
		}
		if c := l.Choose(v, requirements, nil, 0); DecideOnSlot(c.Utilization, 0, time.Second) == Dispatch {
			t.Errorf("utilization %v of a brittle endpoint, counts stale: %v; want no dispatch", c.Utilization, stale)
		}
	}
	l, v = brittleFleet(t, 8)
	l.SetBrittle("s", 5, 0)
	if c := l.Choose(v, requirements, nil, brittleTTL); DecideOnSlot(c.Utilization, 0, time.Second) != Dispatch {
		t.Errorf("utilization %v after the endpoint is brittle no more, want a dispatch", c.Utilization)
	}
}
