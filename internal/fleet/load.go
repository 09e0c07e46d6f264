package fleet

import (
	"sync"
	"time"
)

// Load is what is in flight at one endpoint.
type Load struct {
	Running int
	Tokens  int
	// PrefillTokens counts the prompt tokens of requests whose response has not
	// begun. Prefilling on an engine stalls its other responses.
	PrefillTokens int
}

// Loads counts the requests that this gateway has in flight and adds the last
// counts of the other gateways. It is safe for concurrent use.
type Loads struct {
	mu     sync.Mutex
	own    map[string]Load
	others map[string]Load
	health *Health
	// results and latencies are those since the last report.
	results   map[string]Results
	latencies map[string]Latency
	// responses has an entry for every endpoint with pending responses.
	responses map[string]responseState
	// failing and dead are the endpoints that the leader considers failing or dead
	// from the reports of several gateways.
	failing, dead map[string]bool
	// perToken is how long endpoints take to read a prompt token, for those of which it is
	// known.
	perToken map[string]time.Duration
	// slowness is how long requests take, relative to what is usual in the service, at endpoints
	// that clearly differ from it.
	slowness map[string]float64
	// unreadKnown is set if the leader counts the prompt tokens of the other gateways.
	unreadKnown bool
	// firstReads are the responses that began since the last report.
	firstReads map[string]firstReads
	// stale is set while the other gateways' counts are old. Then each of them is
	// assumed to have as much in flight as this one.
	stale bool
	// gateways is how many gateways share the endpoints, this one included.
	gateways int
	// full holds the endpoints that reported, since the last counts, that they are
	// full.
	full map[string]bool
	// heldOffUntil is until when endpoints take no request, for their limit.
	heldOffUntil map[string]time.Duration
	// replaced are the endpoints in whose place others have answered.
	replaced map[string]replacement
	// endedAt is when endpoints have refused connections.
	endedAt map[string]time.Duration
	// outOfReach are the endpoints that this gateway does not reach, if they are most of all:
	// then its own links are the cause, rather than the endpoints.
	outOfReach map[string]bool
	// restingUntil is until when endpoints that have rejected a request want none.
	restingUntil map[string]time.Duration
	// leaving holds when endpoints have stated that they are about to end.
	leaving map[string]time.Duration
	// brittle holds what services say of rejections.
	brittle map[string]brittleness
	// countedAt is when the counts of the other gateways were taken, and meanUtilization the
	// share of the slots of each service that they then used.
	countedAt       time.Duration
	meanUtilization map[string]float64
	// plain is what is known of plain services, once they have served a request.
	plain map[string]*plainService
	// chosenFrom is the plain service of the current choice; nil if nothing is known of it.
	chosenFrom *plainService
	// prompts are the lengths of recent prompts by service.
	prompts map[string]*promptLengths
	// candidates, ownDomain, sampled and priced are reused by each choice.
	candidates, ownDomain, sampled []*Endpoint
	priced                         []pricedChoice
	draw                           func(n int) int
	// onRoom is called after room has appeared at an endpoint; nil for none.
	onRoom func(endpoint string)
}

// OnRoom sets the function that is called, without a lock, after a request of this gateway has
// ended at an endpoint or its prompt has been read. It must be set before requests begin.
func (l *Loads) OnRoom(f func(endpoint string)) { l.onRoom = f }

// notifyRoom reports that room has appeared at the endpoint. l.mu must not be held.
func (l *Loads) notifyRoom(endpoint string) {
	if l.onRoom != nil {
		l.onRoom(endpoint)
	}
}

// NewLoads returns empty counts. draw returns a random number in [0, n).
func NewLoads(draw func(n int) int) *Loads {
	return &Loads{
		own: map[string]Load{}, others: map[string]Load{}, health: NewHealth(failureWeight),
		results: map[string]Results{}, latencies: map[string]Latency{}, responses: map[string]responseState{}, firstReads: map[string]firstReads{},
		gateways: 1, full: map[string]bool{}, replaced: map[string]replacement{}, heldOffUntil: map[string]time.Duration{}, endedAt: map[string]time.Duration{}, restingUntil: map[string]time.Duration{}, leaving: map[string]time.Duration{}, brittle: map[string]brittleness{}, draw: draw,
		plain: map[string]*plainService{}, prompts: map[string]*promptLengths{},
	}
}

// unresponsiveAfter is how long an endpoint with pending responses may send no
// byte before this gateway reports it as unresponsive. It is ten times the usual
// pause between the events of a stream. An endpoint sends nothing for requests in
// its own queue either, so the report of one gateway is not enough to consider it
// dead.
const unresponsiveAfter = 600 * time.Millisecond

// responseState is the state of the pending responses of one endpoint.
type responseState struct {
	pending int
	// lastReceived is when the last byte was received, or when the first of the
	// pending requests was sent.
	lastReceived time.Duration
	// heardAt is when the last byte was received, and receivedSinceReport is set if that
	// was since the last report.
	heardAt             time.Duration
	receivedSinceReport bool
}

// RecordReceived records that bytes of the endpoint have been received.
func (l *Loads) RecordReceived(endpoint string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.responses[endpoint]; ok {
		s.lastReceived, s.heardAt, s.receivedSinceReport = now, now, true
		l.responses[endpoint] = s
	}
}

// unresponsive reports whether the endpoint has pending responses and has sent
// nothing for longer than unresponsiveAfter. l.mu must be held.
func (l *Loads) unresponsive(endpoint string, now time.Duration) bool {
	s, ok := l.responses[endpoint]
	return ok && now-s.lastReceived > unresponsiveAfter
}

// Begin counts a request that is sent to the endpoint. tokens is how many it may
// occupy in memory, prompt how many have to be prefilled. It returns the load of the endpoint
// with the request.
func (l *Loads) Begin(endpoint string, tokens, prompt int, now time.Duration) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.responses[endpoint]
	if !ok {
		s.lastReceived = now
	}
	s.pending++
	l.responses[endpoint] = s
	o := l.own[endpoint]
	o.Running++
	o.Tokens += tokens
	o.PrefillTokens += prompt
	l.own[endpoint] = o
	return l.totalLoad(endpoint)
}

// EndPrefill subtracts the prompt of a request whose response has begun or ended.
func (l *Loads) EndPrefill(endpoint string, prompt int) {
	defer l.notifyRoom(endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.own[endpoint]; ok {
		o.PrefillTokens -= prompt
		l.own[endpoint] = o
	}
}

// End subtracts what Begin counted, apart from the prompt.
func (l *Loads) End(endpoint string, tokens int) {
	defer l.notifyRoom(endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.responses[endpoint]; s.pending > 1 {
		s.pending--
		l.responses[endpoint] = s
	} else {
		delete(l.responses, endpoint)
	}
	o := l.own[endpoint]
	o.Running--
	o.Tokens -= tokens
	if o.Running <= 0 {
		delete(l.own, endpoint)
		return
	}
	l.own[endpoint] = o
}

// SetSuspects replaces the endpoints that the leader considers failing or dead from
// the reports of several gateways.
func (l *Loads) SetSuspects(failing, dead map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing, l.dead = failing, dead
}

// Record records the result of a request at the time now.
func (l *Loads) Record(endpoint string, r Result, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := Results{Served: 1}
	if r != Served {
		one = Results{Failed: 1}
	}
	l.health.Record(endpoint, one, now)
	if r == Unreachable {
		l.health.Block(endpoint, now)
	}
	sum := l.results[endpoint]
	sum.Served += one.Served
	sum.Failed += one.Failed
	l.results[endpoint] = sum
}

// Dead reports whether several gateways together consider the endpoint dead.
func (l *Loads) Dead(endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead[endpoint]
}

// healthCost returns the cost, in units of utilization, of an endpoint that several
// gateways together or this one alone consider failing or dead; zero for others.
// l.mu must be held.
func (l *Loads) healthCost(endpoint string, now time.Duration) float64 {
	switch {
	case l.dead[endpoint] || l.health.Blocked(endpoint, now):
		return deadCost
	case l.failing[endpoint] || l.health.Suspect(endpoint, now):
		return suspectCost
	}
	return 0
}
