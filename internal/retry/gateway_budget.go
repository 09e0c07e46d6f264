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
func (b *GatewayBudget) SetConfig(cfg GatewayBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg = cfg
}

// shareMargin leaves room for what is counted differently elsewhere.
const safetyFactor = 0.8

type windowCounts struct {
	requests []time.Duration
	retries  []time.Duration
}

// NewGatewayBudget returns a budget that starts at the time.
func NewGatewayBudget(cfg GatewayBudgetConfig, start time.Duration) *GatewayBudget {
	return &GatewayBudget{cfg: cfg, start: start, counts: map[string]*windowCounts{}}
}

// RecordRequest counts a request for the service.
func (b *GatewayBudget) RecordRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service, now)
	c.requests = append(c.requests, now)
}

// TryWithdraw takes one repeated send from the budget, which gateways share. It
// returns false where none is left.
func (b *GatewayBudget) TryWithdraw(service string, gateways int, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service, now)
	allowed := b.cfg.Ratio * float64(len(c.requests))
	if now-b.start >= b.cfg.Window {
		allowed += b.cfg.Slack / float64(max(gateways, 1))
	}
	if float64(len(c.retries)+1) > allowed*safetyFactor {
		return false
	}
	c.retries = append(c.retries, now)
	return true
}

func (b *GatewayBudget) countsOf(service string, now time.Duration) *windowCounts {
	c := b.counts[service]
	if c == nil {
		c = &windowCounts{}
		b.counts[service] = c
	}
	c.requests = dropBefore(c.requests, now-b.cfg.Window)
	c.retries = dropBefore(c.retries, now-b.cfg.Window)
	return c
}

func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
