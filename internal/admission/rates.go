package admission

import "time"

const (
	// averageWeight is the share of the newest measurement in an average.
	averageWeight = 0.1
	// maxClasses bounds the classes that are measured apart; more share one.
	maxClasses = 4096
)

// rates is what was measured of one class of requests.
type rates struct {
	// hold is the average time that a request holds a slot.
	hold time.Duration
	// prefill is the average time from start to first token, for work units.
	prefill time.Duration
	work    float64
}

// estimator predicts service times from those measured, by class.
type estimator struct {
	classes map[string]*rates
	// all is the average over every class; it stands for unknown classes.
	all rates
}

func newEstimator() estimator { return estimator{classes: map[string]*rates{}} }

func (m *estimator) class(name string) *rates {
	if r := m.classes[name]; r != nil {
		return r
	}
	if len(m.classes) >= maxClasses {
		return &m.all
	}
	r := &rates{}
	m.classes[name] = r
	return r
}

// hold predicts how long the request holds a slot.
func (m *estimator) hold(r Request) time.Duration {
	if c := m.classes[r.Class]; c != nil && c.hold > 0 {
		return c.hold
	}
	return m.all.hold
}

// Prefill grows with the prompt; these bound how far one estimate departs
// from the class's average.
const (
	minPrefillScale = 0.5
	maxPrefillScale = 4
)

// prefill predicts the time from start to first token.
func (m *estimator) prefill(r Request) time.Duration {
	c := m.classes[r.Class]
	if c == nil || c.prefill == 0 {
		c = &m.all
	}
	if c.work == 0 || r.PromptSize == 0 {
		return c.prefill
	}
	return time.Duration(float64(c.prefill) * min(maxPrefillScale, max(minPrefillScale, r.PromptSize/c.work)))
}

func (m *estimator) observeHold(r Request, d time.Duration) {
	average(&m.class(r.Class).hold, d)
	average(&m.all.hold, d)
}

func (m *estimator) observePrefill(r Request, d time.Duration) {
	c := m.class(r.Class)
	average(&c.prefill, d)
	average(&m.all.prefill, d)
	for _, w := range [...]*float64{&c.work, &m.all.work} {
		if *w == 0 {
			*w = r.PromptSize
		}
		*w += (r.PromptSize - *w) * averageWeight
	}
}

func average(a *time.Duration, d time.Duration) {
	if *a == 0 {
		*a = d
		return
	}
	*a += time.Duration(float64(d-*a) * averageWeight)
}
