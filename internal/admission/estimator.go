package admission

import "time"

const (
	// averageWeight is the share of the newest measurement in an average.
	smoothingFactor = 0.1
	// maxClasses bounds the classes that are measured apart; more share one.
	maxClasses = 4096
)

// rates is what was measured of one class of requests.
type classAverages struct {
	// hold is the average time that a request holds a slot.
	serviceTime time.Duration
	// prefill is the average time from start to first token, for work units.
	prefill    time.Duration
	promptSize float64
}

// estimator predicts service times from those measured, by class.
type estimator struct {
	classes map[string]*classAverages
	// all is the average over every class; it stands for unknown classes.
	overall classAverages
}

func newEstimator() estimator { return estimator{classes: map[string]*classAverages{}} }

func (e *estimator) averagesOf(name string) *classAverages {
	if r := e.classes[name]; r != nil {
		return r
	}
	if len(e.classes) >= maxClasses {
		return &e.overall
	}
	r := &classAverages{}
	e.classes[name] = r
	return r
}

// hold predicts how long the request holds a slot.
func (e *estimator) serviceTime(r Request) time.Duration {
	if c := e.classes[r.Class]; c != nil && c.serviceTime > 0 {
		return c.serviceTime
	}
	return e.overall.serviceTime
}

// Prefill grows with the prompt; these bound how far one estimate departs
// from the class's average.
const (
	minPrefillScale = 0.5
	maxPrefillScale = 4
)

// prefill predicts the time from start to first token.
func (e *estimator) prefill(r Request) time.Duration {
	c := e.classes[r.Class]
	if c == nil || c.prefill == 0 {
		c = &e.overall
	}
	if c.promptSize == 0 || r.PromptSize == 0 {
		return c.prefill
	}
	return time.Duration(float64(c.prefill) * min(maxPrefillScale, max(minPrefillScale, r.PromptSize/c.promptSize)))
}

func (e *estimator) observeServiceTime(r Request, d time.Duration) {
	updateAverage(&e.averagesOf(r.Class).serviceTime, d)
	updateAverage(&e.overall.serviceTime, d)
}

func (e *estimator) observePrefill(r Request, d time.Duration) {
	c := e.averagesOf(r.Class)
	updateAverage(&c.prefill, d)
	updateAverage(&e.overall.prefill, d)
	for _, size := range [...]*float64{&c.promptSize, &e.overall.promptSize} {
		if *size == 0 {
			*size = r.PromptSize
		}
		*size += (r.PromptSize - *size) * smoothingFactor
	}
}

func updateAverage(avg *time.Duration, measured time.Duration) {
	if *avg == 0 {
		*avg = measured
		return
	}
	*avg += time.Duration(float64(measured-*avg) * smoothingFactor)
}
