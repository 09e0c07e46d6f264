package admission

import "time"

const (
	// smoothingFactor is the weight of the newest measurement in a moving
	// average.
	smoothingFactor = 0.1
	// maxClasses bounds the classes with averages of their own; further classes
	// share the overall averages.
	maxClasses = 4096
)

// classAverages holds moving averages over the requests of one class.
type classAverages struct {
	// serviceTime is the average time for which a request occupies a slot.
	serviceTime time.Duration
	// prefill is the average time from start to first token, and requestSize the
	// average size of the same requests.
	prefill     time.Duration
	requestSize float64
}

// estimator predicts service times and prefill times from those measured, by
// class.
type estimator struct {
	classes map[string]*classAverages
	// overall holds the averages over all classes, which apply to unknown ones.
	overall classAverages
}

func newEstimator() estimator { return estimator{classes: map[string]*classAverages{}} }

// averagesOf returns the averages of a class, which it adds if they are missing.
// If there are maxClasses already, it returns the overall averages instead.
func (e *estimator) averagesOf(name string) *classAverages {
	if averages := e.classes[name]; averages != nil {
		return averages
	}
	if len(e.classes) >= maxClasses {
		return &e.overall
	}
	averages := &classAverages{}
	e.classes[name] = averages
	return averages
}

// serviceTime predicts how long the request occupies a slot.
func (e *estimator) serviceTime(r Request) time.Duration {
	if c := e.classes[r.Class]; c != nil && c.serviceTime > 0 {
		return c.serviceTime
	}
	return e.overall.serviceTime
}

// Prefill time grows with the prompt. These constants bound the ratio of one
// estimate to the average of its class.
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
	if c.requestSize == 0 || r.RequestSize == 0 {
		return c.prefill
	}
	return time.Duration(float64(c.prefill) * min(maxPrefillScale, max(minPrefillScale, r.RequestSize/c.requestSize)))
}

func (e *estimator) observeServiceTime(r Request, d time.Duration) {
	updateAverage(&e.averagesOf(r.Class).serviceTime, d)
	updateAverage(&e.overall.serviceTime, d)
}

func (e *estimator) observePrefill(r Request, d time.Duration) {
	c := e.averagesOf(r.Class)
	updateAverage(&c.prefill, d)
	updateAverage(&e.overall.prefill, d)
	for _, averageSize := range [...]*float64{&c.requestSize, &e.overall.requestSize} {
		if *averageSize == 0 {
			*averageSize = r.RequestSize
		}
		*averageSize += (r.RequestSize - *averageSize) * smoothingFactor
	}
}

func updateAverage(avg *time.Duration, measured time.Duration) {
	if *avg == 0 {
		*avg = measured
		return
	}
	*avg += time.Duration(float64(measured-*avg) * smoothingFactor)
}
