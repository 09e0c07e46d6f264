package retry

import (
	"sync"
	"time"
)

// GatewayBudget is one gateway's part of a budget of retries that all gateways
// share, for each service over any window. A gateway may make as many retries as
// a ratio of the requests that it received itself allows, plus its part of a
// fixed slack. The slack is granted only one full window after the start, so that
// a restart does not grant it twice. The parts of gateways that know of different
// numbers of gateways add up to the slack at most: a part is that of the largest number
// known within a window, so that it grows only when the parts of gateways that have left
// are out of the window too, and it lapses with the knowledge. It is safe for concurrent
// use.
type GatewayBudget struct {
	mu     sync.Mutex
	cfg    GatewayBudgetConfig
	start  time.Duration
	counts map[string]*windowCounts
	// known are the numbers of gateways that the control plane named, and knownUntil is
	// when the last of them lapses.
	known      []gatewayCount
	knownUntil time.Duration
}

// gatewayCount is a number of gateways, and when it was last named.
type gatewayCount struct {
	gateways int
	lastAt   time.Duration
}

// GatewayCountTTL is how long this gateway's part of the slack outlasts its last exchange
// with the control plane. It must not exceed the time after which the control plane drops
// a gateway from the number that it names to others.
const GatewayCountTTL = 2 * time.Second

// GatewayBudgetConfig configures the shared budget.
type GatewayBudgetConfig struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of further retries allowed in a window, over all
	// gateways.
	Slack float64
	// Window is the time span over which requests and retries are counted.
	Window time.Duration
}

// SetConfig replaces the configuration of the budget.
func (b *GatewayBudget) SetConfig(cfg GatewayBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg = cfg
}

// SetGateways records the number of gateways, as the control plane names it now.
func (b *GatewayBudget) SetGateways(gateways int, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	interruption := now - (b.knownUntil - GatewayCountTTL)
	if interruption > b.cfg.Window {
		// The others may share the slack without this gateway.
		b.start = max(b.start, now)
	}
	if interruption > GatewayCountTTL {
		// A number that is named after an interruption may lack gateways, as one of a new
		// leader does.
		for i := range b.known {
			b.known[i].lastAt = now
		}
	}
	b.knownUntil = now + GatewayCountTTL
	for len(b.known) > 0 && now-b.known[0].lastAt > b.cfg.Window+GatewayCountTTL {
		b.known = b.known[1:]
	}
	if n := len(b.known); n > 0 && b.known[n-1].gateways == gateways {
		b.known[n-1].lastAt = now
		return
	}
	b.known = append(b.known, gatewayCount{gateways, now})
}

// slackPart returns this gateway's part of the slack.
func (b *GatewayBudget) slackPart(now time.Duration) float64 {
	if now-b.start < b.cfg.Window || now > b.knownUntil {
		return 0
	}
	most := 1
	for _, k := range b.known {
		if now-k.lastAt <= b.cfg.Window+GatewayCountTTL {
			most = max(most, k.gateways)
		}
	}
	return b.cfg.Slack / float64(most)
}

// safetyFactor is the share of the budget that may be used. It leaves a margin
// for requests and retries that are counted differently elsewhere.
const safetyFactor = 0.8

type windowCounts struct {
	requests []time.Duration
	// retries are the times at which retries were sent, and pending counts those that have
	// been withdrawn and not been sent yet.
	retries []time.Duration
	pending int
}

// NewGatewayBudget returns a budget that starts at the given time.
func NewGatewayBudget(cfg GatewayBudgetConfig, start time.Duration) *GatewayBudget {
	return &GatewayBudget{cfg: cfg, start: start, counts: map[string]*windowCounts{}}
}

// RecordRequest records a request for the service.
func (b *GatewayBudget) RecordRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service, now)
	c.requests = append(c.requests, now)
}

// TryWithdraw withdraws one retry from this gateway's part of the budget, and
// returns false if none is left. Each retry must be followed by Sent or Refund: it
// counts at the time at which it is sent, which may be long after.
func (b *GatewayBudget) TryWithdraw(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service, now)
	allowed := b.cfg.Ratio*float64(len(c.requests)) + b.slackPart(now)
	if float64(len(c.retries)+c.pending+1) > allowed*safetyFactor {
		return false
	}
	c.pending++
	return true
}

// Sent records that a withdrawn retry is sent now.
func (b *GatewayBudget) Sent(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service, now)
	c.pending--
	c.retries = append(c.retries, now)
}

// Refund returns a withdrawn retry that is not sent.
func (b *GatewayBudget) Refund(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsOf(service, now).pending--
}

// countsOf returns the times of the service's requests and retries in the window
// that ends now, and drops older ones.
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
