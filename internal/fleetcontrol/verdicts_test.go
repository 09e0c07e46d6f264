package fleetcontrol

import (
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

func TestFailuresOfOneDomainAreItsOwn(t *testing.T) {
	v := newVerdicts()
	// Gateways of the domain meet one failure each; none alone has seen enough.
	for _, gateway := range []string{"a", "b", "c", "d", "e"} {
		v.take(gateway, "d1", []*wire.InProgress{{Endpoint: "e", Failed: 1}}, time.Second)
		v.take(gateway+"2", "d2", []*wire.InProgress{{Endpoint: "e", Served: 1}}, time.Second)
	}
	if !v.avoid("e", "d1", time.Second) {
		t.Error("the domain whose gateways failed five times goes on with the endpoint")
	}
	if v.avoid("e", "d2", time.Second) || v.avoid("e", "d3", time.Second) {
		t.Error("domains that the endpoint serves avoid it")
	}
	for _, gateway := range []string{"a", "b", "c", "d", "e"} {
		v.take(gateway, "d3", []*wire.InProgress{{Endpoint: "e", Failed: 1}}, time.Second)
	}
	if !v.avoid("e", "d2", time.Second) {
		t.Error("an endpoint that fails in two domains is used in a third")
	}
	if v.avoid("e", "d1", 10*time.Second) {
		t.Error("an endpoint is avoided long after its last failure")
	}
}

func TestSilenceNeedsTwoGateways(t *testing.T) {
	v := newVerdicts()
	silent := []*wire.InProgress{{Endpoint: "e", Running: 1, Silent: true}}
	v.take("a", "d1", silent, time.Second)
	if v.avoid("e", "d1", time.Second) {
		t.Error("one gateway alone may have lost its own links")
	}
	v.take("b", "d2", silent, time.Second)
	if !v.avoid("e", "d3", time.Second) {
		t.Error("two gateways hear nothing of the endpoint")
	}
	if v.avoid("e", "d3", time.Second+silenceTrust) {
		t.Error("the gateways' word counts for longer than it is trusted")
	}
	v.take("a", "d1", silent, 2*time.Second)
	v.take("b", "d2", silent, 2*time.Second)
	v.take("b", "d2", []*wire.InProgress{{Endpoint: "e", Running: 1}}, 2*time.Second)
	if v.avoid("e", "d3", 2*time.Second) {
		t.Error("a gateway has heard of the endpoint again")
	}
	v.keep(func(string) bool { return false })
	if len(v.silent) != 0 {
		t.Error("an endpoint that is gone is remembered")
	}
}
