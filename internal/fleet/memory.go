package fleet

import "time"

// assumedStay is the time for which a request is assumed to occupy an engine's memory. It is short
// on purpose: the shorter the stay, the more the other gateways may have sent since their counts,
// so the estimate errs towards a full engine.
const assumedStay = time.Second

// memoryUtilization returns the utilization of an engine's memory: the share of the tokens in
// flight or, if the request might not fit beside them, that of a full engine. It responds to load
// near the memory limit only. A request that is larger than the memory fits nowhere: the engine
// itself rejects it. l.mu must be held.
func (l *Loads) memoryUtilization(e *Endpoint, req Requirements, load Load, now time.Duration) float64 {
	if req.CacheTokens <= 0 {
		return 0
	}
	utilization := float64(load.Tokens) / float64(req.CacheTokens)
	if l.stale || load.Running == 0 || req.Tokens > req.CacheTokens {
		// Without counts the load is an estimate, which keeps no request from an engine.
		return utilization
	}
	if load.Tokens+l.uncountedTokens(e, now)+req.Tokens > req.CacheTokens {
		return max(utilization, fullUtilization)
	}
	return utilization
}

// uncountedTokens returns how many tokens the other gateways may have sent to the engine since
// their counts were taken: while the load is steady, they replace what they have in flight once in
// the time that requests stay. What has ended since is not subtracted. l.mu must be held.
func (l *Loads) uncountedTokens(e *Endpoint, now time.Duration) int {
	age := min(max(now-l.countedAt, 0), assumedStay)
	return int(float64(l.others[e.ID].Tokens) * age.Seconds() / assumedStay.Seconds())
}
