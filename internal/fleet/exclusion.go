package fleet

import (
	"maps"
	"time"
)

// replacement states that another endpoint answered at the address of one.
type replacement struct {
	address string
	at      time.Duration
}

// replacedTTL is how long an endpoint is not used after another one has answered at its
// address. The list shows the end of most endpoints sooner.
const replacedTTL = 3 * time.Second

// MarkFull records that the endpoint itself reported that it is full. That holds
// until the next counts.
func (l *Loads) MarkFull(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.full[endpoint] = true
}

// HoldOff records until when the endpoint takes no request, for its limit.
func (l *Loads) HoldOff(endpoint string, until, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.heldOffUntil, func(_ string, t time.Duration) bool { return t <= now })
	l.heldOffUntil[endpoint] = until
}

// HeldOffUntil returns until when the endpoint takes no request, for its limit.
func (l *Loads) HeldOffUntil(endpoint string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldOffUntil[endpoint]
}

// MarkReplaced records that another endpoint answered at the endpoint's address. The
// endpoint has ended, and is not used there for replacedTTL.
func (l *Loads) MarkReplaced(e *Endpoint, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.replaced, func(_ string, r replacement) bool { return now-r.at >= replacedTTL })
	l.replaced[e.ID] = replacement{e.Address, now}
}

// isReplaced reports whether another endpoint has lately answered at the endpoint's address.
// l.mu must be held.
func (l *Loads) isReplaced(e *Endpoint, now time.Duration) bool {
	r, ok := l.replaced[e.ID]
	return ok && r.address == e.Address && now-r.at < replacedTTL
}

// endedTTL is how long the software of an endpoint that has refused connections is unknown:
// it may be back under its id with other software before the list shows that.
const endedTTL = 3 * time.Second

// MarkEnded records that the endpoint refuses connections, as one that has ended does.
func (l *Loads) MarkEnded(endpoint string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.endedAt, func(_ string, at time.Duration) bool { return now-at >= endedTTL })
	l.endedAt[endpoint] = now
}

// VersionOf returns the version of the endpoint's software; empty if it is not known surely.
func (l *Loads) VersionOf(e *Endpoint, now time.Duration) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versionOf(e, now)
}

// versionOf is VersionOf. l.mu must be held.
func (l *Loads) versionOf(e *Endpoint, now time.Duration) string {
	if at, ended := l.endedAt[e.ID]; ended && now-at < endedTTL {
		return ""
	}
	return e.Version
}

// runsVersion reports whether the endpoint surely runs the version; an empty one stands for
// any. l.mu must be held.
func (l *Loads) runsVersion(e *Endpoint, version string, now time.Duration) bool {
	return version == "" || l.versionOf(e, now) == version
}

// Rest records that the endpoint wants no request until the time.
func (l *Loads) Rest(endpoint string, until, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.restingUntil, func(_ string, end time.Duration) bool { return end <= now })
	l.restingUntil[endpoint] = max(l.restingUntil[endpoint], until)
}

// leavingTTL is how long an endpoint is not used after it has stated that it is about to end,
// longer than such an endpoint lives on. One that has started again under its id since may
// be used later than that.
const leavingTTL = 30 * time.Second

// MarkLeaving records that the endpoint has stated that it is about to end. It reports whether
// that is news.
func (l *Loads) MarkLeaving(endpoint string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.leaving, func(_ string, at time.Duration) bool { return now-at >= leavingTTL })
	_, known := l.leaving[endpoint]
	l.leaving[endpoint] = now
	return !known
}

// LeavingUnknownTo returns the endpoints that have stated here that they are about to end, of
// which the view does not show that.
func (l *Loads) LeavingUnknownTo(v *View, now time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, e := range v.Endpoints {
		if at, ok := l.leaving[e.ID]; ok && !e.Leaving && now-at < leavingTTL {
			out = append(out, e.ID)
		}
	}
	return out
}

// Closed reports whether the endpoint takes no request of this gateway now: it is about to
// end, or wants none for a time.
func (l *Loads) Closed(e *Endpoint, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed(e, now) || l.restingUntil[e.ID] > now
}

// closed reports whether the endpoint is about to end. l.mu must be held.
func (l *Loads) closed(e *Endpoint, now time.Duration) bool {
	at, ok := l.leaving[e.ID]
	return e.Leaving || ok && now-at < leavingTTL
}
