package prefill

import (
	"math"
	"time"
)

// Latencies sums requests of an endpoint: how many ended, how long they took, and how long they
// take at an endpoint of usual latency.
type Latencies struct {
	Count          int
	Took, Expected time.Duration
}

// Slowness holds how slow endpoints are, relative to all of their service. It is not safe for
// concurrent use.
type Slowness struct {
	endpoints map[string]*latencySums
	services  map[string]*latencySums
}

// NewSlowness returns a Slowness of which nothing is known.
func NewSlowness() *Slowness {
	return &Slowness{endpoints: map[string]*latencySums{}, services: map[string]*latencySums{}}
}

// latencySums are sums over requests, whose weights decay.
type latencySums struct {
	count, took, expected float64
	at                    time.Duration
}

func (s *latencySums) add(x Latencies, now time.Duration) {
	w := math.Exp(-max(now-s.at, 0).Seconds() / memory.Seconds())
	s.count = s.count*w + float64(x.Count)
	s.took = s.took*w + x.Took.Seconds()
	s.expected = s.expected*w + x.Expected.Seconds()
	s.at = max(s.at, now)
}

// Record records requests of an endpoint.
func (s *Slowness) Record(service, endpoint string, x Latencies, now time.Duration) {
	if x.Expected <= 0 {
		return
	}
	for _, sums := range []*latencySums{latencySumsOf(s.endpoints, endpoint, now), latencySumsOf(s.services, service, now)} {
		sums.add(x, now)
	}
}

func latencySumsOf(all map[string]*latencySums, name string, now time.Duration) *latencySums {
	if all[name] == nil {
		all[name] = &latencySums{at: now}
	}
	return all[name]
}

// Percent returns how long the requests of the endpoint take, in percent of what is usual in
// its service; zero if that is not known. With few requests of late it is near 100.
func (s *Slowness) Percent(service, endpoint string, now time.Duration) uint32 {
	e, all := s.endpoints[endpoint], s.services[service]
	if e == nil || all == nil {
		return 0
	}
	e.add(Latencies{}, now)
	all.add(Latencies{}, now)
	if e.count <= 0 || e.expected <= 0 || all.took <= 0 {
		return 0
	}
	usual := e.expected * all.took / all.expected
	prior := priorCount * usual / e.count
	return uint32(math.Round(100 * min(max((e.took+prior)/(usual+prior), minSlowness), maxSlowness)))
}

// Forget drops what is known of an endpoint.
func (s *Slowness) Forget(endpoint string) { delete(s.endpoints, endpoint) }
