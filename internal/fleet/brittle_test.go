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

func TestSendThatABrittleEndpointMayRejectIsARisk(t *testing.T) {
	for _, c := range []struct {
		name    string
		running uint32
		full    bool
		brittle bool
		risky   bool
	}{
		{"known room", 5, false, true, false},
		{"room for some gateways only", 6, false, true, true},
		{"has just rejected one", 0, true, true, true},
		{"not brittle", 9, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, v := brittleFleet(t, c.running)
			if c.brittle {
				l.SetBrittle("s", 5, 0)
			}
			if c.full {
				l.MarkFull("a")
			}
			if n, risky := l.Risk(v.Endpoints[0], 0); risky != c.risky || risky && n != 5 {
				t.Errorf("risky: %v, of %v rejections, want %v of 5", risky, n, c.risky)
			}
		})
	}
}
