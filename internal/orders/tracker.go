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

// Snapshot is a consistent copy of the replicated state, as the leader of one
// term reads it.
type Snapshot struct {
	Term      uint64
	Endpoints []*wire.Endpoint
	Residents []*wire.Resident
	// Orders are the open orders. Copies are resolved orders of which a copy may
	// still arrive.
	Orders    []*wire.Order
	Copies    []*wire.Order
	SendTerms []*wire.SendTerm
	// Members are the IDs of the control replicas. A replica that was removed
	// is considered stopped: whoever removes it must ensure that first.
	Members []uint64
}

// Effects lists the actions that the leader must take.
type Effects struct {
	Send    []*wire.Order
	Resolve []Resolution
	// Clear and DrainMissing are commands to commit. DrainMissing drains
	// residents that their engine no longer lists.
	Clear        []*wire.ClearCopies
	DrainMissing []*wire.SetResident
	// QueryReplicas lists former leaders that have not yet confirmed that they
	// have stopped sending.
	QueryReplicas []uint64
}

// Resolution is the outcome of an order with the evidence for it.
type Resolution struct {
	Command  *wire.ResolveOrder
	Order    *wire.Order
	Evidence string
}

// fenceToken identifies an order to one engine. Later orders have a higher term, or
// the same term and a higher sequence.
type fenceToken struct{ term, sequence uint64 }

func tokenOf(o *wire.Order) fenceToken { return fenceToken{o.FenceTerm, o.FenceSequence} }

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

// engine is the state of one engine as observed in this term.
type engine struct {
	incarnation string
	// inFlight is the token of the order that is being sent, or zero.
	inFlight fenceToken
	order    openOrder
	// copiesIdleSince holds, by resolved order, since when this leader is not
	// sending it.
	copiesIdleSince map[fenceToken]time.Duration
	// readySince holds, by state revision, since when this leader has seen the
	// resident as ready.
	readySince map[uint64]time.Duration
	// lastState is the result of the latest state read, or nil if that read
	// failed. lastReadStart is when the latest successful read began, and
	// respondingSince when the first read of the current run of successful
	// reads of one incarnation began.
	lastState       *endpoint.EngineState
	lastReadStart   time.Duration
	respondingSince time.Duration
}

// openOrder is the one order to an engine whose outcome is not yet proved.
type openOrder struct {
	token         fenceToken
	firstSeen     time.Duration
	nextSend      time.Duration
	retryInterval time.Duration
	rejections    int
	// executed is true once the engine has confirmed that it executed the order.
	executed bool
}

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

// updateIncarnation drops the state of an earlier incarnation.
func (t *Tracker) updateIncarnation(e *engine, vm *wire.Endpoint) {
	if e.incarnation == vm.Incarnation {
		return
	}
	e.incarnation = vm.Incarnation
	e.order = openOrder{}
	clear(e.copiesIdleSince)
	clear(e.readySince)
}

// updateCopies updates since when this leader is not sending each copy.
func (e *engine) updateCopies(now time.Duration, copies []*wire.Order) {
	known := e.copiesIdleSince
	e.copiesIdleSince = map[fenceToken]time.Duration{}
	for _, c := range copies {
		token := tokenOf(c)
		since, ok := known[token]
		if !ok || e.inFlight == token {
			since = now
		}
		e.copiesIdleSince[token] = since
	}
}

// updateReady updates since when this leader has seen each resident as ready.
func (e *engine) updateReady(now time.Duration, residents []*wire.Resident) {
	known := e.readySince
	e.readySince = map[uint64]time.Duration{}
	for _, r := range residents {
		if r.State != wire.ResidentState_RESIDENT_STATE_READY {
			continue
		}
		since, ok := known[r.StateRevision]
		if !ok {
			since = now
		}
		e.readySince[r.StateRevision] = since
	}
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

// hasCurrentState reports whether the latest read succeeded and returned the
// recorded incarnation.
func (e *engine) hasCurrentState(vm *wire.Endpoint) bool {
	return e.lastState != nil && e.lastState.Incarnation == vm.Incarnation
}

func (t *Tracker) advanceOrder(now time.Duration, e *engine, vm *wire.Endpoint, o *wire.Order, copies []*wire.Order, out *Effects) {
	if e.order.token != tokenOf(o) {
		e.order = openOrder{token: tokenOf(o), firstSeen: now, nextSend: now, retryInterval: t.cfg.RetryInterval}
	}
	if outcome, evidence := t.determineOutcome(now, e, vm, o, copies); outcome != wire.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED {
		out.Resolve = append(out.Resolve, Resolution{Order: o, Evidence: evidence, Command: &wire.ResolveOrder{
			Endpoint: o.Endpoint, FenceTerm: o.FenceTerm, FenceSequence: o.FenceSequence, Outcome: outcome,
		}})
		return
	}
	current := e.lastState == nil || e.lastState.Incarnation == o.Incarnation
	if e.inFlight == (fenceToken{}) && !e.order.executed && current && now >= e.order.nextSend {
		e.inFlight = tokenOf(o)
		out.Send = append(out.Send, o)
	}
}

// determineOutcome returns the outcome that the evidence proves, if any, and the
// evidence in words.
func (t *Tracker) determineOutcome(now time.Duration, e *engine, vm *wire.Endpoint, o *wire.Order, copies []*wire.Order) (wire.OrderOutcome, string) {
	const (
		none    = wire.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED
		done    = wire.OrderOutcome_ORDER_OUTCOME_DONE
		unknown = wire.OrderOutcome_ORDER_OUTCOME_UNKNOWN
	)
	fresh := e.hasCurrentState(vm) && e.lastReadStart > e.order.firstSeen
	isLoad := o.Kind == wire.OrderKind_ORDER_KIND_LOAD
	switch {
	case isLoad && fresh && listsResidentOf(e.lastState, o):
		return done, "the engine lists the resident"
	case !isLoad && fresh && !listsResidentOf(e.lastState, o) && e.earlierOrdersDead(vm, o, copies) && (e.order.executed || allMemoryListed(e.lastState)):
		return done, "the engine does not list the resident, and no earlier order can load it again"
	case e.order.rejections >= t.cfg.MaxRejections:
		return unknown, "the engine rejected the order too often"
	case now-e.order.firstSeen >= t.cfg.OrderTimeout:
		return unknown, "no outcome was proved before the order time-out"
	}
	return none, ""
}

// earlierOrdersDead reports whether no earlier order can take effect on the
// engine any more. An engine that checks fencing tokens must have seen the token
// of this order or a later one. For an engine that does not check them, all
// earlier copies for the same resident must be dead. The ledger admits no order
// before that, but the document may have declared otherwise whether the engine
// checks tokens when this order was issued.
func (e *engine) earlierOrdersDead(vm *wire.Endpoint, o *wire.Order, copies []*wire.Order) bool {
	if !vm.ChecksFencing {
		return !slices.ContainsFunc(copies, func(c *wire.Order) bool {
			return c.Model == o.Model && c.Version == o.Version && c.Adapter == o.Adapter
		})
	}
	s := e.lastState
	return s.FenceTerm > o.FenceTerm || (s.FenceTerm == o.FenceTerm && s.FenceSequence >= o.FenceSequence)
}

func listsResidentOf(s *endpoint.EngineState, o *wire.Order) bool {
	return listsResident(s, o.Model, o.Version, o.Adapter)
}

func listsResident(s *endpoint.EngineState, model, version, adapter string) bool {
	return slices.ContainsFunc(s.Residents, func(r endpoint.ResidentState) bool {
		return r.Model == model && r.Version == version && r.Adapter == adapter
	})
}

// allMemoryListed reports whether the listed residents account for all memory
// that the engine uses, so that no unlisted load is in flight.
func allMemoryListed(s *endpoint.EngineState) bool {
	var sum uint64
	for _, r := range s.Residents {
		sum += r.MemoryBytes
	}
	return s.UsedBytes <= sum
}

// drainMissing drains ready residents that the engine does not list. Their
// memory stays charged until an unload is proved.
func (e *engine) drainMissing(vm *wire.Endpoint, residents []*wire.Resident, out *Effects) {
	if !e.hasCurrentState(vm) {
		return
	}
	for _, r := range residents {
		since, ok := e.readySince[r.StateRevision]
		if !ok || r.State != wire.ResidentState_RESIDENT_STATE_READY || e.lastReadStart <= since {
			continue
		}
		if !listsResident(e.lastState, r.Model, r.Version, r.Adapter) {
			out.DrainMissing = append(out.DrainMissing, &wire.SetResident{
				Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter,
				State: wire.ResidentState_RESIDENT_STATE_DRAINING, ExpectedStateRevision: r.StateRevision,
			})
		}
	}
}
