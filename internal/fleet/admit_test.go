package fleet

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestDecideOnSlot(t *testing.T) {
	const limit = 10 * time.Second
	for _, c := range []struct {
		name        string
		utilization float64
		waited      time.Duration
		limit       time.Duration
		want        Decision
	}{
		{"free", 0.5, 0, limit, Dispatch},
		{"new request, all slots in use", 1, 0, limit, Dispatch},
		{"more requests than slots", 1.1, 0, limit, Wait},
		{"waiting request leaves the last slots", 0.97, 500 * time.Millisecond, limit, Wait},
		{"waiting request takes another slot", 0.9, 500 * time.Millisecond, limit, Dispatch},
		{"no slot in time", 1.1, maxSlotWait, limit, Reject},
		{"short time limit", 1.1, 450 * time.Millisecond, time.Second, Reject},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := DecideOnSlot(c.utilization, c.waited, c.limit); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}

func TestDecideOnModel(t *testing.T) {
	for _, c := range []struct {
		name                   string
		readyIn, waited, limit time.Duration
		want                   Decision
	}{
		{"unknown time", 0, 0, 10 * time.Second, Wait},
		{"unknown time for too long", 0, 1700 * time.Millisecond, 10 * time.Second, Reject},
		{"ready in time", 5 * time.Second, 0, 12 * time.Second, Wait},
		{"ready too late for this client", 5 * time.Second, 0, 3 * time.Second, Reject},
		{"nearly ready", 300 * time.Millisecond, 4700 * time.Millisecond, 12 * time.Second, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := DecideOnModel(c.readyIn, c.waited, c.limit); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}

// TestWaitingServesABurst simulates requests that arrive for a second at twice the
// rate that the slots of an endpoint can serve, with and without waiting for slots.
func TestWaitingServesABurst(t *testing.T) {
	const slots, serviceTime, limit = 10, 500 * time.Millisecond, 12 * time.Second
	const step = 50 * time.Millisecond
	simulate := func(decide func(utilization float64, waited time.Duration) Decision) (served int) {
		var ends, queued []time.Duration
		for now := time.Duration(0); now < 5*time.Second; now += step {
			if now < time.Second {
				queued = append(queued, now, now)
			}
			for len(ends) > 0 && ends[0] <= now {
				ends = ends[1:]
			}
			var stillQueued []time.Duration
			for _, at := range queued {
				switch decide(float64(len(ends))/slots, now-at) {
				case Dispatch:
					ends = append(ends, now+serviceTime)
					served++
				case Wait:
					stillQueued = append(stillQueued, at)
				}
			}
			queued = stillQueued
		}
		return served
	}
	waiting := simulate(func(utilization float64, waited time.Duration) Decision {
		return DecideOnSlot(utilization, waited, limit)
	})
	rejecting := simulate(func(utilization float64, _ time.Duration) Decision {
		if utilization > maxUtilization {
			return Reject
		}
		return Dispatch
	})
	const all = 40
	if waiting < all || rejecting >= waiting {
		t.Errorf("%d of %d served by waiting, %d by rejecting at once, want all by waiting and fewer by rejecting", waiting, all, rejecting)
	}
}

// TestReturnsSpreadOverALastingOverload plays four seconds in which twice as many requests come
// as the slots serve, and lets each rejected client come back once, when it is told to.
func TestReturnsSpreadOverALastingOverload(t *testing.T) {
	const slots, serviceTime, limit = 10, 500 * time.Millisecond, 12 * time.Second
	const step, overload, end = 25 * time.Millisecond, 4 * time.Second, 12 * time.Second
	play := func(sustained bool) (servedOnReturn int) {
		var ends, returns []time.Duration
		draws := 0.0
		for now := time.Duration(0); now < end; now += step {
			ends = slices.DeleteFunc(ends, func(at time.Duration) bool { return at <= now })
			if now < overload {
				if len(ends) < slots {
					ends = append(ends, now+serviceTime)
				} else {
					draws = math.Mod(draws+0.618, 1)
					returns = append(returns, now+RetryAfter(sustained, limit, 0, draws))
				}
			}
			returns = slices.DeleteFunc(returns, func(at time.Duration) bool {
				if at > now {
					return false
				}
				if len(ends) < slots {
					ends = append(ends, now+serviceTime)
					servedOnReturn++
				}
				return true
			})
		}
		return servedOnReturn
	}
	soon, spread := play(false), play(true)
	if spread*10 < soon*13 {
		t.Errorf("%d clients served on their return if spread and %d if told to come back soon, want 1.3 times as many", spread, soon)
	}
}

func TestRetryAfterLeavesTimeToBeServed(t *testing.T) {
	for _, left := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 12 * time.Second, time.Minute} {
		for _, draw := range []float64{0, 0.5, 0.999} {
			got := RetryAfter(true, left, 0, draw)
			if got > max(minSustainedRetryAfter, left/3) || got > maxSustainedRetryAfter || got < minSustainedRetryAfter {
				t.Errorf("Retry-After %v with %v left", got, left)
			}
		}
	}
	if got := RetryAfter(false, time.Minute, 5*time.Second, 0); got != 5*time.Second {
		t.Errorf("Retry-After %v, want the time until the replica is ready", got)
	}
}
