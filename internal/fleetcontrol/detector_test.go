package fleetcontrol

import (
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

func TestFailuresAreTrackedPerDomain(t *testing.T) {
	d := newFailureDetector(testLog())
	// Each gateway of the domain reports one failure, which alone is not enough to
	// mark the endpoint as failing.
	for _, gateway := range []string{"a", "b", "c", "d", "e"} {
		d.ingest(gateway, "d1", []*wire.InProgress{{Endpoint: "e", Failed: 1}}, time.Second)
		d.ingest(gateway+"2", "d2", []*wire.InProgress{{Endpoint: "e", Served: 1}}, time.Second)
	}
	if !d.failing("e", "d1", time.Second) {
		t.Error("endpoint not failing for d1 after five failures there")
	}
	if d.failing("e", "d2", time.Second) || d.failing("e", "d3", time.Second) {
		t.Error("endpoint failing for d2 or d3, where it had no failures")
	}
	for _, gateway := range []string{"a", "b", "c", "d", "e"} {
		d.ingest(gateway, "d3", []*wire.InProgress{{Endpoint: "e", Failed: 1}}, time.Second)
	}
	if !d.failing("e", "d2", time.Second) {
		t.Error("endpoint not failing for d2 after failures in d1 and d3")
	}
	if d.failing("e", "d1", 10*time.Second) {
		t.Error("endpoint still failing for d1 9s after its last failure")
	}
}

func TestDeadRequiresTwoGatewaysAndNoBytesReceived(t *testing.T) {
	d := newFailureDetector(testLog())
	now := time.Second
	report := func(gateway string, unresponsive, received bool) {
		d.ingest(gateway, "d1", []*wire.InProgress{{Endpoint: "e", Running: 1, Silent: unresponsive, Heard: received}}, now)
	}
	expect := func(want bool, why string) {
		t.Helper()
		if got := d.dead("e", now); got != want {
			t.Errorf("dead = %v: %s", got, why)
		}
	}
	report("a", true, false)
	expect(false, "a single gateway may have lost its own network links")
	report("b", true, false)
	expect(true, "two gateways report it unresponsive and none receives bytes from it")
	report("c", false, true)
	expect(false, "a third gateway receives bytes from the endpoint")
	now += unresponsiveReportTTL + 1
	expect(false, "the reports of the two gateways have expired")
	report("a", true, false)
	report("b", true, false)
	expect(true, "no gateway has received bytes from it since")
	report("b", false, false)
	expect(false, "one of the two gateways no longer reports it unresponsive")
	d.retain(func(string) bool { return false })
	if len(d.unresponsive)+len(d.lastReceived)+len(d.consideredDead) != 0 {
		t.Error("state of an unlisted endpoint is retained")
	}
}

func TestGatewaysThatHearNothingOfSeveralEndpointsConvictNone(t *testing.T) {
	silent := func(ids ...string) []*wire.InProgress {
		var out []*wire.InProgress
		for _, id := range ids {
			out = append(out, &wire.InProgress{Endpoint: id, Running: 1, Silent: true})
		}
		return out
	}
	d := newFailureDetector(testLog())
	for _, gateway := range []string{"a", "b", "c"} {
		d.ingest(gateway, "d1", silent("e", "f"), time.Second)
	}
	if d.dead("e", time.Second) || d.dead("f", time.Second) {
		t.Error("gateways that share a cause convicted sound endpoints")
	}
	heard := &wire.InProgress{Endpoint: "f", Running: 1, Heard: true}
	for _, gateway := range []string{"a", "b"} {
		d.ingest(gateway, "d1", append(silent("e"), heard), time.Second)
	}
	if !d.dead("e", time.Second) {
		t.Error("an endpoint is not dead of which two gateways hear nothing that hear another one")
	}
}

// TestSlowEndpointIsAvoided reports one endpoint at eight times the expected
// latency and three at the expected one, and then all four at three times the
// expected latency.
func TestSlowEndpointIsAvoided(t *testing.T) {
	d := newFailureDetector(testLog())
	now := time.Second
	report := func(slow, others uint32) {
		for _, x := range []struct {
			id    string
			times uint32
		}{{"slow", slow}, {"a", others}, {"b", others}, {"c", others}} {
			d.ingest("g", "d1", []*wire.InProgress{{Endpoint: x.id, TookMs: 400 * x.times, ExpectedMs: 400}}, now)
		}
		now += 100 * time.Millisecond
	}
	for range 10 {
		report(8, 1)
	}
	if !d.failing("slow", "d1", now) || d.failing("a", "d1", now) {
		t.Error("the slow endpoint is not failing, or one of normal latency is")
	}
	now += 10 * time.Second
	if d.failing("slow", "d1", now) {
		t.Error("the slow endpoint is still failing 10s after its last request")
	}
	for range 30 {
		report(3, 3)
	}
	if d.failing("slow", "d1", now) || d.failing("a", "d1", now) {
		t.Error("endpoints are failing although all have the same latency")
	}
}
