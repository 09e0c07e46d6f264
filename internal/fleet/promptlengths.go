package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptClass is how long the prompt of a request is, compared with those of recent requests
// of its service.
type PromptClass int

// Classes of prompts.
const (
	// UsualPrompt prompts are neither long nor short, or it does not matter how long they are.
	UsualPrompt PromptClass = iota
	// ShortPrompt prompts are clearly shorter than the mean.
	ShortPrompt
	// LongPrompt prompts are clearly longer than the mean.
	LongPrompt
)

// String returns the name of the class in metrics.
func (c PromptClass) String() string {
	return [...]string{"usual", "short", "long"}[c]
}

const (
	// longPromptRatio and shortPromptRatio are the lengths, relative to the mean, from which
	// a prompt is long and up to which it is short. Those between would change their class
	// from gateway to gateway, because the means differ by chance.
	longPromptRatio  = 1.25
	shortPromptRatio = 0.8
	// promptLengthWeight is the weight of the newest prompt in the means, and
	// minPromptSamples the number of prompts from which the means are used.
	promptLengthWeight = 0.02
	minPromptSamples   = 20
	// minReadShare is the share of the time to an event on time that reading a prompt takes
	// at least where prompts are separated by length: if it is less, prompts of others
	// hardly ever decide whether an event is on time.
	minReadShare = 0.1
)

// promptLengths holds the moving averages of the prompt lengths of a service, in tokens, and of
// their squares.
type promptLengths struct {
	samples         int
	tokens, squares float64
}

// RecordPrompt records the length, in tokens, of the prompt of a request to the service.
func (l *Loads) RecordPrompt(service string, tokens int) {
	if tokens <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.prompts[service]
	if p == nil {
		p = &promptLengths{}
		l.prompts[service] = p
	}
	p.samples++
	weight, n := max(promptLengthWeight, 1/float64(p.samples)), float64(tokens)
	p.tokens += weight * (n - p.tokens)
	p.squares += weight * (n*n - p.squares)
}

// class returns how long the prompt is; usual if there are too few others to compare it with.
func (p *promptLengths) class(tokens int) PromptClass {
	switch n := float64(tokens); {
	case p == nil || tokens <= 0 || p.samples < minPromptSamples:
		return UsualPrompt
	case n >= longPromptRatio*p.tokens:
		return LongPrompt
	case n <= shortPromptRatio*p.tokens:
		return ShortPrompt
	}
	return UsualPrompt
}

// beingRead returns the mean length of the prompt that a request finds being read: long ones
// are read for longer.
func (p *promptLengths) beingRead() float64 { return p.squares / p.tokens }

// promptOrder is the preference of a request among the replicas of its model by the length of
// its prompt. The zero value prefers none.
type promptOrder struct {
	class PromptClass
	// cost is that of an idle replica at the far end, in units of utilization.
	cost  float64
	model uint64
	all   []*Endpoint
}

// promptOrderOf returns the preference of the request among the replicas. l.mu must be held.
func (l *Loads) promptOrderOf(all []*Endpoint, req Requirements) promptOrder {
	if len(all) < 2 || req.Model == "" || req.FirstEventTarget <= 0 {
		return promptOrder{}
	}
	p := l.prompts[req.Service]
	class := p.class(req.PromptTokens)
	if class == UsualPrompt {
		return promptOrder{}
	}
	perToken := l.perToken[all[0].ID]
	read := perToken.Seconds() * max(p.beingRead(), float64(req.PromptTokens))
	if read < minReadShare*min(req.FirstEventTarget, maxFirstEventTarget).Seconds() {
		return promptOrder{}
	}
	// At an engine that is half full, half of it is left, which is the standard deviation of the
	// engine's utilization if requests arrive at random: the preference counts for as much as
	// load differs by chance.
	cost := math.Sqrt(2 / float64(max(all[0].Slots, 1)))
	if req.Session != "" {
		cost = min(cost, affinityGain/2)
	}
	return promptOrder{class: class, cost: cost, model: xxhash.Sum64String(req.Model), all: all}
}

// costOf returns the cost of the endpoint, in units of utilization. It vanishes as the endpoint
// fills: where all are busy, only load counts.
func (o *promptOrder) costOf(e *Endpoint, utilization float64) float64 {
	room := 1 - utilization
	if o.class == UsualPrompt || room <= 0 {
		return 0
	}
	return o.cost * o.distance(e) * room
}

// distance returns how far the endpoint is from the end that the request prefers, from 0 to 1.
func (o *promptOrder) distance(e *Endpoint) float64 {
	own, before := o.rank(e), 0
	for _, other := range o.all {
		if o.rank(other) < own {
			before++
		}
	}
	distance := float64(before) / float64(len(o.all)-1)
	if o.class == LongPrompt {
		return 1 - distance
	}
	return distance
}

// rank returns the rendezvous hash of the model and the endpoint, by which its replicas are in
// the same order at all gateways and few change their place when one joins or leaves.
func (o *promptOrder) rank(e *Endpoint) uint64 {
	x := (e.hash ^ o.model) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	return x * 0xd6e8feb86659fd93
}

// PromptPreference returns the class of the request's prompt, and whether the endpoint is in
// the half of the replicas that it prefers.
func (l *Loads) PromptPreference(v *View, req Requirements, e *Endpoint, now time.Duration) (PromptClass, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.prompts[req.Service].class(req.PromptTokens) == UsualPrompt {
		return UsualPrompt, false
	}
	o := l.promptOrderOf(l.eligible(v, req, nil, now), req)
	return o.class, o.class != UsualPrompt && o.distance(e) <= 0.5
}
