package gateway

import (
	"context"
	"net/http"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/ratelimit"
)

// RequestInfo is what a client states about a request.
type RequestInfo struct {
	// ID identifies the client's attempt; it is unique.
	ID string
	// Key is the key of a workspace that the request carries; empty for none.
	Key document.Key
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// PromptTokens is the number of prompt tokens, and MaxOutputTokens the maximum
	// number of output tokens, as the client states them.
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutputTokens is the client's estimate of the output tokens; zero for
	// none.
	ExpectedOutputTokens int
	// Session is the part of the prompt that only requests of one session share.
	Session string
	// Parts are the ids of the parts of the prompt, in their order, as far as the client
	// states them.
	Parts []string
	// Timeout is how long the client waits for the response; zero if not stated.
	Timeout time.Duration
	// Resumed is set if the request resumes a stream after an event that the
	// client has received, and Resumes is the id of the attempt that brought the first
	// event; empty if the client does not name it.
	Resumed bool
	Resumes string
	// LastEvent is the id of the last event that the client has received; empty if it
	// resumes no stream.
	LastEvent string
}

// SendOptions is what the gateway adds to a client's request to an endpoint.
type SendOptions struct {
	// Endpoint is the id of the endpoint that the request is meant for.
	Endpoint string
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Priority is that of the workspace or else that of the route; 0 is served first.
	Priority int
	// WithKeys is set if clients need keys, so that the headers of the client that hold a
	// key or name a workspace are removed. Workspace is the name of the workspace that the
	// endpoint is told; empty for none.
	WithKeys  bool
	Workspace string
	// Reservation is the id of the slot reserved for the request; empty for none.
	Reservation string
	// LastEventID is the id of the last complete event that the client has
	// received; empty for none.
	LastEventID string
}

// Reserver reserves slots at endpoints ahead of requests.
type Reserver interface {
	// Reserve reserves a slot and memory for the tokens at an endpoint for ttl. It
	// returns an empty id if the endpoint has no capacity, and an error if it does
	// not respond. A slot that no request uses within ttl becomes free again.
	Reserve(ctx context.Context, address, endpoint string, tokens int, ttl time.Duration) (id string, err error)
}

// ResponseInfo is what the status and the headers of an endpoint's response state.
type ResponseInfo struct {
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// Misdirected is set if the response states that the endpoint is not the one that was
	// meant, or does not hold the model.
	Misdirected bool
	// Endpoint is the id of the endpoint that responded; empty if it did not name itself.
	Endpoint string
	// Limit is what the response states of the rate of requests that its endpoint takes.
	Limit ratelimit.Limit
	// Leaving is set if the endpoint is about to end.
	Leaving bool
	// RetryAfter is how long the endpoint, which rejected the request, wants no other one from
	// this gateway; zero for none.
	RetryAfter time.Duration
	// Brittle is set if the endpoint falls over once it has to reject more than MaxRejections
	// requests in a second.
	Brittle       bool
	MaxRejections float64
	// Signed is set if the response has the endpoint's signature.
	Signed bool
	// Identified is set if the response names the attempt that it is for.
	Identified bool
}

// fromAnother reports whether another endpoint responded at the address of the one with the
// id.
func (i ResponseInfo) fromAnother(id string) bool {
	return i.Misdirected && i.Endpoint != "" && i.Endpoint != id
}

// Protocol translates between the HTTP of a platform's clients and endpoints and
// the types of this package.
type Protocol interface {
	// ParseRequest parses the headers of a client's request. An error means that
	// the request is invalid.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// PrepareHeaders sets the headers that are reserved for the system, in a copy
	// of the client's headers, and removes those that a client must not set.
	PrepareHeaders(h http.Header, s SendOptions)
	// RemoveKey removes the headers of a client that hold a key or name a workspace.
	RemoveKey(h http.Header)
	// MatchesRequest reports whether a response with the headers is for the attempt
	// with the id.
	MatchesRequest(h http.Header, id string) bool
	// ParseResponse parses the status and the headers of a response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// SetRetryAfter sets the headers of a rejection that state when to retry.
	SetRetryAfter(h http.Header, after time.Duration)
}
