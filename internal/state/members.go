package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/wire"
)

// Entries returns all entry VMs.
func (m *Machine) Entries() []*wire.EntryVM { return m.sortedEntries() }

// Endpoints returns all endpoints.
func (m *Machine) Endpoints() []*wire.Endpoint { return m.sortedEndpoints() }

// Entry returns the record of an entry VM, or nil.
func (m *Machine) Entry(id string) *wire.EntryVM {
	e, ok := m.entries[id]
	if !ok {
		return nil
	}
	return clone(e)
}

// setEntry records an entry VM by compare-and-set on its registration. The
// pending claims of an incarnation that is replaced or no longer live get an
// unknown outcome, and its running deferred requests are queued again. An
// incarnation that drains stays draining.
func (m *Machine) setEntry(s *wire.SetEntry) *wire.CommandResult {
	old := m.entries[s.Entry.GetId()]
	if old.GetRegistration() != s.ExpectedRegistration {
		return rejected("the registration of the entry has changed")
	}
	next := clone(s.Entry)
	next.Registration = old.GetRegistration()
	if old.GetIncarnation() == next.Incarnation {
		next.Draining = next.Draining || old.GetDraining()
	}
	if proto.Equal(old, next) {
		return applied()
	}
	next.Registration = m.applied
	m.entries[next.Id] = next
	m.markViewChanged()
	if old != nil && (old.Incarnation != next.Incarnation || !next.Live) {
		m.releaseWork(old.Id, old.Incarnation)
	}
	return applied()
}

// setEndpoint records the platform's description of an endpoint. The owner, the
// incarnation, the memory and the slots in the state stay.
func (m *Machine) setEndpoint(e *wire.Endpoint) *wire.CommandResult {
	next := clone(e)
	if old := m.endpoints[e.GetId()]; old != nil {
		next.Owner, next.OwnerEpoch = old.Owner, old.OwnerEpoch
		next.Incarnation, next.MemoryBytes, next.Slots = old.Incarnation, old.MemoryBytes, old.Slots
		if proto.Equal(old, next) {
			return applied()
		}
	}
	m.endpoints[next.Id] = next
	m.markViewChanged()
	return applied()
}

// removeEndpoint drops an endpoint that holds nothing. An endpoint that may still
// hold memory is retained, in case it becomes reachable again.
func (m *Machine) removeEndpoint(id string) *wire.CommandResult {
	switch {
	case m.endpoints[id] == nil:
		return rejected("no such endpoint")
	case m.ChargedBytes(id) > 0 || m.hasOpenOrder(id):
		return rejected("the endpoint may still hold memory or has an open order")
	}
	delete(m.endpoints, id)
	m.dropEngineState(id)
	m.markViewChanged()
	return applied()
}

// resetEngine records a new incarnation of an engine and releases the memory of
// the previous one. The expected incarnation prevents a delayed command
// from restoring an earlier incarnation, which would release memory in use.
func (m *Machine) resetEngine(r *wire.ResetEngine) *wire.CommandResult {
	e := m.endpoints[r.Id]
	switch {
	case e == nil:
		return rejected("no such endpoint")
	case e.Incarnation == r.Incarnation:
		return applied()
	case e.Incarnation != r.ExpectedIncarnation:
		return rejected("the recorded incarnation is not the expected one")
	}
	e.Incarnation, e.MemoryBytes, e.Slots = r.Incarnation, r.MemoryBytes, r.Slots
	m.dropEngineState(r.Id)
	for _, adopted := range r.Residents {
		v := clone(adopted)
		v.Endpoint = r.Id
		m.residents[keyOfResident(v)] = v
		m.setResidentState(v, wire.ResidentState_RESIDENT_STATE_READY)
	}
	m.markViewChanged()
	return applied()
}

func (m *Machine) dropEngineState(endpoint string) {
	for k := range m.residents {
		if k.endpoint == endpoint {
			delete(m.residents, k)
		}
	}
	for k := range m.orders {
		if k.endpoint == endpoint {
			delete(m.orders, k)
		}
	}
	m.outstandingCopies = slices.DeleteFunc(m.outstandingCopies, func(o *wire.Order) bool { return o.Endpoint == endpoint })
}

// assignOwner sets the entry that owns an endpoint, by compare-and-set on the
// owner epoch.
func (m *Machine) assignOwner(a *wire.AssignOwner) *wire.CommandResult {
	e := m.endpoints[a.Endpoint]
	if e == nil {
		return rejected("no such endpoint")
	}
	if e.OwnerEpoch != a.ExpectedEpoch {
		return rejected("the owner epoch of the endpoint has changed")
	}
	e.Owner = a.Owner
	e.OwnerEpoch++
	m.markViewChanged()
	return applied()
}

// Registered reports whether the state holds this incarnation of the entry as
// live, with the same attributes.
func (m *Machine) Registered(e *wire.EntryVM) bool {
	expected := clone(e)
	expected.Live = true
	old := m.entries[e.GetId()]
	expected.Draining = expected.Draining || old.GetDraining()
	expected.Registration = old.GetRegistration()
	return proto.Equal(old, expected)
}
