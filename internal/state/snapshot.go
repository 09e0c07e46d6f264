package state

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// Snapshot encodes the state deterministically: equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &wire.State{
		AppliedIndex: m.applied,
		ViewRevision: m.viewRevision,
		Sections:     m.sortedSections(),
		ApplyRecords: sorted(m.applyRecords, func(a, b *wire.ApplyRecord) int {
			return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.OrderId, b.OrderId))
		}),
		Entries:                   m.sortedEntries(),
		Endpoints:                 m.sortedEndpoints(),
		Residents:                 m.sortedResidents(),
		Orders:                    m.sortedOrders(),
		Claims:                    sorted(m.claims, func(a, b *wire.Claim) int { return cmp.Compare(a.Key, b.Key) }),
		Deferred:                  m.sortedDeferred(),
		Suspects:                  m.sortedSuspects(),
		ClaimsExpiredBeforeUnixMs: m.claimsExpiredBefore,
		Copies:                    m.outstandingCopies,
		SendTerms:                 m.sendTerms,
		Document:                  m.document,
		OrderNotes:                m.OrderIntents(),
		LoadOrders:                m.LoadOrders(),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fail.Wrap(err, fail.Internal, "cannot encode the state")
	}
	return data, nil
}

// Restore decodes a snapshot. Empty data gives an empty state.
func Restore(data []byte) (*Machine, error) {
	var s wire.State
	if err := proto.Unmarshal(data, &s); err != nil {
		return nil, fail.Wrap(err, fail.CorruptJournal, "cannot decode the state")
	}
	m := New()
	m.applied, m.viewRevision = s.AppliedIndex, s.ViewRevision
	m.claimsExpiredBefore = s.ClaimsExpiredBeforeUnixMs
	m.outstandingCopies, m.sendTerms = s.Copies, s.SendTerms
	m.document = s.Document
	for _, v := range s.OrderNotes {
		m.orderIntents[v.Endpoint] = v
	}
	for _, v := range s.LoadOrders {
		m.loadOrders[keyOfLoadOrder(v)] = v
	}
	for _, v := range s.Sections {
		m.sections[v.Team] = v
	}
	for _, v := range s.ApplyRecords {
		m.applyRecords[applyKey{v.Team, v.OrderId}] = v
	}
	for _, v := range s.Entries {
		m.entries[v.Id] = v
	}
	for _, v := range s.Endpoints {
		m.endpoints[v.Id] = v
	}
	for _, v := range s.Residents {
		m.residents[keyOfResident(v)] = v
	}
	for _, v := range s.Orders {
		m.orders[keyOfOrder(v)] = v
	}
	for _, v := range s.Claims {
		m.claims[v.Key] = v
		m.claimResponseBytes += responseBytes(v)
	}
	for _, v := range s.Deferred {
		m.deferred[v.Id] = v
	}
	for _, v := range s.Suspects {
		m.suspects[v.Fingerprint] = v
	}
	return m, nil
}
