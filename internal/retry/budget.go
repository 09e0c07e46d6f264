// Package retry bounds the load that retries add. It does no I/O; time is
// passed in.
package retry

import "time"

// Costs of one retry, in tokens.
const (
	// CostMayHaveRun is the cost of a retry after an attempt that may have run.
	CostMayHaveRun = 1.0
	// CostNotRun is the cost of a retry after an attempt that did not run and
	// so used no capacity of an endpoint.
	CostNotRun = 0.1
)

const (
	// tokensPerRequest is what each request adds to the bucket of its team.
	tokensPerRequest = 0.2
	// tokensPerSecond lets a team with few requests retry too.
	tokensPerSecond = 1.0
	// maxTokens bounds a burst of retries.
	maxTokens = 50.0
	// maxTeams is the number of buckets at which full ones are dropped before a
	// new one is added.
	maxTeams = 4096
)

// Budget holds a token bucket for each team, which limits its retries to a share
// of its recent requests. It is not safe for concurrent use.
type Budget struct {
	teams map[string]*bucket
}

type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewBudget returns a budget in which the bucket of every team is full.
func NewBudget() *Budget { return &Budget{teams: map[string]*bucket{}} }

// bucketOf returns the refilled bucket of the team.
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

// dropFull drops the buckets that are full by now. They can be recreated, since
// a new bucket is full too.
func (b *Budget) dropFull(now time.Duration) {
	for team, k := range b.teams {
		if k.tokens+(now-k.refilledAt).Seconds()*tokensPerSecond >= maxTokens {
			delete(b.teams, team)
		}
	}
}

// RecordRequest records a request of the team.
func (b *Budget) RecordRequest(now time.Duration, team string) {
	k := b.bucketOf(now, team)
	k.tokens = min(maxTokens, k.tokens+tokensPerRequest)
}

// TryWithdraw withdraws the cost of a retry. It returns false, and withdraws
// nothing, if the bucket of the team holds less.
func (b *Budget) TryWithdraw(now time.Duration, team string, cost float64) bool {
	k := b.bucketOf(now, team)
	if k.tokens < cost {
		return false
	}
	k.tokens -= cost
	return true
}
