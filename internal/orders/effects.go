package orders

import (
	"parsleyramp/internal/wire"
)

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
