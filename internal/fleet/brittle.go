package fleet

import "time"

const (
	// brittleTTL is how long a service counts as brittle after one of its endpoints has said
	// so last. All their responses say so while it lasts.
	brittleTTL = 3 * time.Second
	// BrittleRoom is the share of the slots of an endpoint of a brittle service that is used:
	// such an endpoint lets fewer requests wait, and falls over if it has to reject many.
	BrittleRoom = 0.75
)

// brittleness is what endpoints of a service have said last of how many rejections a second
// they survive.
type brittleness struct {
	maxRejections float64
	at            time.Duration
}

// SetBrittle records that the endpoints of the service fall over if they have to reject more
// requests a second.
func (l *Loads) SetBrittle(service string, maxRejections float64, now time.Duration) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.brittleLocked(service, now)
	l.brittle[service] = brittleness{maxRejections, now}
	return !known
}

// brittleLocked returns how many rejections a second an endpoint of the service survives, if
// the service is brittle. l.mu must be held.
func (l *Loads) brittleLocked(service string, now time.Duration) (maxRejections float64, ok bool) {
	b, ok := l.brittle[service]
	return b.maxRejections, ok && now-b.at < brittleTTL
}

// Brittle reports whether the service is brittle, and how many rejections a second an
// endpoint of it survives.
func (l *Loads) Brittle(service string, now time.Duration) (maxRejections float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.brittleLocked(service, now)
}
