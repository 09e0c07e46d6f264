package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"parsleyramp/internal/wire"
)

const (
	// suspectCrashes is the number of crashes from which a request that was in flight
	// during each of them is a suspect.
	suspectCrashes = 2
	// convictingCrashes is the number of crashes after which a request is convicted,
	// unless another request was in flight during each of them too. After
	// ambiguousCrashes it is convicted in any case. The last crash must have come when
	// all gateways knew the suspect: one of its runs to the end would have cleared it.
	convictingCrashes = 3
	ambiguousCrashes  = 5
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
	// maxKnown bounds the suspects that are given to all gateways.
	maxKnown = 1 << 10
)

// Crash is a crash of an endpoint that requests may have caused.
type Crash struct {
	Endpoint string
	// InFlight are the requests that it broke, and Convicted those of them that are
	// convicted by it, both in ascending order.
	InFlight, Convicted []uint64
	// Suspects are those of InFlight that earlier crashes broke too, most crashes first.
	Suspects []CrashCount
}

// CrashCount is the number of crashes during which a fingerprint was in flight.
type CrashCount struct {
	Fingerprint uint64
	Crashes     int
}

// Pool joins what gateways report of broken requests, and decides which requests crash
// the endpoints that run them. Gateways cannot run a suspect alone at an endpoint, so
// that a request is convicted only by several crashes that no other request explains.
// It is not safe for concurrent use.
type Pool struct {
	broken   map[string]*brokenEndpoint
	suspects map[uint64]*suspect
	// crashCount numbers the crashes.
	crashCount uint64
	// revision grows with each change of the known suspects.
	revision uint64
}

// brokenEndpoint is an endpoint that broke requests without a response.
type brokenEndpoint struct {
	firstAt time.Duration
	// refused is set if the endpoint accepted no connection right after, and removed
	// if it left the list without having been marked as leaving.
	refused, removed bool
	fingerprints     map[uint64]bool
	// judged is set once its crash has been counted. Requests that are broken later
	// were sent to an endpoint that had ended, unless none was broken for restartTime.
	judged bool
	// lastAt is when a broken request was last reported.
	lastAt time.Duration
}

// suspect is a request that was in flight during crashes.
type suspect struct {
	// earlier counts the crashes that an earlier leader recorded, and crashes are the
	// numbers of the others, in ascending order.
	earlier   int
	crashes   []uint64
	convicted bool
	// knownAt is when it became known, and lastAt the time of the last crash.
	knownAt, lastAt time.Duration
}

// NewPool returns an empty pool. Its revisions are higher than floor.
func NewPool(floor uint64) *Pool {
	return &Pool{broken: map[string]*brokenEndpoint{}, suspects: map[uint64]*suspect{}, revision: floor + 1}
}

// Broken records that an endpoint ended the connections of requests, or fell silent,
// before their responses were complete. refused reports whether it accepted no
// connection right after.
func (p *Pool) Broken(endpoint string, fingerprints []uint64, refused bool, now time.Duration) {
	b := p.broken[endpoint]
	if b == nil || b.judged && now-b.lastAt > restartTime {
		b = &brokenEndpoint{firstAt: now, fingerprints: map[uint64]bool{}}
		p.broken[endpoint] = b
	}
	b.lastAt = now
	if b.judged {
		return
	}
	b.refused = b.refused || refused
	for _, f := range fingerprints {
		if len(b.fingerprints) < maxInFlight {
			b.fingerprints[f] = true
		}
	}
}

// Responded records that a gateway received bytes from the endpoint. A report may be as
// old as reportLag, and so describe the time before the requests were broken.
func (p *Pool) Responded(endpoint string, now, reportLag time.Duration) {
	if b := p.broken[endpoint]; b != nil && !b.removed && now-b.firstAt > reportLag {
		delete(p.broken, endpoint)
	}
}

// Removed records that the endpoint is no longer listed. An endpoint that was leaving
// has ended as planned.
func (p *Pool) Removed(endpoint string, leaving bool) {
	b := p.broken[endpoint]
	switch {
	case b == nil:
	case b.judged || leaving:
		delete(p.broken, endpoint)
	default:
		b.removed = true
	}
}

// Completed records that an endpoint ran the request to its end.
func (p *Pool) Completed(fingerprint uint64) {
	if s := p.suspects[fingerprint]; s != nil && !s.convicted {
		p.drop(fingerprint, s)
	}
}

// Evaluate returns the crashes that have become certain. An endpoint has crashed if it
// left the list, or accepted no connection and no gateway has received a byte from it
// since. The reports of all gateways take reportLag to arrive; as much again passes in
// which a gateway may report a response.
func (p *Pool) Evaluate(now, reportLag time.Duration) []Crash {
	var out []Crash
	for _, endpoint := range slices.Sorted(maps.Keys(p.broken)) {
		b := p.broken[endpoint]
		age := now - b.firstAt
		switch {
		case b.judged && age > judgedTTL, !b.judged && age > brokenTTL:
			delete(p.broken, endpoint)
		case !b.judged && (b.refused || b.removed) && age > 2*reportLag:
			b.judged = true
			out = append(out, p.judge(endpoint, b, now, reportLag))
		}
	}
	p.expire(now)
	return out
}

// judge counts a crash for the requests that it broke, and convicts those that no other
// one of them can stand for.
func (p *Pool) judge(endpoint string, b *brokenEndpoint, now, reportLag time.Duration) Crash {
	inFlight := slices.Sorted(maps.Keys(b.fingerprints))
	p.crashCount++
	for _, f := range inFlight {
		p.count(f, p.crashCount, now)
	}
	c := Crash{Endpoint: endpoint, InFlight: inFlight, Suspects: p.crashCounts(inFlight)}
	for _, f := range inFlight {
		s := p.suspects[f]
		knownBefore := s.known() && b.firstAt > s.knownAt+reportLag
		if !s.convicted && knownBefore && p.guilty(f, s, inFlight) {
			c.Convicted = append(c.Convicted, f)
		}
	}
	for _, f := range c.Convicted {
		p.suspects[f].convicted = true
		p.revision++
	}
	for _, f := range c.Convicted {
		p.exonerate(p.suspects[f])
	}
	return c
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

func (p *Pool) count(fingerprint, crash uint64, now time.Duration) {
	s := p.suspects[fingerprint]
	if s == nil {
		s = &suspect{}
		p.suspects[fingerprint] = s
	}
	s.lastAt = now
	wasKnown := s.known()
	s.crashes = append(s.crashes, crash)
	if s.known() {
		p.revision++
	}
	if !wasKnown {
		s.knownAt = now
	}
}

// guilty reports whether the crashes of the request can be put down to it.
func (p *Pool) guilty(fingerprint uint64, s *suspect, inFlight []uint64) bool {
	if s.count() >= ambiguousCrashes {
		return true
	}
	explained := slices.ContainsFunc(inFlight, func(f uint64) bool { return f != fingerprint && p.suspects[f].explains(s) })
	return s.count() >= convictingCrashes && !explained
}

// exonerate drops the requests whose crashes a convicted one explains. Which crashes an
// earlier leader counted is not known.
func (p *Pool) exonerate(convicted *suspect) {
	for f, s := range p.suspects {
		if !s.convicted && s.earlier == 0 && convicted.explains(s) {
			p.drop(f, s)
		}
	}
}

func (p *Pool) drop(fingerprint uint64, s *suspect) {
	delete(p.suspects, fingerprint)
	if s.known() {
		p.revision++
	}
}

// count returns the number of crashes.
func (s *suspect) count() int { return s.earlier + len(s.crashes) }

// known reports whether all gateways are told of the suspect.
func (s *suspect) known() bool { return s.convicted || s.count() >= suspectCrashes }

// explains reports whether s was in flight during each crash of the other one.
func (s *suspect) explains(other *suspect) bool {
	return s.earlier >= other.earlier && !slices.ContainsFunc(other.crashes, func(c uint64) bool { return !slices.Contains(s.crashes, c) })
}

// expire drops what is past its retention, and the oldest single crashes beyond
// maxSuspects.
func (p *Pool) expire(now time.Duration) {
	for f, s := range p.suspects {
		switch {
		case now-s.lastAt <= retention:
		case s.convicted:
			*s = suspect{earlier: suspectCrashes, knownAt: now, lastAt: now}
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

// Revision returns the revision of the known suspects.
func (p *Pool) Revision() uint64 { return p.revision }

func (s *suspect) toWire(fingerprint uint64) *wire.Suspect {
	out := &wire.Suspect{Fingerprint: fingerprint, State: wire.SuspectState_SUSPECT_STATE_SUSPECT, Crashes: uint32(s.count())}
	if s.convicted {
		out.State = wire.SuspectState_SUSPECT_STATE_CONVICTED
	}
	return out
}

// Restore adds the suspects that an earlier leader has recorded.
func (p *Pool) Restore(recorded []*wire.Suspect, now time.Duration) {
	for _, r := range recorded {
		p.suspects[r.Fingerprint] = &suspect{
			earlier: int(r.Crashes), convicted: r.State == wire.SuspectState_SUSPECT_STATE_CONVICTED, knownAt: now, lastAt: now,
		}
	}
	p.revision++
}
