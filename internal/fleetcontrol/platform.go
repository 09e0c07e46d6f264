package fleetcontrol

import (
	"context"
	"net/http"

	"parsleyramp/internal/document"
)

// ListedEndpoint is one endpoint of the platform's live list.
type ListedEndpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Leaving bool
	Slots   int
	Models  []HeldModel
}

// HeldModel is a model that an engine holds, with its adapters.
type HeldModel struct {
	Name     string
	Version  uint32
	Adapters []string
}

// Report is what an engine says of itself. It lags a little.
type Report struct {
	// Busy is set while the engine carries out an order.
	Busy bool
	// Sequence counts the orders that the engine has accepted since its start.
	Sequence uint64
	Models   []HeldModel
	// LoadingAdapters are adapters on their way, by model.
	LoadingAdapters []HeldModel
	// Cached are models whose weights the engine has in its memory or disk.
	Cached  []string
	Leaving bool
	Running int
	Queued  int
}

// Order tells an engine to load or unload a model, or an adapter of it.
type Order struct {
	Load    bool
	Model   string
	Adapter string
	// ExpectedSequence is the engine's sequence at which the order may be accepted.
	ExpectedSequence uint64
	// Holder and Fence name who gives the order, and in which term.
	Holder       string
	FencingToken uint64
}

// OrderResult is what an engine answered to an order.
type OrderResult int

// Answers to orders.
const (
	// OrderUnknown: no clear answer; the order may be carried out at any time.
	OrderUnknown OrderResult = iota
	// OrderAccepted: the engine carries it out.
	OrderAccepted
	// OrderSatisfied: there was nothing to do, or it was done at once.
	OrderSatisfied
	// OrderConflict: another order is in progress, or the sequence differs.
	OrderConflict
	// OrderRejected: the engine will not carry it out.
	OrderRejected
	// OrderNotSent: the order was not given, for this replica may not give
	// orders now or the engine has no room.
	OrderNotSent
)

// String returns the answer's name, for logs.
func (a OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "refused", "not_sent"}[a]
}

// Platform is what control needs of the outside world.
type Platform interface {
	// Endpoints reads the live list.
	Endpoints(ctx context.Context) ([]ListedEndpoint, error)
	// Report reads what an engine says of itself.
	Report(ctx context.Context, address, id string) (*Report, error)
	// Order gives an order to an engine.
	Order(ctx context.Context, address, id string, o Order) (OrderResult, error)
}

// Dependencies joins the platform with the formats that operators speak.
type Dependencies struct {
	Platform Platform
	Decode   func(text []byte) (*document.Document, error)
	// OperatorHandler answers operators.
	OperatorHandler func(d DocumentStore) http.Handler
}

// DocumentStore is what operators may do.
type DocumentStore interface {
	// Put checks and commits a whole document. A document that is not newer
	// than the one in force is accepted and changes nothing.
	Put(ctx context.Context, text []byte) error
	// Newest returns the newest committed document, or nil where there is none.
	// It fails where that cannot be known.
	Newest(ctx context.Context) ([]byte, error)
	// LeaderAddress returns where operators reach the leader, or "".
	LeaderAddress(ctx context.Context) string
}
