package control

import (
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

func TestProbeSchedule(t *testing.T) {
	var r probeSchedule
	if !r.due("engine-1", 0) {
		t.Fatal("an engine that was never read is not due")
	}
	r.responded("engine-1", 0)
	if r.due("engine-1", idleProbeInterval-time.Nanosecond) || !r.due("engine-1", idleProbeInterval) {
		t.Fatal("an engine that answered is due at another time than after the interval")
	}
	r.responded("engine-1", idleProbeInterval)
	r.trigger("engine-1")
	if !r.due("engine-1", idleProbeInterval) {
		t.Fatal("a crash that was reported does not make the engine due")
	}
}

func TestEnginesWithOpenOrders(t *testing.T) {
	p := &snapshot{orders: []*wire.Order{{Endpoint: "a"}}, copies: []*wire.Order{{Endpoint: "b"}}}
	if got := p.enginesWithOpenOrders(); len(got) != 2 || !got["a"] || !got["b"] {
		t.Fatalf("got %v", got)
	}
}
