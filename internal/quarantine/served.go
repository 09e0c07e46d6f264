package quarantine

import (
	"math"
	"time"
)

const (
	// servedInterval is the least time between two times that are remembered, and
	// maxServedTimes their number: a crash is judged some seconds after it at most.
	servedInterval = 50 * time.Millisecond
	maxServedTimes = 128
)

// servedTimes are the last times at which requests were served, in ascending order.
type servedTimes struct{ times []time.Duration }

func (s *servedTimes) add(at time.Duration) {
	if n := len(s.times); n > 0 && at-s.times[n-1] < servedInterval {
		return
	}
	s.times = append(s.times, at)
	if len(s.times) > maxServedTimes {
		s.times = s.times[len(s.times)-maxServedTimes:]
	}
}

// before returns the last time that is not after t, or the least duration if there is none.
func (s *servedTimes) before(t time.Duration) time.Duration {
	if s != nil {
		for i := len(s.times) - 1; i >= 0; i-- {
			if s.times[i] <= t {
				return s.times[i]
			}
		}
	}
	return math.MinInt64
}
