package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/document"
	"parsleyramp/internal/quota"
	"parsleyramp/internal/wait"
)

const (
	// quotaRetryDelay is the pause before requests that wait are asked for again, after a
	// failed call or while the leader learns what was spent.
	quotaRetryDelay = 30 * time.Millisecond
	// unsupportedTTL is how long a leader that serves no quotas is taken to serve none.
	unsupportedTTL = time.Second
)

// quotaOutcome is what has become of tokens, in the order of quotaOutcomeNames.
type quotaOutcome int

const (
	quotaGranted quotaOutcome = iota
	quotaReserve
	quotaAlone
	quotaRefused
	quotaUnavailable
	quotaReturned
	quotaOutcomes
)

var quotaOutcomeNames = [quotaOutcomes]string{"granted", "reserve", "alone", "refused", "unavailable", "returned"}

// quotas charges requests to the quotas of their workspaces. One call to the leader is in
// flight at a time; requests that come meanwhile share the next.
type quotas struct {
	mu     sync.Mutex
	wallet *quota.Wallet
	// now is a clock that counts suspension: a process that was suspended spends no reserve
	// that has expired.
	now     func() time.Duration
	waiting []*quotaWaiter
	calling bool
	// freeUntil is how long requests are not charged, because the leader serves no quotas.
	freeUntil time.Duration
	counts    map[string]*[quotaOutcomes]float64
}

// quotaWaiter is a request that waits for tokens.
type quotaWaiter struct {
	workspace string
	cost      float64
	// verdict receives one verdict; it is nil once the request has withdrawn. quotas.mu guards
	// the field.
	verdict chan quotaVerdict
}

func (s *quotas) init(gateway, incarnation string, now func() time.Duration) {
	s.now, s.wallet = now, quota.NewWallet(gateway, incarnation, now())
	s.counts = map[string]*[quotaOutcomes]float64{}
}

// take charges the cost to what this gateway may spend without a call, if that suffices.
func (s *quotas) take(workspace string, limit quota.Limit, cost float64) (quota.Receipt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now < s.freeUntil {
		return quota.Receipt{}, true
	}
	receipt, ok := s.wallet.TakeReserve(workspace, cost, now)
	if ok {
		s.countLocked(workspace, quotaReserve, cost)
		return receipt, true
	}
	receipt, ok = s.wallet.TakeAlone(workspace, limit, cost, now)
	if ok {
		s.countLocked(workspace, quotaAlone, cost)
	}
	return receipt, ok
}

// enqueue makes the request wait for the next call.
func (s *quotas) enqueue(g *Gateway, workspace string, cost float64) *quotaWaiter {
	w := &quotaWaiter{workspace: workspace, cost: cost, verdict: make(chan quotaVerdict, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, w)
	s.startCalls(g)
	return w
}

// startCalls makes calls until there is nothing more to ask or to tell. s.mu must be held.
func (s *quotas) startCalls(g *Gateway) {
	if !s.calling {
		s.calling = true
		go s.callLoop(g)
	}
}

// withdraw ends the wait of a request, or returns its verdict if there is one.
func (s *quotas) withdraw(w *quotaWaiter) (quotaVerdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(x *quotaWaiter) bool { return x == w })
	select {
	case v := <-w.verdict:
		return v, true
	default:
		// A nil channel tells a call in flight that nobody waits; its grant is returned.
		w.verdict = nil
		return quotaVerdict{}, false
	}
}

// giveBack returns the tokens of a request that no endpoint has run.
func (s *quotas) giveBack(r quota.Receipt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Return(r, s.now())
	s.countLocked(r.Workspace, quotaReturned, r.Amount)
}

func (s *quotas) answeredAgo() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wallet.AnsweredAgo(s.now())
}

// confirm records that the leader has answered an exchange, and makes a call if there is
// something to tell it.
func (s *quotas) confirm(g *Gateway, leadership uint64, gateways int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.wallet.Answered(leadership, gateways, now)
	t := g.table.Load()
	if t != nil && declaresQuotas(t.Document) && s.wallet.NeedsCall(now) && now >= s.freeUntil {
		s.startCalls(g)
	}
}

// contact returns the largest number of gateways known lately and how long ago the leader has
// answered.
func (s *quotas) contact() (gateways, answeredAgoMS uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return uint32(s.wallet.Gateways()), quota.Milliseconds(s.wallet.AnsweredAgo(s.now()))
}

func declaresQuotas(d *document.Document) bool {
	return slices.ContainsFunc(d.Workspaces, func(w document.Workspace) bool { return w.Quota.Limited() })
}

// callLoop calls the leader as long as requests wait.
func (s *quotas) callLoop(g *Gateway) {
	for {
		batch := s.takeWaiting()
		again := s.call(g, batch)
		s.mu.Lock()
		s.waiting = append(slices.DeleteFunc(again, func(w *quotaWaiter) bool { return w.verdict == nil }), s.waiting...)
		if len(s.waiting) == 0 {
			s.calling = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if len(again) > 0 {
			wait.For(context.Background(), quotaRetryDelay)
		}
	}
}

func (s *quotas) takeWaiting() []*quotaWaiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.waiting
	s.waiting = nil
	return batch
}

// demandsOf sums up the waiting requests by workspace, in their order.
func demandsOf(batch []*quotaWaiter) []quota.Demand {
	var out []quota.Demand
	for _, w := range batch {
		i := slices.IndexFunc(out, func(d quota.Demand) bool { return d.Workspace == w.workspace })
		if i < 0 {
			i = len(out)
			out = append(out, quota.Demand{Workspace: w.workspace})
		}
		out[i].Costs = append(out[i].Costs, w.cost)
	}
	return out
}

// call asks the leader for the requests, and returns those that must be asked for again.
func (s *quotas) call(g *Gateway, batch []*quotaWaiter) []*quotaWaiter {
	ctx, cancel := context.WithTimeout(context.Background(), quota.CallTimeout)
	defer cancel()
	demands := demandsOf(batch)
	var c *quota.Call
	var answer *quota.Answer
	unsupported := false
	err := g.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		// Each attempt is a call of its own: an earlier one may have been booked.
		c = s.begin(demands)
		r, err := conn.Fleet.Quota(ctx, connect.NewRequest(c.Request()))
		switch {
		case connect.CodeOf(err) == connect.CodeUnimplemented:
			unsupported = true
			return nil
		case err != nil:
			return err
		}
		answer = quota.AnswerOf(r.Msg)
		return nil
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch {
	case unsupported:
		s.wallet.Fail(c)
		s.freeUntil = now + unsupportedTTL
		g.log.Warn("the control leader serves no quotas: requests are not charged")
		return s.deliverFree(batch)
	case err != nil:
		if c != nil {
			s.wallet.Fail(c)
		}
		g.log.WithError(err).WithField("requests", len(batch)).Debug("asking for tokens of quotas failed")
		return batch
	case !s.wallet.Finish(c, answer, now):
		return batch
	}
	return s.deliver(c, answer, batch, now)
}

func (s *quotas) begin(demands []quota.Demand) *quota.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wallet.Begin(demands, s.now())
}

func (s *quotas) deliverFree(batch []*quotaWaiter) []*quotaWaiter {
	for _, w := range batch {
		if w.verdict != nil {
			w.verdict <- quotaVerdict{free: true}
		}
	}
	return nil
}

// deliver gives each request its verdict, and returns those that the leader cannot decide yet.
// s.mu must be held.
func (s *quotas) deliver(c *quota.Call, answer *quota.Answer, batch []*quotaWaiter, now time.Duration) []*quotaWaiter {
	var again []*quotaWaiter
	next := map[string]int{}
	for _, w := range batch {
		i := slices.IndexFunc(answer.Grants, func(x quota.Grant) bool { return x.Workspace == w.workspace })
		n := next[w.workspace]
		next[w.workspace]++
		switch {
		case i < 0 || n >= len(answer.Grants[i].RetryAfter):
			// The leader has an older document than this gateway, without the quota.
			again = append(again, w)
		case answer.Grants[i].RetryAfter[n] == 0:
			s.grant(c, w, now)
		case answer.Grants[i].Learning:
			again = append(again, w)
		case w.verdict != nil:
			s.countLocked(w.workspace, quotaRefused, w.cost)
			w.verdict <- quotaVerdict{refused: true, retryAfter: answer.Grants[i].RetryAfter[n], level: answer.Grants[i].Level}
		}
	}
	return again
}

// grant gives the request its tokens, or returns them if it does not wait any more.
func (s *quotas) grant(c *quota.Call, w *quotaWaiter, now time.Duration) {
	receipt := s.wallet.Granted(c, w.workspace, w.cost, now)
	s.countLocked(w.workspace, quotaGranted, w.cost)
	if w.verdict == nil {
		s.wallet.Return(receipt, now)
		s.countLocked(w.workspace, quotaReturned, w.cost)
		return
	}
	w.verdict <- quotaVerdict{receipt: receipt}
}

func (s *quotas) count(workspace string, o quotaOutcome, amount float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countLocked(workspace, o, amount)
}

func (s *quotas) countLocked(workspace string, o quotaOutcome, amount float64) {
	c := s.counts[workspace]
	if c == nil {
		c = &[quotaOutcomes]float64{}
		s.counts[workspace] = c
	}
	c[o] += amount
}

// retain drops what is known of workspaces without a quota.
func (s *quotas) retain(t *document.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.counts) == 0 {
		return
	}
	limited := func(name string) bool {
		w := t.Workspace(name)
		return w != nil && w.Quota.Limited()
	}
	s.wallet.Retain(limited)
	for name := range s.counts {
		if !limited(name) {
			delete(s.counts, name)
		}
	}
}

// collect adds the tokens by workspace and what has become of them.
func (s *quotas) collect(set *metrics.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.counts {
		for o, n := range c {
			labels := metricLabel("workspace", name) + `,outcome="` + quotaOutcomeNames[o] + `"`
			set.GetOrCreateFloatCounter("parsleyramp_gateway_quota_tokens_total{" + labels + "}").Set(n)
		}
		held := s.wallet.Held(name, s.now())
		set.NewGauge("parsleyramp_gateway_quota_reserve{"+metricLabel("workspace", name)+"}", func() float64 { return held })
	}
}
