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
	// priorTokens is the weight of the service's rate in that of one of its endpoints.
	priorTokens = 16384
)

// Rates holds how long endpoints and services take for one token. It is not safe for
// concurrent use.
type Rates struct {
	endpoints map[string]*sample
	services  map[string]*sample
}

// NewRates returns Rates of which nothing is known.
func NewRates() *Rates {
	return &Rates{endpoints: map[string]*sample{}, services: map[string]*sample{}}
}

// sample is a sum over responses, whose weight decays.
type sample struct {
	seconds, tokens float64
	at              time.Duration
}

func (s *sample) decay(now time.Duration) {
	if dt := now - s.at; dt > 0 {
		w := math.Exp(-dt.Seconds() / memory.Seconds())
		s.seconds *= w
		s.tokens *= w
		s.at = now
	}
}

// Record records responses of an endpoint whose first bytes took a time in all, before which
// the endpoint had to read the tokens, those of earlier requests included.
func (r *Rates) Record(service, endpoint string, took time.Duration, tokens uint64, now time.Duration) {
	if took <= 0 || tokens == 0 {
		return
	}
	add(r.endpoints, endpoint, took, tokens, now)
	add(r.services, service, took, tokens, now)
}

func add(samples map[string]*sample, name string, took time.Duration, tokens uint64, now time.Duration) {
	s := samples[name]
	if s == nil {
		s = &sample{at: now}
		samples[name] = s
	}
	s.decay(now)
	s.seconds += took.Seconds()
	s.tokens += float64(tokens)
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
	usual := s.seconds / s.tokens
	e := r.endpoints[endpoint]
	if e == nil {
		return seconds(usual)
	}
	e.decay(now)
	return seconds((e.seconds + usual*priorTokens) / (e.tokens + priorTokens))
}

// Usual returns how long an endpoint of the service takes for one token; zero if that is not
// known.
func (r *Rates) Usual(service string, now time.Duration) time.Duration {
	return r.PerToken(service, "", now)
}

// Forget drops what is known of an endpoint.
func (r *Rates) Forget(endpoint string) { delete(r.endpoints, endpoint) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
