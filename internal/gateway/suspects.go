package gateway

import (
	"context"
	"net"
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
	// maxBrokenReports bounds the broken requests and the completed suspects that are
	// kept for the next exchange.
	maxBrokenReports = 512
	// probeDelay is the time that a process that has ended takes to close its
	// listener, probeTimeout bounds one check whether an endpoint accepts connections,
	// and probeTTL is how long its result is used.
	probeDelay   = 20 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	probeTTL     = time.Second
)

// suspects holds what the control plane knows of requests that crash endpoints, and
// what this gateway has to report of them. Its zero value is empty. It is safe for
// concurrent use.
type suspects struct {
	mu        sync.Mutex
	revision  uint64
	states    map[uint64]wire.SuspectState
	broken    []brokenRequest
	completed []uint64
	probes    map[string]*endpointProbe
}

// brokenRequest is a request that an endpoint broke at the time at.
type brokenRequest struct {
	endpoint    string
	fingerprint uint64
	refused     bool
	at          time.Duration
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

func (s *suspects) addCompleted(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.completed) < maxBrokenReports {
		s.completed = append(s.completed, fingerprint)
	}
}

// reportedCounts is how many entries of suspects an exchange reports.
type reportedCounts struct{ broken, completed int }

// report adds to an exchange what has happened since the last successful one.
func (s *suspects) report(req *wire.SyncRequest, now time.Duration) reportedCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.broken) > 0 && now-s.broken[0].at > brokenReportTTL {
		s.broken = s.broken[1:]
	}
	type key struct {
		endpoint string
		refused  bool
	}
	byEndpoint := map[key]*wire.BrokenRequests{}
	for _, b := range s.broken {
		k := key{b.endpoint, b.refused}
		if byEndpoint[k] == nil {
			byEndpoint[k] = &wire.BrokenRequests{Endpoint: b.endpoint, Refused: b.refused}
			req.Broken = append(req.Broken, byEndpoint[k])
		}
		byEndpoint[k].Fingerprints = append(byEndpoint[k].Fingerprints, b.fingerprint)
	}
	req.CompletedSuspects = append(req.CompletedSuspects, s.completed...)
	req.SuspectsRevision = s.revision
	return reportedCounts{len(s.broken), len(s.completed)}
}

// apply applies the response to an exchange and drops what it reported.
func (s *suspects) apply(resp *wire.SyncResponse, reported reportedCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = s.broken[reported.broken:]
	s.completed = s.completed[reported.completed:]
	if resp.SuspectsRevision == 0 {
		return
	}
	s.revision = resp.SuspectsRevision
	s.states = make(map[uint64]wire.SuspectState, len(resp.Suspects))
	for _, x := range resp.Suspects {
		s.states[x.Fingerprint] = x.State
	}
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

// decision returns how the request may run.
func (q *request) decision() quarantine.Decision {
	if !q.g.suspects.any() {
		return quarantine.Run
	}
	f, ok := q.fingerprint()
	if !ok {
		return quarantine.Run
	}
	return quarantine.Decide(q.g.suspects.state(f), 0)
}

// quarantined reports whether the request must not run any more.
func (q *request) quarantined() bool { return q.decision() == quarantine.Reject }

// suspected reports whether the request was in flight during several crashes and may
// have caused them.
func (q *request) suspected() bool { return q.decision() == quarantine.RunIsolated }

// suspectSession returns a session that the request shares with no other one. Suspects
// then prefer different endpoints, so that the next crash tells them apart.
func (q *request) suspectSession() string {
	f, _ := q.fingerprint()
	return "suspect " + quarantine.FormatFingerprint(f)
}

// recordCrashEvidence records, for the control plane, a request that the endpoint has
// broken, or one that it has run to the end although crashes made it a suspect.
func (q *request) recordCrashEvidence(e *fleet.Endpoint, s sendResult) {
	switch {
	case s.complete && (q.brokenSends > 0 || q.suspected()):
		if f, ok := q.fingerprint(); ok {
			q.g.suspects.addCompleted(f)
		}
	case s.broken && !q.g.leaving(e):
		q.brokenSends++
		q.recordBroken(e)
	}
}

// recordBroken records that the endpoint has broken the request. A request that ended
// with its client or its deadline counts only if the endpoint is considered dead.
func (q *request) recordBroken(e *fleet.Endpoint) {
	f, ok := q.fingerprint()
	if !ok {
		return
	}
	g := q.g
	b := brokenRequest{endpoint: e.ID, fingerprint: f, at: g.clock()}
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
