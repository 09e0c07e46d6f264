package fleetcontrol

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/ratelimit"
	"parsleyramp/internal/wire"
)

var permitsDenied = metrics.GetOrCreateCounter("parsleyramp_fleet_permits_denied_total")

// limitsState is what the leader knows of the limits of endpoints. leaderState.mu guards it.
type limitsState struct {
	book ratelimit.Book
	// buckets give the permits for requests to endpoints that have a limit.
	buckets map[string]*ratelimit.Bucket
}

// ingestLimits adds what a gateway's responses have stated of the limits of endpoints. l.mu
// must be held.
func (l *leaderState) ingestLimits(r *wire.SyncRequest, now time.Duration) {
	for _, x := range r.Limits {
		e := l.engines[x.Endpoint]
		if e == nil && l.listReceived {
			continue
		}
		change := l.limits.book.Record(x.Endpoint, ratelimit.Statement{Limited: x.Limited, PerSecond: x.PerSecond, At: before(now, x.AgoMs)})
		if change == ratelimit.Unchanged {
			continue
		}
		l.s.log.WithFields(logrus.Fields{
			"endpoint": x.Endpoint, "change": change.String(), "per_second": x.PerSecond, "gateway": r.Gateway.GetId(), "term": l.term,
		}).Info("limit of an endpoint changed")
		if change == ratelimit.Lifted {
			delete(l.limits.buckets, x.Endpoint)
		}
		if e != nil {
			l.publishEngine(e)
		}
	}
}

// limitOf returns the limit of an endpoint.
func (l *leaderState) limitOf(endpoint string) (perSecond float64, limited bool) {
	s, _ := l.limits.book.Lookup(endpoint)
	return s.PerSecond, s.Limited
}

// minCapacityRatio is the ratio of what an engine with a limit serves to what its slots
// would, below which placement does not count on it: its models get replicas elsewhere, and
// it gets no other ones.
const minCapacityRatio = 0.5

// limitedBelow reports whether the engine has a limit under which it serves less than the
// ratio of what its slots would, by the time that requests for its models take. e.leader.mu
// must be held.
func (e *engineState) limitedBelow(ratio float64, slots int) bool {
	perSecond, limited := e.leader.limitOf(e.listed.ID)
	if !limited {
		return false
	}
	longest := time.Duration(0)
	for model := range e.held {
		longest = max(longest, e.leader.demand.SlotTime(model))
	}
	return perSecond*longest.Seconds() < ratio*float64(slots)
}

// dropLimits forgets the limits of endpoints that are not listed. l.mu must be held.
func (l *leaderState) dropLimits(listed map[string]bool) {
	l.limits.book.Retain(func(id string) bool { return listed[id] })
	for id := range l.limits.buckets {
		if !listed[id] {
			delete(l.limits.buckets, id)
		}
	}
}

// takePermit takes a permit from the bucket of the endpoint, if it has a limit, or returns
// the time after which to ask again. A gateway may know of a limit before its leader does.
// l.mu must be held.
func (l *leaderState) takePermit(r *wire.PermitRequest, now time.Duration) (ok bool, retryAfter time.Duration) {
	s, known := l.limits.book.Lookup(r.Endpoint)
	switch {
	case known && !s.Limited, !known && !r.Limited:
		return true, 0
	case !known:
		s.PerSecond = r.PerSecond
	}
	b := l.limits.buckets[r.Endpoint]
	if b == nil {
		b = ratelimit.NewBucket(now)
		if l.limits.buckets == nil {
			l.limits.buckets = map[string]*ratelimit.Bucket{}
		}
		l.limits.buckets[r.Endpoint] = b
	}
	ok, retryAfter = b.Take(s.PerSecond, now)
	if !ok {
		permitsDenied.Inc()
	}
	return ok, retryAfter
}
