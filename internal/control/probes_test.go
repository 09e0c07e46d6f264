package control

import (
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

func TestProbeSchedule(t *testing.T) {
	var r probeSchedule
	if !r.due("engine-1", 0) {
		t.Fatal("an engine that was never probed is not due")
	}
	r.responded("engine-1", 0)
	if r.due("engine-1", idleProbeInterval-time.Nanosecond) || !r.due("engine-1", idleProbeInterval) {
		t.Fatal("an engine that responded is not due exactly when the interval ends")
	}
	r.responded("engine-1", idleProbeInterval)
	r.trigger("engine-1")
	if !r.due("engine-1", idleProbeInterval) {
		t.Fatal("an engine is not due after trigger")
	}
}

func TestEnginesWithOpenOrders(t *testing.T) {
	p := &snapshot{orders: []*wire.Order{{Endpoint: "a"}}, copies: []*wire.Order{{Endpoint: "b"}}}
	if got := p.enginesWithOpenOrders(); len(got) != 2 || !got["a"] || !got["b"] {
		t.Fatalf("engines with open orders: got %v, want a and b", got)
	}
}
