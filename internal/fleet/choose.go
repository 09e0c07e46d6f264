package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Need is what a request asks of an endpoint.
type Need struct {
	Service string
	// Model is empty for plain services.
	Model   string
	Adapter string
	// Tokens that the request may hold in memory at its end.
	Tokens int
	// Session names requests that share their prompt; empty for none.
	Session string
	// Domain is the gateway's own failure domain.
	Domain string
	// CacheTokens is an engine's memory in tokens; zero where not declared.
	CacheTokens int
}

const (
	// domainCost, sessionGain and tokenWeight are in shares of a full endpoint:
	// leaving the domain costs bytes between domains, and an engine that served
	// the session before holds its prompt.
	domainCost  = 0.06
	sessionGain = 0.12
	tokenWeight = 1.0
	// suspectCost puts an endpoint behind all that are sound and not full.
	suspectCost = 4.0
)

// Choice is where a request goes.
type Choice struct {
	Endpoint *Endpoint
	// Use is the share of the endpoint that was in use, 1 where it is full.
	Use float64
}

// Choose returns the endpoint with the most room that serves the need, or a
// choice without an endpoint. Endpoints in tried are left out.
func (l *Loads) Choose(v *View, n Need, tried map[string]bool, now time.Duration) Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best Choice
	bestCost := 0.0
	home := homeOf(v, n)
	for _, e := range v.Service(n.Service) {
		if e.Leaving || tried[e.ID] || !e.Serves(n.Model, n.Adapter) {
			continue
		}
		use := l.use(e, n)
		cost := use
		if e.Domain != n.Domain {
			cost += domainCost
		}
		if e.ID == home {
			cost -= sessionGain
		}
		if l.suspect(e.ID, now) {
			cost += suspectCost
		}
		if best.Endpoint == nil || cost < bestCost {
			best, bestCost = Choice{Endpoint: e, Use: use}, cost
		}
	}
	return best
}

// use returns the larger of the shares of places and of memory in use.
func (l *Loads) use(e *Endpoint, n Need) float64 {
	load := l.of(e.ID)
	use := float64(load.Running) / float64(max(e.Slots, 1))
	if n.CacheTokens > 0 {
		use = max(use, tokenWeight*float64(load.Tokens)/float64(n.CacheTokens))
	}
	return use
}

// homeOf returns the engine that a session prefers: the highest rendezvous
// hash among those that serve it, so that few sessions move when engines come
// or go.
func homeOf(v *View, n Need) string {
	if n.Session == "" {
		return ""
	}
	home, highest := "", uint64(0)
	for _, e := range v.Service(n.Service) {
		if e.Leaving || !e.Serves(n.Model, n.Adapter) {
			continue
		}
		if h := xxhash.Sum64String(n.Session + "|" + e.ID); home == "" || h > highest {
			home, highest = e.ID, h
		}
	}
	return home
}

// Capacity returns the places of the endpoints that serve the need and how
// many are in use.
func (l *Loads) Capacity(v *View, n Need) (places, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range v.Service(n.Service) {
		if e.Leaving || !e.Serves(n.Model, n.Adapter) {
			continue
		}
		places += e.Slots
		running += l.of(e.ID).Running
	}
	return places, running
}
