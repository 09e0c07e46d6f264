package fleet

import (
	"sync"
	"time"

	"parsleyramp/internal/wire"
)

// Load is what is in progress at one endpoint.
type Load struct {
	Running int
	Tokens  int
	// PrefillTokens counts the prompt tokens of requests that have no answer yet. An
	// engine that reads prompts lets its other answers pause.
	PrefillTokens int
}

// Loads counts what this gateway has in progress and adds what the others
// said last. It is safe for concurrent use.
type Loads struct {
	mu     sync.Mutex
	own    map[string]Load
	others map[string]Load
	health *Health
	// results are those since the last report.
	results   map[string]Results
	latencies map[string]Latency
	// contacts are those of endpoints that owe this gateway answers.
	responses map[string]responseState
	// failing and dead are what several gateways together take endpoints for.
	failing, dead map[string]bool
	// stale is set while the others' counts are old. Then each of the others is
	// taken to have as much in progress as this one.
	stale bool
	// gateways is how many gateways share the endpoints, this one included.
	gateways int
	// refused are endpoints that had no room since the last counts.
	full map[string]bool
	draw func(n int) int
}

// NewLoads returns empty counts. draw returns a random number below n.
func NewLoads(draw func(n int) int) *Loads {
	return &Loads{
		own: map[string]Load{}, others: map[string]Load{}, health: NewHealth(failureWeight),
		results: map[string]Results{}, latencies: map[string]Latency{}, responses: map[string]responseState{},
		gateways: 1, full: map[string]bool{}, draw: draw,
	}
}

// silentLimit is how long an endpoint that owes answers may send no byte before
// this gateway calls it silent. Between the events of a stream it takes a tenth
// of that. A request that waits within the endpoint hears nothing either, so one
// gateway's word is not enough.
const unresponsiveAfter = 600 * time.Millisecond

// contact is when an endpoint that owes answers has sent something last, or when
// it began to owe them.
type responseState struct {
	pending      int
	lastReceived time.Duration
	// fresh is set once something was heard since the last report.
	receivedSinceReport bool
}

// RecordReceived notes that the endpoint has sent something.
func (l *Loads) RecordReceived(endpoint string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.responses[endpoint]; ok {
		s.lastReceived, s.receivedSinceReport = now, true
		l.responses[endpoint] = s
	}
}

// silent reports whether the endpoint owes answers and sends nothing. The
// caller holds the lock.
func (l *Loads) unresponsive(endpoint string, now time.Duration) bool {
	s, ok := l.responses[endpoint]
	return ok && now-s.lastReceived > unresponsiveAfter
}

// Begin counts a request with a prompt that is sent to the endpoint.
func (l *Loads) Begin(endpoint string, tokens, prompt int, now time.Duration) {
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
}

// EndPrefill takes back the prompt of a request whose answer has begun or ended.
func (l *Loads) EndPrefill(endpoint string, prompt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.own[endpoint]; ok {
		o.PrefillTokens -= prompt
		l.own[endpoint] = o
	}
}

// End takes back what Begin counted.
func (l *Loads) End(endpoint string, tokens int) {
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

// Report returns what this gateway has in progress, and what has become of its
// requests since the last report.
func (l *Loads) Report(now time.Duration) []*wire.InProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]*wire.InProgress{}
	of := func(id string) *wire.InProgress {
		if all[id] == nil {
			all[id] = &wire.InProgress{Endpoint: id}
		}
		return all[id]
	}
	for id, o := range l.own {
		w := of(id)
		w.Running, w.Tokens, w.Silent = uint32(o.Running), uint64(max(o.Tokens, 0)), l.unresponsive(id, now)
		s := l.responses[id]
		w.Heard, s.receivedSinceReport = s.receivedSinceReport, false
		l.responses[id] = s
	}
	for id, r := range l.results {
		w := of(id)
		w.Served, w.Failed = uint32(r.Served), uint32(r.Failed)
	}
	clear(l.results)
	for id, x := range l.latencies {
		w := of(id)
		w.TookMs, w.ExpectedMs = uint32(x.Took.Milliseconds()), uint32(x.Expected.Milliseconds())
	}
	clear(l.latencies)
	out := make([]*wire.InProgress, 0, len(all))
	for _, w := range all {
		out = append(out, w)
	}
	return out
}

// SetSuspects replaces the endpoints that several gateways together take to fail
// often, and to be dead.
func (l *Loads) SetSuspects(failing, dead map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing, l.dead = failing, dead
}

// Record records a result at a time.
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

// RecordLatency records how long a request took, ended or broken off, and how long it
// would have taken at usual speed for what has come of its answer.
func (l *Loads) RecordLatency(endpoint string, x Latency) {
	if x.Expected <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.latencies[endpoint]
	sum.Took += x.Took
	sum.Expected += x.Expected
	l.latencies[endpoint] = sum
}

// suspicionCost returns what it costs, in shares of a full endpoint, that this one
// is taken for failing or dead. The caller holds the lock.
func (l *Loads) healthCost(endpoint string, now time.Duration) float64 {
	switch {
	case l.dead[endpoint] || l.health.Blocked(endpoint, now):
		return deadCost
	case l.failing[endpoint] || l.health.Suspect(endpoint, now):
		return suspectCost
	}
	return 0
}

// TokenUnit is the unit in which gateways are told the tokens in progress.
const TokenUnit = 256

// SetOthers replaces what the other gateways have in progress: requests and
// units of tokens at each of the endpoints. It returns false, and changes
// nothing, where the numbers are not those of the endpoints.
func (l *Loads) SetOthers(endpoints []*Endpoint, running, tokenUnits []uint32) bool {
	if len(running) != len(endpoints) || len(tokenUnits) != len(endpoints) {
		return false
	}
	others := make(map[string]Load, len(endpoints))
	for i, e := range endpoints {
		if running[i] > 0 {
			others[e.ID] = Load{Running: int(running[i]), Tokens: int(tokenUnits[i]) * TokenUnit}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = others
	clear(l.full)
	return true
}

// MarkFull notes that the endpoint itself said that it has no room. That holds
// until the next counts.
func (l *Loads) MarkFull(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.full[endpoint] = true
}

// SetStale says whether the counts of the others are old. Then each of the
// other gateways is taken to have as much in progress as this one.
func (l *Loads) SetStale(stale bool, gateways int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale, l.gateways = stale, max(gateways, 1)
	if stale {
		clear(l.full)
	}
}

// maxUnreadScale bounds the estimate of the prompts that others have sent to an
// endpoint. Among many gateways the prompt of one says little of the others'.
const maxPrefillScale = 8

// of returns the sum. The caller holds the lock.
func (l *Loads) of(endpoint string) Load {
	a, b := l.own[endpoint], l.others[endpoint]
	// Prompts are read within less time than counts take to go round, so those
	// of the others are estimated.
	prefill := a.PrefillTokens * min(l.gateways, maxPrefillScale)
	if l.stale {
		return Load{Running: a.Running * l.gateways, Tokens: a.Tokens * l.gateways, PrefillTokens: prefill}
	}
	return Load{Running: a.Running + b.Running, Tokens: a.Tokens + b.Tokens, PrefillTokens: prefill}
}
