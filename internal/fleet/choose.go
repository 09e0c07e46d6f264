package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Requirements is what a request asks of an endpoint.
type Requirements struct {
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
	// domainCost, sessionGain and unreadCost are in shares of a full endpoint:
	// leaving the domain costs bytes between domains, an engine that served the
	// session before holds its prompt, and every unreadTokens of prompts that
	// wait to be read delay the first token and let other answers pause.
	crossDomainCost   = 0.06
	affinityGain      = 0.12
	prefillCost       = 0.25
	prefillCostTokens = 4096
	// suspectCost puts an endpoint that fails often behind all that are sound and
	// not full, and fullCost those that are full behind it. deadCost puts one that
	// does not answer behind all others.
	suspectCost = 4.0
	fullCost    = 8.0
	deadCost    = 16.0
	// sampled is how many endpoints are compared, besides the one that the
	// session prefers. Gateways that all took the emptiest one by counts that
	// are 0.1 s old would fill it together.
	sampleSize = 3
)

// Choice is where a request goes.
type Choice struct {
	Endpoint *Endpoint
	// Utilization is the share of the endpoint that was in use, 1 where it is full.
	Utilization float64
	// Contended is set where the endpoints of the model are used so much, in all
	// or the one chosen, that others may take the last places meanwhile.
	Contended bool
}

// contendedUse is the use of an endpoint, or of all endpoints of a model
// together, from which places are reserved. When one more becomes ready for a
// model whose requests wait at every gateway, all of them go there at once by
// counts that still say empty.
const contendedUtilization = 0.6

// Choose returns a good endpoint that serves the need, or a choice without an
// endpoint. It takes the cheapest of a few drawn at random, and of all where
// those have no room. Endpoints in tried are left out.
func (l *Loads) Choose(v *View, n Requirements, tried map[string]bool, now time.Duration) Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*Endpoint
	for _, e := range v.candidates(n.Service, n.Model) {
		if !e.Leaving && !tried[e.ID] && e.Serves(n.Model, n.Adapter) {
			all = append(all, e)
		}
	}
	preferred := preferredEndpoint(all, n)
	contended := l.totalUtilization(all) >= contendedUtilization
	if len(all) > sampleSize {
		if c, cost := l.cheapest(l.sample(all, preferred), n, preferred, now); c.Utilization < 1 && cost < suspectCost {
			c.Contended = contended || c.Utilization >= contendedUtilization
			return c
		}
	}
	c, _ := l.cheapest(all, n, preferred, now)
	c.Contended = contended || c.Utilization >= contendedUtilization
	return c
}

// totalUse returns the share of all places of the endpoints that is in use. The
// caller holds the lock.
func (l *Loads) totalUtilization(all []*Endpoint) float64 {
	slots, running := 0, 0
	for _, e := range all {
		slots += e.Slots
		running += min(l.of(e.ID).Running, e.Slots)
	}
	return float64(running) / float64(max(slots, 1))
}

// sample draws endpoints at random and adds the one that the session prefers.
func (l *Loads) sample(all []*Endpoint, preferred string) []*Endpoint {
	var out []*Endpoint
	for _, e := range all {
		if e.ID == preferred {
			out = append(out, e)
		}
	}
	for range sampleSize {
		out = append(out, all[l.draw(len(all))])
	}
	return out
}

// cheapest returns the endpoint with the lowest cost. The caller holds the lock.
func (l *Loads) cheapest(endpoints []*Endpoint, n Requirements, preferred string, now time.Duration) (Choice, float64) {
	var best Choice
	bestCost := 0.0
	for _, e := range endpoints {
		utilization := l.utilization(e, n)
		cost := utilization + prefillCost*float64(l.of(e.ID).PrefillTokens)/prefillCostTokens
		if e.Domain != n.Domain {
			cost += crossDomainCost
		}
		if e.ID == preferred {
			cost -= affinityGain
		}
		if utilization >= maxUtilization {
			cost += fullCost
		}
		cost += l.healthCost(e.ID, now)
		if best.Endpoint == nil || cost < bestCost {
			best, bestCost = Choice{Endpoint: e, Utilization: utilization}, cost
		}
	}
	return best, bestCost
}

// refusedUse is the use of an endpoint that said that it has no room.
const fullUtilization = 1.25

// use returns the larger of the shares of places and of memory in use.
func (l *Loads) utilization(e *Endpoint, n Requirements) float64 {
	load := l.of(e.ID)
	utilization := float64(load.Running) / float64(max(e.Slots, 1))
	if l.full[e.ID] {
		utilization = max(utilization, fullUtilization)
	}
	if n.CacheTokens > 0 {
		utilization = max(utilization, float64(load.Tokens)/float64(n.CacheTokens))
	}
	if l.stale {
		// An estimate may put an endpoint behind others, but whether it is full
		// only the endpoint itself can say.
		utilization = min(utilization, 1)
	}
	return utilization
}

// homeOf returns the engine that a session prefers: the highest rendezvous
// hash among those that serve it, so that few sessions move when engines come
// or go.
func preferredEndpoint(serving []*Endpoint, n Requirements) string {
	if n.Session == "" {
		return ""
	}
	preferred, highest := "", uint64(0)
	for _, e := range serving {
		if h := xxhash.Sum64String(n.Session + "|" + e.ID); preferred == "" || h > highest {
			preferred, highest = e.ID, h
		}
	}
	return preferred
}
