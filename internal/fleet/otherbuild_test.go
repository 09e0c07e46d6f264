package fleet

import (
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

// TestCountsOfAnEarlierLeaderAreUsed applies counts of a leader that knows neither the prompts
// of other gateways nor how long they take.
func TestCountsOfAnEarlierLeaderAreUsed(t *testing.T) {
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m"))}})
	l := NewLoads(sequentialDraws())
	l.SetStale(false, 4)
	if !l.SetOthers(v.Endpoints, Counts{Running: []uint32{3}, TokenUnits: []uint32{8}}) {
		t.Fatal("SetOthers rejected counts without prompts")
	}
	load := l.Begin("a", 900, 800, 0)
	if load.Running != 4 || load.PrefillTokens != 4*800 {
		t.Errorf("load %+v, want 4 requests, and the prompts of this gateway for each of the 4", load)
	}
	req := requirements
	req.FirstEventTarget = 100 * time.Millisecond
	if c := l.Choose(v, req, nil, 0); c.Utilization >= 1 {
		t.Errorf("utilization %.2f, want room: how long prompts take is not known", c.Utilization)
	}
}
