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

// fingerprints returns the fingerprint of the request, followed by those of the parts of
// its prompt, or nil if this gateway does not have the key yet.
func (q *request) fingerprints() []uint64 {
	if q.knownFingerprints != nil {
		return q.knownFingerprints
	}
	key := q.g.fingerprintKey.Load()
	if key == nil {
		return nil
	}
	caller, _, err := net.SplitHostPort(q.httpRequest.RemoteAddr)
	if err != nil {
		caller = q.httpRequest.RemoteAddr
	}
	q.contentFingerprint = key.Fingerprint(quarantine.Content{Path: q.httpRequest.URL.RequestURI(), Body: q.body})
	own := key.Fingerprint(quarantine.Content{Path: q.httpRequest.URL.RequestURI(), Caller: caller, Body: q.body})
	q.knownFingerprints = []uint64{own}
	for _, id := range q.info.Parts[:min(len(q.info.Parts), maxParts)] {
		q.knownFingerprints = append(q.knownFingerprints, key.PartFingerprint(id))
	}
	return q.knownFingerprints
}

// fingerprint returns the fingerprint of the request, or false if this gateway does not
// have the key yet.
func (q *request) fingerprint() (uint64, bool) {
	if all := q.fingerprints(); len(all) > 0 {
		return all[0], true
	}
	return 0, false
}

// decision returns how the request may run by what is known of the request itself.
func (q *request) decision() quarantine.Decision {
	f, ok := q.suspectableFingerprint()
	if !ok {
		return quarantine.Run
	}
	return quarantine.Decide(q.g.suspects.lookup(f).state, 0)
}

// suspectableFingerprint returns the fingerprint of the request if anything is suspected.
func (q *request) suspectableFingerprint() (uint64, bool) {
	if !q.g.suspects.any() {
		return 0, false
	}
	return q.fingerprint()
}

// quarantined reports whether the request must not run any more, for itself or for a part
// of its prompt.
func (q *request) quarantined() bool {
	if _, ok := q.suspectableFingerprint(); !ok {
		return false
	}
	return slices.ContainsFunc(q.fingerprints(), func(f uint64) bool {
		return quarantine.Decide(q.g.suspects.lookup(f).state, 0) == quarantine.Reject
	})
}

// suspected reports whether the request was in flight during several crashes and may
// have caused them.
func (q *request) suspected() bool { return q.decision() == quarantine.RunIsolated }

// partSuspected reports whether a part of the prompt may have caused several crashes. One
// with which a request has completed here has not.
func (q *request) partSuspected() bool {
	if _, ok := q.suspectableFingerprint(); !ok {
		return false
	}
	since := q.g.clock() - innocenceTime
	return slices.ContainsFunc(q.fingerprints()[1:], func(f uint64) bool {
		x := q.g.suspects.lookup(f)
		limited := x.state == wire.SuspectState_SUSPECT_STATE_SUSPECT && x.crashes >= limitingCrashes
		return limited && !q.g.suspects.completedSince(f, since)
	})
}

// suspectSession returns a session that the request shares with no other one. Suspects
// then prefer different endpoints, so that the next crash tells them apart.
func (q *request) suspectSession() string {
	f, _ := q.fingerprint()
	return "suspect " + quarantine.FormatFingerprint(f)
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
		all = all[:1]
	}
	g := q.g
	b := brokenRequest{endpoint: e.ID, fingerprints: all, sentAt: s.sentAt, at: g.clock()}
	switch {
	case q.ctx.Err() == nil:
		go func() {
			b.refused = g.refusesConnections(e)
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
