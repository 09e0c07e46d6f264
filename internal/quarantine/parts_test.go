package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Fingerprints of parts of prompts.
const (
	firstPart = partBit | iota
	badPart
	companionPart
	// rarePart is the first of those that few requests have.
	rarePart
)

// serve lets a request with the fingerprints run to its end, on another endpoint.
func (p *testPool) serve(fingerprints ...uint64) {
	p.now += time.Millisecond
	p.Served("", p.now)
	for _, f := range fingerprints {
		p.Completed(f, p.now)
	}
}

// TestPartThatCrashesEachEndpointIsConvictedByItsFifthCrash sends requests of which no two
// are alike, each at a random time after the one before, beside sound ones.
func TestPartThatCrashesEachEndpointIsConvictedByItsFifthCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		for i := range ambiguousCrashes {
			p.now += time.Duration(rapid.IntRange(20, 3000).Draw(t, "pause")) * time.Millisecond
			p.breakAt(fmt.Sprint("e", i), uint64(1000+i), firstPart, badPart, rarePart+uint64(rapid.IntRange(0, 3).Draw(t, "rare part")))
			p.now += 10 * time.Millisecond
			p.serve(uint64(2000+i), firstPart)
			// The leader evaluates all the while.
			p.Evaluate(p.now, testReportLag)
		}
		for range 20 {
			p.now += 150 * time.Millisecond
			p.serve(3000, firstPart)
			p.Evaluate(p.now, testReportLag)
		}
		if s := p.suspects[badPart]; s == nil || !s.convicted {
			t.Fatalf("suspect %+v after %d crashes, want it convicted", s, ambiguousCrashes)
		}
		if s := p.suspects[firstPart]; s != nil && s.convicted {
			t.Fatal("a part of the sound requests is convicted")
		}
	})
}

func TestPartIsNotConvictedOfCrashesThatARequestCauses(t *testing.T) {
	p := newTestPool()
	for range ambiguousCrashes + 1 {
		p.serve(1)
		p.crash(7, firstPart, rarePart)
	}
	if s := p.suspects[7]; s == nil || !s.convicted {
		t.Fatal("the request is not convicted")
	}
	for _, part := range []uint64{firstPart, rarePart} {
		if s := p.suspects[part]; s != nil && s.convicted {
			t.Errorf("part %x is convicted of the crashes of one request", part)
		}
	}
}

func TestPartsThatAlwaysComeTogetherAreRefusedTogetherByTheFifthCrash(t *testing.T) {
	p := newTestPool()
	var convicted []uint64
	for i := range ambiguousCrashes {
		p.serve(1)
		convicted = p.crash(uint64(100+i), badPart, companionPart)
		if i < ambiguousCrashes-1 && convicted != nil {
			t.Fatalf("%x convicted by crash %d, want none: either part may be guilty", convicted, i+1)
		}
	}
	if !slices.Equal(convicted, []uint64{badPart, companionPart}) {
		t.Errorf("%x convicted by the fifth crash, want both parts", convicted)
	}
}

// TestPartOfAllRequestsIsNotConvictedByEndpointsThatCrashWhateverTheyRun lets every endpoint
// crash again and again before it has served a request.
func TestPartOfAllRequestsIsNotConvictedByEndpointsThatCrashWhateverTheyRun(t *testing.T) {
	p := newTestPool()
	p.serve(1, firstPart)
	for round := range 10 {
		p.now += time.Second
		for e := range 20 {
			p.breakAt(fmt.Sprintf("e%d-%d", e, round), uint64(round*100+e), firstPart)
		}
		if convicted := p.evaluate(); convicted != nil {
			t.Fatalf("%x convicted in round %d", convicted, round)
		}
	}
}

// TestPartIsNotConvictedByCrashesThatAreNoticedOneAfterTheOther lets endpoints with one part
// crash at once, which gateways notice later at some of them, while others serve requests.
func TestPartIsNotConvictedByCrashesThatAreNoticedOneAfterTheOther(t *testing.T) {
	p := newTestPool()
	sentAt := p.now
	for e := range 2 * ambiguousCrashes {
		p.now += 200 * time.Millisecond
		p.serve(1)
		p.Broken(Broken{Endpoint: fmt.Sprint("e", e), Refused: true, At: p.now, InFlight: []InFlight{{rarePart, sentAt}}}, p.now)
	}
	for range 3 {
		if convicted := p.evaluate(); convicted != nil {
			t.Fatalf("%x convicted of crashes at one time", convicted)
		}
	}
}

// TestPartsOfInnocentRequestsAreNotConvictedByCommonCrashes lets a third of the endpoints
// crash at once, three times within seconds, while parts complete at the others.
func TestPartsOfInnocentRequestsAreNotConvictedByCommonCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		const parts = 40
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for round := range 3 {
			for range 90 {
				p.serve(1, firstPart, rarePart+uint64(random.IntN(parts)))
				p.now += 16 * time.Millisecond
			}
			for e := range 6 {
				inFlight := []uint64{firstPart}
				for range 2 {
					inFlight = append(inFlight, rarePart+uint64(random.IntN(parts)))
				}
				p.breakAt(fmt.Sprintf("e%d-%d", e, round), inFlight...)
			}
			p.serve(1, firstPart)
			if convicted := p.evaluate(); convicted != nil {
				t.Fatalf("%x convicted in round %d", convicted, round)
			}
		}
	})
}

func TestCompletionBeforeTheFirstCrashClearsNothing(t *testing.T) {
	p := newTestPool()
	for i := range ambiguousCrashes {
		p.serve(1)
		p.crash(uint64(100+i), badPart)
		p.Completed(badPart, 0)
	}
	if s := p.suspects[badPart]; s == nil || !s.convicted {
		t.Error("a completion before the first crash has cleared the part")
	}
}

func TestConvictionOfAPartIsRenewedByItsNextCrash(t *testing.T) {
	p := newTestPool()
	for i := range ambiguousCrashes {
		p.serve(1)
		p.crash(uint64(100+i), badPart)
	}
	p.now += retention + time.Second
	p.evaluate()
	p.serve(1)
	if convicted := p.crash(200, badPart); !slices.Equal(convicted, []uint64{badPart}) {
		t.Errorf("%x convicted by the first crash after the retention, want the part", convicted)
	}
}

func TestPartFingerprintDiffersFromThatOfRequests(t *testing.T) {
	key := NewKey("group")
	part, request := key.PartFingerprint("5c1e"), key.Fingerprint(Content{Path: "5c1e"})
	if !IsPart(part) || IsPart(request) || part == key.PartFingerprint("91bd") {
		t.Errorf("fingerprints %x of a part and %x of a request", part, request)
	}
}

func TestCommonCrashOfHundredsOfEndpointsConvictsNoPart(t *testing.T) {
	p := newTestPool()
	const endpoints, slots, parts = 400, 16, 5000
	random := rand.New(rand.NewPCG(1, 0))
	for round := range 3 {
		for e := range endpoints {
			inFlight := []uint64{firstPart}
			for slot := range slots {
				inFlight = append(inFlight, uint64(round*1e6+e*slots+slot), rarePart+uint64(random.IntN(parts)))
			}
			p.breakAt(fmt.Sprintf("e%d-%d", e, round), inFlight...)
		}
		if convicted := p.evaluate(); convicted != nil {
			t.Fatalf("%x convicted in round %d", convicted, round)
		}
		for range parts {
			p.serve(1, firstPart, rarePart+uint64(random.IntN(parts)))
		}
	}
	if len(p.suspects) > maxSuspects {
		t.Errorf("%d suspects are remembered, want %d at most", len(p.suspects), maxSuspects)
	}
}

// crashAcrossLeaders lets a part crash endpoints up to its fifth crash, with a new leader
// after the given number of them, and returns what the last crash convicts. Gateways report
// again what they told the former leader.
func crashAcrossLeaders(newLeaderAfter int) []uint64 {
	p := newTestPool()
	var convicted []uint64
	for i := range ambiguousCrashes {
		if i == newLeaderAfter {
			known, _ := p.Known()
			now := p.now
			p = newTestPool()
			p.now = now
			p.Restore(known, p.now)
			for n := range i {
				at := time.Duration(n) * time.Millisecond
				p.Broken(Broken{Endpoint: fmt.Sprint("e", n+1), Refused: true, At: at, InFlight: []InFlight{{badPart, at}}}, p.now)
			}
			p.ends = i
		}
		p.serve(1)
		convicted = p.crash(uint64(100+i), badPart)
	}
	return convicted
}

func TestPartIsConvictedByItsFifthCrashAlthoughTheLeaderChanges(t *testing.T) {
	for after := suspectCrashes; after < ambiguousCrashes; after++ {
		if convicted := crashAcrossLeaders(after); !slices.Equal(convicted, []uint64{badPart}) {
			t.Errorf("%x convicted with a new leader after crash %d, want the part", convicted, after)
		}
	}
}

func TestFirstCrashOfAPartIsNotLostWithItsLeader(t *testing.T) {
	if convicted := crashAcrossLeaders(1); !slices.Equal(convicted, []uint64{badPart}) {
		t.Errorf("%x convicted by the fifth crash with a new leader after the first, want the part", convicted)
	}
}

func TestConvictedPartIsRefusedByTheNextLeader(t *testing.T) {
	p := newTestPool()
	for i := range ambiguousCrashes {
		p.serve(1)
		p.crash(uint64(100+i), badPart)
	}
	known, _ := p.Known()
	next := newTestPool()
	next.Restore(known, next.now)
	if got := Decide(next.state(badPart), 0); got != Reject {
		t.Errorf("decision %v at the next leader, want Reject", got)
	}
}
