package fleet

import "time"

// alikePercent is the least difference, in percent of the usual time, at which an endpoint counts
// as faster or slower. Smaller differences can come from uneven load, and would make engines of
// equal speed swap ranks.
const alikePercent = 15

// DiffersInSpeed reports whether an endpoint whose requests take the percentage of the usual time,
// zero if unknown, is chosen with regard to that.
func DiffersInSpeed(percent uint32) bool {
	return percent > 0 && (percent >= 100+alikePercent || percent <= 100-alikePercent)
}

// slownessOf returns the slowness of the endpoints that clearly differ from their service.
func slownessOf(endpoints []*Endpoint, percent []uint32) map[string]float64 {
	out := map[string]float64{}
	for i, n := range percent {
		if DiffersInSpeed(n) {
			out[endpoints[i].ID] = float64(n) / 100
		}
	}
	return out
}

// timeCost returns the utilization of an engine as a cost. Its occupancy, the request included,
// counts for as much more as its requests take longer; the time for prompts ahead is that of
// the engine already. l.mu must be held.
func (l *Loads) timeCost(e *Endpoint, req Requirements, utilization float64, now time.Duration) float64 {
	slowness, differs := l.slowness[e.ID]
	if !differs {
		return utilization
	}
	occupancy, request := l.occupancy(e, req, now), 1/float64(max(e.Slots, 1))
	scaled := (occupancy+request)*slowness - request
	if utilization > occupancy {
		return max(utilization, scaled)
	}
	return scaled
}
