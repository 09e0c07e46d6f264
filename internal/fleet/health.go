package fleet

import (
	"math"
	"time"
)

const (
	// failureWeight is the share of the newest result in the failure rate that a
	// gateway keeps for itself.
	failureWeight = 0.15
	// suspectRate is the failure rate from which an endpoint is used only
	// where no better one is left.
	suspectRate = 0.3
	// rateHalfLife is the time in which a failure rate halves without results,
	// so that an endpoint that recovered is tried again.
	failureRateHalfLife = 2 * time.Second
	// unreachablePause is how long an endpoint that refused a connection or
	// said that it is another one is left alone.
	unreachableBlockTime = time.Second
)

// Result is what became of one request at an endpoint.
type Result int

// Results of requests at an endpoint.
const (
	// Served requests got a whole answer of the endpoint.
	Served Result = iota
	// Failed requests got an answer of the endpoint's own failure, or a broken one.
	Failed
	// Unreachable endpoints took no connection or are not what the view says.
	Unreachable
)

// Results counts what became of requests at an endpoint.
type Results struct{ Served, Failed int }

// Latency is how long requests took at an endpoint, and how long they would have
// taken at one of usual speed.
type Latency struct{ Took, Expected time.Duration }

// Health judges endpoints by the results of requests. It is not safe for
// concurrent use.
type Health struct {
	endpoints map[string]*health
	// weight is the share of the newest result in a failure rate.
	weight float64
}

// NewHealth returns one without any result, in which the newest result has the
// weight.
func NewHealth(weight float64) *Health {
	return &Health{endpoints: map[string]*health{}, weight: weight}
}

type health struct {
	// rate is the share of failures, newer ones weighing more.
	rate         float64
	decayedTo    time.Duration
	blockedUntil time.Duration
}

// Record records results at a time.
func (h *Health) Record(endpoint string, r Results, now time.Duration) {
	n := r.Served + r.Failed
	if n == 0 {
		return
	}
	e := h.of(endpoint)
	e.decay(now)
	weight := 1 - math.Pow(1-h.weight, float64(n))
	e.rate += weight * (float64(r.Failed)/float64(n) - e.rate)
}

// Block leaves the endpoint alone for a while.
func (h *Health) Block(endpoint string, now time.Duration) {
	h.of(endpoint).blockedUntil = now + unreachableBlockTime
}

// Blocked reports whether the endpoint is to be left alone.
func (h *Health) Blocked(endpoint string, now time.Duration) bool {
	e := h.endpoints[endpoint]
	return e != nil && now < e.blockedUntil
}

// Suspect reports whether the endpoint fails so often that it is to be avoided.
func (h *Health) Suspect(endpoint string, now time.Duration) bool {
	e := h.endpoints[endpoint]
	if e == nil {
		return false
	}
	e.decay(now)
	return e.rate > suspectRate
}

// Retain forgets all endpoints but those named.
func (h *Health) Retain(retain func(endpoint string) bool) {
	for id := range h.endpoints {
		if !retain(id) {
			delete(h.endpoints, id)
		}
	}
}

func (h *Health) of(endpoint string) *health {
	e := h.endpoints[endpoint]
	if e == nil {
		e = &health{}
		h.endpoints[endpoint] = e
	}
	return e
}

func (e *health) decay(now time.Duration) {
	for now-e.decayedTo > failureRateHalfLife && e.rate > 0.01 {
		e.rate /= 2
		e.decayedTo += failureRateHalfLife
	}
	e.decayedTo = max(e.decayedTo, now-failureRateHalfLife)
}
