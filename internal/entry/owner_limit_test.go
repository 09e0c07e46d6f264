package entry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/ratelimit"
)

// TestEntriesTogetherKeepToTheLimitThatAnEngineNames lets two entries send many requests to
// the only engine, which names a limit from the first response on.
func TestEntriesTogetherKeepToTheLimitThatAnEngineNames(t *testing.T) {
	const limit, window, pause, length = 2.0, 4 * time.Second, 50 * time.Millisecond, 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2)
		stop := make(chan struct{})
		defer close(stop)
		go f.run(stop)
		engine := f.engines["engine-0"]
		engine.limit = ratelimit.Limit{Kind: ratelimit.Named, PerSecond: limit}
		var all sync.WaitGroup
		var refused atomic.Int64
		for i := range int(length / pause) {
			time.Sleep(pause)
			all.Go(func() {
				_, err := f.entries[i%2].call(t.Context(), newTestJob(fmt.Sprint("request ", i), false, false, true))
				if x := fail.From(err); err != nil && (x.Code != fail.Overloaded || x.Ran != fail.RanNo || x.RetryAfter == 0) {
					t.Errorf("request %d: %v, want it refused with a time to come back", i, err)
				}
				if err != nil {
					refused.Add(1)
				}
			})
		}
		all.Wait()
		// What is in flight when the limit is first named does not count.
		bound := engine.arrivals
		for len(bound) > 0 && bound[0] < engine.arrivals[0]+3*time.Second {
			bound = bound[1:]
		}
		for i, from := range bound {
			n := 0
			for _, at := range bound[i:] {
				if at < from+window {
					n++
				}
			}
			if allowed := 1.5*limit*window.Seconds() + 5; float64(n) > allowed {
				t.Fatalf("%d requests in %v, %g are allowed", n, window, allowed)
			}
		}
		if got, want := float64(len(bound)), 0.7*limit*(length-3*time.Second).Seconds(); got < want || refused.Load() == 0 {
			t.Errorf("%g requests arrived and %d were refused, want %g or more and the rest", got, refused.Load(), want)
		}
	})
}
