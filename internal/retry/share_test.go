package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShareHoldsInEveryWindow lets several gateways repeat sends whenever they
// may, restarts them now and then, and counts every window.
func TestShareHoldsInEveryWindow(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		cfg := GatewayBudgetConfig{Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 80).Draw(t, "slack"), Window: window}
		gateways := rapid.IntRange(1, 6).Draw(t, "gateways")
		var shares []*GatewayBudget
		for range gateways {
			shares = append(shares, NewGatewayBudget(cfg, 0))
		}
		var requests, repeats []time.Duration
		for now := time.Duration(0); now < 45*time.Second; now += 250 * time.Millisecond {
			i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			if rapid.IntRange(0, 40).Draw(t, "restart") == 40 {
				shares[i] = NewGatewayBudget(cfg, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				shares[i].RecordRequest("s", now)
				requests = append(requests, now)
			}
			for shares[i].TryWithdraw("s", gateways, now) {
				repeats = append(repeats, now)
			}
		}
		for _, from := range repeats {
			within := func(times []time.Duration, start time.Duration) int {
				n := 0
				for _, at := range times {
					if at >= start && at < from+window {
						n++
					}
				}
				return n
			}
			// A repeat follows requests of up to a window before it.
			got := within(repeats, from)
			allowed := cfg.Ratio*float64(within(requests, from-window)) + cfg.Slack
			if float64(got) > allowed {
				t.Fatalf("%d repeats within %v from %v, %.1f allowed", got, window, from, allowed)
			}
		}
	})
}

func TestShareGrantsSlackOnlyAWindowAfterItsStart(t *testing.T) {
	s := NewGatewayBudget(GatewayBudgetConfig{Slack: 10, Window: 10 * time.Second}, 5*time.Second)
	if s.TryWithdraw("s", 1, 14*time.Second) {
		t.Error("slack right after a start, which an earlier process may have used")
	}
	if !s.TryWithdraw("s", 1, 15*time.Second) {
		t.Error("no slack a window after the start")
	}
}
