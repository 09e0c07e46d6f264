package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/wire"
)

const testReportLag = 300 * time.Millisecond

// testPool is a pool with a clock that advances at each crash.
type testPool struct {
	*Pool
	now time.Duration
	// ends numbers the endpoints that have crashed.
	ends int
}

func newTestPool() *testPool { return &testPool{Pool: NewPool(0)} }

// crash ends an endpoint under the requests and returns those that are convicted by it.
func (p *testPool) crash(fingerprints ...uint64) []uint64 {
	p.ends++
	return p.crashAt(fmt.Sprint("e", p.ends), fingerprints...)
}

func (p *testPool) crashAt(endpoint string, fingerprints ...uint64) []uint64 {
	// All gateways learn of the suspects of the crash before.
	p.now += testReportLag + 1
	p.breakAt(endpoint, fingerprints...)
	return p.evaluate()
}

// testRunTime is how long broken requests have run.
const testRunTime = 10 * time.Millisecond

// breakAt lets an endpoint that accepts no connections break the requests now.
func (p *testPool) breakAt(endpoint string, fingerprints ...uint64) {
	r := Broken{Endpoint: endpoint, Refused: true, At: p.now}
	for _, f := range fingerprints {
		r.InFlight = append(r.InFlight, InFlight{f, p.now - testRunTime})
	}
	p.Broken(r, p.now)
}

// evaluate returns the convicted once all gateways have reported.
func (p *testPool) evaluate() []uint64 {
	p.now += 3 * testReportLag
	_, convicted := p.Evaluate(p.now, testReportLag)
	return convicted
}

func (p *testPool) state(fingerprint uint64) wire.SuspectState {
	known, _ := p.Known()
	for _, s := range known {
		if s.Fingerprint == fingerprint {
			return s.State
		}
	}
	return wire.SuspectState_SUSPECT_STATE_UNSPECIFIED
}

func TestRequestThatCrashesEachEndpointIsConvictedByItsThirdCrash(t *testing.T) {
	p := newTestPool()
	for i, want := range []Decision{Run, RunIsolated, Reject} {
		// Other requests are in flight at each endpoint.
		convicted := p.crash(7, uint64(100+i), uint64(200+i))
		if got := Decide(p.state(7), 0); got != want {
			t.Errorf("after crash %d: decision %v, want %v", i+1, got, want)
		}
		if wantConvicted := want == Reject; slices.Equal(convicted, []uint64{7}) != wantConvicted {
			t.Errorf("crash %d convicts %v", i+1, convicted)
		}
	}
}

// TestInnocentRequestsBesideCrashesAreNotConvicted lets one request crash endpoints while
// others are in flight there, some of which are sent again and again until they have run
// to their end.
func TestInnocentRequestsBesideCrashesAreNotConvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		const crashing = uint64(1000)
		sends := map[uint64]int{}
		for range rapid.IntRange(3, 8).Draw(t, "crashes") {
			inFlight := []uint64{crashing}
			for f := range uint64(12) {
				// A client sends an innocent request at most four times.
				if sends[f] < 4 && rapid.IntRange(0, 3).Draw(t, "in flight") == 0 {
					sends[f]++
					inFlight = append(inFlight, f)
				} else if sends[f] > 0 && rapid.Bool().Draw(t, "completed") {
					p.Completed(f, p.now)
				}
			}
			if p.state(crashing) == wire.SuspectState_SUSPECT_STATE_CONVICTED {
				return
			}
			for _, f := range p.crash(inFlight...) {
				if f != crashing {
					t.Fatalf("innocent request %d is convicted", f)
				}
			}
		}
	})
}

func TestRequestsThatShareEveryCrashAreToldApartByTheNext(t *testing.T) {
	p := newTestPool()
	for range 3 {
		if convicted := p.crash(1, 2); convicted != nil {
			t.Fatalf("%v convicted, want none: either of two requests may have caused the crashes", convicted)
		}
	}
	if convicted := p.crash(2); !slices.Equal(convicted, []uint64{2}) {
		t.Errorf("%v convicted by a crash of 2 alone, want 2", convicted)
	}
	if got := p.state(1); got != wire.SuspectState_SUSPECT_STATE_UNSPECIFIED {
		t.Errorf("state %v of request 1, want it cleared: request 2 explains its crashes", got)
	}
}

func TestRequestsThatCannotBeToldApartAreRefusedInTime(t *testing.T) {
	p := newTestPool()
	for range 4 {
		p.crash(1, 2)
	}
	if convicted := p.crash(1, 2); len(convicted) != 2 {
		t.Errorf("%v convicted by the fifth common crash, want both", convicted)
	}
}

func TestCommonCrashOfHundredsOfEndpointsConvictsNoRequest(t *testing.T) {
	p := newTestPool()
	const endpoints, slots = 400, 32
	for round := range 3 {
		for e := range endpoints {
			for slot := range slots {
				// Half of the requests are sent again after each crash.
				f := uint64(e*slots+slot) + uint64(round)*uint64(slot%2)*1e6
				p.breakAt(fmt.Sprintf("e%d-%d", e, round), f)
			}
		}
		if convicted := p.evaluate(); convicted != nil {
			t.Fatalf("round %d: %v convicted", round, convicted)
		}
	}
	if len(p.suspects) > maxSuspects {
		t.Errorf("%d suspects are remembered, want %d at most", len(p.suspects), maxSuspects)
	}
}

// TestRequestInFlightAtManyEndpointsIsNotConvictedByTheirCommonCrash guards a request that
// its client sends so often that it is in flight at all endpoints.
func TestRequestInFlightAtManyEndpointsIsNotConvictedByTheirCommonCrash(t *testing.T) {
	p := newTestPool()
	for e := range 8 {
		p.breakAt(fmt.Sprint("common ", e), 7, 8)
	}
	p.breakAt("common 8", 7)
	for range 3 {
		if convicted := p.evaluate(); convicted != nil {
			t.Fatalf("%v convicted by crashes at one time", convicted)
		}
	}
	p.Completed(8, p.now)
	if convicted := p.crash(7, 8); !slices.Equal(convicted, []uint64{7}) {
		t.Errorf("%v convicted by the next crash, want 7 and not 8, which has run to its end", convicted)
	}
}

// TestRequestIsNotConvictedOfCrashesWithACommonCause lets a request be in flight at one of
// many endpoints that crash at once, three times.
func TestRequestIsNotConvictedOfCrashesWithACommonCause(t *testing.T) {
	for others, want := range map[int]bool{maxOtherCrashes: true, maxOtherCrashes + 1: false} {
		p := newTestPool()
		for round := range ambiguousCrashes {
			p.now += time.Second
			p.breakAt(fmt.Sprint("own ", round), 7)
			for e := range others {
				p.now += commonCrashTime / 10
				p.breakAt(fmt.Sprintf("other %d %d", e, round), uint64(100+10*round+e))
			}
			p.evaluate()
		}
		if got := p.suspects[7].convicted; got != want {
			t.Errorf("convicted %t beside %d other crashes at each time, want %t", got, others, want)
		}
	}
}

func TestEndpointThatBreaksRequestsWithoutCrashing(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(p *testPool, endpoint string)
		want wire.SuspectState
	}{
		{"refuses connections", func(*testPool, string) {}, wire.SuspectState_SUSPECT_STATE_CONVICTED},
		{"accepts connections", func(p *testPool, e string) { p.broken[e][0].refused = false }, 0},
		{"accepts connections and leaves the list", func(p *testPool, e string) { p.broken[e][0].refused = false; p.Removed(e, false) }, wire.SuspectState_SUSPECT_STATE_CONVICTED},
		{"responds, for it has started again", func(p *testPool, e string) { p.Responded(e, p.now+testReportLag+1, testReportLag); p.Restarted(e) }, wire.SuspectState_SUSPECT_STATE_CONVICTED},
		{"leaves as planned", func(p *testPool, e string) { p.Removed(e, true) }, 0},
		{"responds to another gateway", func(p *testPool, e string) { p.Responded(e, p.now+testReportLag+1, testReportLag) }, 0},
		{"responded before", func(p *testPool, e string) { p.Responded(e, p.now+testReportLag, testReportLag) }, wire.SuspectState_SUSPECT_STATE_CONVICTED},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool()
			for i := range 3 {
				endpoint := fmt.Sprint("e", i)
				p.now += testReportLag + 1
				p.breakAt(endpoint, 7)
				c.end(p, endpoint)
				p.evaluate()
			}
			if got := p.state(7); got != c.want {
				t.Errorf("state %v, want %v", got, c.want)
			}
		})
	}
}

// TestCrashSoonAfterASurvivedResetIsFound guards against a crash that is taken for a part of an
// earlier reset, which the endpoint survived, because it was heard of until it crashed.
func TestCrashSoonAfterASurvivedResetIsFound(t *testing.T) {
	p := newTestPool()
	for i := range convictingCrashes {
		endpoint := fmt.Sprint("e", i)
		p.now += testReportLag + 1
		p.breakAt(endpoint, uint64(100+i))
		p.now += 2 * testReportLag
		p.Responded(endpoint, p.now, testReportLag)
		p.breakAt(endpoint, 7)
		p.evaluate()
	}
	if got := p.state(7); got != wire.SuspectState_SUSPECT_STATE_CONVICTED {
		t.Errorf("state %v after %d crashes, want convicted", got, convictingCrashes)
	}
}

func TestRequestSentToEndpointThatHasCrashedIsNoSuspect(t *testing.T) {
	p := newTestPool()
	for range 3 {
		p.crashAt("e", 1)
		p.crashAt("e", 2)
	}
	if len(p.suspects) != 1 || p.suspects[1].count() != 1 {
		t.Errorf("%d suspects after one crash of one endpoint, want the request that was in flight during it", len(p.suspects))
	}
}

func TestEndpointThatCrashesAgainUnderItsOldIDCountsAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		// between is what the gateways see of the endpoint between two crashes.
		between func(p *testPool)
	}{
		{"it responds in between", func(p *testPool) { p.Responded("e", p.now, testReportLag) }},
		{"it is known to have started again", func(p *testPool) { p.Restarted("e") }},
		{"nothing is sent to it in between", func(p *testPool) { p.now += restartTime + 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool()
			for range 3 {
				p.crashAt("e", 7)
				c.between(p)
			}
			if got := Decide(p.state(7), 0); got != Reject {
				t.Errorf("decision %v after three crashes of one endpoint, want Reject", got)
			}
		})
	}
}

func TestCompletedRequestIsNoLongerSuspected(t *testing.T) {
	p := newTestPool()
	p.crash(7)
	p.crash(7)
	_, before := p.Known()
	p.Completed(7, p.now)
	if _, after := p.Known(); p.state(7) != 0 || after == before {
		t.Errorf("state %v at revision %d after %d, want no suspect at a new revision", p.state(7), after, before)
	}
	if convicted := p.crash(7); convicted != nil {
		t.Errorf("%v convicted by its first crash after it completed", convicted)
	}
}

func TestSuspectsSurviveAChangeOfLeader(t *testing.T) {
	p := newTestPool()
	for range 3 {
		p.crash(7)
	}
	p.crash(8)
	p.crash(8)
	p.crash(10)
	p.crash(10)
	known, _ := p.Known()
	next := newTestPool()
	next.Restore(known, next.now)
	if got := Decide(next.state(7), 0); got != Reject {
		t.Errorf("decision %v on the convicted request at the next leader, want Reject", got)
	}
	if convicted := next.crash(8, 9); !slices.Equal(convicted, []uint64{8}) {
		t.Errorf("%v convicted by the third crash of 8, want 8", convicted)
	}
	if convicted := next.crash(10); !slices.Equal(convicted, []uint64{10}) {
		t.Errorf("%v convicted by the third crash of 10, want 10: the conviction of 8 explains none of its crashes", convicted)
	}
}

func TestConvictionExpires(t *testing.T) {
	p := newTestPool()
	for range 3 {
		p.crash(7)
	}
	p.now += retention + time.Second
	p.Evaluate(p.now, testReportLag)
	if got := Decide(p.state(7), 0); got != RunIsolated {
		t.Errorf("decision %v after the retention, want RunIsolated", got)
	}
	if convicted := p.crash(7); !slices.Equal(convicted, []uint64{7}) {
		t.Errorf("%v convicted by the next crash, want 7", convicted)
	}
}

func TestFingerprintDependsOnPathAndBodyAndThatOfACallerOnTheCallerToo(t *testing.T) {
	key := NewKey("group")
	c := Content{Path: "/a", Body: []byte("x")}
	content := key.Fingerprint(c)
	seen := map[uint64]string{}
	for _, x := range []struct {
		name        string
		fingerprint uint64
	}{
		{"content", content}, {"another path", key.Fingerprint(Content{"/b", c.Body})}, {"another body", key.Fingerprint(Content{"/a", []byte("y")})},
		{"path and body moved", key.Fingerprint(Content{"/ax", nil})},
		{"caller", key.CallerFingerprint(content, "10.0.0.1")}, {"another caller", key.CallerFingerprint(content, "10.0.0.2")},
	} {
		if same, ok := seen[x.fingerprint]; ok {
			t.Errorf("%s and %s have the same fingerprint", same, x.name)
		}
		seen[x.fingerprint] = x.name
	}
	if content != NewKey("group").Fingerprint(c) || content == NewKey("other").Fingerprint(c) {
		t.Error("the fingerprint does not depend on the group alone")
	}
	if !sameContent(content, key.CallerFingerprint(content, "10.0.0.1")) || sameContent(content, key.Fingerprint(Content{"/b", c.Body})) || !isContent(content) {
		t.Error("a content and its callers cannot be told from others")
	}
}

// TestRequestIsConvictedByItsThirdCrashWhoeverSendsIt lets several callers send a request
// that crashes endpoints, beside one caller's requests that do not.
func TestRequestIsConvictedByItsThirdCrashWhoeverSendsIt(t *testing.T) {
	key := NewKey("group")
	content := key.Fingerprint(Content{Path: "/bad"})
	p := newTestPool()
	var convicted []uint64
	for i, caller := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		other := key.Fingerprint(Content{Path: fmt.Sprint("/good/", i)})
		convicted = p.crash(content, key.CallerFingerprint(content, caller), other, key.CallerFingerprint(other, "10.0.0.9"))
	}
	if !slices.Equal(convicted, []uint64{content}) {
		t.Errorf("%x convicted by the third crash, want %x", convicted, content)
	}
}

func TestCallerIsConvictedAloneIfOthersCompleteTheSameContent(t *testing.T) {
	key := NewKey("group")
	content := key.Fingerprint(Content{Path: "/a"})
	bad := key.CallerFingerprint(content, "10.0.0.1")
	p := newTestPool()
	var convicted []uint64
	for range convictingCrashes {
		convicted = p.crash(content, bad)
		p.now += time.Millisecond
		p.Completed(content, p.now)
		p.Completed(key.CallerFingerprint(content, "10.0.0.2"), p.now)
	}
	if convicted = append(convicted, p.evaluate()...); !slices.Equal(convicted, []uint64{bad}) {
		t.Errorf("%x convicted, want the one caller's requests %x", convicted, bad)
	}
}

// TestCrashThatTheLogLacksCountsOnceAtTheNextLeader lets the leader be lost before it has
// judged the fourth crash of two suspects, of which one was in flight. Gateways report all
// crashes again to the next one, which has the first three from the log.
func TestCrashThatTheLogLacksCountsOnceAtTheNextLeader(t *testing.T) {
	p := newTestPool()
	var reported []func(*testPool)
	crash := func(endpoint string, fingerprints ...uint64) {
		at := p.now
		reported = append(reported, func(p *testPool) {
			r := Broken{Endpoint: endpoint, Refused: true, At: at}
			for _, f := range fingerprints {
				r.InFlight = append(r.InFlight, InFlight{f, at - testRunTime})
			}
			p.Broken(r, p.now)
		})
		reported[len(reported)-1](p)
	}
	for _, endpoint := range []string{"a", "b", "c"} {
		crash(endpoint, 1, 2)
		if convicted := p.evaluate(); convicted != nil {
			t.Fatalf("%v convicted, want none: either of two requests may have caused the crashes", convicted)
		}
		p.now += testReportLag
	}
	known, _ := p.Known()
	crash("d", 1)
	p.now += testReportLag
	next := newTestPool()
	next.now = p.now
	next.Restore(known, next.now)
	for _, report := range reported {
		report(next)
	}
	convicted := next.evaluate()
	if convicted = append(convicted, next.evaluate()...); !slices.Equal(convicted, []uint64{1}) {
		t.Errorf("%v convicted by the next leader, want 1", convicted)
	}
	if s := next.suspects[2]; s != nil && s.count() > 3 {
		t.Errorf("%d crashes of the other one, want 3", s.count())
	}
}

func TestCompletionBeforeAChangeOfLeaderClearsASuspect(t *testing.T) {
	p := newTestPool()
	for range ambiguousCrashes - 1 {
		p.serve(1)
		p.crash(100+uint64(p.ends), badPart)
	}
	p.now += time.Second
	completedAt := p.now
	known, _ := p.Known()
	next := newTestPool()
	next.now = p.now + time.Second
	next.Restore(known, next.now)
	next.Completed(badPart, completedAt)
	next.serve(1)
	if convicted := next.crash(200, badPart); convicted != nil || next.suspects[badPart].count() != 1 {
		t.Errorf("%x convicted, %d crashes, want the part cleared: it completed after its crashes", convicted, next.suspects[badPart].count())
	}
}

// TestReportsOfDifferentTimesAreNotOneCrash lets gateways report again, to a new leader and
// at once, what an endpoint has broken in the last minute. It crashed twice in that time.
func TestReportsOfDifferentTimesAreNotOneCrash(t *testing.T) {
	p := newTestPool()
	p.now = time.Minute
	const brokeOff, gatewayAway, firstCrash, secondCrash = 1, 2, 3, 4
	for _, r := range []Broken{
		{Refused: true, At: 40 * time.Second, InFlight: []InFlight{{firstCrash, 0}}},
		{Refused: false, At: 10 * time.Second, InFlight: []InFlight{{brokeOff, 0}}},
		{Refused: true, At: 50 * time.Second, InFlight: []InFlight{{secondCrash, 0}}},
		{Refused: true, At: 40*time.Second + restartTime, InFlight: []InFlight{{firstCrash, 0}}},
		{Refused: false, At: 55 * time.Second, InFlight: []InFlight{{gatewayAway, 0}}},
	} {
		r.Endpoint = "e"
		p.Broken(r, p.now)
	}
	p.evaluate()
	for f, want := range map[uint64]int{brokeOff: 0, gatewayAway: 0, firstCrash: 1, secondCrash: 1} {
		got := 0
		if s := p.suspects[f]; s != nil {
			got = s.count()
		}
		if got != want {
			t.Errorf("%d crashes of request %d, want %d", got, f, want)
		}
	}
	if p.crashCount != 2 {
		t.Errorf("%d crashes found, want 2", p.crashCount)
	}
}
