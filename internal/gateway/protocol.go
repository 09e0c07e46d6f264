package gateway

import (
	"context"
	"net/http"
	"time"
)

// RequestInfo are what a caller says of a request.
type RequestInfo struct {
	// ID names the caller's attempt; it is unique.
	ID string
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// PromptTokens and AnswerTokens are the sizes that the caller states; the
	// answer's is a bound.
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the answer's tokens; zero for none.
	ExpectedOutputTokens int
	// Session is the prompt part that only requests of one session share.
	Session string
	// Timeout is how long the caller will wait; zero where it does not say.
	Timeout time.Duration
	// Resumed requests go on after an event that the caller has.
	Resumed bool
}

// SendOptions is what the system says to an endpoint beside the caller's request.
type SendOptions struct {
	// Endpoint is the id of the one that the request is meant for.
	Endpoint string
	// TimeLeft is how long the endpoint may work.
	TimeLeft time.Duration
	// Priority is the urgency of the route, 0 first.
	Priority int
	// Reservation is the place that was taken for it; empty for none.
	Reservation string
	// LastEventID is the last whole event that the caller has; empty for none.
	LastEventID string
}

// Reserver takes places at endpoints ahead of requests.
type Reserver interface {
	// Reserve takes a place and memory for the tokens at an endpoint for a while.
	// It returns an empty id where there is no room, and a failure where the
	// endpoint does not answer. A place that no request uses in time is free again.
	Reserve(ctx context.Context, address, endpoint string, tokens int, keep time.Duration) (id string, err error)
}

// ResponseInfo is what an endpoint's head says.
type ResponseInfo struct {
	// NotRun is set where the endpoint states that it did not run the request.
	NotRun bool
	// OtherEndpoint is set where another endpoint has the address.
	OtherEndpoint bool
	// Signed is set where the answer bears the endpoint's signature.
	Signed bool
}

// Protocol translates between HTTP and the product's types, for callers and
// endpoints of one kind.
type Protocol interface {
	// ParseRequest reads a caller's request. A failure means that the request is
	// not proper.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// PrepareHeaders sets the headers that are the system's to set, in a copy of the
	// caller's, and removes those that a caller must not set.
	PrepareHeaders(h http.Header, s SendOptions)
	// MatchesRequest reports whether the head answers the attempt.
	MatchesRequest(h http.Header, id string) bool
	// ParseResponse tells what the head of an answer says.
	ParseResponse(status int, h http.Header) ResponseInfo
	// SetRetryAfter adds when to come back to a refusal.
	SetRetryAfter(h http.Header, after time.Duration)
}
