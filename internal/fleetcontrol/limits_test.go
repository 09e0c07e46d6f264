package fleetcontrol

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/wire"
)

func TestLimitOfAnEndpointIsPublishedAndKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, e := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
		time.Sleep(time.Second)
		l.publish(l.s.clock())
		report := func(x *wire.EndpointLimit) *wire.SyncResponse {
			x.Endpoint = "e"
			return l.sync(&wire.SyncRequest{Gateway: &wire.Gateway{Id: "g"}, Limits: []*wire.EndpointLimit{x}})
		}
		granted := func(within time.Duration) int {
			n := 0
			for end := l.s.clock() + within; l.s.clock() < end; time.Sleep(10 * time.Millisecond) {
				if l.permit(&wire.PermitRequest{Gateway: "g", Endpoint: "e", Limited: true, PerSecond: 9}).Granted {
					n++
				}
			}
			return n
		}
		view := report(&wire.EndpointLimit{Limited: true, PerSecond: 2, AgoMs: 100}).View
		if len(view.GetEndpoints()) != 1 || !view.Endpoints[0].Limited || view.Endpoints[0].PerSecond != 2 {
			t.Fatalf("view %v, want the limit of the endpoint", view)
		}
		if n := granted(10 * time.Second); n < 19 || n > 21 {
			t.Errorf("%d permits in 10 s of a limit of 2 a second", n)
		}
		report(&wire.EndpointLimit{})
		if n := granted(time.Second); n != 100 {
			t.Errorf("%d of 100 permits once the endpoint names no limit", n)
		}
		report(&wire.EndpointLimit{Limited: true, PerSecond: 2})
		e.startedUnixMs = 1
		e.observeStart(2)
		if _, limited := l.limitOf("e"); limited {
			t.Error("a new process under the same id has the limit of the former one")
		}
	})
}

func TestPermitsAreGivenAtTheRateThatTheGatewayKnowsUntilTheLeaderDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
		r := &wire.PermitRequest{Gateway: "g", Endpoint: "e", Limited: true, PerSecond: 1}
		if l.permit(r).Granted {
			t.Error("a new leader gives a permit that its predecessor may have given")
		}
		time.Sleep(time.Second)
		if first, second := l.permit(r), l.permit(r); !first.Granted || second.Granted || !second.Limited || second.RetryAfterMs == 0 {
			t.Errorf("%v, then %v; want one permit after a second, and then a time to ask again", first, second)
		}
		if !l.permit(&wire.PermitRequest{Gateway: "g", Endpoint: "other"}).Granted {
			t.Error("no permit for an endpoint without a limit")
		}
	})
}

func TestPlacementDoesNotCountOnAnEngineThatServesLittleForItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, e := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{"m0": {}}}, HeldModel{Name: "m0"})
		l.demand.Add("m0", "", 1, 2*time.Second, l.s.clock())
		slots := l.doc.Services[0].Engine.Slots
		for perSecond, unavailable := range map[float64]bool{float64(slots) * minCapacityRatio / 4: true, float64(slots): false} {
			time.Sleep(time.Second)
			l.sync(&wire.SyncRequest{Gateway: &wire.Gateway{Id: "g"}, Limits: []*wire.EndpointLimit{{Endpoint: "e", Limited: true, PerSecond: perSecond}}})
			if got := plannerInputOf(e, l.s.clock()).Unavailable; got != unavailable {
				t.Errorf("unavailable %t with a limit of %g a second for %d slots, want %t", got, perSecond, slots, unavailable)
			}
		}
	})
}
