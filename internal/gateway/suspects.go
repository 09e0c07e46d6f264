package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// brokenReportTTL is how long the report of a broken request is kept for the
	// control plane. Older ones may describe a time in which this gateway was cut off.
	brokenReportTTL = 3 * time.Second
	// maxBrokenReports bounds the broken requests that are kept for the next exchange, and
	// maxCompletedReports the completed suspects that it reports.
	maxBrokenReports    = 512
	maxCompletedReports = 512
	// survivalTime is how long an endpoint must have streamed an answer for the parts of
	// its prompt to be no suspects if it crashes then.
	survivalTime = 500 * time.Millisecond
	// innocenceTime is how long after a completion here a suspected part is not limited.
	innocenceTime = 10 * time.Second
	// probeDelay is the time that a process that has ended takes to close its
	// listener, probeTimeout bounds one check whether an endpoint accepts connections,
	// and probeTTL is how long its result is used.
	probeDelay   = 20 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	probeTTL     = time.Second
)

// suspects holds what the control plane knows of requests, and of parts of prompts, that
// crash endpoints, and what this gateway has to report of them. Its zero value is empty. It
// is safe for concurrent use.
type suspects struct {
	mu       sync.Mutex
	revision uint64
	states   map[uint64]wire.SuspectState
	broken   []brokenRequest
	// completions holds when requests last ran to their end here, and reported the times
	// that the control plane knows at the current revision.
	completions completions
	reported    map[uint64]time.Duration
	probes      map[string]*endpointProbe
}

// brokenRequest is a request that was sent at sentAt and that an endpoint broke at the time
// at.
type brokenRequest struct {
	endpoint     string
	fingerprints []uint64
	refused      bool
	sentAt, at   time.Duration
}

// endpointProbe is a check whether an endpoint accepts connections.
type endpointProbe struct {
	startedAt time.Duration
	done      chan struct{}
	refused   bool
}

// state returns the shared state of a request.
func (s *suspects) state(fingerprint uint64) wire.SuspectState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[fingerprint]
}

// any reports whether any request is suspected.
func (s *suspects) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.states) > 0
}

func (s *suspects) addBroken(b brokenRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.broken) < maxBrokenReports {
		s.broken = append(s.broken, b)
	}
}

func (s *suspects) addCompleted(fingerprints []uint64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range fingerprints {
		s.completions.add(f, at)
	}
}

// completedSince reports whether a request with the fingerprint has run to its end here
// since the time.
func (s *suspects) completedSince(fingerprint uint64, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.completions.last(fingerprint)
	return ok && at >= since
}

// suspectsReport is what an exchange reports.
type suspectsReport struct {
	broken    int
	completed map[uint64]time.Duration
}

// report adds to an exchange what has happened since the last successful one.
func (s *suspects) report(req *wire.SyncRequest, now time.Duration) suspectsReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.broken) > 0 && now-s.broken[0].at > brokenReportTTL {
		s.broken = s.broken[1:]
	}
	for _, b := range s.broken {
		w := &wire.BrokenRequests{Endpoint: b.endpoint, Refused: b.refused, BrokenAgoMs: agoMS(now, b.at), Fingerprints: b.fingerprints}
		for range b.fingerprints {
			w.SentAgoMs = append(w.SentAgoMs, agoMS(now, b.sentAt))
		}
		req.Broken = append(req.Broken, w)
	}
	out := suspectsReport{broken: len(s.broken), completed: s.unreportedCompletionsLocked()}
	for f, at := range out.completed {
		req.CompletedSuspects = append(req.CompletedSuspects, f)
		req.CompletedAgoMs = append(req.CompletedAgoMs, agoMS(now, at))
	}
	req.SuspectsRevision = s.revision
	return out
}

// unreportedCompletionsLocked returns the completions of suspects that the control plane
// does not know.
func (s *suspects) unreportedCompletionsLocked() map[uint64]time.Duration {
	out := map[uint64]time.Duration{}
	for f, state := range s.states {
		at, ok := s.completions.last(f)
		known, reported := s.reported[f]
		if state == wire.SuspectState_SUSPECT_STATE_SUSPECT && ok && (!reported || known != at) && len(out) < maxCompletedReports {
			out[f] = at
		}
	}
	return out
}

func agoMS(now, at time.Duration) uint32 { return uint32(max(now-at, 0).Milliseconds()) }

// apply applies the response to an exchange and drops what it reported. It reports whether
// the suspects have changed.
func (s *suspects) apply(resp *wire.SyncResponse, reported suspectsReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = s.broken[reported.broken:]
	if resp.SuspectsRevision == 0 {
		maps.Copy(s.reported, reported.completed)
		return false
	}
	s.revision = resp.SuspectsRevision
	// Another leader may have sent them, to which nothing has been reported.
	s.reported = map[uint64]time.Duration{}
	s.states = make(map[uint64]wire.SuspectState, len(resp.Suspects))
	for _, x := range resp.Suspects {
		s.states[x.Fingerprint] = x.State
	}
	return true
}

// probe returns the current check of the endpoint, and whether the caller has to run it.
func (s *suspects) probe(endpoint string, now time.Duration) (p *endpointProbe, run bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.probes[endpoint]; p != nil && now-p.startedAt < probeTTL {
		return p, false
	}
	for id, p := range s.probes {
		if now-p.startedAt >= probeTTL {
			delete(s.probes, id)
		}
	}
	if s.probes == nil {
		s.probes = map[string]*endpointProbe{}
	}
	p = &endpointProbe{startedAt: now, done: make(chan struct{})}
	s.probes[endpoint] = p
	return p, true
}

// refusesConnections reports whether the endpoint accepts no connection now. Calls
// within probeTTL share one check.
func (g *Gateway) refusesConnections(e *fleet.Endpoint) bool {
	p, run := g.suspects.probe(e.ID, g.clock())
	if !run {
		<-p.done
		return p.refused
	}
	defer close(p.done)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	wait.For(ctx, probeDelay)
	p.refused = !g.pool.Accepts(ctx, e.Address)
	g.log.WithFields(logrus.Fields{"endpoint": e.ID, "address": e.Address, "refused": p.refused}).Info("endpoint checked after it broke a request")
	return p.refused
}

// maxParts bounds the parts of a prompt whose fingerprints are computed.
const maxParts = 64

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
	return quarantine.Decide(q.g.suspects.state(f), 0)
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
		return quarantine.Decide(q.g.suspects.state(f), 0) == quarantine.Reject
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
		return q.g.suspects.state(f) == wire.SuspectState_SUSPECT_STATE_SUSPECT && !q.g.suspects.completedSince(f, since)
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
