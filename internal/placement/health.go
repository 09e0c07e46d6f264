package placement

import (
	"sync"
	"time"
)

const (
	// firstHold is how long an engine that came back is avoided; each further
	// return within maxHold doubles it, up to maxHold.
	firstHold = 30 * time.Second
	maxHold   = 10 * time.Minute
)

// HealthTable remembers which engines come and go. It is safe for concurrent
// use.
type HealthTable struct {
	mu      sync.Mutex
	engines map[string]*engineHealth
}

type engineHealth struct {
	incarnation string
	met         bool
	lostAt      time.Duration
	lost        bool
	returnedAt  time.Duration
	hold        time.Duration
	until       time.Duration
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
		if !h.lost {
			h.lost, h.lostAt = true, now
		}
		return
	}
	if h.met && (h.lost || h.incarnation != incarnation) {
		h.returned(now)
	}
	h.met, h.lost, h.incarnation = true, false, incarnation
}

// RecordFailedOrder makes an engine be avoided on which an order had to be given up.
func (t *HealthTable) RecordFailedOrder(id string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.engines[id]; h != nil {
		h.returned(now)
	}
}

func (h *engineHealth) returned(now time.Duration) {
	if h.hold == 0 || now-h.returnedAt > maxHold {
		h.hold = firstHold
	} else {
		h.hold = min(2*h.hold, maxHold)
	}
	h.returnedAt, h.until = now, now+h.hold
}

// Read returns each engine's health for the planner.
func (t *HealthTable) Read(now time.Duration) map[string]Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Health{}
	for id, h := range t.engines {
		v := Health{Unstable: now < h.until}
		if h.lost {
			v.LostFor = now - h.lostAt
		}
		out[id] = v
	}
	return out
}
