package orders

import "sync"

// Gate counts the sends in flight from this process and blocks new sends of
// earlier terms. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	minTerm  uint64
	inFlight map[uint64]int
}

// NewGate returns a gate that blocks no term.
func NewGate() *Gate { return &Gate{inFlight: map[uint64]int{}} }

// Begin registers a send and reports whether the term may still send. It is
// called before the lease is checked, so that a send is counted even if the
// process is paused between the check and the send.
func (g *Gate) Begin(term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term < g.minTerm {
		return false
	}
	g.inFlight[term]++
	return true
}

// End unregisters a send once its connection is closed.
func (g *Gate) End(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[term]--; g.inFlight[term] == 0 {
		delete(g.inFlight, term)
	}
}

// Fence blocks new sends of terms before this one and returns how many of
// their sends are still in flight.
func (g *Gate) Fence(term uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.minTerm = max(g.minTerm, term)
	n := 0
	for t, count := range g.inFlight {
		if t < term {
			n += count
		}
	}
	return n
}
