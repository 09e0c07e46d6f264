// Package endpoint is the client side of model engines and plain services.
// Another engine protocol can be put behind Engine and Runner.
package endpoint

import (
	"context"
	"io"
	"net/http"
)

// Request is one attempt to be run on an endpoint.
type Request struct {
	// ID is unique to the attempt. An engine repeats it in its answer.
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Incarnation is the one that the attempt is meant for; empty for services.
	Incarnation string
	// RequireID is true for model engines, whose answers must name the
	// attempt in the header and in every event or JSON body.
	RequireID bool
	// ResponseID replaces ID in the events of a stream; empty leaves them as
	// they are.
	ResponseID string
	// BeforeSend is asked when a connection is ready and before the first byte
	// is written. An error keeps the attempt from being sent; it may be nil.
	BeforeSend func() error
}

// Response is the head of an answer. Body must be read to its end and closed.
// Reading returns io.EOF only for a whole answer.
type Response struct {
	Status      int
	ContentType string
	// HasRequestID is true where the answer names the attempt.
	HasRequestID bool
	Body         io.ReadCloser
}

// Runner runs attempts on an endpoint.
type Runner interface {
	// Run sends the attempt. A failure says whether the endpoint can have run it.
	Run(ctx context.Context, address string, r Request) (*Response, error)
}

// Engine gives orders to model engines and reads what they report.
type Engine interface {
	State(ctx context.Context, address string) (*EngineState, error)
	Order(ctx context.Context, address string, o Order) (*OrderResult, error)
	Load(ctx context.Context, address string) (*LoadReport, error)
	Events(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	Cancel(ctx context.Context, address, requestID string) error
}

// HTTP speaks the usual OpenAI-style protocol with the order interface.
type HTTP struct {
	client *http.Client
}

// NewHTTP returns a client for engines and services.
func NewHTTP(client *http.Client) *HTTP { return &HTTP{client: client} }

var (
	_ Engine = (*HTTP)(nil)
	_ Runner = (*HTTP)(nil)
)
