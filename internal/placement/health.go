package placement

import (
	"sync"
	"time"
)

const (
	// initialBackoff is how long an engine is avoided after it recovers or
	// restarts, or after an order to it is abandoned. Each repetition within
	// maxBackoff of the previous one doubles the time, up to maxBackoff.
	initialBackoff = 30 * time.Second
	maxBackoff     = 10 * time.Minute
)

// HealthTable tracks which engines are unresponsive or unstable. It is safe for
// concurrent use.
type HealthTable struct {
	mu      sync.Mutex
	engines map[string]*engineHealth
}

type engineHealth struct {
	incarnation       string
	seen              bool
	unresponsiveSince time.Duration
	unresponsive      bool
	backoffStart      time.Duration
	backoff           time.Duration
	avoidUntil        time.Duration
}

// NewHealthTable returns an empty table.
func NewHealthTable() *HealthTable { return &HealthTable{engines: map[string]*engineHealth{}} }

// Observe records the incarnation from a read of the engine's state. An empty
// incarnation means that the read failed.
func (t *HealthTable) Observe(id string, now time.Duration, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.engines[id]
	if h == nil {
		h = &engineHealth{}
		t.engines[id] = h
	}
	if incarnation == "" {
		if !h.unresponsive {
			h.unresponsive, h.unresponsiveSince = true, now
		}
		return
	}
	if h.seen && (h.unresponsive || h.incarnation != incarnation) {
		h.startBackoff(now)
	}
	h.seen, h.unresponsive, h.incarnation = true, false, incarnation
}

// RecordFailedOrder marks an engine as unstable after an order to it was
// abandoned. It has no effect on an engine that was never observed.
func (t *HealthTable) RecordFailedOrder(id string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.engines[id]; h != nil {
		h.startBackoff(now)
	}
}

// startBackoff marks the engine as unstable for the next backoff interval.
func (h *engineHealth) startBackoff(now time.Duration) {
	if h.backoff == 0 || now-h.backoffStart > maxBackoff {
		h.backoff = initialBackoff
	} else {
		h.backoff = min(2*h.backoff, maxBackoff)
	}
	h.backoffStart, h.avoidUntil = now, now+h.backoff
}

// Read returns the health of each observed engine.
func (t *HealthTable) Read(now time.Duration) map[string]Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Health{}
	for id, h := range t.engines {
		v := Health{Unstable: now < h.avoidUntil}
		if h.unresponsive {
			v.UnresponsiveFor = now - h.unresponsiveSince
		}
		out[id] = v
	}
	return out
}
