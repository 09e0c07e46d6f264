package gateway

import (
	"fmt"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/quota"
)

const (
	// quotaWaitRatio is the part of its time left that a request waits for tokens at most, and
	// maxQuotaWait the bound of it: by then the gateway spends its part of the rate. A client
	// that is refused instead comes back no earlier.
	quotaWaitRatio = 0.3
	maxQuotaWait   = quota.AloneAfter
	// noQuotaRetryAfter is the Retry-After of a request that found no leader and no tokens: by
	// then the gateway spends its part of the rate.
	noQuotaRetryAfter = quota.AloneAfter
)

// quotaVerdict is the answer to a request that waits for tokens.
type quotaVerdict struct {
	receipt quota.Receipt
	// refused is set if the leader refuses it, until retryAfter has passed.
	refused    bool
	retryAfter time.Duration
	level      float64
	// free is set if the leader serves no quotas.
	free bool
}

// chargeQuota charges the request to the quota of its workspace, if that has one, or returns
// why it may not run.
func (q *request) chargeQuota() error {
	if q.hop != nil || q.workspace == nil || !q.workspace.Quota.Limited() {
		return nil
	}
	declared := q.workspace.Quota
	limit := quota.Limit{Rate: declared.PerSecond, Burst: declared.Burst}
	cost := declared.Cost(q.info.PromptTokens, q.info.MaxOutputTokens)
	if cost <= 0 {
		return nil
	}
	s := &q.g.quotas
	if receipt, ok := s.take(q.workspace.Name, limit, cost); ok {
		q.tokens = receipt
		return nil
	}
	started := q.g.clock()
	w := s.enqueue(q.g, q.workspace.Name, cost)
	timer := time.NewTimer(q.quotaWait())
	defer timer.Stop()
	select {
	case v := <-w.verdict:
		return q.applyVerdict(v, limit, cost, started)
	case <-timer.C:
	case <-q.ctx.Done():
	}
	if v, ok := s.withdraw(w); ok {
		return q.applyVerdict(v, limit, cost, started)
	}
	if receipt, ok := s.take(q.workspace.Name, limit, cost); ok {
		q.tokens = receipt
		return nil
	}
	s.count(q.workspace.Name, quotaUnavailable, cost)
	return fail.New(fail.Unavailable, fmt.Sprintf("the control plane cannot be asked for the quota of workspace %s (rate %g, burst %g, cost %g, last answer %d ms ago)",
		q.workspace.Name, limit.Rate, limit.Burst, cost, s.answeredAgo().Milliseconds())).WithRetryAfter(noQuotaRetryAfter)
}

// quotaWait returns how long the request may wait for tokens.
func (q *request) quotaWait() time.Duration {
	return min(time.Duration(float64(q.timeLeft())*quotaWaitRatio), maxQuotaWait)
}

// applyVerdict stores the receipt of a request that is granted, or returns the error of one that
// is refused.
func (q *request) applyVerdict(v quotaVerdict, limit quota.Limit, cost float64, started time.Duration) error {
	if !v.refused {
		q.tokens = v.receipt
		return nil
	}
	// A negative time means that a retry does not help.
	return fail.New(fail.QuotaExceeded, fmt.Sprintf("the quota of workspace %s is used up (rate %g, burst %g, level %.1f, cost %g, answered in %d ms)",
		q.workspace.Name, limit.Rate, limit.Burst, v.level, cost, (q.g.clock()-started).Milliseconds())).WithRetryAfter(max(v.retryAfter, 0))
}

// returnQuota returns the tokens of the request if no endpoint has run it.
func (q *request) returnQuota() {
	if q.tokens.Source != "" && !q.mayHaveRun {
		q.g.quotas.giveBack(q.tokens)
	}
}
