package state

import (
	"slices"

	"parsleyramp/internal/wire"
)

// Charge is the memory of one engine by what it is charged for, in bytes.
type Charge struct {
	Ready    uint64
	Loading  uint64
	Draining uint64
	// Unloading includes what an unload with no proved outcome may have left.
	Unloading uint64
}

// Total returns the sum of all charges.
func (c Charge) Total() uint64 { return c.Ready + c.Loading + c.Draining + c.Unloading }

// Charge returns what the ledger charges to an engine.
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

// ChargedBytes returns the memory that the ledger charges to an engine: what
// is resident, loading, draining, or possibly still there.
func (m *Machine) ChargedBytes(endpoint string) uint64 { return m.Charge(endpoint).Total() }

// issueOrder is the one place that admits a load. It records the order, which
// is what permits its sending, and charges the memory at once.
func (m *Machine) issueOrder(o *wire.Order, now int64) *wire.CommandResult {
	e := m.endpoints[o.GetEndpoint()]
	key := keyOfOrder(o)
	switch {
	case e == nil || e.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE:
		return rejected("no such engine")
	case e.Incarnation == "" || o.Incarnation != e.Incarnation:
		return rejected("the engine has restarted")
	case m.hasOpenOrder(e.Id):
		return rejected("an earlier order to the engine is not resolved")
	case o.FenceTerm != m.sendTerm():
		return rejected("the order is not of the term that may send orders")
	case !e.ChecksFencing && m.copyMayArrive(key):
		return rejected("a copy of an earlier order may still arrive")
	}
	var result *wire.CommandResult
	switch o.Kind {
	case wire.OrderKind_ORDER_KIND_LOAD:
		result = m.admitLoad(e, key, o)
	case wire.OrderKind_ORDER_KIND_UNLOAD:
		result = m.admitUnload(key)
	default:
		return rejected("unknown kind of order")
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

// hasOrder reports whether the outcome of an order to the engine is open. One
// order at a time keeps fencing numbers in order and outcomes independent.
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
		return rejected("already resident")
	}
	if o.Adapter != "" && !m.ready(residentKey{key.endpoint, key.model, key.version, ""}) {
		return rejected("the adapter's model is not ready there")
	}
	charged := m.ChargedBytes(e.Id)
	if charged > e.MemoryBytes || o.MemoryBytes > e.MemoryBytes-charged {
		return rejected("the engine's memory would be overcommitted")
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
		return rejected("only a draining resident may be unloaded")
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

// resolveOrder records a proved outcome. Memory is released only here and
// where an engine restarts.
func (m *Machine) resolveOrder(r *wire.ResolveOrder) *wire.CommandResult {
	for key, o := range m.orders {
		if o.Endpoint != r.Endpoint || o.FenceTerm != r.FenceTerm || o.FenceSequence != r.FenceSequence {
			continue
		}
		m.closeOrder(key, o, r.Outcome)
		return applied()
	}
	return rejected("no such order")
}

// settle ends an order. A copy of it may still be on its way, whatever the
// outcome, so that it is kept until ClearCopies.
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
		// Nothing is proved of the memory. Only a later unload releases it.
		m.setResidentState(resident, wire.ResidentState_RESIDENT_STATE_DRAINING)
	}
}

// mayArrive reports whether a copy of a resolved order about the resident may
// still reach the engine.
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

// startTerm records which replica sends orders from here on. Orders of an
// earlier term are not recorded any more, so that fencing numbers only grow.
func (m *Machine) startTerm(t *wire.SendTerm) *wire.CommandResult {
	switch {
	case t.GetTerm() < m.sendTerm():
		return rejected("a later term has started")
	case t.GetTerm() == m.sendTerm():
		return applied()
	}
	m.sendTerms = append(m.sendTerms, clone(t))
	m.pruneSendTerms()
	return applied()
}

// clearCopies forgets orders of which no copy can take effect any more.
func (m *Machine) clearCopies(c *wire.ClearCopies) *wire.CommandResult {
	e := m.endpoints[c.Endpoint]
	if e == nil || e.Incarnation != c.Incarnation || c.Term != m.sendTerm() {
		return rejected("the proof is of another incarnation or term")
	}
	m.outstandingCopies = slices.DeleteFunc(m.outstandingCopies, func(o *wire.Order) bool {
		return o.Endpoint == c.Endpoint && o.FenceSequence <= c.ThroughSequence
	})
	m.pruneSendTerms()
	return applied()
}

// pruneSendTerms keeps the terms whose leaders may have a copy in flight.
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

// OutstandingCopies returns the resolved orders of which a copy may still arrive.
func (m *Machine) OutstandingCopies() []*wire.Order { return cloneAll(m.outstandingCopies) }

// SendTerms returns, oldest first, the terms whose leaders may have a copy of
// an order in flight. The last one is the term that may send orders.
func (m *Machine) SendTerms() []*wire.SendTerm { return cloneAll(m.sendTerms) }

// setResident starts or takes back the draining of a resident.
func (m *Machine) setResident(s *wire.SetResident) *wire.CommandResult {
	key := residentKey{s.Endpoint, s.Model, s.Version, s.Adapter}
	r := m.residents[key]
	ready, draining := wire.ResidentState_RESIDENT_STATE_READY, wire.ResidentState_RESIDENT_STATE_DRAINING
	switch {
	case r == nil || (s.State != ready && s.State != draining) || (r.State != ready && r.State != draining):
		return rejected("only a ready or draining resident can change so")
	case s.ExpectedStateRevision != 0 && s.ExpectedStateRevision != r.StateRevision:
		return rejected("the resident has changed")
	case s.State == ready && r.State == draining:
		// It may have been given up or be subject to an unload on its way.
		return rejected("a draining resident does not return")
	}
	if r.State != s.State {
		m.setResidentState(r, s.State)
	}
	return applied()
}
