package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/ratelimit"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// permitTimeout bounds one call that asks for a permit.
	permitTimeout = 500 * time.Millisecond
	// maxPermitPause bounds the pause before a request asks again: others may have been
	// decided meanwhile.
	maxPermitPause = 100 * time.Millisecond
)

// permit lets a request be sent to an endpoint once, until it lapses.
type permit struct {
	endpoint string
	// trial is set if it is for a suspect that runs apart from others.
	trial bool
	until time.Duration
}

// suspectsOnTrial returns the fingerprints of the request that may only run apart from other
// suspects.
func (q *request) suspectsOnTrial() []uint64 {
	var out []uint64
	all := q.suspectable()
	for _, f := range all[:min(len(all), requestFingerprints)] {
		x := q.g.suspects.lookup(f)
		if x.state == wire.SuspectState_SUSPECT_STATE_SUSPECT && quarantine.NeedsTrial(int(x.crashes), q.endpointCount()) {
			out = append(out, f)
		}
	}
	return out
}

// endpointCount returns the number of endpoints of the service.
func (q *request) endpointCount() int { return len(q.g.view.Load().Service(q.requirements.Service)) }

// neededPermit is the permit that a request needs before it is sent to an endpoint.
type neededPermit struct {
	// suspects are its fingerprints that may only run apart from other suspects.
	suspects []uint64
	// limited is set if the endpoint takes perSecond requests a second from all gateways.
	limited   bool
	perSecond float64
	// brittle is set if the endpoint falls over once it rejects more than maxRejections requests
	// in a second.
	brittle       bool
	maxRejections float64
}

// atEndpoint reports whether the need is one of the endpoint.
func (n neededPermit) atEndpoint() bool { return n.limited || n.brittle }

// aloneRate returns the requests a second that the endpoint gets of one gateway without a
// leader.
func (n neededPermit) aloneRate() float64 {
	switch {
	case !n.brittle:
		return n.perSecond
	case !n.limited:
		return n.maxRejections
	}
	return min(n.perSecond, n.maxRejections)
}

// permitted reports whether the request may be sent to the endpoint now. It asks the leader
// if the endpoint has a limit, or if the request is suspected of crashes of endpoints. If it
// may not, the endpoint is held off, or permitted pauses until it is worth asking again; it
// returns an error once the request has waited too long or may not run without a leader.
func (q *request) permitted(e *fleet.Endpoint, s *search) (bool, error) {
	n := neededPermit{suspects: q.suspectsOnTrial()}
	n.perSecond, n.limited = q.g.limitOf(e)
	n.maxRejections, n.brittle = q.g.loads.Brittle(e.Service, q.g.clock())
	if len(n.suspects) == 0 && !n.atEndpoint() {
		return true, nil
	}
	now := q.g.clock()
	if until := q.g.loads.HeldOffUntil(e.ID); n.atEndpoint() && until > now {
		return false, q.pauseForPermit(until-now, s)
	}
	if n.atEndpoint() && len(n.suspects) == 0 && q.g.loads.Stale() {
		return q.permittedAlone(e, n, nil)
	}
	if n.atEndpoint() {
		// The others of this gateway go elsewhere while this one asks.
		q.g.loads.HoldOff(e.ID, now+permitTimeout, now)
	}
	resp, err := q.askForPermit(e, n)
	switch {
	case q.ctx.Err() != nil:
		q.endHoldOff(e, n, 0)
		return false, nil
	case err != nil:
		return q.permittedAlone(e, n, err)
	}
	retryAfter := time.Duration(resp.RetryAfterMs) * time.Millisecond
	switch {
	case resp.Granted:
		q.endHoldOff(e, n, 0)
		q.permit = &permit{endpoint: e.ID, trial: len(n.suspects) > 0, until: now + ratelimit.PermitTTL}
		return true, nil
	case resp.Limited:
		permitsDenied.Inc()
		q.endHoldOff(e, n, retryAfter)
		return false, nil
	}
	q.endHoldOff(e, n, 0)
	return false, q.pauseForPermit(retryAfter, s)
}

// endHoldOff lets other requests of this gateway ask for the endpoint again, after the time.
func (q *request) endHoldOff(e *fleet.Endpoint, n neededPermit, after time.Duration) {
	if n.atEndpoint() {
		now := q.g.clock()
		q.g.loads.HoldOff(e.ID, now+after, now)
	}
}

// permittedAlone decides without an answer of the leader: a suspect does not run, and an
// endpoint with a limit is used by one gateway.
func (q *request) permittedAlone(e *fleet.Endpoint, n neededPermit, err error) (bool, error) {
	if len(n.suspects) > 0 {
		return false, fail.Wrap(err, fail.Unavailable, "the control plane cannot be asked whether the request may run").WithRetryAfter(failedRetryAfter)
	}
	now := q.g.clock()
	ok, retryAfter := q.g.takeAlone(e, n.aloneRate())
	q.g.loads.HoldOff(e.ID, now+retryAfter, now)
	if ok {
		q.permit = &permit{endpoint: e.ID, until: now + ratelimit.PermitTTL}
	} else {
		permitsDenied.Inc()
	}
	return ok, nil
}

// pauseForPermit pauses before the request asks again, or returns an error if it has waited
// too long.
func (q *request) pauseForPermit(retryAfter time.Duration, s *search) error {
	if q.waiting(q.g.clock()-s.startedAt, 0, s).SlotWaitLeft() <= 0 {
		return fail.New(fail.Overloaded, "the endpoint takes no more requests for now").WithRetryAfter(max(retryAfter, failedRetryAfter))
	}
	wait.For(q.ctx, min(retryAfter, maxPermitPause))
	return nil
}

// askForPermit asks the leader for the permit.
func (q *request) askForPermit(e *fleet.Endpoint, n neededPermit) (*wire.PermitResponse, error) {
	ctx, cancel := context.WithTimeout(q.ctx, permitTimeout)
	defer cancel()
	req := &wire.PermitRequest{Gateway: q.g.cfg.ID, Endpoint: e.ID, Suspects: n.suspects, Limited: n.limited, PerSecond: n.perSecond, Brittle: n.brittle}
	if q.unusedPermit != nil {
		req.Unused = q.unusedPermit.endpoint
	}
	resp, err := q.g.callPermit(ctx, req)
	if err != nil {
		q.g.log.WithError(err).WithFields(logrus.Fields{"request": q.info.ID, "endpoint": e.ID}).Info("asking for a permit failed")
		return nil, err
	}
	q.unusedPermit = nil
	return resp, nil
}

func (g *Gateway) callPermit(ctx context.Context, req *wire.PermitRequest) (*wire.PermitResponse, error) {
	var resp *wire.PermitResponse
	err := g.control.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Fleet.Permit(ctx, connect.NewRequest(req))
		if err == nil {
			resp = r.Msg
		}
		return err
	})
	return resp, err
}

// permitHolds returns a function that reports whether the permit for the next send may still
// be used, or nil if it needs none.
func (q *request) permitHolds() func() bool {
	p := q.permit
	if p == nil {
		return nil
	}
	return func() bool { return q.g.clock() <= p.until }
}

// recordPermitUse records whether the send used the permit that it had, if any. One that was
// rejected did: if each gateway sent a suspect to an endpoint until one has run it, it would
// arrive there once for each.
func (q *request) recordPermitUse(s sendResult) {
	if q.permit != nil && q.permit.trial && s.unsent() {
		q.unusedPermit = q.permit
	}
	q.permit = nil
}

// returnUnusedPermit tells the leader that the suspect does not run, so that others may.
func (q *request) returnUnusedPermit() {
	if q.unusedPermit == nil {
		return
	}
	g, req := q.g, &wire.PermitRequest{Gateway: q.g.cfg.ID, Unused: q.unusedPermit.endpoint}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		if _, err := g.callPermit(ctx, req); err != nil {
			// The permit lapses by itself.
			g.log.WithError(err).WithField("endpoint", req.Unused).Debug("returning a permit failed")
		}
	}()
}
