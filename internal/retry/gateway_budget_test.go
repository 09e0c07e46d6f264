package retry

import (
	"math/rand/v2"
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
			for _, b := range budgets {
				b.SetGateways(gateways, now)
			}
			for budgets[i].TryWithdraw("s", now) {
				budgets[i].Sent("s", now)
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
	b.SetGateways(1, 6*time.Second)
	b.SetGateways(1, 14*time.Second)
	if b.TryWithdraw("s", 14*time.Second) {
		t.Error("slack was granted less than one window after the start; an earlier process may have used it")
	}
	if !b.TryWithdraw("s", 15*time.Second) {
		t.Error("no slack was granted one window after the start")
	}
}

// TestRetriesThatWaitBeforeTheyAreSentStayWithinTheBudget lets retries wait for an endpoint,
// so that those of one window could arrive together with those of the next.
func TestRetriesThatWaitBeforeTheyAreSentStayWithinTheBudget(t *testing.T) {
	const window, step = 10 * time.Second, 250 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		cfg := GatewayBudgetConfig{Ratio: 0.2, Slack: 54, Window: window}
		b := NewGatewayBudget(cfg, -window)
		var requests, arrivals []time.Duration
		waiting := map[time.Duration]int{}
		for now := time.Duration(0); now < 60*time.Second; now += step {
			for range waiting[now] {
				if rapid.IntRange(0, 20).Draw(t, "given up") == 0 {
					b.Refund("s", now)
					continue
				}
				b.Sent("s", now)
				arrivals = append(arrivals, now)
			}
			for range 20 {
				b.RecordRequest("s", now)
				requests = append(requests, now)
			}
			wait := step * time.Duration(rapid.IntRange(1, 48).Draw(t, "wait"))
			b.SetGateways(1, now)
			for b.TryWithdraw("s", now) {
				waiting[now+wait]++
			}
		}
		for _, from := range arrivals {
			allowed := cfg.Ratio*float64(max(countFrom(requests, from, window), countFrom(requests, from-window, window))) + cfg.Slack
			if got := countFrom(arrivals, from, window); float64(got) > allowed {
				t.Fatalf("%d retries arrive within %v from %v, %.1f allowed", got, window, from, allowed)
			}
		}
	})
}

// countFrom returns how many of the times are in the window that starts at from.
func countFrom(times []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// TestGatewaysThatKnowDifferentNumbersShareOneSlack lets the control plane lose gateways from
// sight: a new leader names only those that have reported to it, gateways are cut off from
// it, and gateways stop.
func TestGatewaysThatKnowDifferentNumbersShareOneSlack(t *testing.T) {
	const window, step, dropTime = 10 * time.Second, 250 * time.Millisecond, 2500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 9
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		cfg := GatewayBudgetConfig{Slack: 90, Window: window}
		var budgets [gateways]*GatewayBudget
		// reportedAt is when each gateway last reached the control plane, and awayUntil
		// until when it does not.
		var reportedAt, awayUntil [gateways]time.Duration
		for i := range budgets {
			budgets[i] = NewGatewayBudget(cfg, 0)
		}
		var retries []time.Duration
		for now := step; now < 60*time.Second; now += step {
			if r.IntN(41) == 0 {
				clear(reportedAt[:])
			}
			known := 0
			for i := range budgets {
				if r.IntN(61) == 0 {
					awayUntil[i] = now + time.Duration(r.IntN(21))*time.Second
				}
				if r.IntN(4) > 0 && now >= awayUntil[i] {
					reportedAt[i] = now
				}
				if reportedAt[i] > 0 && now-reportedAt[i] <= dropTime {
					known++
				}
			}
			for i, b := range budgets {
				if reportedAt[i] == now {
					b.SetGateways(known, now)
				}
				for r.IntN(3) > 0 && b.TryWithdraw("s", now) {
					b.Sent("s", now)
					retries = append(retries, now)
				}
			}
		}
		for _, from := range retries {
			if got := countFrom(retries, from, window); float64(got) > cfg.Slack {
				t.Fatalf("%d retries within %v from %v, %.0f allowed", got, window, from, cfg.Slack)
			}
		}
	})
}
