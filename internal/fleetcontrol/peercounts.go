package fleetcontrol

import (
	"time"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wire"
)

// endpointCounts is what all gateways have in flight at the published endpoints, in their
// order, so that the response to a gateway is a copy less its own part.
type endpointCounts struct {
	positions      map[string]int
	running        []uint32
	tokens, unread []uint64
}

// newEndpointCounts returns the counts in the order of the endpoints.
func newEndpointCounts(order []string, loads map[string]*wire.InProgress) *endpointCounts {
	c := &endpointCounts{
		positions: make(map[string]int, len(order)),
		running:   make([]uint32, len(order)), tokens: make([]uint64, len(order)), unread: make([]uint64, len(order)),
	}
	for i, id := range order {
		c.positions[id] = i
		c.set(id, loads[id])
	}
	return c
}

// set sets the counts of an endpoint, which are nil if nothing is in flight there.
func (c *endpointCounts) set(endpoint string, total *wire.InProgress) {
	if i, ok := c.positions[endpoint]; ok {
		c.running[i], c.tokens[i], c.unread[i] = total.GetRunning(), total.GetTokens(), total.GetUnreadTokens()
	}
}

// without returns the counts less what a gateway has in flight, as a response has them.
func (c *endpointCounts) without(own []*wire.InProgress) (running, tokens, unread []uint32) {
	running = append([]uint32(nil), c.running...)
	tokens, unread = toUnits(c.tokens), toUnits(c.unread)
	for _, x := range own {
		if i, ok := c.positions[x.Endpoint]; ok {
			running[i] -= x.Running
			tokens[i], unread[i] = tokenUnits(c.tokens[i]-x.Tokens), tokenUnits(c.unread[i]-x.UnreadTokens)
		}
	}
	return running, tokens, unread
}

func toUnits(tokens []uint64) []uint32 {
	out := make([]uint32, len(tokens))
	for i, n := range tokens {
		out[i] = tokenUnits(n)
	}
	return out
}

// tokenUnits returns the tokens in units of fleet.TokenUnit, rounded up.
func tokenUnits(tokens uint64) uint32 {
	return uint32((tokens + fleet.TokenUnit - 1) / fleet.TokenUnit)
}

// verdictTTL is how long the verdicts on endpoints are reused for other gateways. Their inputs
// come from reports that are older.
const verdictTTL = 50 * time.Millisecond

// verdicts is what gateways are told of endpoints: the positions of those that are dead, of
// those that fail, by failure domain of the gateways, how long each takes to read a unit of
// prompt tokens, and how slow each is, in percent of usual.
type verdicts struct {
	at         time.Duration
	revision   uint64
	dead       []uint32
	failing    map[string][]uint32
	unitReadUs []uint32
	slowness   []uint32
	// reportAgeMs is the mean age of the reports of gateways, in milliseconds.
	reportAgeMs uint32
}

// currentVerdicts returns the verdicts for the gateway. l.mu must be held.
func (l *leaderState) currentVerdicts(g *gatewayState, now time.Duration) *verdicts {
	domain := g.gateway.GetDomain()
	v := l.verdicts
	if v == nil || now-v.at > verdictTTL || v.revision != l.published.latestRevision {
		v = &verdicts{at: now, revision: l.published.latestRevision, failing: map[string][]uint32{}, reportAgeMs: l.reportAgeMs(g, now)}
		for i, id := range l.published.endpointOrder {
			if l.detector.dead(id, now) {
				v.dead = append(v.dead, uint32(i))
			}
			perUnit, slowness := time.Duration(0), uint32(0)
			if e := l.engines[id]; e != nil {
				slowness = l.slowness.Percent(e.listed.Service, id, now)
				perUnit = l.prefill.PerToken(e.listed.Service, id, now) * fleet.TokenUnit
			}
			v.unitReadUs = append(v.unitReadUs, uint32(perUnit.Microseconds()))
			v.slowness = append(v.slowness, slowness)
		}
		l.logSpeeds(v.slowness, now)
		l.verdicts = v
	}
	if _, known := v.failing[domain]; !known {
		v.failing[domain] = l.failingEndpoints(domain, now)
	}
	return v
}

// reportAgeMs returns the mean age of the reports of all gateways except g, in milliseconds;
// zero if there are none. l.mu must be held.
func (l *leaderState) reportAgeMs(g *gatewayState, now time.Duration) uint32 {
	total, n := time.Duration(0), 0
	for _, other := range l.gateways {
		if other != g {
			total += now - other.lastReport
			n++
		}
	}
	return uint32(total.Milliseconds() / int64(max(n, 1)))
}

// failingEndpoints returns the positions of the endpoints that gateways of the domain should
// avoid, without those that are dead.
func (l *leaderState) failingEndpoints(domain string, now time.Duration) []uint32 {
	out := []uint32{}
	for i, id := range l.published.endpointOrder {
		if !l.detector.dead(id, now) && l.detector.failing(id, domain, now) {
			out = append(out, uint32(i))
		}
	}
	return out
}

// setPeerState sets what all gateways except g have in flight, and the verdicts on endpoints,
// in the order in which the endpoints are published. l.mu must be held.
func (l *leaderState) setPeerState(resp *wire.SyncResponse, g *gatewayState, now time.Duration) {
	if l.counts == nil || l.countsOrder != l.published.orderVersion {
		l.counts, l.countsOrder = newEndpointCounts(l.published.endpointOrder, l.loads), l.published.orderVersion
	}
	resp.OthersRunning, resp.OthersTokenUnits, resp.OthersUnreadUnits = l.counts.without(g.loads)
	v := l.currentVerdicts(g, now)
	resp.OthersAgeMs = v.reportAgeMs
	resp.Dead, resp.Failing = v.dead, v.failing[g.gateway.GetDomain()]
	if g.ratesOrder != l.published.orderVersion || now-g.ratesSentAt >= ratesInterval {
		resp.UnitReadUs, resp.SlownessPercent = v.unitReadUs, v.slowness
		g.ratesOrder, g.ratesSentAt = l.published.orderVersion, now
	}
}

// ratesInterval is the time between two responses to a gateway that state how fast endpoints
// are.
const ratesInterval = 700 * time.Millisecond
