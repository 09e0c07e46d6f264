package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/wire"
)

// testFingerprint returns the fingerprint of the requests that call and pipeGateway.send
// send without a body from the caller.
func testFingerprint(g *Gateway, caller string) uint64 {
	key := quarantine.NewKey("test")
	g.fingerprintKey.Store(&key)
	return key.Fingerprint(quarantine.Content{Path: "/a/x", Caller: caller})
}

// suspect makes the gateway treat the request as the control plane does.
func (g *Gateway) suspect(fingerprint uint64, s wire.SuspectState) {
	g.suspects.apply(&wire.SyncResponse{SuspectsRevision: 1, Suspects: []*wire.Suspect{{Fingerprint: fingerprint, State: s}}}, reportedCounts{})
}

func TestConvictedRequestIsRefusedAtOnceAndOthersAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		engine := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs++
			w.Header().Set("Signed", "1")
		})
		g := newPipeGateway(t, document.Route{Kind: document.Idempotent, MaxAttempts: 2}, &loadingControl{}, engine)
		defer g.stop(t)
		g.suspect(testFingerprint(g.Gateway, "pipe"), wire.SuspectState_SUSPECT_STATE_CONVICTED)
		if a := <-g.send(t, ""); a.status != http.StatusUnprocessableEntity || a.retryAfter != "" || runs != 0 {
			t.Errorf("answer %+v after %d runs, want status 422 without Retry-After and no run", a, runs)
		}
		g.suspect(testFingerprint(g.Gateway, "another caller"), wire.SuspectState_SUSPECT_STATE_CONVICTED)
		if a := <-g.send(t, ""); a.status != http.StatusOK || runs != 1 {
			t.Errorf("answer %+v after %d runs, want status 200 for another caller's request", a, runs)
		}
	})
}

func TestSuspectIsSentOnceForEachAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		engine := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs++
			panic(http.ErrAbortHandler)
		})
		g := newPipeGateway(t, document.Route{Kind: document.Idempotent, MaxAttempts: 2}, &loadingControl{}, engine)
		defer g.stop(t)
		g.view.Store(fleet.NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{{Id: "e0", Service: "s", Slots: 10}, {Id: "second", Service: "s", Slots: 10}}}))
		g.suspect(testFingerprint(g.Gateway, "pipe"), wire.SuspectState_SUSPECT_STATE_SUSPECT)
		if a := <-g.send(t, ""); a.status != http.StatusBadGateway || runs != 1 {
			t.Errorf("answer %+v after %d runs, want status 502 after one run", a, runs)
		}
		g.suspect(testFingerprint(g.Gateway, "another caller"), wire.SuspectState_SUSPECT_STATE_SUSPECT)
		if <-g.send(t, ""); runs != 3 {
			t.Errorf("%d runs, want two more for a request that is no suspect", runs-1)
		}
	})
}

func TestBrokenRequestIsReportedUntilAnExchangeSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		g := newPipeGateway(t, document.Route{Kind: document.AtMostOnce, MaxAttempts: 1}, &loadingControl{}, engine)
		defer g.stop(t)
		fingerprint := testFingerprint(g.Gateway, "pipe")
		<-g.send(t, "")
		time.Sleep(probeTimeout)
		for range 2 {
			req := &wire.SyncRequest{}
			g.suspects.report(req, g.clock())
			if len(req.Broken) != 1 || req.Broken[0].Endpoint != "e0" || req.Broken[0].Fingerprints[0] != fingerprint || req.Broken[0].Refused {
				t.Fatalf("reported %v, want the request at e0, which still accepts connections", req.Broken)
			}
		}
		counts := g.suspects.report(&wire.SyncRequest{}, g.clock())
		g.suspects.apply(&wire.SyncResponse{}, counts)
		req := &wire.SyncRequest{}
		if g.suspects.report(req, g.clock()); len(req.Broken) != 0 {
			t.Errorf("reported %v again after a successful exchange", req.Broken)
		}
	})
}

func TestBrokenRequestThatIsOldIsNotReported(t *testing.T) {
	var s suspects
	s.addBroken(brokenRequest{endpoint: "e", fingerprint: 1, at: time.Second})
	req := &wire.SyncRequest{}
	if s.report(req, time.Second+brokenReportTTL+1); len(req.Broken) != 0 {
		t.Errorf("reported %v, want nothing: the gateway may have been cut off since", req.Broken)
	}
}

func TestRequestOfADepartedClientIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSilentPipeGateway(t)
		defer g.stop(t)
		testFingerprint(g.Gateway, "pipe")
		q := &request{g: g.Gateway, httpRequest: &http.Request{}}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		q.ctx = ctx
		q.knownFingerprints = []uint64{1}
		e := g.view.Load().Endpoints[0]
		q.recordCrashEvidence(e, sendResult{broken: true})
		if len(g.suspects.broken) != 0 {
			t.Error("a request whose client left counts as broken by its endpoint")
		}
		g.loads.SetSuspects(nil, map[string]bool{e.ID: true})
		q.recordCrashEvidence(e, sendResult{broken: true})
		if len(g.suspects.broken) != 1 || !g.suspects.broken[0].refused {
			t.Error("a request whose client left while its endpoint was dead does not count")
		}
	})
}
