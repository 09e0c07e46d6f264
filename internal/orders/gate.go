package orders

import "sync"

// Gate counts the sendings of this process and keeps those of earlier terms
// from starting. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	minTerm  uint64
	inFlight map[uint64]int
}

// NewGate returns a gate that lets every term through.
func NewGate() *Gate { return &Gate{inFlight: map[uint64]int{}} }

// Begin registers a sending before the lease is checked, so that a process
// that is frozen between the check and the sending is counted. It reports
// whether the term may still send.
func (g *Gate) Begin(term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term < g.minTerm {
		return false
	}
	g.inFlight[term]++
	return true
}

// End takes back a Begin, once the connection is closed.
func (g *Gate) End(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[term]--; g.inFlight[term] == 0 {
		delete(g.inFlight, term)
	}
}

// Fence keeps terms before this one from sending and returns how many of
// their sendings are still in progress.
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
