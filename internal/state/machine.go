// Package state implements the replicated state machine of the control replicas. It
// does no I/O, reads no clock and depends on no map order, so that all replicas
// that apply the same commands hold the same state.
package state

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/wire"
)

// residentKey identifies a version of a model, or an adapter of it, on one engine.
type residentKey struct {
	endpoint, model, version, adapter string
}

type applyKey struct {
	team, orderID string
}

// Machine holds the whole replicated state. It is not safe for concurrent use.
type Machine struct {
	applied      uint64
	viewRevision uint64

	sections     map[string]*wire.Section
	applyRecords map[applyKey]*wire.ApplyRecord
	entries      map[string]*wire.EntryVM
	endpoints    map[string]*wire.Endpoint
	residents    map[residentKey]*wire.Resident
	orders       map[residentKey]*wire.Order
	claims       map[string]*wire.Claim
	deferred     map[string]*wire.DeferredRequest
	suspects     map[uint64]*wire.Suspect
	// outstandingCopies holds the resolved orders of which a copy may still reach
	// the engine, in the order of their resolution.
	outstandingCopies []*wire.Order
	// sendTerms is sorted by term, ascending.
	sendTerms []*wire.SendTerm
	// document is the fleet document with the highest version, or nil.
	document *wire.Document
	// orderIntents is keyed by endpoint.
	orderIntents map[string]*wire.OrderNote
	// loadOrders are the announced orders to load that are not settled.
	loadOrders map[loadOrderKey]*wire.LoadOrder

	// claimsExpiredBefore is the time in Unix milliseconds before which claims
	// may have been dropped; older keys are rejected.
	claimsExpiredBefore int64
	// claimResponseBytes is the size of the recorded responses of all claims.
	claimResponseBytes uint64
}

// New returns an empty state.
func New() *Machine {
	return &Machine{
		sections:     map[string]*wire.Section{},
		applyRecords: map[applyKey]*wire.ApplyRecord{},
		entries:      map[string]*wire.EntryVM{},
		endpoints:    map[string]*wire.Endpoint{},
		residents:    map[residentKey]*wire.Resident{},
		orders:       map[residentKey]*wire.Order{},
		claims:       map[string]*wire.Claim{},
		deferred:     map[string]*wire.DeferredRequest{},
		suspects:     map[uint64]*wire.Suspect{},

		orderIntents: map[string]*wire.OrderNote{},
		loadOrders:   map[loadOrderKey]*wire.LoadOrder{},
	}
}

// AppliedIndex returns the log index of the last command that was applied.
func (m *Machine) AppliedIndex() uint64 { return m.applied }

// ViewRevision returns the log index of the last command that changed the view.
func (m *Machine) ViewRevision() uint64 { return m.viewRevision }

// Apply executes the command at the log index. If a precondition of the command
// does not hold, the result has Applied false and only the applied index changes.
// There is one exception: an ApplySection that is invalid or conflicts with the
// current revision stores its ApplyRecord, so that a resent change gets the same
// result.
func (m *Machine) Apply(index uint64, c *wire.Command) *wire.CommandResult {
	m.applied = index
	switch b := c.Body.(type) {
	case *wire.Command_ApplySection:
		return m.applySection(b.ApplySection, c.ProposedUnixMs)
	case *wire.Command_SetEntry:
		return m.setEntry(b.SetEntry)
	case *wire.Command_SetEndpoint:
		return m.setEndpoint(b.SetEndpoint.GetEndpoint())
	case *wire.Command_RemoveEndpoint:
		return m.removeEndpoint(b.RemoveEndpoint.Id)
	case *wire.Command_ResetEngine:
		return m.resetEngine(b.ResetEngine)
	case *wire.Command_AssignOwner:
		return m.assignOwner(b.AssignOwner)
	case *wire.Command_SetResident:
		return m.setResident(b.SetResident)
	case *wire.Command_IssueOrder:
		return m.issueOrder(b.IssueOrder.GetOrder(), c.ProposedUnixMs)
	case *wire.Command_ResolveOrder:
		return m.resolveOrder(b.ResolveOrder)
	case *wire.Command_StartTerm:
		return m.startTerm(b.StartTerm.GetTerm())
	case *wire.Command_ClearCopies:
		return m.clearCopies(b.ClearCopies)
	case *wire.Command_BeginClaim:
		return m.beginClaim(b.BeginClaim, c.ProposedUnixMs)
	case *wire.Command_FinishClaim:
		return m.finishClaim(b.FinishClaim)
	case *wire.Command_SubmitDeferred:
		return m.submitDeferred(b.SubmitDeferred, c.ProposedUnixMs)
	case *wire.Command_StartDeferred:
		return m.startDeferred(b.StartDeferred)
	case *wire.Command_FinishDeferred:
		return m.finishDeferred(b.FinishDeferred)
	case *wire.Command_ReportCrash:
		return m.reportCrash(b.ReportCrash, c.ProposedUnixMs)
	case *wire.Command_ClearSuspect:
		return m.clearSuspect(b.ClearSuspect.Fingerprint)
	case *wire.Command_RecordSuspects:
		return m.recordSuspects(b.RecordSuspects, c.ProposedUnixMs)
	case *wire.Command_ExpireRecords:
		return m.expireRecords(b.ExpireRecords)
	case *wire.Command_PutDocument:
		return m.putDocument(b.PutDocument.GetDocument())
	case *wire.Command_NoteOrders:
		return m.recordOrderIntents(b.NoteOrders)
	case *wire.Command_ConfirmLead:
		return applied()
	}
	return rejected("the command is unknown")
}

func rejected(reason string) *wire.CommandResult {
	return &wire.CommandResult{Reason: reason}
}

func applied() *wire.CommandResult { return &wire.CommandResult{Applied: true} }

// markViewChanged records that the current command changes the view.
func (m *Machine) markViewChanged() { m.viewRevision = m.applied }

func clone[T proto.Message](v T) T { return proto.Clone(v).(T) }

func cloneAll[T proto.Message](in []T) []T {
	out := make([]T, len(in))
	for i, v := range in {
		out[i] = clone(v)
	}
	return out
}

// sorted returns clones of the values of a map, ordered by compare.
func sorted[K comparable, V proto.Message](in map[K]V, compare func(a, b V) int) []V {
	out := make([]V, 0, len(in))
	for _, v := range in {
		out = append(out, clone(v))
	}
	slices.SortFunc(out, compare)
	return out
}

func (m *Machine) sortedResidents() []*wire.Resident {
	return sorted(m.residents, compareResidents)
}

func (m *Machine) sortedOrders() []*wire.Order {
	return sorted(m.orders, func(a, b *wire.Order) int {
		return cmp.Or(cmp.Compare(a.FenceTerm, b.FenceTerm), cmp.Compare(a.FenceSequence, b.FenceSequence))
	})
}

func (m *Machine) sortedSections() []*wire.Section {
	return sorted(m.sections, compareSections)
}

func (m *Machine) sortedEntries() []*wire.EntryVM {
	return sorted(m.entries, compareEntries)
}

func (m *Machine) sortedEndpoints() []*wire.Endpoint {
	return sorted(m.endpoints, compareEndpoints)
}

func (m *Machine) sortedSuspects() []*wire.Suspect {
	return sorted(m.suspects, compareSuspects)
}

// View returns the part of the state that entries use to serve requests.
func (m *Machine) View() *wire.View {
	return &wire.View{
		Revision:  m.viewRevision,
		Sections:  m.sortedSections(),
		Entries:   m.sortedEntries(),
		Endpoints: m.sortedEndpoints(),
		Residents: m.sortedResidents(),
		Suspects:  m.sortedSuspects(),
	}
}

// Orders returns the orders without a proved outcome, oldest first.
func (m *Machine) Orders() []*wire.Order { return m.sortedOrders() }
