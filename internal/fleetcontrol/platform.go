package fleetcontrol

import (
	"context"
	"net/http"

	"parsleyramp/internal/document"
)

// ListedEndpoint is one endpoint in the platform's live list.
type ListedEndpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Leaving bool
	Slots   int
	Models  []HeldModel
	// Version is that of its software; empty if it is not known.
	Version string
	// StartedUnixMs is when its process started; zero if it is not known.
	StartedUnixMs int64
}

// HeldModel is a model that an engine holds, with its adapters.
type HeldModel struct {
	Name     string
	Version  uint32
	Adapters []string
}

// Report is the state that an engine reports of itself. It lags behind the
// engine's actual state.
type Report struct {
	// Busy is set while the engine executes an order.
	Busy bool
	// Sequence counts the orders that the engine has accepted since its start.
	Sequence uint64
	Models   []HeldModel
	// LoadingAdapters are adapters that are being loaded, by model.
	LoadingAdapters []HeldModel
	// Cached are models whose weights the engine has in its memory or on its
	// disk.
	Cached  []string
	Leaving bool
	Running int
	Queued  int
	// StartedUnixMs is when its process started; zero if it is not known.
	StartedUnixMs int64
}

// Order commands an engine to load or unload a model, or an adapter of it.
type Order struct {
	Load    bool
	Model   string
	Adapter string
	// ExpectedSequence is the engine's sequence at which the order may be accepted.
	ExpectedSequence uint64
	// Holder is the ID of the leader that sends the order, and FencingToken its
	// term.
	Holder       string
	FencingToken uint64
}

// OrderResult is the result of sending an order to an engine.
type OrderResult int

// Results of orders.
const (
	// OrderUnknown: no response, or an unexpected one. The order may be executed
	// at any later time.
	OrderUnknown OrderResult = iota
	// OrderAccepted: the engine executes the order.
	OrderAccepted
	// OrderSatisfied: there was nothing to do, or the order was executed at once.
	OrderSatisfied
	// OrderConflict: another order is in flight, or the sequence differs.
	OrderConflict
	// OrderRejected: the engine will not execute the order.
	OrderRejected
	// OrderNotSent: the order was not sent, because this replica may not send
	// orders now, its intent expired before the order was written, the engine is no
	// longer listed, its sequence is not known, or it lacks the memory or adapter
	// slot.
	OrderNotSent
)

// String returns the name of the result for logs and metrics.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "refused", "not_sent"}[r]
}

// mayTakeEffect reports whether the engine executes the order, or may still do so.
func (r OrderResult) mayTakeEffect() bool {
	return r == OrderUnknown || r == OrderAccepted || r == OrderSatisfied
}

// Platform is the interface of the control plane to the platform and the engines.
type Platform interface {
	// Endpoints reads the live list.
	Endpoints(ctx context.Context) ([]ListedEndpoint, error)
	// Report reads the report of an engine.
	Report(ctx context.Context, address, id string) (*Report, error)
	// Order sends an order to an engine. It calls mayWrite immediately before it
	// writes the order, and returns OrderNotSent if the result is false.
	Order(ctx context.Context, address, id string, o Order, mayWrite func() bool) (OrderResult, error)
}

// Dependencies holds the platform-specific parts of the control plane: the client
// of the platform, and the formats that operators use.
type Dependencies struct {
	Platform Platform
	Decode   func(text []byte) (*document.Document, error)
	// OperatorHandler returns the handler of the operator API.
	OperatorHandler func(d DocumentStore) http.Handler
}

// DocumentStore is the interface of the operator API to the control plane.
type DocumentStore interface {
	// Put checks and commits a fleet document. A document that is not newer than
	// the committed one is accepted and changes nothing.
	Put(ctx context.Context, text []byte) error
	// Newest returns the newest committed document. It fails if there is none, or
	// if this replica cannot confirm that it leads.
	Newest(ctx context.Context) ([]byte, error)
	// LeaderAddress returns the operator address of the leader, or "" if this
	// replica leads or knows no leader.
	LeaderAddress(ctx context.Context) string
}
