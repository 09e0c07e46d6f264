// Package retry bounds how much work retries add. It does no I/O; time is
// passed in.
package retry

import "time"

// Costs of one retry, in tokens.
const (
	// CostMayHaveRun is the cost of a retry after an attempt that may have run.
	CostMayHaveRun = 1.0
	// CostNotRun is the cost of a retry after an attempt that did not run,
	// which takes nothing from an endpoint.
	CostNotRun = 0.1
)

const (
	// requestShare is what each request adds to its team's tokens.
	tokensPerRequest = 0.2
	// refillPerSecond lets a quiet team retry too.
	tokensPerSecond = 1.0
	// maxTokens bounds a burst of retries.
	maxTokens = 50.0
	// maxTeams bounds the teams that are remembered.
	maxTeams = 4096
)

// Budget is a token bucket for each team: retries stay a share of its recent
// requests. It is not safe for concurrent use.
type Budget struct {
	teams map[string]*bucket
}

type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewBudget returns a budget with full buckets.
func NewBudget() *Budget { return &Budget{teams: map[string]*bucket{}} }

func (b *Budget) bucketOf(now time.Duration, team string) *bucket {
	k := b.teams[team]
	if k == nil {
		if len(b.teams) >= maxTeams {
			b.dropFull(now)
		}
		k = &bucket{tokens: maxTokens, refilledAt: now}
		b.teams[team] = k
	}
	k.tokens = min(maxTokens, k.tokens+max(0, now-k.refilledAt).Seconds()*tokensPerSecond)
	k.refilledAt = now
	return k
}

// forgetFull drops the teams whose buckets are full by now; a new bucket is
// the same.
func (b *Budget) dropFull(now time.Duration) {
	for team, k := range b.teams {
		if k.tokens+(now-k.refilledAt).Seconds()*tokensPerSecond >= maxTokens {
			delete(b.teams, team)
		}
	}
}

// RecordRequest notes a request of the team.
func (b *Budget) RecordRequest(now time.Duration, team string) {
	k := b.bucketOf(now, team)
	k.tokens = min(maxTokens, k.tokens+tokensPerRequest)
}

// TryWithdraw pays for a retry and reports whether the team can.
func (b *Budget) TryWithdraw(now time.Duration, team string, cost float64) bool {
	k := b.bucketOf(now, team)
	if k.tokens < cost {
		return false
	}
	k.tokens -= cost
	return true
}
