package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/attempt"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/quarantine"
)

// servedLogRatio is the share of served requests that are logged at info level. Those that
// take streams up are all logged.
const servedLogRatio = 0.02

// shutDown reports whether the shutdown of the gateway has canceled the request.
func (q *request) shutDown() bool { return errors.Is(context.Cause(q.ctx), errShutdown) }

// endWithoutResponse ends a request for which no complete response of an
// endpoint was forwarded.
func (q *request) endWithoutResponse(h *attempt.History, out *relay, err error) {
	switch {
	case out.headerSent:
		// A failure to write is one more reason to abort.
		_ = out.finish()
		q.recordEnd("aborted", nil, h, err)
		panic(http.ErrAbortHandler)
	case out.lastFailure != nil && (q.ctx.Err() == nil || q.shutDown()):
		out.writeBuffered(out.lastFailure)
		q.recordEnd("endpoint_failed", nil, h, err)
	case h.MayHaveRun:
		q.endWithUnknownOutcome(h, err)
	case q.shutDown():
		q.reject(errShutdown)
	case errors.Is(q.ctx.Err(), context.DeadlineExceeded):
		q.endWithUnknownOutcome(h, fail.New(fail.DeadlinePassed, "the deadline of the request has passed"))
	default:
		f := fail.From(err)
		if f.Code == fail.EndpointFailed {
			f = fail.Wrap(err, fail.Unavailable, "no endpoint accepted the request")
		}
		if f.RetryAfter == 0 && f.Code != fail.Quarantined && f.Code != fail.Unauthenticated {
			f = f.WithRetryAfter(failedRetryAfter)
		}
		q.reject(f)
	}
}

// endWithUnknownOutcome responds to a request that may have run, or whose
// deadline has passed, with a status that does not state whether it has run.
func (q *request) endWithUnknownOutcome(h *attempt.History, err error) {
	status := http.StatusBadGateway
	if errors.Is(q.ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	q.recordEnd("failed", nil, h, err)
	describeFailure(q.w, q.httpRequest, fail.From(err).WithRan(fail.RanUnknown))
	http.Error(q.w, "the request may have run, but no response is available", status)
}

// recordEnd updates the metrics of a request that has ended, and logs its outcome.
func (q *request) recordEnd(outcome string, e *fleet.Endpoint, h *attempt.History, err error) {
	elapsed := q.g.clock() - q.arrived
	requestsDone.count(q.route.Kind.String(), outcome)
	q.countByWorkspace(outcome)
	requestSeconds.Update(elapsed.Seconds())
	q.countTakeUp(err)
	fields := logrus.Fields{
		"request": q.info.ID, "route": q.route.Name, "service": q.requirements.Service, "model": q.requirements.Model, "adapter": q.requirements.Adapter,
		"outcome": outcome, "sends": h.Sends, "may_have_run": h.MayHaveRun, "took_ms": elapsed.Milliseconds(),
	}
	if e != nil {
		fields["endpoint"], fields["version"] = e.ID, e.Version
	}
	if name := q.workspaceName(); name != "" {
		fields["workspace"] = name
	}
	maps.Copy(fields, q.takeUpFields())
	if q.firstByte > 0 {
		fields["first_byte_ms"], fields["longest_pause_ms"] = q.firstByte.Milliseconds(), q.longestPause.Milliseconds()
	}
	if q.framing != "" {
		fields["framing"] = q.framing
	}
	fields["place_ms"] = q.selectionTime.Milliseconds()
	line := q.g.log.WithFields(fields)
	if err != nil {
		line = line.WithField("error", err.Error())
	}
	if outcome == "served" && !q.takesUp() && q.g.randFloat() >= servedLogRatio {
		line.Debug("request ended")
		return
	}
	line.Info("request ended")
}

func (q *request) logFailedSend(e *fleet.Endpoint, s sendResult, step attempt.Step, h *attempt.History) {
	v := q.g.view.Load()
	line := q.g.log.WithFields(logrus.Fields{
		"request": q.info.ID, "endpoint": e.ID, "version": e.Version, "outcome": s.outcome.String(), "step": step.String(), "sends": h.Sends,
		"time_left_ms": q.timeLeft().Milliseconds(), "view_term": v.Term, "view_revision": v.Revision, "framing": q.framing,
	})
	if s.err != nil {
		line = line.WithField("error", s.err.Error())
	}
	if f := q.fingerprints(); len(f) > 0 {
		line = line.WithFields(logrus.Fields{
			"content": quarantine.FormatFingerprint(f[0]), "fingerprint": quarantine.FormatFingerprint(f[1]), "parts": quarantine.FormatFingerprints(f[requestFingerprints:]),
		})
	}
	if s.otherEndpoint != "" {
		line = line.WithField("other_endpoint", s.otherEndpoint)
	}
	line.Info("request attempt failed")
}
