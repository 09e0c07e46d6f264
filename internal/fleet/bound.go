package fleet

import "time"

// Bound names the resource or rule that limits how many requests an endpoint is sent. It is a
// label of metrics and logs.
type Bound string

// Bounds of endpoints.
const (
	BoundSlots   Bound = "slots"
	BoundMemory  Bound = "memory"
	BoundPrefill Bound = "prefill"
	// BoundRest is set if the endpoint has asked for a pause or for a lower rate.
	BoundRest Bound = "rest"
	// BoundShare is the fair share of the workspace: a request within its share would be sent.
	// BoundOf never returns it.
	BoundShare Bound = "share"
)

// BoundOf returns what determines the utilization of the chosen endpoint for a request with the
// requirements.
func (l *Loads) BoundOf(c Choice, req Requirements, now time.Duration) Bound {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chosenFrom = l.plain[req.Service]
	load := l.totalLoad(c.Endpoint.ID)
	slots, memory := l.slotUtilization(c.Endpoint, load, req, now), l.memoryUtilization(c.Endpoint, req, load, now)
	switch {
	case c.HeldOffUntil > now:
		return BoundRest
	case l.promptUtilization(c.Endpoint.ID, req) > max(slots, memory):
		return BoundPrefill
	case memory > slots:
		return BoundMemory
	}
	return BoundSlots
}
