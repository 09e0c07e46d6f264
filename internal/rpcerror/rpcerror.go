// Package rpcerror converts typed failures to and from Connect errors, which
// carry them between the system's own processes.
package rpcerror

import (
	"errors"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/fail"
)

const (
	metaCode   = "Parsleyramp-Code"
	metaRan    = "Parsleyramp-Ran"
	metaRetry  = "Parsleyramp-Retry-Ms"
	metaLeader = "Parsleyramp-Leader"
)

// ToConnect returns err as a Connect error whose metadata hold the code, Ran and
// RetryAfter. leader is the address of the current leader, or empty if unknown.
func ToConnect(err error, leader string) *connect.Error {
	f := fail.From(err)
	c := connect.NewError(connect.CodeUnavailable, errors.New(f.Message))
	c.Meta().Set(metaCode, string(f.Code))
	c.Meta().Set(metaRan, string(f.Ran))
	c.Meta().Set(metaRetry, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	if leader != "" {
		c.Meta().Set(metaLeader, leader)
	}
	return c
}

// FromConnect returns the typed failure in a Connect error, and the leader's
// address if the response has one. An error without a typed failure, such as a
// broken connection, becomes Unavailable with RanUnknown.
func FromConnect(err error) (*fail.Error, string) {
	var c *connect.Error
	if !errors.As(err, &c) || c.Meta().Get(metaCode) == "" {
		return fail.Wrap(err, fail.Unavailable, "no response from the peer").WithRan(fail.RanUnknown), ""
	}
	retry, _ := strconv.ParseInt(c.Meta().Get(metaRetry), 10, 64)
	f := fail.New(fail.Code(c.Meta().Get(metaCode)), c.Message()).
		WithRan(fail.Ran(c.Meta().Get(metaRan))).
		WithRetryAfter(time.Duration(retry) * time.Millisecond)
	return f, c.Meta().Get(metaLeader)
}
