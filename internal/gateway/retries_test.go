package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/retry"
	"parsleyramp/internal/wire"
)

// retriesLeft withdraws what is left of the budget of the gateway.
func retriesLeft(g *Gateway) int {
	n := 0
	for g.retries.TryWithdraw("s", g.clock()) {
		n++
	}
	return n
}

func TestOnlyRetriesThatAreSentUseTheBudget(t *testing.T) {
	const slack, requests = 10, 3
	budget := func(now time.Duration) *retry.GatewayBudget {
		b := retry.NewGatewayBudget(retry.GatewayBudgetConfig{Slack: slack, Window: 10 * time.Second}, now-10*time.Second)
		b.SetGateways(1, now)
		return b
	}
	allowed := 0
	for full := budget(0); full.TryWithdraw("s", 0); {
		allowed++
	}
	for name, c := range map[string]struct {
		endpoints []string
		used      int
	}{
		"another endpoint":    {[]string{"e0", "e1"}, requests},
		"no other endpoint":   {[]string{"e0"}, 0},
		"no endpoint to send": {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
				g := newPipeGateway(t, document.Route{Kind: document.Idempotent, MaxAttempts: 2}, &loadingControl{}, engine)
				defer g.stop(t)
				view := &wire.FleetView{}
				for _, id := range c.endpoints {
					view.Endpoints = append(view.Endpoints, &wire.FleetEndpoint{Id: id, Service: "s", Slots: 10})
				}
				g.view.Store(fleet.NewView(view))
				g.retries = budget(g.clock())
				for range requests {
					<-g.send(t, "")
				}
				if got := retriesLeft(g.Gateway); got != allowed-c.used {
					t.Errorf("%d retries left of %d, want %d used", got, allowed, c.used)
				}
			})
		})
	}
}

// TestAnswerOfAnotherEndpointIsNoSignOfLifeOfTheOneMeant lets an endpoint end, and another
// one start at its address. Only the first request is sent there.
func TestAnswerOfAnotherEndpointIsNoSignOfLifeOfTheOneMeant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrivals := 0
		engine := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			arrivals++
			w.Header().Set("Other", "new")
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		g := newPipeGateway(t, document.Route{Kind: document.Idempotent, MaxAttempts: 2, Timeout: time.Second}, &loadingControl{}, engine)
		defer g.stop(t)
		for range 3 {
			if a := <-g.send(t, ""); a.status != http.StatusServiceUnavailable || a.retryAfter == "" {
				t.Errorf("answer %+v, want status 503 with Retry-After", a)
			}
		}
		if arrivals != 1 {
			t.Errorf("%d requests arrived, want 1", arrivals)
		}
		for _, x := range g.loads.Report(g.clock()) {
			if x.Heard {
				t.Error("the endpoint that ended was heard")
			}
		}
	})
}
