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
func (p *probeSchedule) due(engine string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now >= p.next[engine]
}

// responded schedules the next probe of an engine after idleProbeInterval.
func (p *probeSchedule) responded(engine string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = map[string]time.Duration{}
	}
	p.next[engine] = now + idleProbeInterval
}

// trigger makes an engine due in the next pass.
func (p *probeSchedule) trigger(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.next, engine)
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
