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
	RetryInterval time.Duration
	MaxRetry      time.Duration
	// GiveUp is how long an order may stay open, counted from when this leader
	// first saw it.
	GiveUp time.Duration
	// MaxRefusals is how many refusals make an order given up.
	MaxRefusals int
}

// DefaultConfig returns the bounds for engines on one network.
func DefaultConfig() Config {
	return Config{
		CopyLifetime:  30 * time.Second,
		RetryInterval: 500 * time.Millisecond,
		MaxRetry:      10 * time.Second,
		GiveUp:        2 * time.Minute,
		MaxRefusals:   3,
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
	Clear []*wire.ClearCopies
	DrainMissing  []*wire.SetResident
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
type number struct{ term, sequence uint64 }

func numberOf(o *wire.Order) number { return number{o.FenceTerm, o.FenceSequence} }

// Tracker is the leader's memory of the orders that it sends. It starts empty
// in every term. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	term    uint64
	engines map[string]*engine
	// quiet holds when a replica said that it sends nothing of an earlier term.
	quiet map[uint64]time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// engine is what is known of one engine in this term.
type engine struct {
	incarnation string
	// sending is the order that is being sent; zero where none is.
	sending number
	order   openOrder
	// copies holds since when a resolved order is not being sent by this leader.
	copies map[number]time.Duration
	// ready holds since when this leader knows a resident to be ready.
	ready map[uint64]time.Duration
	// last is the newest state that was read; since is when the first read of
	// the unbroken row of answered reads began.
	last      *endpoint.EngineState
	lastBegan time.Duration
	since     time.Duration
}

// openOrder is the one order to an engine whose outcome is not proved.
type openOrder struct {
	number   number
	seen     time.Duration
	nextSend time.Duration
	interval time.Duration
	refusals int
	// done is true once the engine said that it carried the order out.
	done bool
}

// enterTerm forgets everything where the term is a new one.
func (t *Tracker) enterTerm(term uint64) {
	if t.term == term && t.engines != nil {
		return
	}
	t.term = term
	t.engines = map[string]*engine{}
	t.quiet = map[uint64]time.Duration{}
}

func (t *Tracker) engine(id string) *engine {
	e := t.engines[id]
	if e == nil {
		e = &engine{copies: map[number]time.Duration{}, ready: map[uint64]time.Duration{}}
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
	e.sending = number{}
	if _, ok := e.copies[numberOf(o)]; ok {
		e.copies[numberOf(o)] = now
	}
	if e.order.number != numberOf(o) {
		return
	}
	e.order.nextSend = now + e.order.interval
	e.order.interval = min(2*e.order.interval, t.cfg.MaxRetry)
	switch {
	case result == nil:
	case result.Done:
		e.order.done = true
	default:
		e.order.refusals++
	}
}

// RecordState takes the engine's state, read from began on, or nil where it did
// not answer.
func (t *Tracker) RecordState(term uint64, id string, began time.Duration, s *endpoint.EngineState) {
	if term != t.term {
		return
	}
	e := t.engine(id)
	if s == nil {
		e.last = nil
		return
	}
	if e.last == nil || e.last.Incarnation != s.Incarnation {
		e.since = began
	}
	e.last, e.lastBegan = s, began
}

// RecordStopped takes a replica's word that it sends nothing of a term before this
// one, and will not do so again.
func (t *Tracker) RecordStopped(now time.Duration, term, replica uint64) {
	if _, known := t.quiet[replica]; term == t.term && !known {
		t.quiet[replica] = now
	}
}

// Step returns what follows from the picture and from what was reported.
func (t *Tracker) Step(now time.Duration, p Snapshot) Effects {
	t.enterTerm(p.Term)
	var out Effects
	quietSince, quiet := t.formerQuiet(now, p, &out)
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
		t.followIncarnation(e, vm)
		e.followCopies(now, copies[vm.Id])
		e.followReady(now, residents[vm.Id])
		if quiet {
			t.clear(e, vm, quietSince, p.Term, &out)
		}
		if orders := open[vm.Id]; len(orders) > 0 {
			t.followOrder(now, e, vm, orders[0], copies[vm.Id], &out)
		} else {
			e.order = openOrder{}
		}
		e.lose(vm, residents[vm.Id], &out)
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
func (t *Tracker) formerQuiet(now time.Duration, p Snapshot, out *Effects) (time.Duration, bool) {
	var since time.Duration
	quiet := true
	for _, s := range p.SendTerms {
		if s.Term >= p.Term {
			continue
		}
		if _, known := t.quiet[s.Replica]; !known && !slices.Contains(p.Members, s.Replica) {
			t.quiet[s.Replica] = now
		}
		at, known := t.quiet[s.Replica]
		if !known {
			quiet = false
			if !slices.Contains(out.QueryReplicas, s.Replica) {
				out.QueryReplicas = append(out.QueryReplicas, s.Replica)
			}
		}
		since = max(since, at)
	}
	return since, quiet
}

// followIncarnation forgets what was known of an earlier incarnation.
func (t *Tracker) followIncarnation(e *engine, vm *wire.Endpoint) {
	if e.incarnation == vm.Incarnation {
		return
	}
	e.incarnation = vm.Incarnation
	e.order = openOrder{}
	clear(e.copies)
	clear(e.ready)
}

// followCopies notes since when each copy is not being sent here.
func (e *engine) followCopies(now time.Duration, copies []*wire.Order) {
	known := e.copies
	e.copies = map[number]time.Duration{}
	for _, c := range copies {
		n := numberOf(c)
		since, ok := known[n]
		if !ok || e.sending == n {
			since = now
		}
		e.copies[n] = since
	}
}

func (e *engine) followReady(now time.Duration, residents []*wire.Resident) {
	known := e.ready
	e.ready = map[uint64]time.Duration{}
	for _, r := range residents {
		if r.State != wire.ResidentState_RESIDENT_STATE_READY {
			continue
		}
		since, ok := known[r.StateRevision]
		if !ok {
			since = now
		}
		e.ready[r.StateRevision] = since
	}
}

// clear declares the copies dead that neither this leader nor a former one
// has sent since an unbroken row of answered reads, CopyLifetime long, began.
func (t *Tracker) clear(e *engine, vm *wire.Endpoint, quietSince time.Duration, term uint64, out *Effects) {
	if len(e.copies) == 0 || !e.answers(vm) {
		return
	}
	// A copy that may still arrive holds back those with a higher sequence.
	oldestAlive := uint64(math.MaxUint64)
	dead := func(since time.Duration) bool {
		return e.lastBegan-max(since, quietSince, e.since) >= t.cfg.CopyLifetime
	}
	for n, since := range e.copies {
		if !dead(since) {
			oldestAlive = min(oldestAlive, n.sequence)
		}
	}
	through := uint64(0)
	for n := range e.copies {
		if n.sequence < oldestAlive {
			through = max(through, n.sequence)
		}
	}
	if through > 0 {
		out.Clear = append(out.Clear, &wire.ClearCopies{Endpoint: vm.Id, Incarnation: vm.Incarnation, ThroughSequence: through, Term: term})
	}
}

// answers reports whether the newest read is one of the recorded incarnation.
func (e *engine) answers(vm *wire.Endpoint) bool {
	return e.last != nil && e.last.Incarnation == vm.Incarnation
}

func (t *Tracker) followOrder(now time.Duration, e *engine, vm *wire.Endpoint, o *wire.Order, copies []*wire.Order, out *Effects) {
	if e.order.number != numberOf(o) {
		e.order = openOrder{number: numberOf(o), seen: now, nextSend: now, interval: t.cfg.RetryInterval}
	}
	if outcome, evidence := t.prove(now, e, vm, o, copies); outcome != wire.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED {
		out.Resolve = append(out.Resolve, Resolution{Order: o, Evidence: evidence, Command: &wire.ResolveOrder{
			Endpoint: o.Endpoint, FenceTerm: o.FenceTerm, FenceSequence: o.FenceSequence, Outcome: outcome,
		}})
		return
	}
	current := e.last == nil || e.last.Incarnation == o.Incarnation
	if e.sending == (number{}) && !e.order.done && current && now >= e.order.nextSend {
		e.sending = numberOf(o)
		out.Send = append(out.Send, o)
	}
}

// prove returns the outcome that the evidence supports, if any.
func (t *Tracker) prove(now time.Duration, e *engine, vm *wire.Endpoint, o *wire.Order, copies []*wire.Order) (wire.OrderOutcome, string) {
	const (
		none    = wire.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED
		done    = wire.OrderOutcome_ORDER_OUTCOME_DONE
		unknown = wire.OrderOutcome_ORDER_OUTCOME_UNKNOWN
	)
	fresh := e.answers(vm) && e.lastBegan > e.order.seen
	isLoad := o.Kind == wire.OrderKind_ORDER_KIND_LOAD
	switch {
	case isLoad && fresh && lists(e.last, o):
		return done, "the engine lists the resident"
	case !isLoad && fresh && !lists(e.last, o) && e.accepted(vm, o, copies) && (e.order.done || whole(e.last)):
		return done, "the engine does not hold the resident, and nothing can load it again"
	case e.order.refusals >= t.cfg.MaxRefusals:
		return unknown, "refused again and again"
	case now-e.order.seen >= t.cfg.GiveUp:
		return unknown, "not answered in time"
	}
	return none, ""
}

// accepted reports whether no earlier order can take effect on the engine any
// more. One that checks numbers has seen this order's. For one that does not,
// all earlier copies about the resident are dead: the ledger admits no order
// before, but the document may have said otherwise of the engine then.
func (e *engine) accepted(vm *wire.Endpoint, o *wire.Order, copies []*wire.Order) bool {
	if !vm.ChecksFencing {
		return !slices.ContainsFunc(copies, func(c *wire.Order) bool {
			return c.Model == o.Model && c.Version == o.Version && c.Adapter == o.Adapter
		})
	}
	s := e.last
	return s.FenceTerm > o.FenceTerm || (s.FenceTerm == o.FenceTerm && s.FenceSequence >= o.FenceSequence)
}

func lists(s *endpoint.EngineState, o *wire.Order) bool {
	return holds(s, o.Model, o.Version, o.Adapter)
}

func holds(s *endpoint.EngineState, model, version, adapter string) bool {
	return slices.ContainsFunc(s.Residents, func(r endpoint.ResidentState) bool {
		return r.Model == model && r.Version == version && r.Adapter == adapter
	})
}

// whole reports whether the engine uses no more memory than what it lists,
// so that nothing is being loaded out of sight.
func whole(s *endpoint.EngineState) bool {
	var sum uint64
	for _, r := range s.Residents {
		sum += r.MemoryBytes
	}
	return s.UsedBytes <= sum
}

// lose takes residents out of service that the engine does not hold. They
// stay charged until an unload is proved.
func (e *engine) lose(vm *wire.Endpoint, residents []*wire.Resident, out *Effects) {
	if !e.answers(vm) {
		return
	}
	for _, r := range residents {
		since, ok := e.ready[r.StateRevision]
		if !ok || r.State != wire.ResidentState_RESIDENT_STATE_READY || e.lastBegan <= since {
			continue
		}
		if !holds(e.last, r.Model, r.Version, r.Adapter) {
			out.DrainMissing = append(out.DrainMissing, &wire.SetResident{
				Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter,
				State: wire.ResidentState_RESIDENT_STATE_DRAINING, ExpectedStateRevision: r.StateRevision,
			})
		}
	}
}
