package quarantine

import (
	"slices"
	"time"
)

// Broken are requests whose connections an endpoint ended, or to which it fell silent,
// before their responses were complete.
type Broken struct {
	Endpoint string
	// Service is the service of the endpoint.
	Service string
	// Refused is set if the endpoint accepted no connection right after.
	Refused bool
	// At is when the connections ended.
	At time.Duration
	// InFlight are the fingerprints of the requests and of the parts of their prompts.
	InFlight []InFlight
}

// InFlight is a fingerprint, and when the first of the broken requests with it was sent.
type InFlight struct {
	Fingerprint uint64
	SentAt      time.Duration
}

// brokenEndpoint is an endpoint that broke requests without a response, at one time.
type brokenEndpoint struct {
	service string
	// firstAt is when it first broke one, and reportedAt when the pool learned of it.
	firstAt, reportedAt time.Duration
	// refused is set if the endpoint accepted no connection right after, and ended if it
	// left the list without having been marked as leaving, or has started again.
	refused, ended bool
	// respondedAt is when a gateway last received a byte from the endpoint, if that shows
	// that it lived on, unless it has started again since; zero for never.
	respondedAt time.Duration
	// sentAt holds, by fingerprint, when the first broken request was sent.
	sentAt map[uint64]time.Duration
	// judged is set once its crash has been counted. Requests that are broken later
	// were sent to an endpoint that had ended, unless none was broken for restartTime.
	judged bool
	// lastAt is when it last broke one.
	lastAt time.Duration
}

// Broken records what a gateway reports of requests that an endpoint broke.
func (p *Pool) Broken(r Broken, now time.Duration) {
	b := p.eventOf(r)
	if b == nil {
		b = &brokenEndpoint{service: r.Service, firstAt: r.At, reportedAt: now, lastAt: r.At, sentAt: map[uint64]time.Duration{}}
		p.broken[r.Endpoint] = append(p.broken[r.Endpoint], b)
	}
	b.lastAt = max(b.lastAt, r.At)
	if b.judged {
		return
	}
	b.firstAt = min(b.firstAt, r.At)
	b.refused = b.refused || r.Refused
	for _, x := range r.InFlight {
		at, ok := b.sentAt[x.Fingerprint]
		switch {
		case ok:
			b.sentAt[x.Fingerprint] = min(at, x.SentAt)
		case len(b.sentAt) < maxInFlight:
			b.sentAt[x.Fingerprint] = x.SentAt
		}
	}
}

// eventOf returns what the report belongs to: what the endpoint broke at about the same
// time, and before it last responded. It returns nil for something new. Gateways report
// events of a whole minute at once to a new leader.
func (p *Pool) eventOf(r Broken) *brokenEndpoint {
	for _, b := range p.broken[r.Endpoint] {
		sameTime := r.At >= b.firstAt-restartTime && r.At <= b.lastAt+restartTime
		if sameTime && (b.respondedAt == 0 || r.At <= b.respondedAt) {
			return b
		}
	}
	return nil
}

// forget drops the events of the endpoint that match.
func (p *Pool) forget(endpoint string, matches func(*brokenEndpoint) bool) {
	if left := slices.DeleteFunc(p.broken[endpoint], matches); len(left) > 0 {
		p.broken[endpoint] = left
	} else {
		delete(p.broken, endpoint)
	}
}

// Responded records that a gateway received a byte from the endpoint at the time at. The
// times of two gateways differ by less than reportLag.
func (p *Pool) Responded(endpoint string, at, reportLag time.Duration) {
	p.forget(endpoint, func(b *brokenEndpoint) bool {
		if at-b.firstAt <= reportLag {
			return false
		}
		if !b.judged && !b.ended {
			b.respondedAt = at
		}
		return b.judged
	})
}

// Restarted records that the endpoint's process is a new one under the same id. What it
// breaks from now on belongs to another crash.
func (p *Pool) Restarted(endpoint string) { p.end(endpoint) }

// Removed records that the endpoint is no longer listed. An endpoint that was leaving
// has ended as planned.
func (p *Pool) Removed(endpoint string, leaving bool) {
	if leaving {
		delete(p.broken, endpoint)
		return
	}
	p.end(endpoint)
}

// end records that the endpoint has ended.
func (p *Pool) end(endpoint string) {
	p.forget(endpoint, func(b *brokenEndpoint) bool {
		b.ended = true
		return b.judged
	})
}

// crashed reports whether the endpoint has ended, as far as gateways have reported.
func (b *brokenEndpoint) crashed() bool { return b.ended || b.refused && b.respondedAt == 0 }
