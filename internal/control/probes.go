package control

import (
	"sync"
	"time"

	"parsleyramp/internal/wire"
)

// idleReadInterval is the time between two reads of the state of an engine
// that answers and for which nothing is open.
const idleProbeInterval = time.Second

// readSchedule decides which engines' states are read at a look. Engines with
// open orders, with copies of orders that may still arrive, without an answer
// or reported as crashed are read at every look.
type probeSchedule struct {
	mu   sync.Mutex
	next map[string]time.Duration
}

// due reports whether the engine's state is to be read now.
func (r *probeSchedule) due(engine string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now >= r.next[engine]
}

// answered puts the next read of an engine off.
func (r *probeSchedule) responded(engine string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = map[string]time.Duration{}
	}
	r.next[engine] = now + idleProbeInterval
}

// hurry asks for a read at the next look.
func (r *probeSchedule) trigger(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.next, engine)
}

// unsettled returns the engines for which orders or their copies are open.
func (s *snapshot) enginesWithOpenOrders() map[string]bool {
	out := map[string]bool{}
	for _, orders := range [][]*wire.Order{s.orders, s.copies} {
		for _, o := range orders {
			out[o.Endpoint] = true
		}
	}
	return out
}
