package control

import (
	"sync"
	"time"

	"parsleyramp/internal/wire"
)

// idleProbeInterval is the time between two probes of a responsive engine with
// no open orders and no copies of orders that may still arrive.
const idleProbeInterval = time.Second

// probeSchedule holds when engines that responded are due for their next probe.
// Other engines are probed in every pass of the leader: those with open orders,
// those with copies of orders that may still arrive, and those that have not
// responded. A crash report makes an engine due at once.
type probeSchedule struct {
	mu   sync.Mutex
	next map[string]time.Duration
}

// due reports whether the engine is to be probed now.
func (r *probeSchedule) due(engine string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now >= r.next[engine]
}

// responded schedules the next probe of an engine after idleProbeInterval.
func (r *probeSchedule) responded(engine string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = map[string]time.Duration{}
	}
	r.next[engine] = now + idleProbeInterval
}

// trigger makes an engine due in the next pass.
func (r *probeSchedule) trigger(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.next, engine)
}

// enginesWithOpenOrders returns the engines with open orders or with copies of
// orders that may still arrive.
func (s *snapshot) enginesWithOpenOrders() map[string]bool {
	out := map[string]bool{}
	for _, orders := range [][]*wire.Order{s.orders, s.copies} {
		for _, o := range orders {
			out[o.Endpoint] = true
		}
	}
	return out
}
