package control

import (
	"sync"
	"time"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/placement"
)

const (
	// firstHold is how long an engine that came back is avoided; each further
	// return within maxHold doubles it, up to maxHold.
	firstHold = 30 * time.Second
	maxHold   = 10 * time.Minute
)

// healthTable remembers which engines come and go. It is safe for concurrent
// use.
type healthTable struct {
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

func newHealthTable() *healthTable { return &healthTable{engines: map[string]*engineHealth{}} }

// note takes what a read of the engine's state gave; nil is no answer.
func (t *healthTable) note(id string, now time.Duration, st *endpoint.EngineState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.engines[id]
	if h == nil {
		h = &engineHealth{}
		t.engines[id] = h
	}
	if st == nil {
		if !h.lost {
			h.lost, h.lostAt = true, now
		}
		return
	}
	if h.met && (h.lost || h.incarnation != st.Incarnation) {
		h.returned(now)
	}
	h.met, h.lost, h.incarnation = true, false, st.Incarnation
}

// failed makes an engine be avoided on which an order had to be given up.
func (t *healthTable) failed(id string, now time.Duration) {
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

// read returns each engine's health for the planner.
func (t *healthTable) read(now time.Duration) map[string]placement.Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]placement.Health{}
	for id, h := range t.engines {
		v := placement.Health{Unstable: now < h.until}
		if h.lost {
			v.LostFor = now - h.lostAt
		}
		out[id] = v
	}
	return out
}
