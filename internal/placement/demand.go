package placement

import (
	"math"
	"time"
)

// Windows over which demand is averaged.
const (
	ShortWindow = time.Minute
	LongWindow  = 30 * time.Minute
)

// Estimator averages arrivals over a short and a long window, each weighing
// older arrivals exponentially less. It is not safe for concurrent use.
type Estimator struct {
	short, long time.Duration
	last        time.Duration
	models      map[string]*average
}

type average struct {
	arrived     uint64
	short, long float64
}

// NewEstimator returns an estimator that has seen nothing up to now.
func NewEstimator(now, short, long time.Duration) *Estimator {
	return &Estimator{short: short, long: long, last: now, models: map[string]*average{}}
}

// Add counts arrivals since the last Advance.
func (e *Estimator) Add(model string, requests uint64) {
	a := e.models[model]
	if a == nil {
		a = &average{}
		e.models[model] = a
	}
	a.arrived += requests
}

// Advance folds what was added into the averages and returns them in requests
// a second. A model without demand for long is forgotten.
func (e *Estimator) Advance(now time.Duration) map[string]Demand {
	elapsed := now - e.last
	out := map[string]Demand{}
	for model, a := range e.models {
		if elapsed > 0 {
			rate := float64(a.arrived) / elapsed.Seconds()
			a.short += (rate - a.short) * smoothingFactor(elapsed, e.short)
			a.long += (rate - a.long) * smoothingFactor(elapsed, e.long)
			a.arrived = 0
		}
		if a.short+a.long < negligibleRate && a.arrived == 0 {
			delete(e.models, model)
			continue
		}
		out[model] = Demand{Short: a.short, Long: a.long}
	}
	e.last = now
	return out
}

// negligibleRate in requests a second is not worth remembering.
const negligibleRate = 1e-6

func smoothingFactor(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}

// StartLimiter is a token bucket for the loads that the weight store starts.
type StartLimiter struct {
	perSecond float64
	burst     float64
	tokens    float64
	last      time.Duration
}

// NewStartLimiter returns a full bucket. burst is how many loads may start at once.
func NewStartLimiter(now time.Duration, perSecond float64, burst int) *StartLimiter {
	return &StartLimiter{perSecond: perSecond, burst: float64(burst), tokens: float64(burst), last: now}
}

// Available returns how many loads may start now.
func (s *StartLimiter) Available(now time.Duration) int {
	s.tokens = min(s.burst, s.tokens+s.perSecond*(now-s.last).Seconds())
	s.last = now
	return int(s.tokens)
}

// Take records the start of a load.
func (s *StartLimiter) Take() { s.tokens-- }
