package gateway

import (
	"net"
	"slices"
	"time"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/wire"
)

const (
	// maxParts bounds the parts of a prompt whose fingerprints are computed.
	maxParts = 64
	// survivalTime is how long an endpoint must have streamed an answer for the parts of
	// its prompt to be no suspects if it crashes then.
	survivalTime = 500 * time.Millisecond
	// limitingCrashes is the number of crashes from which requests with a suspected part
	// are sent once. Many innocent parts have two on a day of crashes.
	limitingCrashes = 3
	// innocenceTime is how long after a completion here a suspected part is not limited.
	innocenceTime = 10 * time.Second
)

// requestFingerprints is how many fingerprints a request has by itself: that of its content
// and that of its caller's requests with the content.
const requestFingerprints = 2

// fingerprints returns the fingerprints of the request, followed by those of the parts of
// its prompt, or nil if this gateway does not have the key yet.
func (q *request) fingerprints() []uint64 {
	if q.knownFingerprints != nil {
		return q.knownFingerprints
	}
	key := q.g.fingerprintKey.Load()
	if key == nil {
		return nil
	}
	caller, _, err := net.SplitHostPort(q.clientAddress())
	if err != nil {
		caller = q.clientAddress()
	}
	content := key.Fingerprint(quarantine.Content{Path: q.httpRequest.URL.RequestURI(), Body: q.body})
	q.knownFingerprints = []uint64{content, key.CallerFingerprint(content, caller)}
	for _, id := range q.info.Parts[:min(len(q.info.Parts), maxParts)] {
		q.knownFingerprints = append(q.knownFingerprints, key.PartFingerprint(id))
	}
	return q.knownFingerprints
}

// suspectable returns the fingerprints of the request if anything is suspected.
func (q *request) suspectable() []uint64 {
	if !q.g.suspects.any() {
		return nil
	}
	return q.fingerprints()
}

// quarantined reports whether the request must not run any more, for itself or for a part
// of its prompt.
func (q *request) quarantined() bool { return q.anyDecided(q.suspectable(), quarantine.Reject) }

// suspected reports whether the request was in flight during several crashes and may
// have caused them.
func (q *request) suspected() bool {
	all := q.suspectable()
	return q.anyDecided(all[:min(len(all), requestFingerprints)], quarantine.RunIsolated)
}

// anyDecided reports whether the decision on any of the fingerprints is d.
func (q *request) anyDecided(fingerprints []uint64, d quarantine.Decision) bool {
	return slices.ContainsFunc(fingerprints, func(f uint64) bool { return quarantine.Decide(q.g.suspects.lookup(f).state, 0) == d })
}

// partSuspected reports whether a part of the prompt may have caused several crashes. One
// with which a request has completed here has not.
func (q *request) partSuspected() bool {
	all := q.suspectable()
	since := q.g.clock() - innocenceTime
	return slices.ContainsFunc(all[min(len(all), requestFingerprints):], func(f uint64) bool {
		x := q.g.suspects.lookup(f)
		limited := x.state == wire.SuspectState_SUSPECT_STATE_SUSPECT && x.crashes >= limitingCrashes
		return limited && !q.g.suspects.completedSince(f, since)
	})
}

// suspectSession returns a session that the request shares with no other one. Suspects
// then prefer different endpoints, so that the next crash tells them apart.
func (q *request) suspectSession() string {
	return "suspect " + quarantine.FormatFingerprint(q.fingerprints()[0])
}

// recordCrashEvidence records, for the control plane, a request that the endpoint has
// broken, or that it has run to the end.
func (q *request) recordCrashEvidence(e *fleet.Endpoint, s sendResult) {
	switch {
	case s.complete:
		q.g.suspects.addCompleted(q.fingerprints(), q.g.clock())
	case s.broken && !q.g.leaving(e):
		q.recordBroken(e, s)
	}
}

// recordBroken records that the endpoint has broken the request. A request that ended
// with its client or its deadline counts only if the endpoint is considered dead. The parts
// of its prompt count unless the endpoint had streamed the answer for survivalTime.
func (q *request) recordBroken(e *fleet.Endpoint, s sendResult) {
	all := q.fingerprints()
	if len(all) == 0 {
		return
	}
	if s.streamed >= survivalTime {
		all = all[:requestFingerprints]
	}
	g := q.g
	b := brokenRequest{endpoint: e.ID, fingerprints: all, sentAt: s.sentAt, at: g.clock()}
	switch {
	case q.ctx.Err() == nil:
		go func() {
			b.refused = g.refusesConnections(e)
			if b.refused && g.loads.OutOfReach(e.ID) {
				// The links of this gateway ended it.
				return
			}
			g.addBroken(b)
		}()
	case g.loads.Dead(e.ID):
		b.refused = true
		g.addBroken(b)
	}
}

func (g *Gateway) addBroken(b brokenRequest) {
	brokenRequests.count(b.refused)
	g.suspects.addBroken(b)
}

// leaving reports whether the endpoint is about to end as planned.
func (g *Gateway) leaving(e *fleet.Endpoint) bool {
	for _, x := range g.view.Load().Service(e.Service) {
		if x.ID == e.ID {
			return x.Leaving
		}
	}
	return false
}
