package retry

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestBudgetBoundsRetries lets every request of a team fail: its retries must
// stay within the budget, and the budget of another team must not change.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		now := time.Duration(0)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond
			b.RecordRequest(now, "failing")
			requests++
			for range 3 {
				if b.TryWithdraw(now, "failing", CostMayHaveRun) {
					retries++
				}
			}
		}
		limit := maxTokens + tokensPerRequest*float64(requests) + tokensPerSecond*now.Seconds()
		if float64(retries) > limit {
			t.Fatalf("%d retries for %d requests, limit %v", retries, requests, limit)
		}
		if !b.TryWithdraw(now, "other", CostMayHaveRun) {
			t.Fatal("a team without failed requests cannot retry")
		}
	})
}
