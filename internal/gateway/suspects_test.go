package gateway

import (
	"context"
	"net/http"
	"slices"
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
	return key.CallerFingerprint(testContent(), caller)
}

// testContent returns the fingerprint of the content of these requests.
func testContent() uint64 {
	return quarantine.NewKey("test").Fingerprint(quarantine.Content{Path: "/a/x"})
}

// suspect makes the gateway treat the request as the control plane does.
func (g *Gateway) suspect(fingerprint uint64, s wire.SuspectState) {
	g.suspects.apply(&wire.SyncResponse{SuspectsRevision: 1, Suspects: []*wire.Suspect{{Fingerprint: fingerprint, State: s, Crashes: limitingCrashes}}}, suspectsReport{})
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
		g.suspect(testContent(), wire.SuspectState_SUSPECT_STATE_CONVICTED)
		if a := <-g.send(t, ""); a.status != http.StatusUnprocessableEntity || runs != 1 {
			t.Errorf("answer %+v after %d runs, want status 422 for a convicted content, whoever sends it", a, runs)
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
			if len(req.Broken) != 1 || req.Broken[0].Endpoint != "e0" || !slices.Equal(req.Broken[0].Fingerprints, []uint64{testContent(), fingerprint}) || req.Broken[0].Refused {
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

func TestBrokenRequestsAreReportedAgainToANewLeader(t *testing.T) {
	const first, second = 1, 2
	var s suspects
	exchange := func(leadership, revision uint64) *wire.SyncRequest {
		req := &wire.SyncRequest{}
		s.apply(&wire.SyncResponse{Leadership: leadership, SuspectsRevision: revision}, s.report(req, 10*time.Second))
		return req
	}
	s.addBroken(brokenRequest{endpoint: "a", fingerprints: []uint64{1, 2}, refused: true, at: 9 * time.Second})
	s.addBroken(brokenRequest{endpoint: "a", fingerprints: []uint64{4}, at: 9 * time.Second})
	exchange(first, 11)
	if got := exchange(first, 12).Broken; len(got) != 0 {
		t.Fatalf("reported %v twice to one leader", got)
	}
	s.addBroken(brokenRequest{endpoint: "b", fingerprints: []uint64{3}, at: 10 * time.Second})
	exchange(second, 21)
	if got := exchange(second, 21).Broken; len(got) != 1 || got[0].Endpoint != "a" || !slices.Equal(got[0].Fingerprints, []uint64{1, 2}) || !got[0].Refused || got[0].BrokenAgoMs != 1000 {
		t.Errorf("reported %v to the new leader, want the requests at the crash of endpoint a, 1 s ago", got)
	}
	if got := exchange(second, 22).Broken; len(got) != 0 {
		t.Errorf("reported %v again", got)
	}
}

func TestBrokenRequestThatIsOldIsNotReported(t *testing.T) {
	var s suspects
	s.addBroken(brokenRequest{endpoint: "e", fingerprints: []uint64{1}, at: time.Second})
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
		q.knownFingerprints = []uint64{1, 2}
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

// testPart returns the fingerprint of a part of prompts.
func testPart(id string) uint64 { return quarantine.NewKey("test").PartFingerprint(id) }

func TestRequestsWithAConvictedPartAreRefusedAndOthersAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Signed", "1") })
		g := newPipeGateway(t, document.Route{Kind: document.Idempotent, MaxAttempts: 2}, &loadingControl{}, engine)
		defer g.stop(t)
		testFingerprint(g.Gateway, "pipe")
		g.suspect(testPart("bad"), wire.SuspectState_SUSPECT_STATE_CONVICTED)
		for parts, want := range map[string]int{
			"first bad session": http.StatusUnprocessableEntity, "bad": http.StatusUnprocessableEntity, "first other session": http.StatusOK, "": http.StatusOK,
		} {
			if a := <-g.send(t, "", "Parts", parts); a.status != want || a.retryAfter != "" {
				t.Errorf("answer %+v to a prompt of the parts %q, want status %d without Retry-After", a, parts, want)
			}
		}
	})
}

func TestRequestThatWaitsIsRefusedOnceAPartOfItIsConvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &loadingControl{readyAt: time.Now().Add(5 * time.Second)}
		g := newPipeGateway(t, document.Route{Kind: document.Stream, MaxAttempts: 1, Timeout: 20 * time.Second}, control, http.NotFoundHandler())
		defer g.stop(t)
		testFingerprint(g.Gateway, "pipe")
		received := g.send(t, "loading", "Parts", "first bad session")
		time.Sleep(time.Second)
		g.suspect(testPart("bad"), wire.SuspectState_SUSPECT_STATE_CONVICTED)
		g.changed.notify()
		convictedAt := g.clock()
		if a := <-received; a.status != http.StatusUnprocessableEntity || a.at > convictedAt {
			t.Errorf("answer %+v, %v after the conviction, want status 422 at once", a, a.at-convictedAt)
		}
	})
}

func TestPartOfFewCrashesDoesNotLimitItsRequests(t *testing.T) {
	g := newTestGateway(t, idempotent, document.Service{})
	testFingerprint(g, "caller")
	q := &request{g: g, httpRequest: &http.Request{}, knownFingerprints: []uint64{1, 2, testPart("part")}}
	for crashes, want := range map[uint32]bool{limitingCrashes - 1: false, limitingCrashes: true} {
		g.suspects.apply(&wire.SyncResponse{SuspectsRevision: 1, Suspects: []*wire.Suspect{
			{Fingerprint: testPart("part"), State: wire.SuspectState_SUSPECT_STATE_SUSPECT, Crashes: crashes},
		}}, suspectsReport{})
		if got := q.partSuspected(); got != want {
			t.Errorf("limited %t after %d crashes, want %t", got, crashes, want)
		}
	}
}

func TestSuspectedPartIsSentOnceUnlessItHasCompletedHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs, crash := 0, true
		engine := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs++
			if crash {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Signed", "1")
		})
		g := newPipeGateway(t, document.Route{Kind: document.Idempotent, MaxAttempts: 2}, &loadingControl{}, engine)
		defer g.stop(t)
		g.view.Store(fleet.NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{{Id: "e0", Service: "s", Slots: 10}, {Id: "second", Service: "s", Slots: 10}}}))
		testFingerprint(g.Gateway, "pipe")
		g.suspect(testPart("shared"), wire.SuspectState_SUSPECT_STATE_SUSPECT)
		if <-g.send(t, "", "Parts", "shared"); runs != 1 {
			t.Fatalf("%d runs of a request with a suspected part, want 1", runs)
		}
		runs, crash = 0, false
		<-g.send(t, "", "Parts", "shared")
		crash = true
		if <-g.send(t, "", "Parts", "shared"); runs != 3 {
			t.Errorf("%d runs of two requests, want 3: the part has completed here", runs)
		}
	})
}

func TestCompletionsOfSuspectsAreReportedOnceToEachLeader(t *testing.T) {
	var s suspects
	s.addCompleted([]uint64{1, 2}, time.Second)
	known := &wire.SyncResponse{SuspectsRevision: 5, Suspects: []*wire.Suspect{
		{Fingerprint: 1, State: wire.SuspectState_SUSPECT_STATE_SUSPECT}, {Fingerprint: 3, State: wire.SuspectState_SUSPECT_STATE_SUSPECT},
	}}
	report := func() (*wire.SyncRequest, suspectsReport) {
		req := &wire.SyncRequest{}
		return req, s.report(req, 3*time.Second)
	}
	_, reported := report()
	s.apply(known, reported)
	for range 2 {
		req, _ := report()
		if len(req.CompletedSuspects) != 1 || req.CompletedSuspects[0] != 1 || req.CompletedAgoMs[0] != 2000 {
			t.Fatalf("reported %v, %v ms ago, want 1, 2000 ms ago, until an exchange succeeds", req.CompletedSuspects, req.CompletedAgoMs)
		}
	}
	_, reported = report()
	s.apply(&wire.SyncResponse{}, reported)
	if req, _ := report(); len(req.CompletedSuspects) != 0 {
		t.Errorf("reported %v again to the same leader", req.CompletedSuspects)
	}
	known.SuspectsRevision = 9
	_, reported = report()
	s.apply(known, reported)
	if req, _ := report(); len(req.CompletedSuspects) != 1 {
		t.Errorf("reported %v after a change of the suspects, want 1", req.CompletedSuspects)
	}
}

func TestPartsOfAnAnswerThatWasStreamedAreNoSuspects(t *testing.T) {
	for streamed, want := range map[time.Duration]int{0: 3, survivalTime - 1: 3, survivalTime: 2} {
		synctest.Test(t, func(t *testing.T) {
			g := newSilentPipeGateway(t)
			defer g.stop(t)
			q := &request{g: g.Gateway, httpRequest: &http.Request{}, ctx: t.Context(), knownFingerprints: []uint64{1, 2, testPart("part")}}
			q.recordCrashEvidence(g.view.Load().Endpoints[0], sendResult{broken: true, streamed: streamed})
			time.Sleep(time.Second)
			req := &wire.SyncRequest{}
			g.suspects.report(req, g.clock())
			if b := req.Broken; len(b) != 1 || len(b[0].Fingerprints) != want {
				t.Errorf("reported %v after %v of streaming, want %d fingerprints", b, streamed, want)
			}
		})
	}
}

func TestCompletionsAreBounded(t *testing.T) {
	var c completions
	for f := range uint64(5 * maxCompletions) {
		c.add(f, time.Duration(f))
		c.add(0, time.Duration(f))
	}
	if len(c.recent)+len(c.older) > 2*maxCompletions {
		t.Errorf("%d completions are remembered, want %d at most", len(c.recent)+len(c.older), 2*maxCompletions)
	}
	if at, ok := c.last(0); !ok || at != time.Duration(5*maxCompletions-1) {
		t.Errorf("the last completion is at %v, %t", at, ok)
	}
}
