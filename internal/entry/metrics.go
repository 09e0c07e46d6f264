package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/fail"
)

// Outcomes of a client request.
const (
	outcomeComplete = "whole"
	outcomeRejected = "refused"
	outcomeFailed   = "failed"
	outcomeAborted  = "broken"
)

// responseObserver records the status and timing of a response, for the metrics.
type responseObserver struct {
	http.ResponseWriter
	start           time.Time
	class           string
	status          int
	timeToFirstByte time.Duration
	// returned is false if the handler aborted the connection.
	returned bool
}

func newResponseObserver(w http.ResponseWriter) *responseObserver {
	return &responseObserver{ResponseWriter: w, start: time.Now()}
}

// Unwrap lets http.ResponseController reach the connection.
func (o *responseObserver) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// WriteHeader sends the status.
func (o *responseObserver) WriteHeader(status int) {
	o.status = status
	o.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, and records the time to the first byte.
func (o *responseObserver) Write(p []byte) (int, error) {
	if o.timeToFirstByte == 0 {
		o.timeToFirstByte = time.Since(o.start)
	}
	return o.ResponseWriter.Write(p)
}

// setRequestClass sets the class of the request, if w is a responseObserver.
func setRequestClass(w http.ResponseWriter, class string) {
	if o, ok := w.(*responseObserver); ok {
		o.class = class
	}
}

func (o *responseObserver) outcome() string {
	switch {
	case !o.returned:
		return outcomeAborted
	case o.status < http.StatusBadRequest:
		return outcomeComplete
	case o.Header().Get(HeaderRan) == string(fail.RanNo):
		return outcomeRejected
	}
	return outcomeFailed
}

// record updates the metrics. Only completions with a declared class are counted,
// so that clients cannot create label values.
func (o *responseObserver) record() {
	if o.class == "" {
		return
	}
	outcome := o.outcome()
	metrics.GetOrCreateCounter(`parsleyramp_requests_total{class="` + o.class + `",outcome="` + outcome + `"}`).Inc()
	if outcome == outcomeComplete && o.status == http.StatusOK {
		metrics.GetOrCreateHistogram(`parsleyramp_first_token_seconds{class="` + o.class + `"}`).Update(o.timeToFirstByte.Seconds())
	}
}

// collectMetrics adds the gauges of the entry's lease and of the load of the
// endpoints that it owns.
func (s *Server) collectMetrics(_ context.Context, set *metrics.Set) {
	gauge := func(name string, v float64) { set.GetOrCreateGauge(name, nil).Set(v) }
	gauge("parsleyramp_in_progress_requests", float64(s.inFlight.Load()))
	if v := s.session.leased.Load(); v != nil {
		gauge("parsleyramp_view_revision", float64(v.catalog.view.Revision))
		gauge("parsleyramp_lease_remaining_seconds", (v.until - s.session.clock()).Seconds())
	}
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	for id, e := range s.owner.endpoints {
		l := e.admission.Load()
		gauge(`parsleyramp_endpoint_in_flight_requests{endpoint="`+id+`"}`, float64(l.InFlight))
		gauge(`parsleyramp_endpoint_queued_requests{endpoint="`+id+`"}`, float64(l.Queued))
	}
}
