package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/fail"
)

// Outcomes of a caller's request.
const (
	outcomeWhole   = "whole"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeBroken  = "broken"
)

// observer notes what a caller was answered, for the metrics.
type observer struct {
	http.ResponseWriter
	start  time.Time
	class  string
	status int
	first  time.Duration
	// returned is false where the handler cut the connection.
	returned bool
}

func newObserver(w http.ResponseWriter) *observer {
	return &observer{ResponseWriter: w, start: time.Now()}
}

// Unwrap lets http.ResponseController reach the connection.
func (o *observer) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// WriteHeader sends the status.
func (o *observer) WriteHeader(status int) {
	o.status = status
	o.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (o *observer) Write(p []byte) (int, error) {
	if o.first == 0 {
		o.first = time.Since(o.start)
	}
	return o.ResponseWriter.Write(p)
}

// noteClass tells the observer behind w the class of the request.
func noteClass(w http.ResponseWriter, class string) {
	if o, ok := w.(*observer); ok {
		o.class = class
	}
}

func (o *observer) outcome() string {
	switch {
	case !o.returned:
		return outcomeBroken
	case o.status < http.StatusBadRequest:
		return outcomeWhole
	case o.Header().Get(HeaderRan) == string(fail.RanNo):
		return outcomeRefused
	}
	return outcomeFailed
}

// finish counts the request. Only completions with a known class are counted,
// so that callers cannot add labels.
func (o *observer) finish() {
	if o.class == "" {
		return
	}
	outcome := o.outcome()
	metrics.GetOrCreateCounter(`parsleyramp_requests_total{class="` + o.class + `",outcome="` + outcome + `"}`).Inc()
	if outcome == outcomeWhole && o.status == http.StatusOK {
		metrics.GetOrCreateHistogram(`parsleyramp_first_token_seconds{class="` + o.class + `"}`).Update(o.first.Seconds())
	}
}

// measure adds the entry's lease and the load of the endpoints that it owns.
func (s *Server) measure(_ context.Context, set *metrics.Set) {
	gauge := func(name string, v float64) { set.GetOrCreateGauge(name, nil).Set(v) }
	gauge("parsleyramp_in_progress_requests", float64(s.inProgress.Load()))
	if v := s.session.served.Load(); v != nil {
		gauge("parsleyramp_view_revision", float64(v.catalog.view.Revision))
		gauge("parsleyramp_lease_remaining_seconds", (v.until - s.session.clock()).Seconds())
	}
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	for id, e := range s.owner.gates {
		l := e.gate.Load()
		gauge(`parsleyramp_endpoint_in_flight_requests{endpoint="`+id+`"}`, float64(l.InFlight))
		gauge(`parsleyramp_endpoint_queued_requests{endpoint="`+id+`"}`, float64(l.Queued))
	}
}
