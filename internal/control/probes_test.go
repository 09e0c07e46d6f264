package control

import (
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

func TestProbeSchedule(t *testing.T) {
	var p probeSchedule
	if !p.due("engine-1", 0) {
		t.Fatal("an engine that was never probed is not due")
	}
	p.responded("engine-1", 0)
	if p.due("engine-1", idleProbeInterval-time.Nanosecond) || !p.due("engine-1", idleProbeInterval) {
		t.Fatal("an engine that responded is not due exactly when the interval ends")
	}
	p.responded("engine-1", idleProbeInterval)
	p.trigger("engine-1")
	if !p.due("engine-1", idleProbeInterval) {
		t.Fatal("an engine is not due after trigger")
	}
}

func TestEnginesWithOpenOrders(t *testing.T) {
	snap := &snapshot{orders: []*wire.Order{{Endpoint: "a"}}, copies: []*wire.Order{{Endpoint: "b"}}}
	if got := snap.enginesWithOpenOrders(); len(got) != 2 || !got["a"] || !got["b"] {
		t.Fatalf("engines with open orders: got %v, want a and b", got)
	}
}
