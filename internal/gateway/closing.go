package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleet"
)

// brittleRest is how long a brittle endpoint gets no request of this gateway after it has
// rejected one.
const brittleRest = time.Second

// observeClosing records what a response of the endpoint states of the requests that it takes
// no more: that it is about to end, wants none for a time, or must not have to reject many.
func (g *Gateway) observeClosing(e *fleet.Endpoint, info ResponseInfo) {
	now := g.clock()
	line := g.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service})
	if info.Leaving && g.loads.MarkLeaving(e.ID, now) && !e.Leaving {
		line.Info("endpoint states that it is about to end")
		g.changed.notify()
	}
	if info.Brittle && g.loads.SetBrittle(e.Service, info.MaxRejections, now) {
		line.WithField("max_rejections", info.MaxRejections).Warn("endpoints of a service are brittle")
	}
	if info.NotRun && info.Brittle {
		g.loads.Rest(e.ID, now+brittleRest, now)
	}
	if info.NotRun && info.RetryAfter > 0 {
		g.loads.Rest(e.ID, now+info.RetryAfter, now)
		restsNamed.Inc()
		line.WithField("retry_after", info.RetryAfter).Info("endpoint wants no requests for a time")
	}
}
