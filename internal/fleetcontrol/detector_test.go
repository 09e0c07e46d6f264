package fleetcontrol

import (
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

func TestFailuresAreTrackedPerDomain(t *testing.T) {
	v := newFailureDetector(testLog())
	// Gateways of the domain meet one failure each; none alone has seen enough.
	for _, gateway := range []string{"a", "b", "c", "d", "e"} {
		v.ingest(gateway, "d1", []*wire.InProgress{{Endpoint: "e", Failed: 1}}, time.Second)
		v.ingest(gateway+"2", "d2", []*wire.InProgress{{Endpoint: "e", Served: 1}}, time.Second)
	}
	if !v.failing("e", "d1", time.Second) {
		t.Error("the domain whose gateways failed five times goes on with the endpoint")
	}
	if v.failing("e", "d2", time.Second) || v.failing("e", "d3", time.Second) {
		t.Error("domains that the endpoint serves avoid it")
	}
	for _, gateway := range []string{"a", "b", "c", "d", "e"} {
		v.ingest(gateway, "d3", []*wire.InProgress{{Endpoint: "e", Failed: 1}}, time.Second)
	}
	if !v.failing("e", "d2", time.Second) {
		t.Error("an endpoint that fails in two domains is used in a third")
	}
	if v.failing("e", "d1", 10*time.Second) {
		t.Error("an endpoint is avoided long after its last failure")
	}
}

func TestDeadRequiresTwoGatewaysAndNoBytesReceived(t *testing.T) {
	v := newFailureDetector(testLog())
	now := time.Second
	report := func(gateway string, unresponsive, received bool) {
		v.ingest(gateway, "d1", []*wire.InProgress{{Endpoint: "e", Running: 1, Silent: unresponsive, Heard: received}}, now)
	}
	expect := func(want bool, why string) {
		t.Helper()
		if got := v.dead("e", now); got != want {
			t.Errorf("dead %v: %s", got, why)
		}
	}
	report("a", true, false)
	expect(false, "one gateway alone may have lost its own links")
	report("b", true, false)
	expect(true, "two gateways hear nothing and nobody else does")
	report("c", false, true)
	expect(false, "the requests of the two wait while the endpoint answers a third")
	now += unresponsiveReportTTL + 1
	expect(false, "the two have not said so again")
	report("a", true, false)
	report("b", true, false)
	expect(true, "nobody has heard of it since")
	report("b", false, false)
	expect(false, "a gateway has nothing to wait for any more")
	v.retain(func(string) bool { return false })
	if len(v.unresponsive)+len(v.lastReceived)+len(v.consideredDead) != 0 {
		t.Error("an endpoint that is gone is remembered")
	}
}

// TestSlowEndpointIsAvoided lets three endpoints work at usual speed and one take
// eight times as long, and then all of them take three times as long.
func TestSlowEndpointIsAvoided(t *testing.T) {
	v := newFailureDetector(testLog())
	now := time.Second
	report := func(slow, others uint32) {
		for _, x := range []struct {
			id    string
			times uint32
		}{{"slow", slow}, {"a", others}, {"b", others}, {"c", others}} {
			v.ingest("g", "d1", []*wire.InProgress{{Endpoint: x.id, TookMs: 400 * x.times, ExpectedMs: 400}}, now)
		}
		now += 100 * time.Millisecond
	}
	for range 10 {
		report(8, 1)
	}
	if !v.failing("slow", "d1", now) || v.failing("a", "d1", now) {
		t.Error("the slow endpoint is used, or one of usual speed avoided")
	}
	now += 10 * time.Second
	if v.failing("slow", "d1", now) {
		t.Error("the endpoint is not tried again")
	}
	for range 30 {
		report(3, 3)
	}
	if v.failing("slow", "d1", now) || v.failing("a", "d1", now) {
		t.Error("endpoints are avoided though all are slow alike")
	}
}
