package fleetcontrol

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/wire"
)

// trialMargin is the part of the length of a trial that does not depend on the number of
// gateways: the run until its endpoint crashes, the check of the endpoint, and the step of
// the leader that counts the crash.
const trialMargin = time.Second

// convictedRetryMS is the retry time of a permit for a convicted request.
const convictedRetryMS = 100

var trials = metrics.GetOrCreateCounter("parsleyramp_fleet_suspect_trials_total")

// Permit decides whether a request that may not run beside others of its kind may be sent
// to an endpoint now.
func (f *fleetService) Permit(ctx context.Context, req *connect.Request[wire.PermitRequest]) (*connect.Response[wire.PermitResponse], error) {
	l, err := f.leader(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(l.permit(req.Msg)), nil
}

// permit decides whether the request may be sent: within the limit of the endpoint, and
// apart from other suspects.
func (l *leaderState) permit(r *wire.PermitRequest) *wire.PermitResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.clock()
	if r.Unused != "" {
		l.trials.Cancel(r.Unused, r.Gateway)
	}
	if r.Endpoint == "" {
		return &wire.PermitResponse{}
	}
	if slices.ContainsFunc(r.Suspects, l.suspects.Convicted) {
		// The gateway learns of the conviction with its next exchange.
		return &wire.PermitResponse{RetryAfterMs: convictedRetryMS}
	}
	if ok, retryAfter := l.beginTrial(r, now); !ok {
		return &wire.PermitResponse{RetryAfterMs: milliseconds(retryAfter)}
	}
	ok, retryAfter := l.takeRoom(r, now)
	if ok {
		ok, retryAfter = l.takePermit(r, now)
	}
	if !ok {
		if len(r.Suspects) > 0 {
			l.trials.Cancel(r.Endpoint, r.Gateway)
		}
		return &wire.PermitResponse{RetryAfterMs: milliseconds(retryAfter), Limited: true}
	}
	return &wire.PermitResponse{Granted: true}
}

// beginTrial begins a trial of the request's suspects, if it has any, or returns the time
// after which one may be possible. l.mu must be held.
func (l *leaderState) beginTrial(r *wire.PermitRequest, now time.Duration) (ok bool, retryAfter time.Duration) {
	if len(r.Suspects) == 0 {
		return true, 0
	}
	l.trials.EndDecided(l.suspects.Undecided)
	ok, retryAfter = l.trials.Begin(r.Endpoint, r.Gateway, r.Suspects, now, 2*l.reportLag()+trialMargin)
	if ok {
		trials.Inc()
		l.s.log.WithFields(logrus.Fields{
			"gateway": r.Gateway, "endpoint": r.Endpoint, "suspects": quarantine.FormatFingerprints(r.Suspects),
		}).Info("suspect runs apart from others")
	}
	return ok, retryAfter
}

// milliseconds returns the time in milliseconds, rounded up.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
