package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

// deferredRetryDelay is the delay before the next attempt at a deferred request.
const deferredRetryDelay = 500 * time.Millisecond

// deferredPriority lets requests of every other class go first: a lower number
// has precedence.
const deferredPriority = 1000

// deferredStatus is the JSON state of a deferred request.
type deferredStatus struct {
	ID       string    `json:"id"`
	State    string    `json:"state"`
	FinishBy time.Time `json:"finish_by"`
	Location string    `json:"location"`
}

var deferredStateNames = map[wire.DeferredState]string{
	wire.DeferredState_DEFERRED_STATE_QUEUED:  "queued",
	wire.DeferredState_DEFERRED_STATE_RUNNING: "running",
	wire.DeferredState_DEFERRED_STATE_DONE:    "done",
	wire.DeferredState_DEFERRED_STATE_FAILED:  "failed",
}

func newDeferredStatus(d *wire.DeferredRequest) deferredStatus {
	return deferredStatus{ID: d.Id, State: deferredStateNames[d.State], FinishBy: time.UnixMilli(d.FinishByUnixMs).UTC(), Location: "/v1/overnight/" + d.Id}
}

// deferredNamespace is the namespace of the IDs of deferred requests with an
// idempotency key (RFC 9562, section 5.5).
var deferredNamespace = uuid.MustParse("6f6b1f0e-7d0c-5a6e-9c50-0f4b6a1c2d3e")

// deferredID returns the same ID for the same key, model and path, so that a
// resent submission is recognized.
func deferredID(d *wire.DeferredRequest, key string) string {
	if key == "" {
		return d.Id
	}
	return uuid.NewSHA1(deferredNamespace, []byte(d.Path+"\n"+d.Model+"\n"+key)).String()
}

// submitDeferred responds with 202 once the request is committed. A resent
// submission with the same idempotency key gets the ID of the first one.
func (s *Server) submitDeferred(ctx context.Context, w http.ResponseWriter, d *wire.DeferredRequest, key string) {
	d.Id = deferredID(d, key)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var accepted *wire.DeferredRequest
	err := s.control.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Control.SubmitDeferred(ctx, connect.NewRequest(&wire.SubmitDeferred{Request: d}))
		if err == nil {
			accepted = r.Msg.Request
		}
		return err
	})
	if err != nil {
		writeError(w, submitError(err))
		return
	}
	w.Header().Set("Location", "/v1/overnight/"+accepted.Id)
	writeJSON(w, http.StatusAccepted, newDeferredStatus(accepted))
}

// submitError returns a rejection by the control plane as it is. After any other
// failure it is unknown whether the request was accepted.
func submitError(err error) error {
	for _, code := range []fail.Code{fail.Overloaded, fail.KeyReused, fail.BodyTooLarge} {
		if fail.Is(err, code) {
			return err
		}
	}
	return fail.Wrap(err, fail.Unavailable, "it is unknown whether the request was recorded; resend it with the same key").
		WithRan(fail.RanUnknown).WithRetryAfter(time.Second)
}

// serveDeferred responds with the recorded response of a deferred request, with
// its failure, or with 202 and its state.
func (s *Server) serveDeferred(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := s.requestContext(r)
	defer cancel()
	var d *wire.DeferredRequest
	err := s.control.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		resp, err := c.Control.FetchDeferred(ctx, connect.NewRequest(&wire.FetchDeferredRequest{Id: r.PathValue("id")}))
		if err == nil {
			d = resp.Msg.Request
		}
		return err
	})
	switch {
	case err != nil:
		writeError(w, err)
	case d == nil:
		writeError(w, fail.New(fail.UnknownRequest, "no deferred request has this ID; records are retained for a limited time"))
	case d.Answer != nil:
		writeResponse(w, d.Answer)
	case d.State == wire.DeferredState_DEFERRED_STATE_FAILED:
		writeError(w, fail.New(fail.DeadlinePassed, d.Failure).WithRan(fail.RanUnknown))
	default:
		writeJSON(w, http.StatusAccepted, newDeferredStatus(d))
	}
}

// startDeferred starts the deferred requests that the control plane has assigned
// to this entry and that are not running here yet.
func (s *Server) startDeferred(requests []*wire.DeferredRequest) {
	if s.draining.Load() {
		return
	}
	for _, d := range requests {
		key := d.Key()
		if _, known := s.runningDeferred.LoadOrStore(key, true); !known {
			go s.runDeferred(d, key)
		}
	}
}

// runDeferred makes attempts at a deferred request until it has a response, its
// time is over or its failure is permanent, and records the result.
func (s *Server) runDeferred(d *wire.DeferredRequest, key string) {
	defer s.runningDeferred.Delete(key)
	ctx, cancel := context.WithDeadline(s.background, time.UnixMilli(d.FinishByUnixMs))
	defer cancel()
	result := &wire.FinishDeferred{Id: d.Id, Attempt: d.Attempt, State: wire.DeferredState_DEFERRED_STATE_FAILED}
	for {
		response, err := s.attemptDeferred(ctx, d)
		if s.background.Err() != nil {
			return
		}
		if err == nil && !isRetryableResponse(response) {
			result.State, result.Answer = wire.DeferredState_DEFERRED_STATE_DONE, response
			break
		}
		result.Failure = deferredFailure(response, err)
		if ctx.Err() != nil || isPermanentFailure(err) {
			break
		}
		if s.draining.Load() {
			// Another entry runs the request once this entry has stopped.
			return
		}
		wait.For(ctx, deferredRetryDelay)
	}
	err := s.control.Do(s.background, func(ctx context.Context, c controlclient.Conn) error {
		_, err := c.Control.FinishDeferred(ctx, connect.NewRequest(result))
		return err
	})
	if err != nil {
		s.log.WithError(err).WithField("request", d.Id).Warn("deferred result not recorded")
	}
}

// isRetryableResponse reports whether a later attempt may return a better response.
func isRetryableResponse(a *wire.RecordedAnswer) bool {
	return a.Status >= http.StatusInternalServerError || a.Status == http.StatusTooManyRequests
}

// isPermanentFailure reports whether every later attempt would fail too.
func isPermanentFailure(err error) bool {
	return fail.Is(err, fail.UnknownModel) || fail.Is(err, fail.BadRequest) || fail.Is(err, fail.Quarantined)
}

// deferredFailure returns the text that the control plane stores as the failure of
// the request.
func deferredFailure(a *wire.RecordedAnswer, err error) string {
	if err != nil {
		return "the last attempt failed: " + err.Error()
	}
	return fmt.Sprintf("the last attempt was answered with status %d", a.Status)
}

func (s *Server) attemptDeferred(ctx context.Context, d *wire.DeferredRequest) (*wire.RecordedAnswer, error) {
	c, err := s.session.catalog()
	if err != nil {
		return nil, err
	}
	m := c.models[d.Model]
	if m == nil {
		return nil, fail.New(fail.UnknownModel, "the model is no longer declared")
	}
	j, err := newCompletionJob(d.Path, d.Model, m, d.Body)
	if err != nil {
		return nil, err
	}
	j.template.Priority = deferredPriority
	j.finishBy = time.UnixMilli(d.FinishByUnixMs)
	return s.collect(ctx, j)
}
