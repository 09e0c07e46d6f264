package fleetcontrol

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/wire"
)

// slowSpread is the time after which a gateway that still reports an older fleet
// document than the leader's is logged, and gets the document with its exchanges.
const slowSpread = time.Second

// documentSpread is the time from the leader's first sight of a fleet document to the
// first report of a gateway that routes by it.
var documentSpread = metrics.GetOrCreateHistogram("parsleyramp_fleet_document_spread_seconds")

// recordDocumentVersion records which fleet document a gateway routes by. l.mu must
// be held.
func (l *leaderState) recordDocumentVersion(g *gatewayState, reported uint64, now time.Duration) {
	if l.doc == nil {
		return
	}
	switch age := now - l.docSince; {
	case reported >= l.doc.Version:
		if g.documentVersion < l.doc.Version && g.documentVersion > 0 {
			documentSpread.Update(age.Seconds())
		}
	case age > slowSpread && g.slowVersion < l.doc.Version:
		g.slowVersion = l.doc.Version
		l.s.log.WithFields(logrus.Fields{
			"gateway": g.gateway.GetId(), "reported": reported, "version": l.doc.Version, "known_ms": age.Milliseconds(),
		}).Warn("gateway still reports an older fleet document")
	}
	g.documentVersion = reported
}

// sendsDocument reports whether the response to an exchange brings a newer document.
// Gateways fetch it by themselves, but the first one that a gateway uses has to be the
// leader's.
func (l *leaderState) sendsDocument(r *wire.SyncRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gateways[r.Gateway.GetId()]
	first := g == nil || g.gateway.GetIncarnation() != r.Gateway.GetIncarnation()
	return first || l.doc != nil && r.DocumentVersion < l.doc.Version && l.s.clock()-l.docSince > slowSpread
}

// gatewaysBehind returns how many gateways last reported an older fleet document than
// the leader's. l.mu must be held.
func (l *leaderState) gatewaysBehind() int {
	n := 0
	for _, g := range l.gateways {
		if l.doc != nil && g.documentVersion < l.doc.Version {
			n++
		}
	}
	return n
}
