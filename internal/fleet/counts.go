package fleet

import (
	"slices"
	"time"
)

// TokenUnit is the unit, in tokens, in which the tokens in flight at other gateways
// are sent.
const TokenUnit = 256

// Counts is what the other gateways have in flight at endpoints, in their order: requests,
// and units of tokens that they may occupy and that are not yet prefilled. PerUnit is how long
// each endpoint takes to prefill a unit, zero if unknown. UnreadUnits is empty if it is not
// known for any endpoint, and PerUnit if it is as before.
type Counts struct {
	Running, TokenUnits, UnreadUnits []uint32
	PerUnit                          []time.Duration
	// SlownessPercent is how long requests of each endpoint take, in percent of the usual time of
	// its service, zero if unknown. It is stated together with PerUnit, by leaders that know it.
	SlownessPercent []uint32
	// At is when the counts were taken, on the average of the gateways.
	At time.Duration
}

// matches reports whether there is a count for each of n endpoints.
func (c Counts) matches(n int) bool {
	optional := []int{len(c.UnreadUnits), len(c.PerUnit), len(c.SlownessPercent)}
	return len(c.Running) == n && len(c.TokenUnits) == n && !slices.ContainsFunc(optional, func(m int) bool { return m != 0 && m != n })
}

// SetOthers replaces what the other gateways have in flight. It returns false and changes
// nothing if the number of counts differs from that of the endpoints.
func (l *Loads) SetOthers(endpoints []*Endpoint, c Counts) bool {
	if !c.matches(len(endpoints)) {
		return false
	}
	others, perToken := make(map[string]Load, len(endpoints)), map[string]time.Duration{}
	for i, e := range endpoints {
		var o Load
		if c.Running[i] > 0 {
			o.Running, o.Tokens = int(c.Running[i]), int(c.TokenUnits[i])*TokenUnit
		}
		if len(c.UnreadUnits) > 0 {
			o.PrefillTokens = int(c.UnreadUnits[i]) * TokenUnit
		}
		if o != (Load{}) {
			others[e.ID] = o
		}
		if len(c.PerUnit) > 0 && c.PerUnit[i] > 0 {
			perToken[e.ID] = c.PerUnit[i] / TokenUnit
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others, l.unreadKnown = others, len(c.UnreadUnits) > 0
	l.countedAt = c.At
	l.setMeanUtilizations(endpoints)
	if len(c.PerUnit) > 0 {
		l.perToken = perToken
		l.slowness = slownessOf(endpoints, c.SlownessPercent)
	}
	clear(l.full)
	return true
}

// SetStale sets whether the other gateways' counts are old, and how many gateways
// share the endpoints. While the counts are old, each of the other gateways is
// assumed to have as much in flight as this one.
func (l *Loads) SetStale(stale bool, gateways int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale, l.gateways = stale, max(gateways, 1)
	if stale {
		clear(l.full)
	}
}

// Stale reports whether the other gateways' counts are old, as they are without a leader.
func (l *Loads) Stale() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stale
}

// maxPrefillScale bounds the factor by which this gateway's prompts are scaled to
// estimate those of all gateways. With many gateways, the prompts of one predict
// little about those of the others.
const maxPrefillScale = 8

// totalLoad returns the load of all gateways at the endpoint. l.mu must be held.
func (l *Loads) totalLoad(endpoint string) Load {
	a, b := l.own[endpoint], l.others[endpoint]
	prefill := a.PrefillTokens + b.PrefillTokens
	if l.stale || !l.unreadKnown {
		prefill = a.PrefillTokens * min(l.gateways, maxPrefillScale)
	}
	if l.stale {
		return Load{Running: a.Running * l.gateways, Tokens: a.Tokens * l.gateways, PrefillTokens: prefill}
	}
	return Load{Running: a.Running + b.Running, Tokens: a.Tokens + b.Tokens, PrefillTokens: prefill}
}

// readAhead returns how long the endpoint takes to prefill the prompts of requests in flight;
// zero if that is not known. l.mu must be held.
func (l *Loads) readAhead(endpoint string) time.Duration {
	return time.Duration(l.totalLoad(endpoint).PrefillTokens) * l.perToken[endpoint]
}
