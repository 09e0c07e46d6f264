package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// brokenReportTTL is how long the report of a broken request is kept for the
	// control plane. Older ones may describe a time in which this gateway was cut off.
	brokenReportTTL = 3 * time.Second
	// repeatedReportTTL is how long broken requests that have been reported are kept for the
	// next leader, which knows only what the log has.
	repeatedReportTTL = time.Minute
	// maxBrokenReports bounds the broken requests that are kept for the next exchange, and
	// for the next leader. maxCompletedReports bounds the completed suspects that an exchange
	// reports.
	maxBrokenReports    = 512
	maxCompletedReports = 512
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
	// leadership is that of the last exchange that brought suspects.
	leadership uint64
	known      map[uint64]knownSuspect
	broken     []brokenRequest
	// reportedBroken are those that the present leader knows.
	reportedBroken []brokenRequest
	// completions holds when requests last ran to their end here, and reported the times
	// that the control plane knows at the current revision.
	completions completions
	reported    map[uint64]time.Duration
	probes      map[string]*endpointProbe
}

// knownSuspect is the shared state of a suspect, and the number of its crashes.
type knownSuspect struct {
	state   wire.SuspectState
	crashes uint32
}

// brokenRequest is a request that was sent at sentAt and that an endpoint broke at the time
// at.
type brokenRequest struct {
	endpoint     string
	fingerprints []uint64
	refused      bool
	sentAt, at   time.Duration
	// repeated is set if an earlier leader knew it.
	repeated bool
}

// endpointProbe is a check whether an endpoint accepts connections.
type endpointProbe struct {
	startedAt time.Duration
	done      chan struct{}
	refused   bool
}

// lookup returns what is known of a fingerprint.
func (s *suspects) lookup(fingerprint uint64) knownSuspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[fingerprint]
}

// any reports whether any request is suspected.
func (s *suspects) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.known) > 0
}

// reportTTL returns how long after it happened it is reported.
func (b brokenRequest) reportTTL() time.Duration {
	if b.repeated {
		return repeatedReportTTL
	}
	return brokenReportTTL
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
	s.broken = slices.DeleteFunc(s.broken, func(b brokenRequest) bool { return now-b.at > b.reportTTL() })
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
	for f, x := range s.known {
		at, ok := s.completions.last(f)
		last, reported := s.reported[f]
		if x.state == wire.SuspectState_SUSPECT_STATE_SUSPECT && ok && (!reported || last != at) && len(out) < maxCompletedReports {
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
	s.reportedBroken = append(s.reportedBroken, s.broken[:reported.broken]...)
	s.reportedBroken = s.reportedBroken[max(len(s.reportedBroken)-maxBrokenReports, 0):]
	s.broken = s.broken[reported.broken:]
	if resp.SuspectsRevision == 0 {
		maps.Copy(s.reported, reported.completed)
		return false
	}
	newLeader := resp.Leadership != s.leadership
	s.leadership = resp.Leadership
	s.revision = resp.SuspectsRevision
	// Another leader may have sent them, to which nothing has been reported.
	s.reported = map[uint64]time.Duration{}
	s.known = make(map[uint64]knownSuspect, len(resp.Suspects))
	for _, x := range resp.Suspects {
		s.known[x.Fingerprint] = knownSuspect{x.State, x.Crashes}
	}
	if newLeader {
		s.repeatReportsLocked(reported.broken)
	}
	return true
}

// repeatReportsLocked makes the next exchange report the crashes that earlier leaders knew.
// An endpoint that accepted connections after it broke a request had not crashed by that.
// The last reports went to the new leader itself.
func (s *suspects) repeatReportsLocked(last int) {
	n := len(s.reportedBroken) - min(last, len(s.reportedBroken))
	var repeated []brokenRequest
	for _, b := range s.reportedBroken[:n] {
		if b.refused {
			b.repeated = true
			repeated = append(repeated, b)
		}
	}
	s.reportedBroken = s.reportedBroken[n:]
	s.broken = append(repeated, s.broken...)
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
	p.refused = !g.pool.Accepts(ctx, e.Address, upstream.HoldTime)
	if p.refused && !g.loads.OutOfReach(e.ID) {
		g.loads.MarkEnded(e.ID, g.clock())
	}
	g.log.WithFields(logrus.Fields{"endpoint": e.ID, "address": e.Address, "refused": p.refused}).Info("endpoint checked after it broke a request")
	return p.refused
}
