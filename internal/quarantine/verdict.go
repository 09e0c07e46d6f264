package quarantine

import (
	"slices"
	"time"
)

const (
	// convictingCrashes is the number of crashes after which a request is convicted,
	// unless something else was in flight during each of them too. After ambiguousCrashes
	// it is convicted in any case, as is a part of prompts, which many requests share.
	convictingCrashes = 3
	ambiguousCrashes  = 5
	// independentCrashes and independentPartCrashes are how many of the crashes must be
	// independent, so that what was in flight at endpoints that crashed at once is not
	// convicted for it.
	independentCrashes     = 2
	independentPartCrashes = 3
	// Crashes of several endpoints within commonCrashTime have a common cause, unless what
	// is judged was in flight at all of them but maxOtherCrashes.
	commonCrashTime = 200 * time.Millisecond
	maxOtherCrashes = 2
	// maxGuiltyParts is the number of parts that may be found guilty at once. More are the
	// sign of a common cause of the crashes, and none of them is convicted.
	maxGuiltyParts = 4
)

// convict convicts the suspects whose crashes nothing else can stand for, requests first:
// what a convicted one has crashed is no evidence against the parts of its prompt. All
// gateways must have been told of a suspect, and have had the time to report what has
// completed since its first crash.
func (p *Pool) convict(now, reportLag time.Duration) []uint64 {
	ready := func(s *suspect) bool { return !s.convicted && s.known() && now-s.knownAt > 2*reportLag }
	requests := p.find(func(f uint64, s *suspect) bool { return !IsPart(f) && ready(s) && p.guiltyRequest(f, s) })
	p.setConvicted(requests)
	convicted := p.convictedRequests()
	parts := p.find(func(f uint64, s *suspect) bool { return IsPart(f) && ready(s) && p.guiltyPart(s, convicted) })
	if len(parts) > maxGuiltyParts {
		parts = nil
	}
	p.setConvicted(parts)
	return append(requests, parts...)
}

// find returns the fingerprints of the suspects that match, in ascending order.
func (p *Pool) find(matches func(uint64, *suspect) bool) []uint64 {
	var out []uint64
	for f, s := range p.suspects {
		if matches(f, s) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

func (p *Pool) setConvicted(fingerprints []uint64) {
	for _, f := range fingerprints {
		p.suspects[f].convicted = true
		p.revision++
	}
	for _, f := range fingerprints {
		p.exonerate(f, p.suspects[f])
	}
}

// guiltyRequest reports whether the crashes of a request can be put down to it.
func (p *Pool) guiltyRequest(fingerprint uint64, s *suspect) bool {
	if s.count() < convictingCrashes {
		return false
	}
	own := s.without(p.hasCommonCause(s))
	if own.count() < convictingCrashes || own.independent(false) < independentCrashes {
		return false
	}
	return own.count() >= ambiguousCrashes || !p.explained(fingerprint, own)
}

// guiltyPart reports whether the crashes of a part of prompts can be put down to it. Those
// during which a convicted request was in flight cannot.
func (p *Pool) guiltyPart(s *suspect, convictedRequests []*suspect) bool {
	if s.count() < ambiguousCrashes {
		return false
	}
	own := s.without(p.hasCommonCause(s))
	for _, r := range convictedRequests {
		own = own.without(func(c suspectCrash) bool { return r.during(c.number) })
	}
	return own.count() >= ambiguousCrashes && own.independent(true) >= independentPartCrashes
}

// hasCommonCause returns a function that reports whether a crash of the suspect came
// together with those of endpoints at which it was not in flight.
func (p *Pool) hasCommonCause(s *suspect) func(suspectCrash) bool {
	return func(c suspectCrash) bool {
		near := func(at time.Duration) bool { return max(at-c.at, c.at-at) <= commonCrashTime }
		others := 0
		for _, at := range p.crashTimes {
			if near(at) {
				others++
			}
		}
		for _, own := range s.crashes {
			if near(own.at) {
				others--
			}
		}
		return others > maxOtherCrashes
	}
}

// convictedRequests returns the convicted suspects that are requests.
func (p *Pool) convictedRequests() []*suspect {
	var out []*suspect
	for f, s := range p.suspects {
		if s.convicted && !IsPart(f) {
			out = append(out, s)
		}
	}
	return out
}

// explained reports whether another request was in flight during each crash of the suspect.
// A part of prompts explains nothing: refusing the request alone harms no other. Nor do one
// caller's requests explain the crashes of their content: others may send it too.
func (p *Pool) explained(fingerprint uint64, s *suspect) bool {
	for f, other := range p.suspects {
		if f == fingerprint || IsPart(f) || isContent(fingerprint) && sameContent(f, fingerprint) {
			continue
		}
		if other.explains(s) {
			return true
		}
	}
	return false
}

// exonerate drops the suspects whose crashes a convicted one explains. Which crashes an
// earlier leader counted is not known. A request does not exonerate parts: others may hold
// the part that crashed its endpoints.
func (p *Pool) exonerate(fingerprint uint64, convicted *suspect) {
	for f, s := range p.suspects {
		if !s.convicted && s.earlier == 0 && (IsPart(fingerprint) || !IsPart(f)) && convicted.explains(s) {
			p.drop(f, s)
		}
	}
}
