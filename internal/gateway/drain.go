package gateway

import (
	"context"
	"time"

	"parsleyramp/internal/transport"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wait"
)

const (
	// drainDelay is how long a stopping gateway still accepts requests, because
	// clients cache its address.
	drainDelay = 1500 * time.Millisecond
	// admitTime is how long after the begin of a drain a request may have arrived whole to be
	// served, but at most 1/admitParts of the grace period: a later one might be cut at its end.
	admitTime  = 2500 * time.Millisecond
	admitParts = 3
	// sendParts is the number of equal parts of the grace period of which a drain sends requests
	// to endpoints only in the first.
	sendParts = 2
	// exitReserve is the part of the grace period in which no endpoint works on a request any
	// more, and answerReserve the part before it in which requests that are still in flight
	// are answered.
	exitReserve   = 600 * time.Millisecond
	answerReserve = 400 * time.Millisecond
	// closeReserve is the last part of exitReserve, in which logs and spans are flushed:
	// connections on which clients have not taken a complete response are closed before.
	closeReserve = 400 * time.Millisecond
	// minGrace is the shortest grace period in which requests are answered.
	minGrace = exitReserve + answerReserve
)

// drainTimes are times of a shutdown, of the gateway's clock.
type drainTimes struct {
	startedAt time.Duration
	// admitUntil is when the last request may have arrived whole that is served.
	admitUntil time.Duration
	// sendUntil is when the last request is sent to an endpoint.
	sendUntil time.Duration
	// cancelAt is when the requests in flight are canceled.
	cancelAt time.Duration
}

// admits reports whether a request that has arrived whole at the time may be served.
func (d *drainTimes) admits(readAt time.Duration) bool { return d == nil || readAt <= d.admitUntil }

// finishes reports whether a request that is sent to an endpoint at the time, and whose response
// takes at most so long, is expected to end in time.
func (d *drainTimes) finishes(sentAt, response time.Duration) bool {
	return d == nil || sentAt <= d.sendUntil && sentAt+response <= d.cancelAt
}

// Shutdown drains the gateway, waits for the requests in flight and stops. Requests
// that other gateways relay, which have gateways to choose from that do not stop, those that
// arrive later than admitTime, would be sent in the second half of the grace period, or
// are not expected to end in time, are rejected before they are sent. Requests that last to
// the end of the grace period are rejected if they have not run, and answered with a failure
// otherwise; it aborts only responses that have begun, those that are complete at the gateway
// last.
func (g *Gateway) Shutdown(ctx context.Context) error {
	started := time.Now()
	cancelAt := started.Add(g.cfg.Grace.D() - exitReserve - answerReserve)
	now, grace := g.clock(), g.cfg.Grace.D()
	g.drain.Store(&drainTimes{
		startedAt: now, admitUntil: now + min(admitTime, grace/admitParts), sendUntil: now + grace/sendParts, cancelAt: now + time.Until(cancelAt),
	})
	g.draining.Store(true)
	g.changed.notify()
	g.slots.wakeAll()
	g.log.WithFields(g.inFlight.countFields()).Info("draining")
	for _, s := range g.requestServers() {
		s.Drain()
	}
	wait.Until(ctx, earlier(started.Add(drainDelay), cancelAt))
	for _, s := range g.requestServers() {
		s.CloseIdle()
	}
	if err := g.awaitRequests(ctx, cancelAt); err != nil {
		g.endRequests(ctx, started.Add(g.cfg.Grace.D()-closeReserve))
	}
	g.cancel()
	g.closeAll()
	g.log.WithField("took_ms", time.Since(started).Milliseconds()).Info("stopped")
	return nil
}

// endRequests answers the requests in flight, then aborts the responses that endpoints have not
// completed, and waits until closeAt for clients to take those that are complete.
func (g *Gateway) endRequests(ctx context.Context, closeAt time.Time) {
	g.logInFlight("request unfinished at the end of the grace period")
	g.inFlight.cancelBefore(phaseStreaming)
	// The answers need their time also if ctx has ended or the process paused.
	if err := g.awaitRequests(context.WithoutCancel(ctx), time.Now().Add(answerReserve-upstream.FinalReadTime)); err == nil {
		return
	}
	g.log.WithFields(g.inFlight.countFields()).Warn("requests aborted at the end of the grace period")
	g.logInFlight("request aborted at the end of the grace period")
	g.inFlight.cancelBefore(phaseDelivering)
	if err := g.awaitRequests(ctx, closeAt); err != nil {
		g.log.WithError(err).WithFields(g.inFlight.countFields()).Warn("connections closed at the end of the grace period")
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitRequests waits until no request is in flight, or returns an error at the
// time until.
func (g *Gateway) awaitRequests(ctx context.Context, until time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for _, s := range g.requestServers() {
		if err := s.Shutdown(ctx); err != nil {
			return err
		}
	}
	return nil
}

// requestServers returns the servers that take requests, those of clients first: they may
// wait for requests that other gateways relay, but not the other way round.
func (g *Gateway) requestServers() []*transport.ClientFacingServer {
	out := []*transport.ClientFacingServer{g.clientServer}
	if g.peerServer != nil {
		out = append(out, g.peerServer)
	}
	return out
}

// maxUnfinishedLogged bounds the log lines on requests that a shutdown cancels or aborts.
const maxUnfinishedLogged = 50

// logInFlight logs the message for each of the requests in flight.
func (g *Gateway) logInFlight(message string) {
	unfinished, now, began := g.inFlight.list(), g.clock(), g.drain.Load().startedAt
	for _, s := range unfinished[:min(len(unfinished), maxUnfinishedLogged)] {
		g.log.WithFields(s.fields(now)).WithFields(s.drainFields(began)).Warn(message)
	}
}
