package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGatewayBudgetsHoldInEveryWindow lets several gateways retry whenever their
// budgets allow it, restarts some of them, and checks the sum of their retries
// in every window.
func TestGatewayBudgetsHoldInEveryWindow(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		cfg := GatewayBudgetConfig{Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 80).Draw(t, "slack"), Window: window}
		gateways := rapid.IntRange(1, 6).Draw(t, "gateways")
		var budgets []*GatewayBudget
		for range gateways {
			budgets = append(budgets, NewGatewayBudget(cfg, 0))
		}
		var requests, retries []time.Duration
		for now := time.Duration(0); now < 45*time.Second; now += 250 * time.Millisecond {
			i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			if rapid.IntRange(0, 40).Draw(t, "restart") == 40 {
				budgets[i] = NewGatewayBudget(cfg, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				budgets[i].RecordRequest("s", now)
				requests = append(requests, now)
			}
			for budgets[i].TryWithdraw("s", gateways, now) {
				retries = append(retries, now)
			}
		}
		for _, from := range retries {
			within := func(times []time.Duration, start time.Duration) int {
				n := 0
				for _, at := range times {
					if at >= start && at < from+window {
						n++
					}
				}
				return n
			}
			// A retry may count requests from up to one window before it.
			got := within(retries, from)
			allowed := cfg.Ratio*float64(within(requests, from-window)) + cfg.Slack
			if float64(got) > allowed {
				t.Fatalf("%d retries within %v from %v, %.1f allowed", got, window, from, allowed)
			}
		}
	})
}

// TestGatewayBudgetGrantsSlackOneWindowAfterStart guards against granting the
// slack twice in one window: the process before a restart may have used it.
func TestGatewayBudgetGrantsSlackOneWindowAfterStart(t *testing.T) {
	b := NewGatewayBudget(GatewayBudgetConfig{Slack: 10, Window: 10 * time.Second}, 5*time.Second)
	if b.TryWithdraw("s", 1, 14*time.Second) {
		t.Error("slack was granted less than one window after the start; an earlier process may have used it")
	}
	if !b.TryWithdraw("s", 1, 15*time.Second) {
		t.Error("no slack was granted one window after the start")
	}
}
