package control

import (
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

func TestReadSchedule(t *testing.T) {
	var r readSchedule
	if !r.due("engine-1", 0) {
		t.Fatal("an engine that was never read is not due")
	}
	r.answered("engine-1", 0)
	if r.due("engine-1", idleReadInterval-time.Nanosecond) || !r.due("engine-1", idleReadInterval) {
		t.Fatal("an engine that answered is due at another time than after the interval")
	}
	r.answered("engine-1", idleReadInterval)
	r.hurry("engine-1")
	if !r.due("engine-1", idleReadInterval) {
		t.Fatal("a crash that was reported does not make the engine due")
	}
}

func TestUnsettledEngines(t *testing.T) {
	p := &picture{orders: []*wire.Order{{Endpoint: "a"}}, copies: []*wire.Order{{Endpoint: "b"}}}
	if got := p.unsettled(); len(got) != 2 || !got["a"] || !got["b"] {
		t.Fatalf("got %v", got)
	}
}
