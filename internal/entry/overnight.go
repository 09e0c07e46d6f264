package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// overnightRetryDelay is the pause before refused overnight work is tried again.
const overnightRetryDelay = 500 * time.Millisecond

// overnightPriority lets every other class go first.
const overnightPriority = 1000

// overnightAnswer tells where overnight work stands.
type overnightAnswer struct {
	ID       string    `json:"id"`
	State    string    `json:"state"`
	FinishBy time.Time `json:"finish_by"`
	Location string    `json:"location"`
}

var deferredStates = map[wire.DeferredState]string{
	wire.DeferredState_DEFERRED_STATE_QUEUED:  "queued",
	wire.DeferredState_DEFERRED_STATE_RUNNING: "running",
	wire.DeferredState_DEFERRED_STATE_DONE:    "done",
	wire.DeferredState_DEFERRED_STATE_FAILED:  "failed",
}

func overnightStatus(d *wire.DeferredRequest) overnightAnswer {
	return overnightAnswer{ID: d.Id, State: deferredStates[d.State], FinishBy: time.UnixMilli(d.FinishByUnixMs).UTC(), Location: "/v1/overnight/" + d.Id}
}

// acceptDeferred answers 202 once the request is committed.
func (s *Server) acceptDeferred(ctx context.Context, w http.ResponseWriter, d *wire.DeferredRequest) {
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
		writeError(w, fail.Wrap(err, fail.Unavailable, "the request could not be recorded").WithRan(fail.RanUnknown).WithRetryAfter(time.Second))
		return
	}
	w.Header().Set("Location", "/v1/overnight/"+accepted.Id)
	writeJSON(w, http.StatusAccepted, overnightStatus(accepted))
}

// serveOvernight answers with the finished answer, or 202 with the state.
func (s *Server) serveOvernight(w http.ResponseWriter, r *http.Request) {
	var d *wire.DeferredRequest
	err := s.control.Do(r.Context(), func(ctx context.Context, c controlclient.Conn) error {
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
		writeError(w, fail.New(fail.UnknownRequest, "no overnight request has this id; answers are kept for a limited time"))
	case d.Answer != nil:
		writeAnswer(w, d.Answer)
	default:
		writeJSON(w, http.StatusAccepted, overnightStatus(d))
	}
}

// takeDeferred starts overnight work that control has assigned to this entry.
func (s *Server) takeDeferred(work []*wire.DeferredRequest) {
	if s.draining.Load() {
		return
	}
	for _, d := range work {
		key := d.Key()
		if _, known := s.deferred.LoadOrStore(key, true); !known {
			go s.runDeferred(d, key)
		}
	}
}

// runDeferred runs overnight work until it has an answer or its time is over,
// and records the result.
func (s *Server) runDeferred(d *wire.DeferredRequest, key string) {
	defer s.deferred.Delete(key)
	ctx, cancel := context.WithDeadline(s.background, time.UnixMilli(d.FinishByUnixMs))
	defer cancel()
	finish := &wire.FinishDeferred{Id: d.Id, Attempt: d.Attempt, State: wire.DeferredState_DEFERRED_STATE_FAILED}
	for {
		answer, err := s.tryDeferred(ctx, d)
		if err == nil {
			finish.State, finish.Answer = wire.DeferredState_DEFERRED_STATE_DONE, answer
			break
		}
		if s.background.Err() != nil || s.draining.Load() {
			// Another entry takes the work over once this one is gone.
			return
		}
		if ctx.Err() != nil || fail.Is(err, fail.UnknownModel) {
			break
		}
		time.Sleep(overnightRetryDelay)
	}
	recordCtx, cancelRecord := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancelRecord()
	err := s.control.Do(recordCtx, func(ctx context.Context, c controlclient.Conn) error {
		_, err := c.Control.FinishDeferred(ctx, connect.NewRequest(finish))
		return err
	})
	if err != nil {
		s.log.WithError(err).WithField("request", d.Id).Warn("overnight answer not recorded")
	}
}

func (s *Server) tryDeferred(ctx context.Context, d *wire.DeferredRequest) (*wire.RecordedAnswer, error) {
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
	j.template.Priority = overnightPriority
	j.finishBy = time.UnixMilli(d.FinishByUnixMs)
	return s.collect(ctx, j)
}
