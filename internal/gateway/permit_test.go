package gateway

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/attempt"
	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/ratelimit"
	"parsleyramp/internal/wire"
)

// newPermitGateway starts a gateway whose leader answers calls for permits with permit, and
// whose endpoint counts the requests that it runs.
func newPermitGateway(t *testing.T, runs *int, permit func(*wire.PermitRequest) (*wire.PermitResponse, error)) *pipeGateway {
	t.Helper()
	engine := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		*runs++
		w.Header().Set("Signed", "1")
	})
	return newPipeGateway(t, document.Route{Kind: document.Idempotent, MaxAttempts: 2, Timeout: 20 * time.Second}, &loadingControl{permit: permit}, engine)
}

func TestSuspectOfThreeCrashesWaitsForItsPermitAndOthersDoNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		var asked []*wire.PermitRequest
		g := newPermitGateway(t, &runs, func(r *wire.PermitRequest) (*wire.PermitResponse, error) {
			asked = append(asked, r)
			return &wire.PermitResponse{Granted: len(asked) == 3, RetryAfterMs: 1000}, nil
		})
		defer g.stop(t)
		caller := testFingerprint(g.Gateway, "pipe")
		g.suspect(testContent(), wire.SuspectState_SUSPECT_STATE_SUSPECT)
		a := <-g.send(t, "")
		if a.status != http.StatusOK || runs != 1 || a.at < 2*maxPermitPause {
			t.Errorf("answer %+v after %d runs, want status 200 after two pauses", a, runs)
		}
		if len(asked) != 3 || asked[0].Endpoint != "e0" || !slices.Equal(asked[0].Suspects, []uint64{testContent()}) {
			t.Errorf("asked %v, want three calls for the content at e0", asked)
		}
		g.suspect(caller+1, wire.SuspectState_SUSPECT_STATE_SUSPECT)
		if a := <-g.send(t, ""); a.status != http.StatusOK || len(asked) != 3 {
			t.Errorf("answer %+v after %d calls, want no call for another request", a, len(asked))
		}
	})
}

func TestSuspectThatGetsNoPermitIsRefusedWithATimeToComeBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		status int
	}{{"denied", nil, http.StatusTooManyRequests}, {"no leader", errors.New("down"), http.StatusServiceUnavailable}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := 0
				g := newPermitGateway(t, &runs, func(*wire.PermitRequest) (*wire.PermitResponse, error) {
					return &wire.PermitResponse{RetryAfterMs: 1500}, c.err
				})
				defer g.stop(t)
				testFingerprint(g.Gateway, "pipe")
				g.suspect(testContent(), wire.SuspectState_SUSPECT_STATE_SUSPECT)
				if a := <-g.send(t, ""); a.status != c.status || a.retryAfter == "" || runs != 0 || a.at > 4*time.Second {
					t.Errorf("answer %+v after %d runs, want status %d with Retry-After within 4 s and no run", a, runs, c.status)
				}
			})
		})
	}
}

func TestPermitThatWasNotUsedIsReturnedWithTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		var asked []*wire.PermitRequest
		g := newPermitGateway(t, &runs, func(r *wire.PermitRequest) (*wire.PermitResponse, error) {
			asked = append(asked, r)
			return &wire.PermitResponse{Granted: true}, nil
		})
		defer g.stop(t)
		testFingerprint(g.Gateway, "pipe")
		g.suspect(testContent(), wire.SuspectState_SUSPECT_STATE_SUSPECT)
		g.view.Store(fleet.NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{{Id: "e0", Service: "s", Slots: 10}}}))
		q := &request{g: g.Gateway, ctx: t.Context(), knownFingerprints: []uint64{testContent(), 1}}
		q.requirements.Service = "s"
		s := search{startedAt: g.clock(), limit: time.Second}
		e := g.view.Load().Endpoints[0]
		for _, result := range []sendResult{{outcome: attempt.Unsent}, {outcome: attempt.Rejected}, {complete: true}} {
			if ok, err := q.permitted(e, &s); !ok || err != nil {
				t.Fatalf("not permitted: %v", err)
			}
			q.recordPermitUse(result)
		}
		if asked[0].Unused != "" || asked[1].Unused != "e0" || asked[2].Unused != "" {
			t.Errorf("asked %v, want the unused permit at e0 in the second call alone", asked)
		}
		if ok, err := q.permitted(e, &s); !ok || err != nil {
			t.Fatalf("not permitted: %v", err)
		}
		q.recordPermitUse(sendResult{outcome: attempt.Unsent})
		q.returnUnusedPermit()
		synctest.Wait()
		if last := asked[len(asked)-1]; last.Unused != "e0" || last.Endpoint != "" {
			t.Errorf("asked %v at the end of the request, want the unused permit returned", last)
		}
	})
}

// limitedView returns a view of the endpoints, of which the first names a limit.
func limitedView(perSecond float64, endpoints ...string) *fleet.View {
	w := &wire.FleetView{}
	for i, id := range endpoints {
		w.Endpoints = append(w.Endpoints, &wire.FleetEndpoint{Id: id, Service: "s", Slots: 10, Limited: i == 0, PerSecond: perSecond})
	}
	return fleet.NewView(w)
}

func TestRequestGoesElsewhereIfTheLimitOfAnEndpointDeniesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs, asked := 0, 0
		g := newPermitGateway(t, &runs, func(r *wire.PermitRequest) (*wire.PermitResponse, error) {
			if asked++; r.Endpoint != "e0" || !r.Limited || r.PerSecond != 2 {
				t.Errorf("asked %v, want a permit at e0 for 2 a second", r)
			}
			return &wire.PermitResponse{Limited: true, RetryAfterMs: 500}, nil
		})
		defer g.stop(t)
		g.view.Store(limitedView(2, "e0", "second"))
		for range 5 {
			if a := <-g.send(t, ""); a.status != http.StatusOK || a.at > permitTimeout {
				t.Errorf("answer %+v, want status 200 at once", a)
			}
		}
		if asked > 1 {
			t.Errorf("asked %d times within the time after which to ask again, want 1", asked)
		}
	})
}

func TestRequestWaitsForALimitedEndpointOrIsRefusedAtOnceWithTheTimeToComeBack(t *testing.T) {
	for _, c := range []struct {
		name       string
		retryAfter uint32
		status     int
		latest     time.Duration
	}{{"in time", 700, http.StatusOK, time.Second}, {"too late", 4000, http.StatusTooManyRequests, 200 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs, asked := 0, 0
				g := newPermitGateway(t, &runs, func(*wire.PermitRequest) (*wire.PermitResponse, error) {
					asked++
					return &wire.PermitResponse{Granted: asked == 2, Limited: asked == 1, RetryAfterMs: c.retryAfter}, nil
				})
				defer g.stop(t)
				g.view.Store(limitedView(1, "e0"))
				a := <-g.send(t, "")
				if a.status != c.status || a.at > c.latest || a.status != http.StatusOK && a.retryAfter < "3" {
					t.Errorf("answer %+v, want status %d within %v", a, c.status, c.latest)
				}
			})
		})
	}
}

func TestOneOfAllGatewaysUsesALimitedEndpointWithoutALeader(t *testing.T) {
	var gateways []*wire.Gateway
	for _, id := range []string{"g0", "g1", "g2", "g3", "g4"} {
		gateways = append(gateways, &wire.Gateway{Id: id})
	}
	v := fleet.NewView(&wire.FleetView{Gateways: gateways, Endpoints: []*wire.FleetEndpoint{{Id: "a"}, {Id: "b"}, {Id: "c"}}})
	for _, e := range v.Endpoints {
		using := 0
		for _, x := range gateways {
			g := newTestGateway(t, idempotent, document.Service{})
			g.cfg.ID = x.Id
			g.view.Store(v)
			if g.usesAlone(e) {
				using++
			}
			if ok, _ := g.takeAlone(e, 2); ok {
				t.Errorf("%s sends to %s as soon as the leader is lost", x.Id, e.ID)
			}
		}
		if using != 1 {
			t.Errorf("%d gateways use %s without a leader, want 1", using, e.ID)
		}
	}
}

func TestPermitThatIsTooOldIsNotUsed(t *testing.T) {
	g := newTestGateway(t, idempotent, document.Service{})
	now := time.Minute
	g.clock = func() time.Duration { return now }
	q := &request{g: g}
	if q.permitHolds() != nil {
		t.Error("a request that needs no permit is checked for one")
	}
	q.permit = &permit{until: now}
	holds := q.permitHolds()
	if !holds() {
		t.Error("a permit may not be used in its time")
	}
	if now++; holds() {
		t.Error("a permit may be used after its time")
	}
}

func TestLimitsAreToldToEachLeader(t *testing.T) {
	g := newTestGateway(t, idempotent, document.Service{})
	now := 10 * time.Second
	g.clock = func() time.Duration { return now }
	v := limitedView(3, "known", "seen")
	exchange := func(leadership uint64) []*wire.EndpointLimit {
		req := &wire.SyncRequest{}
		reported := g.limits.report(req, now)
		g.limits.confirm(reported, leadership, v, now)
		return req.Limits
	}
	exchange(1)
	g.observeLimit(v.Endpoints[1], ResponseInfo{Signed: true, Limit: ratelimit.Limit{Kind: ratelimit.Named, PerSecond: 2}}, now)
	now += time.Second
	if got := exchange(1); len(got) != 1 || got[0].Endpoint != "seen" || !got[0].Limited || got[0].PerSecond != 2 || got[0].AgoMs != 1000 {
		t.Errorf("reported %v, want the limit that was seen 1 s ago", got)
	}
	if got := exchange(2); len(got) != 0 {
		t.Errorf("reported %v again to the same leader", got)
	}
	if got := exchange(2); len(got) != 1 || got[0].Endpoint != "known" || got[0].PerSecond != 3 {
		t.Errorf("reported %v to a new leader, want the limit that the former one had published", got)
	}
	now += time.Second
	g.observeLimit(v.Endpoints[0], ResponseInfo{Signed: true}, now)
	if got := exchange(2); len(got) != 1 || got[0].Limited {
		t.Errorf("reported %v, want that the endpoint names no limit any more", got)
	}
	g.observeLimit(v.Endpoints[0], ResponseInfo{}, now)
	if got := exchange(2); len(got) != 0 {
		t.Errorf("reported %v, want nothing by an answer that is not signed", got)
	}
}

func TestOwnStatementCountsUntilTheLeaderKnowsBetter(t *testing.T) {
	g := newTestGateway(t, idempotent, document.Service{})
	now := 10 * time.Second
	g.clock = func() time.Duration { return now }
	e := fleet.NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{{Id: "e"}}}).Endpoints[0]
	g.observeLimit(e, ResponseInfo{Limit: ratelimit.Limit{Kind: ratelimit.Named, PerSecond: 2}}, now)
	if rate, limited := g.limitOf(e); !limited || rate != 2 {
		t.Errorf("limit %g, %t at once, want 2", rate, limited)
	}
	now += ownLimitTTL
	if _, limited := g.limitOf(e); limited {
		t.Error("limited although the leader, which must know of the limit, does not say so")
	}
	g.loads.SetStale(true, 1)
	if _, limited := g.limitOf(e); !limited {
		t.Error("not limited without a leader, though no answer has lifted the limit")
	}
}

func TestSendToABrittleEndpointNeedsAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []*wire.PermitRequest
		runs := 0
		g := newPermitGateway(t, &runs, func(r *wire.PermitRequest) (*wire.PermitResponse, error) {
			asked = append(asked, r)
			return &wire.PermitResponse{Granted: len(asked) > 1, Limited: true, RetryAfterMs: 100}, nil
		})
		if a := <-g.send(t, ""); a.status != 200 || len(asked) != 0 {
			t.Fatalf("status %d, %d permits, want 200 without a permit", a.status, len(asked))
		}
		g.loads.SetBrittle("s", 8, g.clock())
		if a := <-g.send(t, ""); a.status != 200 || len(asked) != 2 || !asked[0].Brittle || runs != 2 {
			t.Errorf("status %d, %d permits asked for, %d runs, want 200 with the second permit", a.status, len(asked), runs)
		}
		g.stop(t)
	})
}
