// Package endpoint implements the client of model engines and plain services.
// Another engine protocol can be added by implementing Engine and Runner.
package endpoint

import (
	"context"
	"io"
	"net/http"

	"parsleyramp/internal/buffers"
	"parsleyramp/internal/ratelimit"
)

// Request is one attempt to run a request on an endpoint.
type Request struct {
	// ID is unique to the attempt. An engine returns it in its response.
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Incarnation is that of the engine process that the attempt is meant for;
	// empty for services.
	Incarnation string
	// RequireID is true for model engines, whose responses must carry ID in the
	// header and in every event or in the JSON body.
	RequireID bool
	// ResponseID replaces the IDs in the events of a stream; if it is empty, they
	// are passed on unchanged.
	ResponseID string
	// BeforeSend, if not nil, is called when a connection is ready and before the
	// first byte is written, once for each connection that is tried. If it
	// returns an error, the attempt is not sent.
	BeforeSend func() error
}

// Response is the response of an endpoint. Body must be read to its end and
// closed. Reading it returns io.EOF only if the response is complete.
type Response struct {
	Status      int
	ContentType string
	// HasRequestID is true if the header of the response carries the ID of the
	// attempt.
	HasRequestID bool
	// Limit is what the header states of the rate of requests that the endpoint takes.
	Limit ratelimit.Limit
	Body  io.ReadCloser
}

// Runner runs attempts on an endpoint.
type Runner interface {
	// Run sends the attempt. Its error states whether the endpoint may have run it.
	Run(ctx context.Context, address string, r Request) (*Response, error)
}

// Engine sends orders to model engines and reads their state and reports.
type Engine interface {
	State(ctx context.Context, address string) (*EngineState, error)
	Order(ctx context.Context, address string, o Order) (*OrderResult, error)
	Load(ctx context.Context, address string) (*LoadReport, error)
	Events(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	Cancel(ctx context.Context, address, requestID string) error
}

// HTTP is the client of the OpenAI-style protocol with the engine protocol of
// this package.
type HTTP struct {
	client *http.Client
	// buffers bounds what the responses to attempts hold that cannot be passed on yet.
	buffers *buffers.Budget
}

// NewHTTP returns a client of engines and services.
func NewHTTP(client *http.Client) *HTTP {
	return &HTTP{client: client, buffers: buffers.NewBudget(maxAllBufferedBytes)}
}

var (
	_ Engine = (*HTTP)(nil)
	_ Runner = (*HTTP)(nil)
)
