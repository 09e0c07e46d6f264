// Package fail defines the typed errors that every program of parsleyramp
// returns, logs and sends to callers.
package fail

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Code names one kind of failure. Codes are stable: callers may match them.
type Code string

// Codes of failures, by the part of the system that they come from.
const (
	BadRequest       Code = "bad_request"
	BodyTooLarge     Code = "body_too_large"
	UnknownModel     Code = "unknown_model"
	UnknownPath      Code = "unknown_path"
	UnknownRequest   Code = "unknown_request"
	MissingKey       Code = "missing_idempotency_key"
	KeyReused        Code = "idempotency_key_reused"
	KeyExpired       Code = "idempotency_key_expired"
	InProgress       Code = "in_progress"
	OutcomeUnknown   Code = "outcome_unknown"
	Overloaded       Code = "overloaded"
	Redirected       Code = "redirected"
	DeadlinePassed   Code = "deadline_passed"
	NoReplica        Code = "no_replica"
	NoLease          Code = "no_lease"
	NotOwner         Code = "not_owner"
	NotLeader        Code = "not_leader"
	Unavailable      Code = "unavailable"
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
	CorruptJournal   Code = "corrupt_journal"
	ForeignFolder    Code = "foreign_folder"
	StorageFailed    Code = "storage_failed"
	MembershipChange Code = "membership_change"
	Internal         Code = "internal"
)

// Ran says whether a request that failed was executed by an endpoint.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failure with everything that its receiver needs to act on it.
type Error struct {
	Code    Code
	Message string
	// Ran is RanNo only where no byte of the request reached an endpoint.
	Ran Ran
	// RetryAfter is how long to wait before asking again; zero means that
	// asking again does not help.
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

// New returns a failure of a request that did not run.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo}
}

// Wrap returns a failure with a cause, whose stack trace eris keeps.
func Wrap(cause error, code Code, message string) *Error {
	return &Error{Code: code, Message: message, Ran: RanNo, cause: eris.Wrap(cause, "")}
}

// WithRan returns a copy of e that says whether the request ran.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithRetryAfter returns a copy of e that says when to ask again.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns err as an *Error, wrapping foreign errors as Internal with an
// unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal error").WithRan(RanUnknown)
}

// Is reports whether err has the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

var statuses = map[Code]int{
	BadRequest:      http.StatusBadRequest,
	BodyTooLarge:    http.StatusRequestEntityTooLarge,
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
	DeadlinePassed:  http.StatusGatewayTimeout,
	EndpointFailed:  http.StatusBadGateway,
	EndpointCrashed: http.StatusBadGateway,
	TruncatedAnswer: http.StatusBadGateway,
	ForeignAnswer:   http.StatusBadGateway,
	Quarantined:     http.StatusUnprocessableEntity,
	BadDocument:     http.StatusUnprocessableEntity,
	Unauthorized:    http.StatusForbidden,
	Internal:        http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status that stands for the code.
func (c Code) HTTPStatus() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}
