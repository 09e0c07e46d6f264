package fleet

import "time"

// Decision is what a request without a free endpoint does next.
type Decision int

// Turns of a request.
const (
	// Dispatch to the endpoint.
	Dispatch Decision = iota
	// Wait for a place or a model, and look again.
	Wait
	// Reject it: what it needs will not come in time.
	Reject
)

const (
	// maxUse is the use of the emptiest endpoint, 1 where it is full, beyond
	// which a request does not go to it.
	maxUtilization = 1.0
	// lateUse is the same for a request that has waited for a place: it leaves
	// the last places to those that can still be answered on time.
	maxUtilizationAfterWait = 0.92
	// placeWait bounds the wait for a place, as does placeShare of the time that
	// the request has. Bursts pass within seconds, and a place is free earlier
	// than a caller that is refused comes back.
	maxSlotWait      = 2500 * time.Millisecond
	maxSlotWaitShare = 0.4
	// modelWait and modelShare bound the wait for a model of which it is not
	// known when it will be ready.
	maxModelWait      = 1700 * time.Millisecond
	maxModelWaitShare = 0.4
	// loadingShare of the time that the request has is waited for a model that
	// is known to be ready by then.
	maxLoadingWaitShare = 0.6
)

// DecideOnSlot decides for a request that finds every endpoint of its model in use. It
// answers the load of a burst that fills them for a second or two. use is that
// of the emptiest endpoint, waited the time since it asked first, and limit the
// time that it had then.
func DecideOnSlot(utilization float64, waited, limit time.Duration) Decision {
	switch {
	case utilization <= maxUtilizationAfterWait, waited == 0 && utilization <= maxUtilization:
		return Dispatch
	case waited < min(maxSlotWait, time.Duration(float64(limit)*maxSlotWaitShare)):
		return Wait
	}
	return Reject
}

// DecideOnModel decides for a request whose model no endpoint holds yet. It answers the
// load of demand that moves to models that are not resident. readyIn is the time
// until the model is expected to be ready; zero where nobody knows.
func DecideOnModel(readyIn, waited, limit time.Duration) Decision {
	allowed := min(maxModelWait, time.Duration(float64(limit)*maxModelWaitShare))
	if readyIn > 0 {
		allowed = time.Duration(float64(limit) * maxLoadingWaitShare)
	}
	if waited+readyIn < allowed {
		return Wait
	}
	return Reject
}
