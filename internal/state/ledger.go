package state

import (
	"slices"

	"parsleyramp/internal/wire"
)

// Charge is the charged memory of one engine in bytes, by the state of the
// residents.
type Charge struct {
	Ready    uint64
	Loading  uint64
	Draining uint64
	// Unloading covers the residents whose unload has no proved outcome yet.
	Unloading uint64
}

// Total returns the sum of all charges.
func (c Charge) Total() uint64 { return c.Ready + c.Loading + c.Draining + c.Unloading }

// Charge returns the memory that the ledger charges to an engine.
func (m *Machine) Charge(endpoint string) Charge {
	var c Charge
	for k, r := range m.residents {
		if k.endpoint != endpoint {
			continue
		}
		switch r.State {
		case wire.ResidentState_RESIDENT_STATE_READY:
			c.Ready += r.MemoryBytes
		case wire.ResidentState_RESIDENT_STATE_LOADING:
			c.Loading += r.MemoryBytes
		case wire.ResidentState_RESIDENT_STATE_DRAINING:
			c.Draining += r.MemoryBytes
		default:
			c.Unloading += r.MemoryBytes
		}
	}
	return c
}

func keyOfResident(r *wire.Resident) residentKey {
	return residentKey{r.Endpoint, r.Model, r.Version, r.Adapter}
}

func keyOfOrder(o *wire.Order) residentKey {
	return residentKey{o.Endpoint, o.Model, o.Version, o.Adapter}
}

// ChargedBytes returns the total memory that the ledger charges to an engine,
// including that of residents whose unload is not proved.
func (m *Machine) ChargedBytes(endpoint string) uint64 { return m.Charge(endpoint).Total() }

// issueOrder records an order; only a recorded order may be sent. It is the only
// function that admits loads, and it charges their memory at once.
func (m *Machine) issueOrder(o *wire.Order, now int64) *wire.CommandResult {
	e := m.endpoints[o.GetEndpoint()]
	key := keyOfOrder(o)
	switch {
	case e == nil || e.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE:
		return rejected("the endpoint is not a known engine")
	case e.Incarnation == "" || o.Incarnation != e.Incarnation:
		return rejected("the order names another incarnation of the engine")
	case m.hasOpenOrder(e.Id):
		return rejected("the outcome of an earlier order to the engine is open")
	case o.FenceTerm != m.sendTerm():
		return rejected("the order is not of the current send term")
	case !e.ChecksFencing && m.copyMayArrive(key):
		return rejected("a copy of an earlier order about the resident may still reach the engine")
	}
	var result *wire.CommandResult
	switch o.Kind {
	case wire.OrderKind_ORDER_KIND_LOAD:
		result = m.admitLoad(e, key, o)
	case wire.OrderKind_ORDER_KIND_UNLOAD:
		result = m.admitUnload(key)
	default:
		return rejected("the kind of the order is unknown")
	}
	if !result.Applied {
		return result
	}
	recorded := clone(o)
	recorded.FenceSequence = m.applied
	recorded.IssuedUnixMs = now
	m.orders[key] = recorded
	m.markViewChanged()
	return result
}

// hasOpenOrder reports whether the outcome of an order to the engine is open.
// One order to an engine at a time keeps the fencing tokens ordered and the
// outcomes independent.
func (m *Machine) hasOpenOrder(endpoint string) bool {
	for k := range m.orders {
		if k.endpoint == endpoint {
			return true
		}
	}
	return false
}

func (m *Machine) admitLoad(e *wire.Endpoint, key residentKey, o *wire.Order) *wire.CommandResult {
	if m.residents[key] != nil {
		return rejected("the model or adapter is already resident on the engine")
	}
	if o.Adapter != "" && !m.ready(residentKey{key.endpoint, key.model, key.version, ""}) {
		return rejected("the model of the adapter is not ready on the engine")
	}
	charged := m.ChargedBytes(e.Id)
	if charged > e.MemoryBytes || o.MemoryBytes > e.MemoryBytes-charged {
		return rejected("the load would overcommit the memory of the engine")
	}
	m.residents[key] = &wire.Resident{
		Endpoint: o.Endpoint, Model: o.Model, Version: o.Version, Adapter: o.Adapter,
		State: wire.ResidentState_RESIDENT_STATE_LOADING, MemoryBytes: o.MemoryBytes, StateRevision: m.applied,
		Reason: o.Reason,
	}
	return applied()
}

func (m *Machine) admitUnload(key residentKey) *wire.CommandResult {
	r := m.residents[key]
	if r == nil || r.State != wire.ResidentState_RESIDENT_STATE_DRAINING {
		return rejected("only a draining resident can be unloaded")
	}
	if key.adapter == "" {
		for k := range m.residents {
			if k.endpoint == key.endpoint && k.model == key.model && k.version == key.version && k.adapter != "" {
				return rejected("an adapter of the model is still resident")
			}
		}
	}
	m.setResidentState(r, wire.ResidentState_RESIDENT_STATE_UNLOADING)
	return applied()
}

func (m *Machine) ready(key residentKey) bool {
	return m.residents[key].GetState() == wire.ResidentState_RESIDENT_STATE_READY
}

func (m *Machine) setResidentState(r *wire.Resident, s wire.ResidentState) {
	r.State, r.StateRevision = s, m.applied
	m.markViewChanged()
}

// resolveOrder records the proved outcome of an order. Memory is released only
// here and when an engine restarts.
func (m *Machine) resolveOrder(r *wire.ResolveOrder) *wire.CommandResult {
	for key, o := range m.orders {
		if o.Endpoint != r.Endpoint || o.FenceTerm != r.FenceTerm || o.FenceSequence != r.FenceSequence {
			continue
		}
		m.closeOrder(key, o, r.Outcome)
		return applied()
	}
	return rejected("no open order has this fencing token")
}

// closeOrder applies the outcome of an order. Whatever the outcome, a copy of the
// order may still be in flight, so the order is retained until ClearCopies.
func (m *Machine) closeOrder(key residentKey, o *wire.Order, outcome wire.OrderOutcome) {
	delete(m.orders, key)
	m.outstandingCopies = append(m.outstandingCopies, o)
	resident := m.residents[key]
	isLoad := o.Kind == wire.OrderKind_ORDER_KIND_LOAD
	done := outcome == wire.OrderOutcome_ORDER_OUTCOME_DONE
	switch {
	case resident == nil:
	case isLoad && done:
		m.setResidentState(resident, wire.ResidentState_RESIDENT_STATE_READY)
	case !isLoad && done:
		delete(m.residents, key)
		m.markViewChanged()
	default:
		// The order may have taken effect: the memory stays charged until an unload.
		m.setResidentState(resident, wire.ResidentState_RESIDENT_STATE_DRAINING)
	}
}

// copyMayArrive reports whether a copy of a resolved order about the resident
// may still reach the engine.
func (m *Machine) copyMayArrive(key residentKey) bool {
	return slices.ContainsFunc(m.outstandingCopies, func(o *wire.Order) bool { return keyOfOrder(o) == key })
}

// sendTerm returns the newest term in which orders may be recorded.
func (m *Machine) sendTerm() uint64 {
	if len(m.sendTerms) == 0 {
		return 0
	}
	return m.sendTerms[len(m.sendTerms)-1].Term
}

// startTerm records the term, and its replica, that may send orders from now on.
// Orders of earlier terms are rejected, so that fencing tokens only grow.
func (m *Machine) startTerm(t *wire.SendTerm) *wire.CommandResult {
	switch {
	case t.GetTerm() < m.sendTerm():
		return rejected("a later term may already send orders")
	case t.GetTerm() == m.sendTerm():
		return applied()
	}
	m.sendTerms = append(m.sendTerms, clone(t))
	m.pruneSendTerms()
	return applied()
}

// clearCopies drops resolved orders of which no copy can take effect any more.
func (m *Machine) clearCopies(c *wire.ClearCopies) *wire.CommandResult {
	e := m.endpoints[c.Endpoint]
	if e == nil || e.Incarnation != c.Incarnation || c.Term != m.sendTerm() {
		return rejected("the proof names another incarnation of the engine or another term")
	}
	m.outstandingCopies = slices.DeleteFunc(m.outstandingCopies, func(o *wire.Order) bool {
		return o.Endpoint == c.Endpoint && o.FenceSequence <= c.ThroughSequence
	})
	m.pruneSendTerms()
	return applied()
}

// pruneSendTerms drops the terms older than every order that may be in flight.
func (m *Machine) pruneSendTerms() {
	oldest := m.sendTerm()
	for _, o := range m.orders {
		oldest = min(oldest, o.FenceTerm)
	}
	for _, o := range m.outstandingCopies {
		oldest = min(oldest, o.FenceTerm)
	}
	m.sendTerms = slices.DeleteFunc(m.sendTerms, func(t *wire.SendTerm) bool { return t.Term < oldest })
}

// OutstandingCopies returns the resolved orders of which a copy may still reach
// the engine.
func (m *Machine) OutstandingCopies() []*wire.Order { return cloneAll(m.outstandingCopies) }

// SendTerms returns, oldest first, the terms whose leaders may have a copy of
// an order in flight. The last one is the term that may send orders.
func (m *Machine) SendTerms() []*wire.SendTerm { return cloneAll(m.sendTerms) }

// setResident starts the draining of a resident.
func (m *Machine) setResident(s *wire.SetResident) *wire.CommandResult {
	key := residentKey{s.Endpoint, s.Model, s.Version, s.Adapter}
	r := m.residents[key]
	ready, draining := wire.ResidentState_RESIDENT_STATE_READY, wire.ResidentState_RESIDENT_STATE_DRAINING
	switch {
	case r == nil || (s.State != ready && s.State != draining) || (r.State != ready && r.State != draining):
		return rejected("only a ready or draining resident can be set, and only to these states")
	case s.ExpectedStateRevision != 0 && s.ExpectedStateRevision != r.StateRevision:
		return rejected("the resident has changed")
	case s.State == ready && r.State == draining:
		// Its load may have no proved outcome, or an unload of it may be in flight.
		return rejected("a draining resident cannot become ready again")
	}
	if r.State != s.State {
		m.setResidentState(r, s.State)
	}
	return applied()
}
