package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNoRequestQueuesWhileASlotIsFree starts requests one after another, each far
// longer than the time between two, through entries that receive each other's load
// late. While a replica has a free slot, no request waits. Later requests complete
// too.
func TestNoRequestQueuesWhileASlotIsFree(t *testing.T) {
	fewerChecks(t, "100")
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 3).Draw(rt, "entries")
		calls := rapid.IntRange(1, 16).Draw(rt, "calls")
		inVirtualTime(t, rt, func() string {
			// Three engines with four slots each serve twelve requests at once.
			f := newFleet(3, entries)
			stop := make(chan struct{})
			f.run(stop)
			failures := make([]string, calls)
			var wg sync.WaitGroup
			for i := range calls {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * time.Microsecond)
					began := time.Since(f.start)
					_, err := f.entries[i%entries].call(context.Background(), newTestJob(fmt.Sprint("call-", i), true, false, true))
					elapsed := time.Since(f.start) - began
					if limit := (testTokens + 1) * testInterval; err != nil || (i < 12 && elapsed > limit) {
						failures[i] = fmt.Sprintf("call %d took %s, at most %s allowed, error: %v\n", i, elapsed, limit, err)
					}
				})
			}
			wg.Wait()
			close(stop)
			time.Sleep(time.Minute)
			for _, v := range failures {
				if v != "" {
					return v
				}
			}
			return ""
		})
	})
}
