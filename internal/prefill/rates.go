// Package prefill estimates how long endpoints take to read the tokens of prompts, from how
// long the first bytes of their responses took. It does no I/O and reads no clock.
package prefill

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which past responses lose their weight.
	memory = 4 * time.Second
	// minTokens is how many tokens a service has to have read until its rate is known.
	minTokens = 8192
	// priorCount is the weight, in responses, of the usual time in that of one endpoint.
	priorCount = 8
	// minSlopeRatio bounds the time for a token from below, as a ratio of the time of
	// responses and their tokens: responses that all had as much to read tell nothing of it,
	// and counts that are old hide a part of what was ahead, which flattens the line.
	minSlopeRatio = 0.5
	// minSlowness and maxSlowness bound how much slower than usual an endpoint counts.
	minSlowness, maxSlowness = 0.25, 10.0
)

// Responses sums responses of an endpoint: how many there are, how long their first bytes
// took, and how many tokens the endpoint had to read before them, those of earlier requests
// included.
type Responses struct {
	Count  int
	Took   time.Duration
	Tokens uint64
}

// Rates holds how long endpoints and services take for a token, beside what every first byte
// takes. It is not safe for concurrent use.
type Rates struct {
	endpoints map[string]*sums
	services  map[string]*sums
}

// NewRates returns Rates of which nothing is known.
func NewRates() *Rates { return &Rates{endpoints: map[string]*sums{}, services: map[string]*sums{}} }

// sums are sums over responses, whose weights decay: of their number, seconds and tokens, and
// of the products of tokens with both.
type sums struct {
	count, seconds, tokens       float64
	tokensSquared, tokensSeconds float64
	at                           time.Duration
}

func (s *sums) decay(now time.Duration) {
	dt := now - s.at
	if dt <= 0 {
		return
	}
	w := math.Exp(-dt.Seconds() / memory.Seconds())
	s.count *= w
	s.seconds *= w
	s.tokens *= w
	s.tokensSquared *= w
	s.tokensSeconds *= w
	s.at = now
}

func (s *sums) add(r Responses, now time.Duration) {
	s.decay(now)
	n, seconds, tokens := float64(r.Count), r.Took.Seconds(), float64(r.Tokens)
	s.count += n
	s.seconds += seconds
	s.tokens += tokens
	s.tokensSquared += tokens * tokens / n
	s.tokensSeconds += tokens * seconds / n
}

// line returns the straight line of seconds over tokens that fits the responses best: the
// seconds of a response without tokens, and those of each token.
func (s *sums) line() (base, perToken float64) {
	ratio := s.seconds / s.tokens
	perToken = ratio
	if spread := s.count*s.tokensSquared - s.tokens*s.tokens; spread > 0 {
		perToken = (s.count*s.tokensSeconds - s.tokens*s.seconds) / spread
	}
	perToken = min(max(perToken, minSlopeRatio*ratio), ratio)
	return (s.seconds - perToken*s.tokens) / s.count, perToken
}

// Record records responses of an endpoint.
func (r *Rates) Record(service, endpoint string, x Responses, now time.Duration) {
	if x.Count <= 0 || x.Took <= 0 || x.Tokens == 0 {
		return
	}
	sumsOf(r.endpoints, endpoint, now).add(x, now)
	sumsOf(r.services, service, now).add(x, now)
}

func sumsOf(all map[string]*sums, name string, now time.Duration) *sums {
	s := all[name]
	if s == nil {
		s = &sums{at: now}
		all[name] = s
	}
	return s
}

// PerToken returns how long the endpoint takes for one token; zero if that is not known. An
// endpoint with few responses of late is taken to be much like the others of its service.
func (r *Rates) PerToken(service, endpoint string, now time.Duration) time.Duration {
	s := r.services[service]
	if s == nil {
		return 0
	}
	if s.decay(now); s.tokens < minTokens {
		return 0
	}
	base, perToken := s.line()
	return time.Duration(perToken * r.slowness(endpoint, base, perToken, now) * float64(time.Second))
}

// slowness returns how much longer responses of the endpoint took than the line says.
func (r *Rates) slowness(endpoint string, base, perToken float64, now time.Duration) float64 {
	e := r.endpoints[endpoint]
	if e == nil {
		return 1
	}
	e.decay(now)
	expected := base*e.count + perToken*e.tokens
	if e.count <= 0 || expected <= 0 {
		return 1
	}
	prior := priorCount * expected / e.count
	return min(max((e.seconds+prior)/(expected+prior), minSlowness), maxSlowness)
}

// Forget drops what is known of an endpoint.
func (r *Rates) Forget(endpoint string) { delete(r.endpoints, endpoint) }
