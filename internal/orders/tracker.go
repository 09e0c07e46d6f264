package orders

import (
	"math"
	"slices"
	"time"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/wire"
)

// Config holds the time-outs and retry limits of orders.
type Config struct {
	// CopyLifetime is the longest time that a copy whose connection is closed
	// can stay in the network or in a responsive engine before it is executed or
	// dropped.
	CopyLifetime time.Duration
	// RetryInterval is the time between two sends; it doubles up to
	// MaxRetryInterval.
	RetryInterval    time.Duration
	MaxRetryInterval time.Duration
	// OrderTimeout is how long an order may stay open, counted from when this
	// leader first saw it.
	OrderTimeout time.Duration
	// MaxRejections is the number of rejections after which an order is
	// abandoned.
	MaxRejections int
}

// DefaultConfig returns the limits for engines on one network.
func DefaultConfig() Config {
	return Config{
		CopyLifetime:     30 * time.Second,
		RetryInterval:    500 * time.Millisecond,
		MaxRetryInterval: 10 * time.Second,
		OrderTimeout:     2 * time.Minute,
		MaxRejections:    3,
	}
}

// Tracker tracks the orders that the leader sends and the state of the
// engines. It starts empty in every term. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	term    uint64
	engines map[string]*engine
	// stoppedAt holds, by replica, when the replica confirmed that it sends
	// nothing of an earlier term.
	stoppedAt map[uint64]time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// enterTerm drops all state if the term is a new one.
func (t *Tracker) enterTerm(term uint64) {
	if t.term == term && t.engines != nil {
		return
	}
	t.term = term
	t.engines = map[string]*engine{}
	t.stoppedAt = map[uint64]time.Duration{}
}

func (t *Tracker) engine(id string) *engine {
	e := t.engines[id]
	if e == nil {
		e = &engine{copiesIdleSince: map[fenceToken]time.Duration{}, readySince: map[uint64]time.Duration{}}
		t.engines[id] = e
	}
	return e
}

// RecordResult records the end of a send: the engine's result, or nil if the
// connection ended without one. Results of another term are ignored.
func (t *Tracker) RecordResult(now time.Duration, term uint64, o *wire.Order, result *endpoint.OrderResult) {
	if term != t.term {
		return
	}
	e := t.engine(o.Endpoint)
	e.inFlight = fenceToken{}
	if _, ok := e.copiesIdleSince[tokenOf(o)]; ok {
		e.copiesIdleSince[tokenOf(o)] = now
	}
	if e.order.token != tokenOf(o) {
		return
	}
	e.order.nextSend = now + e.order.retryInterval
	e.order.retryInterval = min(2*e.order.retryInterval, t.cfg.MaxRetryInterval)
	switch {
	case result == nil:
	case result.Done:
		e.order.executed = true
	default:
		e.order.rejections++
	}
}

// RecordState records the engine's state from a read that began at readStart,
// or nil if the read failed. States of another term are ignored.
func (t *Tracker) RecordState(term uint64, id string, readStart time.Duration, s *endpoint.EngineState) {
	if term != t.term {
		return
	}
	e := t.engine(id)
	if s == nil {
		e.lastState = nil
		return
	}
	if e.lastState == nil || e.lastState.Incarnation != s.Incarnation {
		e.respondingSince = readStart
	}
	e.lastState, e.lastReadStart = s, readStart
}

// RecordStopped records that a replica has confirmed that it sends nothing of a
// term before this one, and never will again.
func (t *Tracker) RecordStopped(now time.Duration, term, replica uint64) {
	if _, known := t.stoppedAt[replica]; term == t.term && !known {
		t.stoppedAt[replica] = now
	}
}

// Step returns the actions that follow from the snapshot and from the recorded
// results and states.
func (t *Tracker) Step(now time.Duration, snap Snapshot) Effects {
	t.enterTerm(snap.Term)
	var out Effects
	stoppedSince, stopped := t.formerLeadersStopped(now, snap, &out)
	open := byEndpoint(snap.Orders)
	copies := byEndpoint(snap.Copies)
	residents := map[string][]*wire.Resident{}
	for _, r := range snap.Residents {
		residents[r.Endpoint] = append(residents[r.Endpoint], r)
	}
	for _, vm := range snap.Endpoints {
		if vm.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		e := t.engine(vm.Id)
		t.updateIncarnation(e, vm)
		e.updateCopies(now, copies[vm.Id])
		e.updateReady(now, residents[vm.Id])
		if stopped {
			t.clearCopies(e, vm, stoppedSince, snap.Term, &out)
		}
		if orders := open[vm.Id]; len(orders) > 0 {
			t.advanceOrder(now, e, vm, orders[0], copies[vm.Id], &out)
		} else {
			e.order = openOrder{}
		}
		e.drainMissing(vm, residents[vm.Id], &out)
	}
	return out
}

func byEndpoint(orders []*wire.Order) map[string][]*wire.Order {
	out := map[string][]*wire.Order{}
	for _, o := range orders {
		out[o.Endpoint] = append(out[o.Endpoint], o)
	}
	return out
}

// formerLeadersStopped reports whether all former leaders have stopped sending,
// and since when. It adds those that have not confirmed this to QueryReplicas.
func (t *Tracker) formerLeadersStopped(now time.Duration, snap Snapshot, out *Effects) (time.Duration, bool) {
	var since time.Duration
	stopped := true
	for _, s := range snap.SendTerms {
		if s.Term >= snap.Term {
			continue
		}
		if _, known := t.stoppedAt[s.Replica]; !known && !slices.Contains(snap.Members, s.Replica) {
			t.stoppedAt[s.Replica] = now
		}
		at, known := t.stoppedAt[s.Replica]
		if !known {
			stopped = false
			if !slices.Contains(out.QueryReplicas, s.Replica) {
				out.QueryReplicas = append(out.QueryReplicas, s.Replica)
			}
		}
		since = max(since, at)
	}
	return since, stopped
}

// clearCopies considers a copy dead if, for CopyLifetime, neither this leader
// nor a former one has sent it and every state read has succeeded.
func (t *Tracker) clearCopies(e *engine, vm *wire.Endpoint, stoppedSince time.Duration, term uint64, out *Effects) {
	if len(e.copiesIdleSince) == 0 || !e.hasCurrentState(vm) {
		return
	}
	// ClearCopies covers all sequences up to one, so it must stay below the lowest
	// sequence that may still arrive.
	oldestAlive := uint64(math.MaxUint64)
	dead := func(since time.Duration) bool {
		return e.lastReadStart-max(since, stoppedSince, e.respondingSince) >= t.cfg.CopyLifetime
	}
	for token, since := range e.copiesIdleSince {
		if !dead(since) {
			oldestAlive = min(oldestAlive, token.sequence)
		}
	}
	through := uint64(0)
	for token := range e.copiesIdleSince {
		if token.sequence < oldestAlive {
			through = max(through, token.sequence)
		}
	}
	if through > 0 {
		out.Clear = append(out.Clear, &wire.ClearCopies{Endpoint: vm.Id, Incarnation: vm.Incarnation, ThroughSequence: through, Term: term})
	}
}
