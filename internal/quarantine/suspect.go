package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"parsleyramp/internal/wire"
)

// maxRecordedEndpoints bounds the endpoints of its crashes that are recorded of a suspect.
const maxRecordedEndpoints = 8

// suspect is a fingerprint that was in flight during crashes.
type suspect struct {
	// earlier counts the crashes that an earlier leader recorded, and earlierIndependent
	// the independent ones of them.
	earlier, earlierIndependent int
	// earlierEndpoints are digests of the endpoints that crashed then, and restoredAt is
	// when this leader took over.
	earlierEndpoints []uint64
	restoredAt       time.Duration
	// crashes are the others, in the order in which they were found.
	crashes   []suspectCrash
	convicted bool
	// firstAt and lastAt are the times of the first and the last crash, and knownAt is
	// when gateways could be told of the suspect.
	firstAt, lastAt, knownAt time.Duration
}

// suspectCrash is a crash during which a fingerprint was in flight.
type suspectCrash struct {
	number uint64
	// endpoint is a digest of the endpoint that crashed.
	endpoint uint64
	// sentAt is when the first broken request with the fingerprint was sent, and servedAt
	// when the service last served a request before the crash.
	at, sentAt, servedAt time.Duration
}

// count returns the number of crashes.
func (s *suspect) count() int { return s.earlier + len(s.crashes) }

// isRecorded reports whether an earlier leader has counted the crash: gateways report again
// what they told it.
func (s *suspect) isRecorded(c suspectCrash) bool {
	return c.at < s.restoredAt && slices.Contains(s.earlierEndpoints, c.endpoint)
}

// known reports whether all gateways are told of the suspect.
func (s *suspect) known() bool { return s.convicted || s.count() >= suspectCrashes }

// without returns the suspect without the crashes that match.
func (s *suspect) without(matches func(suspectCrash) bool) *suspect {
	out := *s
	out.crashes = slices.DeleteFunc(slices.Clone(s.crashes), matches)
	return &out
}

// independent returns the number of crashes that no earlier one of them can have caused
// too: the broken requests were sent after it. For parts the service must also have served
// a request in between: many requests share a part, and endpoints that crash whatever they
// run must not convict it.
func (s *suspect) independent(isPart bool) int {
	n, after := s.earlierIndependent, time.Duration(math.MinInt64)
	if s.earlier > 0 {
		// When the earlier ones happened is not known.
		after = s.restoredAt
	}
	for _, c := range slices.SortedFunc(slices.Values(s.crashes), func(a, b suspectCrash) int { return cmp.Compare(a.at, b.at) }) {
		if c.sentAt >= after && (!isPart || c.servedAt >= after) {
			n++
			after = c.at
		}
	}
	return n
}

// explains reports whether s was in flight during each crash of the other one.
func (s *suspect) explains(other *suspect) bool {
	return s.earlier >= other.earlier && !slices.ContainsFunc(other.crashes, func(c suspectCrash) bool { return !s.during(c.number) })
}

// during reports whether s was in flight during the crash.
func (s *suspect) during(crash uint64) bool {
	return slices.ContainsFunc(s.crashes, func(c suspectCrash) bool { return c.number == crash })
}

func (s *suspect) toWire(fingerprint uint64) *wire.Suspect {
	out := &wire.Suspect{
		Fingerprint: fingerprint, State: wire.SuspectState_SUSPECT_STATE_SUSPECT, Crashes: uint32(s.count()), IndependentCrashes: uint32(s.independent(IsPart(fingerprint))),
	}
	out.CrashedEndpoints = append(out.CrashedEndpoints, s.earlierEndpoints...)
	for _, c := range s.crashes {
		out.CrashedEndpoints = append(out.CrashedEndpoints, c.endpoint)
	}
	out.CrashedEndpoints = out.CrashedEndpoints[max(len(out.CrashedEndpoints)-maxRecordedEndpoints, 0):]
	if s.convicted {
		out.State = wire.SuspectState_SUSPECT_STATE_CONVICTED
	}
	return out
}
