// Package fail defines the typed errors that the programs of parsleyramp
// return, log and send to clients.
package fail

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Code identifies a kind of failure. Codes are stable: clients may match them.
type Code string

// Error codes.
const (
	BadRequest       Code = "bad_request"
	BodyTooLarge     Code = "body_too_large"
	RequestTimeout   Code = "request_timeout"
	UnknownModel     Code = "unknown_model"
	UnknownPath      Code = "unknown_path"
	UnknownRequest   Code = "unknown_request"
	MissingKey       Code = "missing_idempotency_key"
	KeyReused        Code = "idempotency_key_reused"
	KeyExpired       Code = "idempotency_key_expired"
	InProgress       Code = "in_progress"
	OutcomeUnknown   Code = "outcome_unknown"
	Overloaded       Code = "overloaded"
	QuotaExceeded    Code = "quota_exceeded"
	Redirected       Code = "redirected"
	DeadlinePassed   Code = "deadline_passed"
	NoReplica        Code = "no_replica"
	NoLease          Code = "no_lease"
	NotOwner         Code = "not_owner"
	NotLeader        Code = "not_leader"
	Unavailable      Code = "unavailable"
	OutOfReach       Code = "out_of_reach"
	Draining         Code = "draining"
	Quarantined      Code = "quarantined"
	EndpointFailed   Code = "endpoint_failed"
	EndpointCrashed  Code = "endpoint_crashed"
	MustRunAlone     Code = "must_run_alone"
	TruncatedAnswer  Code = "truncated_answer"
	ForeignAnswer    Code = "foreign_answer"
	Canceled         Code = "canceled"
	BadSettings      Code = "bad_settings"
	BadDocument      Code = "bad_document"
	Conflict         Code = "conflict"
	Unauthorized     Code = "unauthorized"
	Unauthenticated  Code = "unauthenticated"
	CorruptJournal   Code = "corrupt_journal"
	ForeignFolder    Code = "foreign_folder"
	StorageFailed    Code = "storage_failed"
	MembershipChange Code = "membership_change"
	Internal         Code = "internal"
)

// Ran states whether an endpoint executed a request that failed.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failure with the details by which its receiver decides on a retry.
type Error struct {
	Code    Code
	Message string
	// Ran is RanNo only if no byte of the request reached an endpoint.
	Ran Ran
	// RetryAfter is the time to wait before a retry; zero means that a retry
	// does not help.
	RetryAfter time.Duration
	cause      error
}

// Error returns the code, the message and the cause.
func (e *Error) Error() string {
	s := string(e.Code) + ": " + e.Message
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns a failure of a request that was not executed.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo}
}

// Wrap returns a failure of a request that was not executed, with a cause and
// its eris stack trace.
func Wrap(cause error, code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo, cause: eris.Wrap(cause, "")}
}

// WithRan returns a copy of e with Ran set to r.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the *Error in err's chain. It wraps any other error as Internal
// with RanUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error").WithRan(RanUnknown)
}

// Is reports whether err's chain holds an *Error with the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

var statuses = map[Code]int{
	BadRequest:      http.StatusBadRequest,
	BodyTooLarge:    http.StatusRequestEntityTooLarge,
	RequestTimeout:  http.StatusRequestTimeout,
	UnknownModel:    http.StatusNotFound,
	UnknownPath:     http.StatusNotFound,
	UnknownRequest:  http.StatusNotFound,
	MissingKey:      http.StatusBadRequest,
	KeyReused:       http.StatusUnprocessableEntity,
	KeyExpired:      http.StatusUnprocessableEntity,
	InProgress:      http.StatusConflict,
	OutcomeUnknown:  http.StatusConflict,
	Conflict:        http.StatusConflict,
	Overloaded:      http.StatusTooManyRequests,
	QuotaExceeded:   http.StatusTooManyRequests,
	DeadlinePassed:  http.StatusGatewayTimeout,
	EndpointFailed:  http.StatusBadGateway,
	EndpointCrashed: http.StatusBadGateway,
	TruncatedAnswer: http.StatusBadGateway,
	ForeignAnswer:   http.StatusBadGateway,
	Quarantined:     http.StatusUnprocessableEntity,
	BadDocument:     http.StatusUnprocessableEntity,
	Unauthorized:    http.StatusForbidden,
	Unauthenticated: http.StatusUnauthorized,
	Internal:        http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status for the code, 503 if it has none of its own.
func (c Code) HTTPStatus() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}
