package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/ratelimit"
)

// limits holds what this gateway knows of the rates that endpoints have named. Its zero
// value is empty. It is safe for concurrent use.
type limits struct {
	mu   sync.Mutex
	book ratelimit.Book
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
	if change := g.limits.book.Record(e.ID, statement); change != ratelimit.Unchanged {
		line.WithField("change", change.String()).Info("limit of an endpoint changed")
	}
}

func (l *limits) setUnreadableLocked(endpoint string) {
	if l.unreadable == nil {
		l.unreadable = map[string]bool{}
	}
	l.unreadable[endpoint] = true
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
	for id := range l.unreadable {
		if !ids[id] {
			delete(l.unreadable, id)
		}
	}
}

// count returns the number of endpoints with a limit.
func (l *limits) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Limited()
}
