package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyramp/internal/document"
)

// Requirements are the properties that a request requires of an endpoint.
type Requirements struct {
	Service string
	// Model is empty for plain services.
	Model   string
	Adapter string
	// Version is that of the software that the endpoint must run; empty for any.
	Version string
	// Tokens is how many tokens the request may occupy in memory when it ends.
	Tokens int
	// PromptTokens is the length of the prompt; zero if unknown.
	PromptTokens int
	// Session identifies requests that share a prompt prefix; empty for none.
	Session string
	// Domain is the gateway's own failure domain.
	Domain string
	// CacheTokens is an engine's memory in tokens; zero if not declared.
	CacheTokens int
	// Target is the time within which the response of a plain service counts as on time; zero
	// if there is none.
	Target time.Duration
	// FirstEventTarget is the time to the first event within which a stream counts as on
	// time; zero if there is none.
	FirstEventTarget time.Duration
}

const (
	// crossDomainCost, affinityGain and prefillCost are in units of utilization.
	// A request that leaves the failure domain costs traffic between domains. An
	// engine that served the session before holds its prompt. Every
	// prefillCostTokens of prompts not yet prefilled delay the first token and
	// stall other responses.
	crossDomainCost   = 0.06
	affinityGain      = 0.12
	prefillCost       = 0.25
	prefillCostTokens = 4096
	// suspectCost ranks an endpoint that fails often after all healthy endpoints
	// that are not full, fullCost ranks full endpoints after it, and deadCost ranks
	// an endpoint that does not respond after all others.
	suspectCost = 4.0
	fullCost    = 8.0
	deadCost    = 16.0
	// maxReadAheadShare is the share of the time to an event on time, maxFirstEventTarget at
	// most, that an endpoint may spend on the prompts of earlier requests. Patient requests
	// leave the same time as others, so that they do not delay those.
	maxReadAheadShare   = 0.6
	maxFirstEventTarget = document.UrgentTarget
	// sampleSize is how many endpoints are compared, besides the one that the
	// session prefers. The counts are 0.1 s old: if all gateways chose the least
	// loaded endpoint by them, they would fill it together.
	sampleSize = 3
)

// Choice is the endpoint chosen for a request.
type Choice struct {
	Endpoint *Endpoint
	// Utilization is that of the endpoint before the request, 1 if it is full: of its slots,
	// its memory, or the time that it has to prefill prompts before the first event is late.
	// For a plain service it is that of the least loaded of the compared endpoints, and the part
	// of their queues counts as room in which a request waits within its target.
	Utilization float64
	// ReadAhead is how long the endpoint needs for the prompts of requests in flight; zero if
	// that is not known.
	ReadAhead time.Duration
	// HeldOffUntil is until when the endpoint takes no request, for its limit or because it
	// has asked for that; it counts as full until then.
	HeldOffUntil time.Duration
	// Contended is set if the utilization of the chosen endpoint, or of all
	// endpoints of the model together, is so high that other gateways may take the
	// last slots in the meantime.
	Contended bool
}

// contendedUtilization is the utilization of an endpoint, or of all endpoints of
// a model together, from which slots are reserved. When another endpoint becomes
// ready for a model whose requests wait at every gateway, all gateways send to it
// at once, because their counts still show it as empty.
const contendedUtilization = 0.6

// nearUtilization is the utilization (of slots, memory or prompt time, whichever is largest) up to
// which an engine in the gateway's own failure domain is taken before those of other domains. It
// is the utilization that package residency plans for: up to it a request hardly ever waits, so
// that crossing gains nothing.
const nearUtilization = 0.45

// chooseNear returns the cheapest engine in the request's own failure domain and true, if its
// utilization is at most nearUtilization and it is no suspect. It returns false for plain
// services, without current counts, and if all or none of the engines are in that domain. The
// engine that the session prefers is then one of that domain. l.mu must be held.
func (l *Loads) chooseNear(all []*Endpoint, req Requirements, now time.Duration) (Choice, bool) {
	if req.Model == "" || req.Domain == "" || l.stale {
		return Choice{}, false
	}
	near := l.ownDomain[:0]
	for _, e := range all {
		if e.Domain == req.Domain {
			near = append(near, e)
		}
	}
	l.ownDomain = near
	if len(near) == 0 || len(near) == len(all) {
		return Choice{}, false
	}
	p := preferences{session: preferredEndpoint(near, req), prompt: l.promptOrderOf(near, req)}
	if len(near) > sampleSize {
		near = l.sample(near, p.session)
	}
	c, cost := l.cheapest(near, req, &p, now)
	// The preferred engine of the session has affinityGain subtracted from its cost.
	return c, c.Utilization <= nearUtilization && cost < suspectCost-affinityGain
}

// Choose returns an endpoint that meets the requirements, or a choice without an
// endpoint. An engine of the own failure domain comes first while it has room, and is then not
// contended. Otherwise it returns the cheapest of a random sample, or of all endpoints if
// those of the sample are full or suspect. Endpoints in tried, and those in whose place
// others have answered, are excluded.
func (l *Loads) Choose(v *View, req Requirements, tried map[string]bool, now time.Duration) Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.eligible(v, req, tried, now)
	l.chosenFrom = l.plain[req.Service]
	if c, ok := l.chooseNear(all, req, now); ok {
		return c
	}
	p := preferences{session: preferredEndpoint(all, req), prompt: l.promptOrderOf(all, req)}
	contended := l.totalUtilization(all) >= contendedUtilization
	if len(all) > sampleSize {
		if c, cost := l.cheapest(l.sample(all, p.session), req, &p, now); c.Utilization < 1 && cost < suspectCost {
			c.Contended = contended || l.occupancy(c.Endpoint, req, now) >= contendedUtilization
			return c
		}
	}
	c, _ := l.cheapest(all, req, &p, now)
	c.Contended = contended || c.Endpoint != nil && l.occupancy(c.Endpoint, req, now) >= contendedUtilization
	return c
}

// eligible returns the endpoints that meet the requirements and are not excluded, until the
// next call. l.mu must be held.
func (l *Loads) eligible(v *View, req Requirements, tried map[string]bool, now time.Duration) []*Endpoint {
	all := l.candidates[:0]
	for _, e := range v.candidates(req.Service, req.Model) {
		if !l.closed(e, now) && !tried[e.ID] && e.Serves(req.Model, req.Adapter) && !l.isReplaced(e, now) && !l.outOfReach[e.ID] && l.runsVersion(e, req.Version, now) {
			all = append(all, e)
		}
	}
	l.candidates = all
	return all
}

// preferences are what a request prefers among endpoints that are equally loaded.
type preferences struct {
	// session is the endpoint that the session prefers; empty for none.
	session string
	prompt  promptOrder
}

// totalUtilization returns the share of all slots of the endpoints that is in use.
// l.mu must be held.
func (l *Loads) totalUtilization(all []*Endpoint) float64 {
	slots, running := 0, 0
	for _, e := range all {
		slots += e.Slots
		running += min(l.totalLoad(e.ID).Running, e.Slots)
	}
	return float64(running) / float64(max(slots, 1))
}

// sample returns random endpoints and the one that the session prefers, until the next call.
func (l *Loads) sample(all []*Endpoint, preferred string) []*Endpoint {
	out := l.sampled[:0]
	for _, e := range all {
		if e.ID == preferred {
			out = append(out, e)
		}
	}
	for range sampleSize {
		out = append(out, all[l.draw(len(all))])
	}
	l.sampled = out
	return out
}

// pricedChoice is an endpoint that may be chosen, and its cost.
type pricedChoice struct {
	Choice
	cost float64
}

// cheapest returns the endpoint with the lowest cost, and the cost. l.mu must be
// held.
func (l *Loads) cheapest(endpoints []*Endpoint, req Requirements, p *preferences, now time.Duration) (Choice, float64) {
	if len(endpoints) == 0 {
		return Choice{}, 0
	}
	l.priced = l.priced[:0]
	for _, e := range endpoints {
		l.priced = append(l.priced, l.price(e, req, p, now))
	}
	if req.Model == "" {
		return l.pickPlain(l.priced, req, now)
	}
	best := l.lowestCost(l.priced)
	return best.Choice, best.cost
}

// price returns the endpoint as a choice, with its cost. l.mu must be held.
func (l *Loads) price(e *Endpoint, req Requirements, p *preferences, now time.Duration) pricedChoice {
	utilization := l.utilization(e, req, now)
	heldOffUntil := max(l.heldOffUntil[e.ID], l.restingUntil[e.ID])
	if heldOffUntil > now {
		// Of several, the one that is free first.
		utilization = max(utilization, fullUtilization+(heldOffUntil-now).Seconds())
	}
	cost := utilization
	if req.Model != "" {
		cost = l.timeCost(e, req, utilization, now) + l.engineCost(e, utilization, p)
	}
	if e.Domain != req.Domain {
		cost += crossDomainCost
	}
	if l.ranksAsFull(e, req, utilization, now) {
		cost += fullCost
	}
	cost += l.healthCost(e.ID, now)
	out := pricedChoice{Choice{Endpoint: e, Utilization: utilization, HeldOffUntil: heldOffUntil}, cost}
	if req.Model != "" {
		out.ReadAhead = l.readAhead(e.ID)
	}
	return out
}

// ranksAsFull reports whether the endpoint is taken only if all are full. Counts of other
// gateways are too old to say that of an endpoint of a plain service: those that have just had
// room in them would get all requests. l.mu must be held.
func (l *Loads) ranksAsFull(e *Endpoint, req Requirements, utilization float64, now time.Duration) bool {
	if utilization < maxUtilization {
		return false
	}
	if _, brittle := l.brittleLocked(e.Service, now); brittle || req.Model != "" {
		return true
	}
	return l.full[e.ID] || max(l.heldOffUntil[e.ID], l.restingUntil[e.ID]) > now
}

// engineCost returns what an engine costs beside its utilization and its failure domain. l.mu must be held.
func (l *Loads) engineCost(e *Endpoint, utilization float64, p *preferences) float64 {
	cost := prefillCost * float64(l.totalLoad(e.ID).PrefillTokens) / prefillCostTokens
	if e.ID == p.session {
		cost -= affinityGain
	}
	return cost + p.prompt.costOf(e, utilization)
}

// fullUtilization is the utilization assumed for an endpoint that reported that it
// is full.
const fullUtilization = 1.25

// utilization returns the largest of the utilizations of slots, of memory, and of the time
// for prompts ahead. l.mu must be held.
func (l *Loads) utilization(e *Endpoint, req Requirements, now time.Duration) float64 {
	return max(l.occupancy(e, req, now), l.promptUtilization(e.ID, req))
}

// promptUtilization returns the part of the time for prompts ahead that is used up; zero if
// that is not known. l.mu must be held.
func (l *Loads) promptUtilization(endpoint string, req Requirements) float64 {
	if req.FirstEventTarget <= 0 || l.stale {
		return 0
	}
	allowed := maxReadAheadShare * min(req.FirstEventTarget, maxFirstEventTarget).Seconds()
	return l.readAhead(endpoint).Seconds() / allowed
}

// occupancy returns the larger of the utilizations of slots and of memory. l.mu must be held.
func (l *Loads) occupancy(e *Endpoint, req Requirements, now time.Duration) float64 {
	load := l.totalLoad(e.ID)
	utilization := max(l.slotUtilization(e, load, req, now), l.memoryUtilization(e, req, load, now))
	if _, brittle := l.brittleLocked(e.Service, now); brittle {
		return utilization / BrittleRoom
	}
	if l.stale {
		// An estimate may rank an endpoint after others, but never keeps a new
		// request from it: only the endpoint itself can state that it is full.
		utilization = min(utilization, 1)
	}
	return utilization
}

// slotUtilization returns the utilization of the endpoint's slots. l.mu must be held.
func (l *Loads) slotUtilization(e *Endpoint, load Load, req Requirements, now time.Duration) float64 {
	running := float64(load.Running)
	if req.Model == "" {
		running = l.plainRunning(e, load, now)
	}
	utilization := running / float64(max(e.Slots, 1))
	if l.full[e.ID] {
		return max(utilization, fullUtilization)
	}
	return utilization
}

// preferredEndpoint returns the endpoint that a session prefers: the one with the
// highest rendezvous hash among those that serve it, so that few sessions move when
// endpoints join or leave.
func preferredEndpoint(serving []*Endpoint, req Requirements) string {
	if req.Session == "" {
		return ""
	}
	preferred, highest := "", uint64(0)
	for _, e := range serving {
		if h := xxhash.Sum64String(req.Session + "|" + e.ID); preferred == "" || h > highest {
			preferred, highest = e.ID, h
		}
	}
	return preferred
}
