package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/ratelimit"
	"parsleyramp/internal/wire"
)

const (
	// ownLimitTTL is how long a limit that this gateway has seen named counts although the
	// view does not have it. By then the leader knows it, or knows better.
	ownLimitTTL = 1500 * time.Millisecond
	// maxLimitReports bounds the limits in one exchange.
	maxLimitReports = 256
)

// limits holds what this gateway knows of the rates that endpoints have named. Its zero
// value is empty. It is safe for concurrent use.
type limits struct {
	mu sync.Mutex
	// book holds what responses to this gateway have stated.
	book ratelimit.Book
	// unreported are the endpoints on which the leader lacks a statement of the book.
	unreported map[string]bool
	// leadership is that of the last exchange.
	leadership uint64
	// alone are the buckets from which this gateway spends while no leader answers.
	alone map[string]*ratelimit.Bucket
	// unreadable holds the endpoints that have named something that is no rate.
	unreadable map[string]bool
}

// observeLimit records what a response of the endpoint to a request that was sent at sentAt
// states of its limit. One that the endpoint has not signed lifts no limit: rejections may
// name none.
func (g *Gateway) observeLimit(e *fleet.Endpoint, info ResponseInfo, sentAt time.Duration) {
	now, l := g.clock(), info.Limit
	if l.Kind == ratelimit.Unstated && !info.Signed {
		return
	}
	statement, ok := ratelimit.NewStatement(l, sentAt, now)
	line := g.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "per_second": l.PerSecond})
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	if !ok {
		if !g.limits.unreadable[e.ID] {
			g.limits.setUnreadableLocked(e.ID)
			line.Warn("endpoint names a limit that cannot be read; what was known holds")
		}
		return
	}
	change := g.limits.book.Record(e.ID, statement)
	if change != ratelimit.Unchanged {
		line.WithField("change", change.String()).Info("limit of an endpoint changed")
	}
	// A response that names the limit again shows the leader that it still holds. One that
	// names none matters only where one is known.
	if statement.Limited || change != ratelimit.Unchanged || e.Limited {
		if !statement.Limited {
			g.limits.book.Note(e.ID, statement)
		}
		g.limits.markUnreportedLocked(e.ID)
	}
}

func (l *limits) setUnreadableLocked(endpoint string) {
	if l.unreadable == nil {
		l.unreadable = map[string]bool{}
	}
	l.unreadable[endpoint] = true
}

func (l *limits) markUnreportedLocked(endpoint string) {
	if l.unreported == nil {
		l.unreported = map[string]bool{}
	}
	l.unreported[endpoint] = true
}

// report adds to an exchange what the leader lacks, and returns it.
func (l *limits) report(req *wire.SyncRequest, now time.Duration) map[string]ratelimit.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]ratelimit.Statement{}
	for id := range l.unreported {
		s, ok := l.book.Lookup(id)
		if !ok || len(out) >= maxLimitReports {
			continue
		}
		out[id] = s
		req.Limits = append(req.Limits, &wire.EndpointLimit{Endpoint: id, Limited: s.Limited, PerSecond: s.PerSecond, AgoMs: agoMS(now, s.At)})
	}
	return out
}

// confirm records that an exchange with a leader has succeeded, which had the reported
// statements. A leader that has begun anew learns from the next one what the view
// of the former leader had.
func (l *limits) confirm(reported map[string]ratelimit.Statement, leadership uint64, v *fleet.View, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alone = nil
	for id, s := range reported {
		if known, ok := l.book.Lookup(id); !ok || known == s {
			delete(l.unreported, id)
		}
	}
	if l.leadership != 0 && leadership != l.leadership && v != nil {
		for _, e := range v.Endpoints {
			if e.Limited {
				l.book.Record(e.ID, ratelimit.Statement{Limited: true, PerSecond: e.PerSecond, At: now})
				l.markUnreportedLocked(e.ID)
			}
		}
	}
	l.leadership = leadership
}

// limitOf returns the limit of the endpoint: the one of the view, or one that has just been
// named here. Without an answer of the leader what was seen here holds on.
func (g *Gateway) limitOf(e *fleet.Endpoint) (perSecond float64, limited bool) {
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	s, _ := g.limits.book.Lookup(e.ID)
	if s.Limited && (g.clock()-s.At < ownLimitTTL || g.loads.Stale()) {
		return s.PerSecond, true
	}
	return e.PerSecond, e.Limited
}

// takeAlone takes a permit without the leader. Of all gateways only one does so for an
// endpoint, from a bucket that is empty when the leader is lost.
func (g *Gateway) takeAlone(e *fleet.Endpoint, perSecond float64) (ok bool, retryAfter time.Duration) {
	now := g.clock()
	if !g.usesAlone(e) {
		return false, permitTimeout
	}
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	if g.limits.alone == nil {
		g.limits.alone = map[string]*ratelimit.Bucket{}
	}
	b := g.limits.alone[e.ID]
	if b == nil {
		b = ratelimit.NewBucket(now)
		g.limits.alone[e.ID] = b
	}
	return b.Take(perSecond*ratelimit.AloneShare, now)
}

// usesAlone reports whether this gateway is the one that uses the endpoint without a
// leader: the one with the highest rendezvous hash.
func (g *Gateway) usesAlone(e *fleet.Endpoint) bool {
	own := xxhash.Sum64String(g.cfg.ID + "|" + e.ID)
	for _, other := range g.knownGateways() {
		if other.Id != g.cfg.ID && xxhash.Sum64String(other.Id+"|"+e.ID) > own {
			return false
		}
	}
	return true
}

// retain drops what is known of endpoints that are not in the view.
func (l *limits) retain(v *fleet.View) {
	ids := make(map[string]bool, len(v.Endpoints))
	for _, e := range v.Endpoints {
		ids[e.ID] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Retain(func(id string) bool { return ids[id] })
	for _, m := range []map[string]bool{l.unreadable, l.unreported} {
		for id := range m {
			if !ids[id] {
				delete(m, id)
			}
		}
	}
}

// limitedEndpoints returns the number of endpoints with a limit.
func (g *Gateway) limitedEndpoints() int {
	v := g.view.Load()
	if v == nil {
		return 0
	}
	n := 0
	for _, e := range v.Endpoints {
		if _, limited := g.limitOf(e); limited {
			n++
		}
	}
	return n
}
