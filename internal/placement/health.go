package placement

import (
	"sync"
	"time"
)

const (
	// firstHold is how long an engine that came back is avoided; each further
	// return within maxHold doubles it, up to maxHold.
	initialBackoff = 30 * time.Second
	maxBackoff     = 10 * time.Minute
)

// HealthTable remembers which engines come and go. It is safe for concurrent
// use.
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

// NewHealthTable returns a table that has met no engine.
func NewHealthTable() *HealthTable { return &HealthTable{engines: map[string]*engineHealth{}} }

// Observe takes the incarnation that a read of the engine's state gave; an empty
// one stands for no answer.
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

// RecordFailedOrder makes an engine be avoided on which an order had to be given up.
func (t *HealthTable) RecordFailedOrder(id string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.engines[id]; h != nil {
		h.startBackoff(now)
	}
}

func (h *engineHealth) startBackoff(now time.Duration) {
	if h.backoff == 0 || now-h.backoffStart > maxBackoff {
		h.backoff = initialBackoff
	} else {
		h.backoff = min(2*h.backoff, maxBackoff)
	}
	h.backoffStart, h.avoidUntil = now, now+h.backoff
}

// Read returns each engine's health for the planner.
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
