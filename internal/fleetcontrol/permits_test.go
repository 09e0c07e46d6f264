package fleetcontrol

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/ratelimit"
	"parsleyramp/internal/wire"
)

func TestSuspectsArePermittedOneAtATimeAndConvictedOnesNever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
		crash := func(endpoint string, at time.Duration, fingerprints ...uint64) {
			b := quarantine.Broken{Endpoint: endpoint, Refused: true, At: at}
			for _, f := range fingerprints {
				b.InFlight = append(b.InFlight, quarantine.InFlight{Fingerprint: f, SentAt: at})
			}
			l.suspects.Broken(b, at)
			l.suspects.Evaluate(at+time.Minute/20, l.reportLag())
		}
		for i, e := range []string{"a", "b", "c"} {
			crash(e, time.Duration(10*(i+1))*time.Second, 1, 2)
		}
		permit := func(endpoint string, suspects ...uint64) bool {
			return l.permit(&wire.PermitRequest{Gateway: "g", Endpoint: endpoint, Suspects: suspects}).Granted
		}
		if !permit("x", 1) || permit("x", 2) || permit("y", 1) || !permit("y", 2) {
			t.Error("want one suspect at each endpoint, and each at one endpoint")
		}
		l.suspects.Completed(2, 50*time.Second)
		if !permit("y", 3) {
			t.Error("a suspect that has run to its end holds its endpoint")
		}
		l.suspects.Evaluate(60*time.Second, l.reportLag())
		if !l.suspects.Convicted(1) {
			t.Fatal("the suspect that is left is not convicted")
		}
		if permit("z", 1) {
			t.Error("a convicted request is permitted")
		}
	})
}

func TestLimitOfAnEndpointEndsNoTrialThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
		at := l.s.clock()
		for _, e := range []string{"a", "b", "c"} {
			l.suspects.Broken(quarantine.Broken{Endpoint: e, Refused: true, At: at, InFlight: []quarantine.InFlight{{Fingerprint: 1, SentAt: at}, {Fingerprint: 2, SentAt: at}}}, at)
		}
		l.suspects.Evaluate(at+3*time.Second, l.reportLag())
		ask := func(suspects ...uint64) bool {
			return l.permit(&wire.PermitRequest{Gateway: "g", Endpoint: "e", Suspects: suspects}).Granted
		}
		if !ask(1) {
			t.Fatal("no trial of a suspect")
		}
		l.limits.book.Record("e", ratelimit.Statement{Limited: true, PerSecond: 1, At: at})
		if ask() {
			t.Fatal("a request is permitted at once at an endpoint that has just named a limit")
		}
		if time.Sleep(time.Second); ask(2) {
			t.Error("the trial has ended with a request that the limit denied")
		}
	})
}

func BenchmarkPermit(b *testing.B) {
	s := &Server{cfg: DefaultSettings(), log: testLog(), clock: func() time.Duration { return 0 }}
	l := newLeaderState(b.Context(), s, 1)
	for b.Loop() {
		l.permit(&wire.PermitRequest{Gateway: "g", Endpoint: "e", Limited: true, PerSecond: 100})
	}
}
