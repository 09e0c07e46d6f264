package fleet

import (
	"sync"
	"time"
)

const (
	// waitWeight is the weight of the newest wait in the failure rate, and
	// minSuccessRate the lowest success rate at which requests wait.
	waitWeight     = 0.3
	minSuccessRate = 0.35
	// waitHalfLife is the time in which the failure rate halves, so that waiting is
	// tried again.
	waitHalfLife = time.Second
)

// WaitHistory tracks, by model and patience, how many of the recent waits for a slot
// succeeded. Under sustained overload most waits end in a rejection that could have been
// sent at once. It is safe for concurrent use.
type WaitHistory struct {
	mu      sync.Mutex
	records map[WaitKey]*waitRecord
}

// WaitKey names the waits that are likely to end alike. Failed waits of urgent requests, which
// are short, say nothing of those of patient ones.
type WaitKey struct {
	Model   string
	Patient bool
}

type waitRecord struct {
	// failureRate is the exponentially weighted share of waits that ended without a
	// slot.
	failureRate float64
	// decayedTo is the time up to which the decay has been applied.
	decayedTo time.Duration
}

// NewWaitHistory returns an empty history.
func NewWaitHistory() *WaitHistory { return &WaitHistory{records: map[WaitKey]*waitRecord{}} }

// Record records a wait that ended with or without a slot.
func (w *WaitHistory) Record(k WaitKey, gotSlot bool, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.records[k]
	if r == nil {
		if gotSlot {
			return
		}
		r = &waitRecord{decayedTo: now}
		w.records[k] = r
	}
	r.decay(now)
	failed := 1.0
	if gotSlot {
		failed = 0
	}
	r.failureRate += waitWeight * (failed - r.failureRate)
}

// Worthwhile reports whether a wait for a slot is likely to succeed.
func (w *WaitHistory) Worthwhile(k WaitKey, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.records[k]
	if r == nil {
		return true
	}
	if r.decay(now); r.failureRate < waitWeight/4 {
		// Clients choose the model names, so records that have decayed are dropped to
		// bound the map.
		delete(w.records, k)
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
