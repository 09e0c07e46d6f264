package fleet

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the newest result in the failure rate that a
	// gateway computes from its own requests.
	failureWeight = 0.15
	// suspectRate is the failure rate above which an endpoint is used only if no
	// better one is left.
	suspectRate = 0.3
	// failureRateHalfLife is the time in which a failure rate halves without
	// results, so that an endpoint that recovered is tried again.
	failureRateHalfLife = 2 * time.Second
	// unreachableBlockTime is how long an endpoint is excluded after it refused a
	// connection or identified itself as another endpoint.
	unreachableBlockTime = time.Second
)

// Result is the result of one request at an endpoint.
type Result int

// Results of a request at an endpoint.
const (
	// Served requests got a complete response from the endpoint.
	Served Result = iota
	// Failed requests got an error response from the endpoint, or a broken response.
	Failed
	// Unreachable endpoints accepted no connection or are not the endpoint that the
	// view lists at the address.
	Unreachable
)

// Results counts the requests at an endpoint by result.
type Results struct{ Served, Failed int }

// Latency is how long one or more requests took at an endpoint, and how long they
// are expected to take at an endpoint of usual latency.
type Latency struct{ Took, Expected time.Duration }

// Health tracks the failure rates of endpoints. It is not safe for concurrent use.
type Health struct {
	endpoints map[string]*health
	// weight is that of the newest result in a failure rate.
	weight float64
}

// NewHealth returns an empty Health in which the newest result has the given weight.
func NewHealth(weight float64) *Health {
	return &Health{endpoints: map[string]*health{}, weight: weight}
}

type health struct {
	// rate is the exponentially weighted failure rate.
	rate float64
	// decayedTo is the time up to which the decay has been applied.
	decayedTo    time.Duration
	blockedUntil time.Duration
}

// Record adds results observed at the time now.
func (h *Health) Record(endpoint string, r Results, now time.Duration) {
	n := r.Served + r.Failed
	if n == 0 {
		return
	}
	e := h.getOrCreate(endpoint)
	e.decay(now)
	weight := 1 - math.Pow(1-h.weight, float64(n))
	e.rate += weight * (float64(r.Failed)/float64(n) - e.rate)
}

// Block excludes the endpoint for unreachableBlockTime.
func (h *Health) Block(endpoint string, now time.Duration) {
	h.getOrCreate(endpoint).blockedUntil = now + unreachableBlockTime
}

// Blocked reports whether the endpoint is excluded.
func (h *Health) Blocked(endpoint string, now time.Duration) bool {
	e := h.endpoints[endpoint]
	return e != nil && now < e.blockedUntil
}

// Suspect reports whether the failure rate of the endpoint is above suspectRate.
func (h *Health) Suspect(endpoint string, now time.Duration) bool {
	e := h.endpoints[endpoint]
	if e == nil {
		return false
	}
	e.decay(now)
	return e.rate > suspectRate
}

// Retain drops all endpoints for which retain returns false.
func (h *Health) Retain(retain func(endpoint string) bool) {
	for id := range h.endpoints {
		if !retain(id) {
			delete(h.endpoints, id)
		}
	}
}

func (h *Health) getOrCreate(endpoint string) *health {
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
