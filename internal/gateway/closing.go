package gateway

import (
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleet"
)

// observeClosing records what a response of the endpoint states of the requests that it takes
// no more: that it is about to end, or wants none for a time.
func (g *Gateway) observeClosing(e *fleet.Endpoint, info ResponseInfo) {
	now := g.clock()
	line := g.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service})
	if info.Leaving && g.loads.MarkLeaving(e.ID, now) && !e.Leaving {
		line.Info("endpoint states that it is about to end")
		g.changed.notify()
	}
	if info.NotRun && info.RetryAfter > 0 {
		g.loads.Rest(e.ID, now+info.RetryAfter, now)
		restsNamed.Inc()
		line.WithField("retry_after", info.RetryAfter).Info("endpoint wants no requests for a time")
	}
}
