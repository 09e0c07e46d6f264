package fleet

import "time"

// Decision is the next step of a request that has no endpoint yet.
type Decision int

// Decisions for a request.
const (
	// Dispatch sends the request to the endpoint.
	Dispatch Decision = iota
	// Wait for a slot or a model, then check again.
	Wait
	// Reject the request: no slot or model becomes available in time.
	Reject
)

const (
	// maxUtilization is the utilization of the least loaded endpoint, 1 if it is
	// full, above which a new request is not sent to it.
	maxUtilization = 1.0
	// maxUtilizationAfterWait is the same limit for a request that has waited for
	// a slot: it leaves the last slots to requests that can still be served on time.
	maxUtilizationAfterWait = 0.92
	// maxSlotWait bounds the wait for a slot, as does maxSlotWaitShare of the
	// request's time limit. Bursts pass within seconds, and a slot becomes free
	// before a rejected client retries.
	maxSlotWait      = 2500 * time.Millisecond
	maxSlotWaitShare = 0.4
	// maxModelWait and maxModelWaitShare bound the wait for a model if it is not
	// known when it becomes ready.
	maxModelWait      = 1700 * time.Millisecond
	maxModelWaitShare = 0.4
	// maxLoadingWaitShare is the share of the request's time limit that it waits
	// for a model that is expected to be ready by then.
	maxLoadingWaitShare = 0.6
)

// DecideOnSlot decides whether a request goes to the least loaded endpoint of its
// model, waits for a slot or is rejected. Waiting absorbs bursts that fill all
// endpoints for a second or two. utilization is that of the least loaded endpoint,
// waited the time since the request first tried, and limit the time that it had
// left then.
func DecideOnSlot(utilization float64, waited, limit time.Duration) Decision {
	switch {
	case utilization <= maxUtilizationAfterWait, waited == 0 && utilization <= maxUtilization:
		return Dispatch
	case waited < maxWaitForSlot(limit):
		return Wait
	}
	return Reject
}

// SlotWaitLeft returns how much longer a request waits for a slot.
func SlotWaitLeft(waited, limit time.Duration) time.Duration {
	return maxWaitForSlot(limit) - waited
}

func maxWaitForSlot(limit time.Duration) time.Duration {
	return min(maxSlotWait, time.Duration(float64(limit)*maxSlotWaitShare))
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a request to full endpoints if
	// waits for a slot there have succeeded of late, and minSustainedRetryAfter and
	// maxSustainedRetryAfter if they have not.
	minRetryAfter          = 400 * time.Millisecond
	maxRetryAfter          = time.Second
	minSustainedRetryAfter = time.Second
	maxSustainedRetryAfter = 3 * time.Second
	// retryAfterShare is the share of their time left that clients wait as they are asked.
	retryAfterShare = 1.0 / 3
)

// RetryAfter returns when a client that is rejected by full endpoints should come back: soon
// if room appears within a burst, else spread over as much of its time as it can spare, for
// an overload that lasts rejects those that come back at once a second time. readyIn is the
// time until another replica is ready, zero if none is expected, and draw a random number in
// [0, 1).
func RetryAfter(sustained bool, timeLeft, readyIn time.Duration, draw float64) time.Duration {
	least, most := minRetryAfter, maxRetryAfter
	if sustained {
		least = minSustainedRetryAfter
		most = max(least, min(maxSustainedRetryAfter, time.Duration(float64(timeLeft)*retryAfterShare)))
	}
	jitter := time.Duration(draw * float64(most-least))
	return max(least, readyIn) + jitter
}

// DecideOnModel decides whether a request waits for a model that is not resident
// on any endpoint. Waiting serves demand that shifts to such models. readyIn is
// the time until the model is expected to be ready, zero if unknown. waited and
// limit are as in DecideOnSlot.
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
