package fleetcontrol

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// reportMargin is the part of the time until all gateways have reported that does not
// depend on their number: the interval between two exchanges and the exchange.
const reportMargin = 250 * time.Millisecond

var (
	endpointCrashes = metrics.GetOrCreateCounter("parsleyramp_fleet_endpoint_crashes_total")
	convictions     = metrics.GetOrCreateCounter("parsleyramp_fleet_convictions_total")
)

// reportLag returns how old a report of a gateway may be when it arrives, and how long
// it takes until all gateways have reported. l.mu must be held.
func (l *leaderState) reportLag() time.Duration {
	return time.Duration(syncPauseMS(len(l.gateways)))*time.Millisecond + reportMargin
}

// ingestSuspects adds a gateway's report of broken and completed requests. l.mu must be
// held.
func (l *leaderState) ingestSuspects(r *wire.SyncRequest, now time.Duration) {
	lag := l.reportLag()
	for _, x := range r.Loads {
		heardAt := before(now, x.HeardAgoMs)
		if x.Heard || x.Served > 0 {
			l.suspects.Responded(x.Endpoint, heardAt, lag)
		}
		if e := l.engines[x.Endpoint]; e != nil && x.Served > 0 {
			l.suspects.Served(e.listed.Service, heardAt)
		}
	}
	for _, b := range r.Broken {
		if e := l.engines[b.Endpoint]; e != nil && e.leaving() {
			continue
		}
		x := brokenFromWire(b, now)
		if e := l.engines[b.Endpoint]; e != nil {
			x.Service = e.listed.Service
		}
		l.suspects.Broken(x, now)
	}
	for i, f := range r.CompletedSuspects {
		l.suspects.Completed(f, before(now, at(r.CompletedAgoMs, i)))
	}
}

// brokenFromWire returns the report of a gateway that has been received now.
func brokenFromWire(b *wire.BrokenRequests, now time.Duration) quarantine.Broken {
	out := quarantine.Broken{Endpoint: b.Endpoint, Refused: b.Refused, At: before(now, b.BrokenAgoMs)}
	for i, f := range b.Fingerprints {
		sentAt := out.At
		if i < len(b.SentAgoMs) {
			sentAt = before(now, b.SentAgoMs[i])
		}
		out.InFlight = append(out.InFlight, quarantine.InFlight{Fingerprint: f, SentAt: sentAt})
	}
	return out
}

func before(now time.Duration, agoMS uint32) time.Duration {
	return now - time.Duration(agoMS)*time.Millisecond
}

// at returns the number at the index, zero if the sender, of an earlier version, gave none.
func at(numbers []uint32, i int) uint32 {
	if i < len(numbers) {
		return numbers[i]
	}
	return 0
}

// setSuspects adds the suspects to the response unless the gateway has them. l.mu must
// be held.
func (l *leaderState) setSuspects(resp *wire.SyncResponse, known uint64) {
	if known != l.suspects.Revision() {
		resp.Suspects, resp.SuspectsRevision = l.suspects.Known()
		for _, s := range resp.Suspects {
			// Only the log needs them.
			s.CrashedEndpoints = nil
		}
	}
}

// crashedTime is how long an endpoint counts as crashed, from the time at which a crash is
// certain at the earliest, unless a new process is seen.
const crashedTime = 3 * time.Second

// evaluateSuspects logs the crashes that have become certain and what is convicted of them,
// and returns the command that records the changed suspects, or nil if none has changed.
// l.mu must be held.
func (l *leaderState) evaluateSuspects(now time.Duration) *wire.RecordSuspects {
	lag := l.reportLag()
	found, convicted := l.suspects.Evaluate(now, lag)
	for _, c := range found {
		endpointCrashes.Inc()
		if e := l.engines[c.Endpoint]; e != nil && c.At >= e.restartedAt {
			e.crashedUntil = c.At + 2*lag + crashedTime
		}
		l.s.log.WithFields(logrus.Fields{
			"endpoint": c.Endpoint, "in_flight": len(c.InFlight), "suspects": formatSuspects(c.Suspects),
		}).Info("endpoint crashed while it ran requests")
	}
	for _, f := range convicted {
		convictions.Inc()
		l.s.log.WithFields(logrus.Fields{"fingerprint": quarantine.FormatFingerprint(f), "part": quarantine.IsPart(f)}).Warn("convicted of crashing endpoints")
	}
	if l.recordingSuspects || l.suspects.Revision() == l.recordedRevision {
		return nil
	}
	known, revision := l.suspects.Known()
	l.recordedRevision = revision
	changes := suspectChanges(l.recordedSuspects, known)
	l.recordingSuspects = changes != nil
	return changes
}

// maxFingerprintsLogged bounds the fingerprints in one log line.
const maxFingerprintsLogged = 10

// formatSuspects returns the fingerprints, each with the number of its crashes.
func formatSuspects(all []quarantine.CrashCount) string {
	var out []string
	for _, s := range all[:min(len(all), maxFingerprintsLogged)] {
		out = append(out, quarantine.FormatFingerprint(s.Fingerprint)+":"+strconv.Itoa(s.Crashes))
	}
	return strings.Join(out, " ")
}

// suspectChanges returns the command that turns the recorded suspects into the known
// ones, or nil if they are equal.
func suspectChanges(recorded map[uint64]*wire.Suspect, known []*wire.Suspect) *wire.RecordSuspects {
	out := &wire.RecordSuspects{}
	isKnown := map[uint64]bool{}
	for _, s := range known {
		isKnown[s.Fingerprint] = true
		if !proto.Equal(recorded[s.Fingerprint], s) {
			out.Suspects = append(out.Suspects, s)
		}
	}
	for f := range recorded {
		if !isKnown[f] {
			out.Cleared = append(out.Cleared, f)
		}
	}
	if len(out.Suspects)+len(out.Cleared) == 0 {
		return nil
	}
	return out
}

// recordSuspects commits the changed suspects, so that the next leader knows them.
// After a failure the next step commits them again.
func (l *leaderState) recordSuspects(ctx context.Context, r *wire.RecordSuspects) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := &wire.Command{ProposedUnixMs: time.Now().UnixMilli(), Body: &wire.Command_RecordSuspects{RecordSuspects: r}}
	_, err := l.s.node.ProposeInTerm(ctx, l.term, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordingSuspects = false
	if err != nil {
		l.recordedRevision = 0
		l.s.log.WithError(err).WithField("suspects", len(r.Suspects)).Warn("failed to record suspected requests")
		return
	}
	for _, s := range r.Suspects {
		l.recordedSuspects[s.Fingerprint] = s
	}
	for _, f := range r.Cleared {
		delete(l.recordedSuspects, f)
	}
}

// restoreSuspects takes over the suspects that earlier leaders have recorded.
func (l *leaderState) restoreSuspects(ctx context.Context) {
	var recorded []*wire.Suspect
	err := l.s.node.ReadStale(ctx, func(m *state.Machine) { recorded = m.Suspects() })
	if err != nil {
		l.s.log.WithError(err).Warn("failed to read the recorded suspects")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspects.Restore(recorded, l.s.clock())
	for _, s := range recorded {
		s.SeenUnixMs, s.LogIndex = 0, 0
		l.recordedSuspects[s.Fingerprint] = s
	}
	l.recordedRevision = l.suspects.Revision()
}
