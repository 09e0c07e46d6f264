package state

import (
	"parsleyramp/internal/wire"
)

func keyOfResident(r *wire.Resident) residentKey {
	return residentKey{r.Endpoint, r.Model, r.Version, r.Adapter}
}

func keyOfOrder(o *wire.Order) residentKey {
	return residentKey{o.Endpoint, o.Model, o.Version, o.Adapter}
}

// ChargedBytes returns the memory that the ledger charges to an engine: what
// is resident, loading, draining, or possibly still there.
func (m *Machine) ChargedBytes(endpoint string) uint64 {
	var sum uint64
	for k, r := range m.residents {
		if k.endpoint == endpoint {
			sum += r.MemoryBytes
		}
	}
	return sum
}

// issueOrder is the one place that admits a load. It records the order, which
// is what permits its sending, and charges the memory at once.
func (m *Machine) issueOrder(o *wire.Order, now int64) *wire.CommandResult {
	e := m.endpoints[o.GetEndpoint()]
	key := keyOfOrder(o)
	switch {
	case e == nil || e.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE:
		return refused("no such engine")
	case e.Incarnation == "" || o.Incarnation != e.Incarnation:
		return refused("the engine has restarted")
	case m.hasOrder(e.Id):
		return refused("an earlier order to the engine is not resolved")
	}
	var result *wire.CommandResult
	switch o.Kind {
	case wire.OrderKind_ORDER_KIND_LOAD:
		result = m.admitLoad(e, key, o)
	case wire.OrderKind_ORDER_KIND_UNLOAD:
		result = m.admitUnload(key)
	default:
		return refused("unknown kind of order")
	}
	if !result.Applied {
		return result
	}
	recorded := clone(o)
	recorded.FenceSequence = m.applied
	recorded.IssuedUnixMs = now
	m.orders[key] = recorded
	m.changeView()
	return result
}

// hasOrder reports whether the outcome of an order to the engine is open. One
// order at a time keeps fencing numbers in order and outcomes independent.
func (m *Machine) hasOrder(endpoint string) bool {
	for k := range m.orders {
		if k.endpoint == endpoint {
			return true
		}
	}
	return false
}

func (m *Machine) admitLoad(e *wire.Endpoint, key residentKey, o *wire.Order) *wire.CommandResult {
	if m.residents[key] != nil {
		return refused("already resident")
	}
	if o.Adapter != "" && !m.ready(residentKey{key.endpoint, key.model, key.version, ""}) {
		return refused("the adapter's model is not ready there")
	}
	if m.ChargedBytes(e.Id)+o.MemoryBytes > e.MemoryBytes {
		return refused("the engine's memory would be overcommitted")
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
		return refused("only a draining resident may be unloaded")
	}
	if key.adapter == "" {
		for k := range m.residents {
			if k.endpoint == key.endpoint && k.model == key.model && k.version == key.version && k.adapter != "" {
				return refused("an adapter of the model is still resident")
			}
		}
	}
	m.enter(r, wire.ResidentState_RESIDENT_STATE_UNLOADING)
	return applied()
}

func (m *Machine) ready(key residentKey) bool {
	return m.residents[key].GetState() == wire.ResidentState_RESIDENT_STATE_READY
}

func (m *Machine) enter(r *wire.Resident, s wire.ResidentState) {
	r.State, r.StateRevision = s, m.applied
	m.changeView()
}

// resolveOrder records a proved outcome. Memory is released only here and
// where an engine restarts.
func (m *Machine) resolveOrder(r *wire.ResolveOrder) *wire.CommandResult {
	for key, o := range m.orders {
		if o.Endpoint != r.Endpoint || o.FenceTerm != r.FenceTerm || o.FenceSequence != r.FenceSequence {
			continue
		}
		m.settle(key, o, r.Outcome == wire.OrderOutcome_ORDER_OUTCOME_DONE)
		return applied()
	}
	return refused("no such order")
}

func (m *Machine) settle(key residentKey, o *wire.Order, done bool) {
	delete(m.orders, key)
	resident := m.residents[key]
	switch {
	case resident == nil:
	case o.Kind == wire.OrderKind_ORDER_KIND_LOAD && done:
		m.enter(resident, wire.ResidentState_RESIDENT_STATE_READY)
	case o.Kind == wire.OrderKind_ORDER_KIND_UNLOAD && !done:
		m.enter(resident, wire.ResidentState_RESIDENT_STATE_DRAINING)
	default:
		delete(m.residents, key)
		m.changeView()
	}
}

// setResident starts or takes back the draining of a resident.
func (m *Machine) setResident(s *wire.SetResident) *wire.CommandResult {
	r := m.residents[residentKey{s.Endpoint, s.Model, s.Version, s.Adapter}]
	ready, draining := wire.ResidentState_RESIDENT_STATE_READY, wire.ResidentState_RESIDENT_STATE_DRAINING
	if r == nil || (s.State != ready && s.State != draining) || (r.State != ready && r.State != draining) {
		return refused("only a ready or draining resident can change so")
	}
	if r.State != s.State {
		m.enter(r, s.State)
	}
	return applied()
}
