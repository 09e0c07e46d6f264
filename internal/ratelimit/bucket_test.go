package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxInWindow returns the most sends in any window of the length.
func maxInWindow(sends []time.Duration, window time.Duration) int {
	slices.Sort(sends)
	most := 0
	for i := range sends {
		end, _ := slices.BinarySearch(sends, sends[i]+window)
		most = max(most, end-i)
	}
	return most
}

// TestAllVMsTogetherKeepToTheLimitThroughChangesOfTheHolder lets any number of VMs ask as
// often as they like, send as late as a permit allows, and ask holders that change at any
// time. For a while the VM that the endpoint has without a holder spends from its own bucket.
func TestAllVMsTogetherKeepToTheLimitThroughChangesOfTheHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0, 0.2, 1, 2, 7.5, 40}).Draw(t, "limit")
		askers := rapid.IntRange(1, 40).Draw(t, "askers")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var sends []time.Duration
		holder, alone, changes := NewBucket(0), NewBucket(0), rapid.Float64Range(0, 0.01).Draw(t, "change of the holder")
		for now := time.Duration(0); now < 40*time.Second; now += 10 * time.Millisecond {
			if random.Float64() < changes {
				holder = NewBucket(now)
			}
			take := func(b *Bucket, perSecond float64) {
				if ok, _ := b.Take(perSecond, now); ok {
					sends = append(sends, now+time.Duration(random.Int64N(int64(PermitTTL))))
				}
			}
			for range random.IntN(askers) {
				take(holder, limit)
			}
			take(alone, limit*AloneShare)
		}
		if got, allowed := maxInWindow(sends, 4*time.Second), 1.5*4*limit+5; float64(got) > allowed {
			t.Fatalf("%d sends in 4 s of a limit of %g a second, %g are allowed", got, limit, allowed)
		}
	})
}

// TestVMsThatComeWhenToldUseTheWholeLimit lets VMs ask again when they were told to.
func TestVMsThatComeWhenToldUseTheWholeLimit(t *testing.T) {
	for _, limit := range []float64{0.2, 2, 20} {
		b := NewBucket(0)
		next := make([]time.Duration, 9)
		sends, asks := 0, 0
		const length = 100 * time.Second
		for now := time.Duration(0); now < length; now += time.Millisecond {
			for i := range next {
				if now < next[i] {
					continue
				}
				asks++
				ok, retryAfter := b.Take(limit, now)
				if next[i] = now + retryAfter; ok {
					sends++
				}
			}
		}
		if want := 0.9 * limit * length.Seconds(); float64(sends) < want {
			t.Errorf("%d sends in %v of a limit of %g a second, want %g", sends, length, limit, want)
		}
		if asks > 4*sends+len(next)*int(length/maxRetryAfter)+len(next) {
			t.Errorf("%d asks for %d sends", asks, sends)
		}
	}
}
