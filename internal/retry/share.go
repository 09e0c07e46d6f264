package retry

import (
	"sync"
	"time"
)

// GatewayBudget is one gateway's part of a budget of repeated sends that all gateways
// of a service share over any window. A gateway may repeat a share of the
// requests it took itself, plus its part of a fixed slack. The slack is granted
// only a whole window after the start, so that a restart does not grant it
// twice. It is safe for concurrent use.
type GatewayBudget struct {
	mu     sync.Mutex
	cfg    GatewayBudgetConfig
	start  time.Duration
	counts map[string]*windowCounts
}

// GatewayBudgetConfig are the terms of the budget.
type GatewayBudgetConfig struct {
	// Ratio is how many repeated sends are allowed for each request.
	Ratio float64
	// Slack is how many are allowed in a window beside those, over all gateways.
	Slack float64
	// Window is the span over which both are counted.
	Window time.Duration
}

// SetConfig changes the terms of the budget.
func (s *GatewayBudget) SetConfig(cfg GatewayBudgetConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
}

// shareMargin leaves room for what is counted differently elsewhere.
const shareMargin = 0.8

type windowCounts struct {
	requests []time.Duration
	repeats  []time.Duration
}

// NewGatewayBudget returns a budget that starts at the time.
func NewGatewayBudget(cfg GatewayBudgetConfig, start time.Duration) *GatewayBudget {
	return &GatewayBudget{cfg: cfg, start: start, counts: map[string]*windowCounts{}}
}

// RecordRequest counts a request for the service.
func (s *GatewayBudget) RecordRequest(service string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.of(service, now)
	c.requests = append(c.requests, now)
}

// TryWithdraw takes one repeated send from the budget, which gateways share. It
// returns false where none is left.
func (s *GatewayBudget) TryWithdraw(service string, gateways int, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.of(service, now)
	allowed := s.cfg.Ratio * float64(len(c.requests))
	if now-s.start >= s.cfg.Window {
		allowed += s.cfg.Slack / float64(max(gateways, 1))
	}
	if float64(len(c.repeats)+1) > allowed*shareMargin {
		return false
	}
	c.repeats = append(c.repeats, now)
	return true
}

func (s *GatewayBudget) of(service string, now time.Duration) *windowCounts {
	c := s.counts[service]
	if c == nil {
		c = &windowCounts{}
		s.counts[service] = c
	}
	c.requests = dropBefore(c.requests, now-s.cfg.Window)
	c.repeats = dropBefore(c.repeats, now-s.cfg.Window)
	return c
}

func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
