package placement

import (
	"math"
	"time"
)

// Time constants of the averages of demand.
const (
	ShortWindow = time.Minute
	LongWindow  = 30 * time.Minute
)

// Estimator keeps exponentially weighted moving averages of the arrival rate of
// each model over a short and a long window. It is not safe for concurrent use.
type Estimator struct {
	short, long time.Duration
	last        time.Duration
	models      map[string]*average
}

type average struct {
	arrived     uint64
	short, long float64
}

// NewEstimator returns an estimator without any arrivals up to now.
func NewEstimator(now, short, long time.Duration) *Estimator {
	return &Estimator{short: short, long: long, last: now, models: map[string]*average{}}
}

// Add adds requests of the model that arrived since the last Advance.
func (e *Estimator) Add(model string, requests uint64) {
	a := e.models[model]
	if a == nil {
		a = &average{}
		e.models[model] = a
	}
	a.arrived += requests
}

// Advance updates the averages with the added arrivals and returns them in
// requests per second. It drops models whose averages have become negligible.
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

// negligibleRate, in requests per second, is the sum of both averages below
// which a model is dropped.
const negligibleRate = 1e-6

func smoothingFactor(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}

// StartLimiter is a token bucket that limits the rate at which model loads
// from the weight store start.
type StartLimiter struct {
	perSecond float64
	burst     float64
	tokens    float64
	last      time.Duration
}

// NewStartLimiter returns a full bucket. burst is the number of loads that may
// start at once.
func NewStartLimiter(now time.Duration, perSecond float64, burst int) *StartLimiter {
	return &StartLimiter{perSecond: perSecond, burst: float64(burst), tokens: float64(burst), last: now}
}

// Available returns the number of loads that may start now.
func (s *StartLimiter) Available(now time.Duration) int {
	s.tokens = min(s.burst, s.tokens+s.perSecond*(now-s.last).Seconds())
	s.last = now
	return int(s.tokens)
}

// Take records the start of one load.
func (s *StartLimiter) Take() { s.tokens-- }
