package orders

import (
	"slices"
	"time"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/wire"
)

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
