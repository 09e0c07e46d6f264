package orders

import (
	"math"
	"slices"
	"time"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/wire"
)

// Config bounds the life of an order.
type Config struct {
	// CopyLifetime is how long a copy whose connection is closed can wait in a
	// network or in an engine that answers, before it is carried out or dropped.
	CopyLifetime time.Duration
	// RetryInterval is the time between two sendings; it doubles up to MaxRetry.
	RetryInterval    time.Duration
	MaxRetryInterval time.Duration
	// GiveUp is how long an order may stay open, counted from when this leader
	// first saw it.
	OrderTimeout time.Duration
	// MaxRefusals is how many refusals make an order given up.
	MaxRejections int
}

// DefaultConfig returns the bounds for engines on one network.
func DefaultConfig() Config {
	return Config{
		CopyLifetime:     30 * time.Second,
		RetryInterval:    500 * time.Millisecond,
		MaxRetryInterval: 10 * time.Second,
		OrderTimeout:     2 * time.Minute,
		MaxRejections:    3,
	}
}

// Snapshot is a consistent copy of the replicated state as one term's leader
// reads it.
type Snapshot struct {
	Term      uint64
	Endpoints []*wire.Endpoint
	Residents []*wire.Resident
	// Orders are open, Copies are resolved but may still arrive.
	Orders    []*wire.Order
	Copies    []*wire.Order
	SendTerms []*wire.SendTerm
	// Members are the ids of the control replicas. A replica that was removed
	// counts as stopped: whoever removes it has made sure of that.
	Members []uint64
}

// Effects is what the leader has to do.
type Effects struct {
	Send    []*wire.Order
	Resolve []Resolution
	// Clear and Lose are commands to commit.
	Clear        []*wire.ClearCopies
	DrainMissing []*wire.SetResident
	// QueryReplicas lists former leaders that have not said yet that they send nothing.
	QueryReplicas []uint64
}

// Resolution is an outcome with the evidence for it.
type Resolution struct {
	Command  *wire.ResolveOrder
	Order    *wire.Order
	Evidence string
}

// number is a fencing number.
type fencingToken struct{ term, sequence uint64 }

func tokenOf(o *wire.Order) fencingToken { return fencingToken{o.FenceTerm, o.FenceSequence} }

// Tracker is the leader's memory of the orders that it sends. It starts empty
// in every term. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	term    uint64
	engines map[string]*engine
	// quiet holds when a replica said that it sends nothing of an earlier term.
	stoppedAt map[uint64]time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// engine is what is known of one engine in this term.
type engine struct {
	incarnation string
	// sending is the order that is being sent; zero where none is.
	inFlight fencingToken
	order    openOrder
	// copies holds since when a resolved order is not being sent by this leader.
	copiesIdleSince map[fencingToken]time.Duration
	// ready holds since when this leader knows a resident to be ready.
	readySince map[uint64]time.Duration
	// last is the newest state that was read; since is when the first read of
	// the unbroken row of answered reads began.
	lastState       *endpoint.EngineState
	lastReadStart   time.Duration
	respondingSince time.Duration
}

// openOrder is the one order to an engine whose outcome is not proved.
type openOrder struct {
	token         fencingToken
	firstSeen     time.Duration
	nextSend      time.Duration
	retryInterval time.Duration
	rejections    int
	// done is true once the engine said that it carried the order out.
	executed bool
}

// enterTerm forgets everything where the term is a new one.
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
		e = &engine{copiesIdleSince: map[fencingToken]time.Duration{}, readySince: map[uint64]time.Duration{}}
		t.engines[id] = e
	}
	return e
}

// RecordResult takes the end of a sending: the engine's result, or nil where the
// connection ended without one. Reports of an earlier term are ignored.
func (t *Tracker) RecordResult(now time.Duration, term uint64, o *wire.Order, result *endpoint.OrderResult) {
	if term != t.term {
		return
	}
	e := t.engine(o.Endpoint)
	e.inFlight = fencingToken{}
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

// RecordState takes the engine's state, read from began on, or nil where it did
// not answer.
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

// RecordStopped takes a replica's word that it sends nothing of a term before this
// one, and will not do so again.
func (t *Tracker) RecordStopped(now time.Duration, term, replica uint64) {
	if _, known := t.stoppedAt[replica]; term == t.term && !known {
		t.stoppedAt[replica] = now
	}
}

// Step returns what follows from the picture and from what was reported.
func (t *Tracker) Step(now time.Duration, p Snapshot) Effects {
	t.enterTerm(p.Term)
	var out Effects
	stoppedSince, stopped := t.formerLeadersStopped(now, p, &out)
	open := byEndpoint(p.Orders)
	copies := byEndpoint(p.Copies)
	residents := map[string][]*wire.Resident{}
	for _, r := range p.Residents {
		residents[r.Endpoint] = append(residents[r.Endpoint], r)
	}
	for _, vm := range p.Endpoints {
		if vm.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		e := t.engine(vm.Id)
		t.updateIncarnation(e, vm)
		e.updateCopies(now, copies[vm.Id])
		e.updateReady(now, residents[vm.Id])
		if stopped {
			t.clearCopies(e, vm, stoppedSince, p.Term, &out)
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

// formerQuiet returns since when no former leader sends anything.
func (t *Tracker) formerLeadersStopped(now time.Duration, p Snapshot, out *Effects) (time.Duration, bool) {
	var since time.Duration
	stopped := true
	for _, s := range p.SendTerms {
		if s.Term >= p.Term {
			continue
		}
		if _, known := t.stoppedAt[s.Replica]; !known && !slices.Contains(p.Members, s.Replica) {
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

// followIncarnation forgets what was known of an earlier incarnation.
func (t *Tracker) updateIncarnation(e *engine, vm *wire.Endpoint) {
	if e.incarnation == vm.Incarnation {
		return
	}
	e.incarnation = vm.Incarnation
	e.order = openOrder{}
	clear(e.copiesIdleSince)
	clear(e.readySince)
}

// followCopies notes since when each copy is not being sent here.
func (e *engine) updateCopies(now time.Duration, copies []*wire.Order) {
	known := e.copiesIdleSince
	e.copiesIdleSince = map[fencingToken]time.Duration{}
	for _, c := range copies {
		n := tokenOf(c)
		since, ok := known[n]
		if !ok || e.inFlight == n {
			since = now
		}
		e.copiesIdleSince[n] = since
	}
}

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

// clear declares the copies dead that neither this leader nor a former one
// has sent since an unbroken row of answered reads, CopyLifetime long, began.
func (t *Tracker) clearCopies(e *engine, vm *wire.Endpoint, stoppedSince time.Duration, term uint64, out *Effects) {
	if len(e.copiesIdleSince) == 0 || !e.hasCurrentState(vm) {
		return
	}
	// A copy that may still arrive holds back those with a higher sequence.
	oldestAlive := uint64(math.MaxUint64)
	dead := func(since time.Duration) bool {
		return e.lastReadStart-max(since, stoppedSince, e.respondingSince) >= t.cfg.CopyLifetime
	}
	for n, since := range e.copiesIdleSince {
		if !dead(since) {
			oldestAlive = min(oldestAlive, n.sequence)
		}
	}
	through := uint64(0)
	for n := range e.copiesIdleSince {
		if n.sequence < oldestAlive {
			through = max(through, n.sequence)
		}
	}
	if through > 0 {
		out.Clear = append(out.Clear, &wire.ClearCopies{Endpoint: vm.Id, Incarnation: vm.Incarnation, ThroughSequence: through, Term: term})
	}
}

// answers reports whether the newest read is one of the recorded incarnation.
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
	if e.inFlight == (fencingToken{}) && !e.order.executed && current && now >= e.order.nextSend {
		e.inFlight = tokenOf(o)
		out.Send = append(out.Send, o)
	}
}

// prove returns the outcome that the evidence supports, if any.
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
		return done, "the engine does not hold the resident, and nothing can load it again"
	case e.order.rejections >= t.cfg.MaxRejections:
		return unknown, "refused again and again"
	case now-e.order.firstSeen >= t.cfg.OrderTimeout:
		return unknown, "not answered in time"
	}
	return none, ""
}

// accepted reports whether no earlier order can take effect on the engine any
// more. One that checks numbers has seen this order's. For one that does not,
// all earlier copies about the resident are dead: the ledger admits no order
// before, but the document may have said otherwise of the engine then.
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

// whole reports whether the engine uses no more memory than what it lists,
// so that nothing is being loaded out of sight.
func allMemoryListed(s *endpoint.EngineState) bool {
	var sum uint64
	for _, r := range s.Residents {
		sum += r.MemoryBytes
	}
	return s.UsedBytes <= sum
}

// lose takes residents out of service that the engine does not hold. They
// stay charged until an unload is proved.
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
