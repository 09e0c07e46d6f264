package ratelimit

import "time"

const (
	// PermitTTL is how long after it was asked for a permit may be used.
	PermitTTL = 500 * time.Millisecond
	// minPerSecond is the rate at which an endpoint is used that names a lower one, so that
	// a response can lift the limit.
	minPerSecond = 0.1
	// AloneShare is the share of a limit that the only VM which uses the endpoint without a
	// holder may take, from a bucket of its own. The holder may still give permits to others.
	AloneShare = 0.2
	// A bucket holds burst permits, and those of burstTime at its rate. What is sent in 4 s
	// with permits of 4.5 s, and beside it from a bucket at AloneShare, is then less than
	// 1.5 times the limit and 5 more.
	burst     = 2
	burstTime = 500 * time.Millisecond
	// maxRetryAfter bounds the time after which a permit is asked for again.
	maxRetryAfter = 5 * time.Second
)

// Bucket gives permits for the requests to one endpoint, at the rate of its limit. A new
// bucket is empty, so that a new holder gives no permits that the one before it may have
// given. It is not safe for concurrent use.
type Bucket struct {
	permits float64
	// promised counts those who were told to ask again and whose time has not come.
	promised float64
	at       time.Duration
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Duration) *Bucket { return &Bucket{at: now} }

// Take takes a permit, or returns the time after which to ask again: when one will be there
// for each of those that have been told so before.
func (b *Bucket) Take(perSecond float64, now time.Duration) (ok bool, retryAfter time.Duration) {
	if retryAfter = b.Wait(perSecond, now); retryAfter > 0 {
		b.promised++
		return false, retryAfter
	}
	b.permits--
	return true, 0
}

// Wait returns zero if there is a permit, or the time after which to ask again.
func (b *Bucket) Wait(perSecond float64, now time.Duration) time.Duration {
	rate := max(perSecond, minPerSecond)
	added := rate * max(now-b.at, 0).Seconds()
	b.at = max(b.at, now)
	b.permits = min(b.permits+added, burst+rate*burstTime.Seconds())
	b.promised = max(b.promised-added, 0)
	if b.permits >= 1 {
		return 0
	}
	wait := time.Duration((1 - b.permits + b.promised) / rate * float64(time.Second))
	return max(min(wait, maxRetryAfter), time.Millisecond)
}
