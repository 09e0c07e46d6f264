package fleet

import (
	"sync"
	"time"
)

const (
	// waitWeight is the share of the newest wait in the share of waits that end
	// with a place, and worthWaiting the least share for which others wait.
	waitWeight     = 0.3
	minSuccessRate = 0.35
	// waitHalfLife is the time in which the memory of failed waits halves, so that
	// waiting is tried again.
	waitHalfLife = time.Second
)

// WaitHistory remembers, by model, whether waits for a place have lately been of use.
// Under a load that lasts, most of them end in a refusal that could have come at
// once. It is safe for concurrent use.
type WaitHistory struct {
	mu     sync.Mutex
	models map[string]*waitRecord
}

type waitRecord struct {
	// lost is the share of waits that ended without a place.
	failureRate float64
	decayedTo   time.Duration
}

// NewWaitHistory returns one that remembers none.
func NewWaitHistory() *WaitHistory { return &WaitHistory{models: map[string]*waitRecord{}} }

// Record records a wait that has ended, with a place or without.
func (w *WaitHistory) Record(model string, gotSlot bool, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.models[model]
	if r == nil {
		if gotSlot {
			return
		}
		r = &waitRecord{decayedTo: now}
		w.models[model] = r
	}
	r.decay(now)
	failed := 1.0
	if gotSlot {
		failed = 0
	}
	r.failureRate += waitWeight * (failed - r.failureRate)
}

// Worthwhile reports whether a wait for a place is likely to be of use.
func (w *WaitHistory) Worthwhile(model string, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.models[model]
	if r == nil {
		return true
	}
	if r.decay(now); r.failureRate < waitWeight/4 {
		// Callers choose the names; what is as good as forgotten goes.
		delete(w.models, model)
		return true
	}
	return 1-r.failureRate >= minSuccessRate
}

func (r *waitRecord) decay(now time.Duration) {
	for now-r.decayedTo >= waitHalfLife && r.failureRate > 0.01 {
		r.failureRate /= 2
		r.decayedTo += waitHalfLife
	}
	r.decayedTo = max(r.decayedTo, now-waitHalfLife)
}
