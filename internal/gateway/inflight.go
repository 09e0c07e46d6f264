package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
)

// errShutdown is the cause for which a shutdown cancels the requests in flight.
var errShutdown = fail.New(fail.Draining, "the gateway is shutting down").WithRetryAfter(drainRetryAfter)

// phase is the stage of a request at the gateway.
type phase int32

// Phases of a request, in their usual order.
const (
	// phaseReading: the request is being read, or waits for the first document.
	phaseReading phase = iota
	// phaseSelecting: the request waits for an endpoint, for a slot there or for a
	// model.
	phaseSelecting
	// phaseReserving: a slot is being reserved.
	phaseReserving
	// phaseSent: the request was sent to an endpoint, no byte of whose response has
	// been forwarded.
	phaseSent
	// phaseStreaming: a part of the endpoint's response has been forwarded.
	phaseStreaming
	// phaseDelivering: the endpoint's response is complete at the gateway and is being
	// written to the client.
	phaseDelivering
	phaseCount
)

var phaseNames = [phaseCount]string{"reading", "selecting", "reserving", "sent", "streaming", "delivering"}

// String returns the value of the label and of the log field for the phase.
func (p phase) String() string { return phaseNames[p] }

// requestState is the progress of one request in flight. It is safe for
// concurrent use.
type requestState struct {
	id       string
	arrived  time.Duration
	cancel   context.CancelCauseFunc
	phase    atomic.Int32
	endpoint atomic.Pointer[string]
	// readAt is when the request had been read whole, and sentAt when it was last sent; zero
	// before.
	readAt, sentAt atomic.Int64
}

func (s *requestState) setPhase(p phase) { s.phase.Store(int32(p)) }

// setSent records that the request is sent at the time now.
func (s *requestState) setSent(endpoint string, now time.Duration) {
	s.endpoint.Store(&endpoint)
	s.sentAt.Store(int64(now))
	s.setPhase(phaseSent)
}

// fields returns the state as log fields.
func (s *requestState) fields(now time.Duration) logrus.Fields {
	out := logrus.Fields{"request": s.id, "phase": phase(s.phase.Load()).String(), "age_ms": (now - s.arrived).Milliseconds()}
	if e := s.endpoint.Load(); e != nil {
		out["endpoint"] = *e
	}
	return out
}

// drainFields returns, as log fields, how long after the begin of a drain the request had been
// read whole and was last sent: negative before it, and missing if that has not happened.
func (s *requestState) drainFields(began time.Duration) logrus.Fields {
	out := logrus.Fields{}
	for name, at := range map[string]int64{"read_in_drain_ms": s.readAt.Load(), "sent_in_drain_ms": s.sentAt.Load()} {
		if at != 0 {
			out[name] = (time.Duration(at) - began).Milliseconds()
		}
	}
	return out
}

// requestsInFlight holds the requests that have arrived and have not ended. Its
// zero value is empty. It is safe for concurrent use.
type requestsInFlight struct {
	mu     sync.Mutex
	states map[*requestState]struct{}
	// canceled is set once later requests are canceled when they begin.
	canceled bool
}

// begin adds a request, which cancel cancels.
func (r *requestsInFlight) begin(id string, arrived time.Duration, cancel context.CancelCauseFunc) *requestState {
	s := &requestState{id: id, arrived: arrived, cancel: cancel}
	s.setPhase(phaseReading)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.canceled {
		cancel(errShutdown)
	}
	if r.states == nil {
		r.states = map[*requestState]struct{}{}
	}
	r.states[s] = struct{}{}
	return s
}

func (r *requestsInFlight) end(s *requestState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.states, s)
}

// cancelBefore cancels the requests that have not reached the phase, and all later ones, with
// errShutdown.
func (r *requestsInFlight) cancelBefore(reached phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.canceled = true
	for s := range r.states {
		if phase(s.phase.Load()) < reached {
			s.cancel(errShutdown)
		}
	}
}

// list returns the requests in flight, oldest first.
func (r *requestsInFlight) list() []*requestState {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*requestState, 0, len(r.states))
	for s := range r.states {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *requestState) int { return cmp.Compare(a.arrived, b.arrived) })
	return out
}

// counts returns the number of requests in each phase.
func (r *requestsInFlight) counts() [phaseCount]int {
	var out [phaseCount]int
	for _, s := range r.list() {
		out[s.phase.Load()]++
	}
	return out
}

// countFields returns the counts as log fields.
func (r *requestsInFlight) countFields() logrus.Fields {
	out := logrus.Fields{}
	for p, n := range r.counts() {
		out[phase(p).String()] = n
	}
	return out
}
