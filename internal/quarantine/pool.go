package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyramp/internal/wire"
)

const (
	// suspectCrashes is the number of crashes from which what was in flight during each of
	// them is a suspect.
	suspectCrashes = 2
	// brokenTTL is how long after a broken request the end of its endpoint counts as
	// the crash that broke it.
	brokenTTL = 6 * time.Second
	// judgedTTL is how long a crash is remembered so that requests which are broken at
	// the same endpoint later do not count as another one.
	judgedTTL = time.Minute
	// restartTime is the time without broken requests after which an endpoint that has
	// crashed is taken to have started again under its old id.
	restartTime = 2 * time.Second
	// retention is how long a request stays suspected or convicted after its last
	// crash. A convicted one is a suspect for as long again, which its next crash
	// convicts.
	retention = 10 * time.Minute
	// maxSuspects bounds the requests that are remembered, and maxInFlight those that
	// are remembered for one crash.
	maxSuspects = 16 << 10
	maxInFlight = 1 << 10
	// restoredCompletionTime is how long before a change of the leader a completion clears a
	// suspect that the new one has from the log, which does not tell when it first crashed.
	// What crashes endpoints completes at no time.
	restoredCompletionTime = 10 * time.Second
	// maxCrashTimes bounds the crashes whose times are remembered.
	maxCrashTimes = 2 << 10
	// maxKnown bounds the suspects that are given to all gateways.
	maxKnown = 1 << 10
)

// Crash is a crash of an endpoint that requests may have caused.
type Crash struct {
	Endpoint string
	// InFlight are the fingerprints that it broke, in ascending order, and At is when it broke
	// the first.
	InFlight []uint64
	At       time.Duration
	// Suspects are those of InFlight that earlier crashes broke too, most crashes first.
	Suspects []CrashCount
}

// CrashCount is the number of crashes during which a fingerprint was in flight.
type CrashCount struct {
	Fingerprint uint64
	Crashes     int
}

// Pool joins what gateways report of broken requests, and decides which requests, and which
// parts of prompts, crash the endpoints that run them. All of them are fingerprints to it.
// Gateways cannot run a suspect alone at an endpoint, so that it is convicted only by
// several crashes that nothing else explains, and since the first of which no request with
// it has run to its end. It is not safe for concurrent use.
type Pool struct {
	// broken holds what each endpoint has broken lately.
	broken   map[string][]*brokenEndpoint
	suspects map[uint64]*suspect
	// served holds the times of the last requests that were served, by service.
	served map[string]*servedTimes
	// crashCount numbers the crashes, and crashTimes holds when the last ones happened.
	crashCount uint64
	crashTimes []time.Duration
	// revision grows with each change of the known suspects.
	revision uint64
}

// leadershipShift places the leadership above the numbers of its revisions.
const leadershipShift = 20

// NewPool returns the empty pool of a leader. The revisions of different leaderships differ.
func NewPool(leadership uint64) *Pool {
	return &Pool{broken: map[string][]*brokenEndpoint{}, suspects: map[uint64]*suspect{}, served: map[string]*servedTimes{}, revision: leadership<<leadershipShift + 1}
}

// Served records that an endpoint of the service served a request at the time at.
func (p *Pool) Served(service string, at time.Duration) {
	t := p.served[service]
	if t == nil {
		t = &servedTimes{}
		p.served[service] = t
	}
	t.add(at)
}

// Completed records that an endpoint ran a request with the fingerprint to its end at the
// time at. It clears a suspect that had been in flight during a crash before.
func (p *Pool) Completed(fingerprint uint64, at time.Duration) {
	if s := p.suspects[fingerprint]; s != nil && !s.convicted && at > s.firstAt {
		p.drop(fingerprint, s)
	}
}

// Evaluate returns the crashes that have become certain, and the fingerprints that are
// convicted, in ascending order. An endpoint has crashed if it left the list, or accepted
// no connection and no gateway has received a byte from it since. The reports of all
// gateways take reportLag to arrive; as much again passes in which a gateway may report a
// response.
func (p *Pool) Evaluate(now, reportLag time.Duration) (found []Crash, convicted []uint64) {
	for _, endpoint := range slices.Sorted(maps.Keys(p.broken)) {
		p.forget(endpoint, func(b *brokenEndpoint) bool {
			age := now - b.reportedAt
			if !b.judged && b.crashed() && age > 2*reportLag && age <= brokenTTL {
				b.judged = true
				found = append(found, p.judge(endpoint, b, now))
			}
			return b.judged && age > judgedTTL || !b.judged && age > brokenTTL
		})
	}
	convicted = p.convict(now, reportLag)
	p.expire(now)
	return found, convicted
}

// judge counts a crash for what it broke.
func (p *Pool) judge(endpoint string, b *brokenEndpoint, now time.Duration) Crash {
	inFlight := slices.Sorted(maps.Keys(b.sentAt))
	p.crashCount++
	p.crashTimes = append(p.crashTimes, b.firstAt)
	if excess := len(p.crashTimes) - maxCrashTimes; excess > 0 {
		p.crashTimes = p.crashTimes[excess:]
	}
	servedAt := p.served[b.service].before(b.firstAt)
	for _, f := range inFlight {
		p.count(f, suspectCrash{number: p.crashCount, endpoint: xxhash.Sum64String(endpoint), at: b.firstAt, sentAt: b.sentAt[f], servedAt: servedAt}, now)
	}
	return Crash{Endpoint: endpoint, At: b.firstAt, InFlight: inFlight, Suspects: p.crashCounts(inFlight)}
}

// crashCounts returns the suspects among the fingerprints, most crashes first.
func (p *Pool) crashCounts(fingerprints []uint64) []CrashCount {
	var out []CrashCount
	for _, f := range fingerprints {
		if s := p.suspects[f]; s.known() {
			out = append(out, CrashCount{f, s.count()})
		}
	}
	slices.SortStableFunc(out, func(a, b CrashCount) int { return b.Crashes - a.Crashes })
	return out
}

func (p *Pool) count(fingerprint uint64, c suspectCrash, now time.Duration) {
	s := p.suspects[fingerprint]
	if s == nil {
		s = &suspect{firstAt: c.at}
		p.suspects[fingerprint] = s
	}
	if s.isRecorded(c) {
		return
	}
	s.firstAt, s.lastAt = min(s.firstAt, c.at), now
	wasKnown := s.known()
	s.crashes = append(s.crashes, c)
	if s.known() {
		p.revision++
	}
	if !wasKnown {
		s.knownAt = now
	}
}

func (p *Pool) drop(fingerprint uint64, s *suspect) {
	delete(p.suspects, fingerprint)
	if s.known() {
		p.revision++
	}
}

// expire drops what is past its retention, and the oldest single crashes beyond
// maxSuspects.
func (p *Pool) expire(now time.Duration) {
	for f, s := range p.suspects {
		switch {
		case now-s.lastAt <= retention:
		case s.convicted:
			*s = suspect{earlier: crashesBefore(f), earlierIndependent: crashesBefore(f), firstAt: now, lastAt: now, knownAt: now}
			p.revision++
		default:
			p.drop(f, s)
		}
	}
	if len(p.suspects) > maxSuspects {
		for _, f := range p.newestFirst()[maxSuspects:] {
			p.drop(f, p.suspects[f])
		}
	}
}

// crashesBefore returns the number of crashes after which the next one convicts.
func crashesBefore(fingerprint uint64) int {
	if IsPart(fingerprint) {
		return ambiguousCrashes - 1
	}
	return convictingCrashes - 1
}

// newestFirst returns the suspects, convicted ones first, then by their number of
// crashes, then by the time of the last one.
func (p *Pool) newestFirst() []uint64 {
	rank := func(s *suspect) int {
		if s.convicted {
			return ambiguousCrashes + 1
		}
		return s.count()
	}
	out := slices.Sorted(maps.Keys(p.suspects))
	slices.SortStableFunc(out, func(a, b uint64) int {
		x, y := p.suspects[a], p.suspects[b]
		if d := rank(y) - rank(x); d != 0 {
			return d
		}
		return int(y.lastAt - x.lastAt)
	})
	return out
}

// Known returns the suspects that all gateways are told of, by fingerprint, and their
// revision.
func (p *Pool) Known() ([]*wire.Suspect, uint64) {
	var out []*wire.Suspect
	for f, s := range p.suspects {
		if s.known() {
			out = append(out, s.toWire(f))
		}
	}
	if len(out) > maxKnown {
		out = out[:0]
		for _, f := range p.newestFirst()[:maxKnown] {
			out = append(out, p.suspects[f].toWire(f))
		}
	}
	slices.SortFunc(out, func(a, b *wire.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out, p.revision
}

// Undecided reports whether the fingerprint is that of a known suspect that is not convicted.
func (p *Pool) Undecided(fingerprint uint64) bool {
	s := p.suspects[fingerprint]
	return s != nil && s.known() && !s.convicted
}

// Convicted reports whether the fingerprint is convicted.
func (p *Pool) Convicted(fingerprint uint64) bool {
	s := p.suspects[fingerprint]
	return s != nil && s.convicted
}

// Revision returns the revision of the known suspects.
func (p *Pool) Revision() uint64 { return p.revision }

// Restore adds the suspects that an earlier leader has recorded.
func (p *Pool) Restore(recorded []*wire.Suspect, now time.Duration) {
	for _, r := range recorded {
		s := &suspect{
			earlier: int(r.Crashes), earlierIndependent: int(r.IndependentCrashes), earlierEndpoints: r.CrashedEndpoints, restoredAt: now,
			convicted: r.State == wire.SuspectState_SUSPECT_STATE_CONVICTED, firstAt: now - restoredCompletionTime, lastAt: now, knownAt: now,
		}
		if r.IndependentCrashes == 0 {
			s.earlierIndependent = s.earlier
		}
		p.suspects[r.Fingerprint] = s
	}
	p.revision++
}
