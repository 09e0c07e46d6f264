package main

import (
	"fmt"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// closeRaceWindow bounds the duration of a request that fails because the
	// gateway closes the idle connection at the same time.
	closeRaceWindow = 200 * time.Millisecond
	// exitReserve is the last part of the grace period, in which a gateway closes
	// the connections that are left.
	exitReserve = 700 * time.Millisecond
	// noticeTime bounds the time until a client notices that its connection is closed.
	noticeTime = 300 * time.Millisecond
)

// abort describes an attempt without a complete response.
type abort struct {
	kind standin.Kind
	// sent is set if the client wrote the complete request.
	sent  bool
	state standin.RunState
	// lasted is the time from its start, and sinceStop that since its gateway last
	// received SIGTERM.
	lasted, sinceStop time.Duration
	// workedUntil is the time from that SIGTERM until the endpoint ended its run; zero if it
	// has not.
	workedUntil time.Duration
}

func (a abort) String() string {
	state := a.state.String()
	if !a.sent {
		state = "not sent"
	}
	out := fmt.Sprintf("%s, %s, after %v, %v after SIGTERM", a.kind, state, a.lasted.Round(time.Millisecond), a.sinceStop.Round(time.Millisecond))
	if a.workedUntil != 0 {
		out += fmt.Sprintf(", its endpoint worked until %v after it", a.workedUntil.Round(time.Millisecond))
	}
	return out
}

// allowed reports whether an attempt may end so while gateways are only stopped as
// planned. underLoad is set if it may last beyond the grace period.
func (a abort) allowed(underLoad bool) bool {
	if a.state == standin.NotRun && a.lasted <= closeRaceWindow {
		// The client sent it while the gateway closed the idle connection, so it was
		// not received.
		return true
	}
	if !underLoad {
		return false
	}
	atGraceEnd := a.sinceStop >= gracePeriod-exitReserve && a.sinceStop <= gracePeriod+noticeTime
	// Other responses are buffered, so a gateway can always answer in their place.
	isStream := a.kind == standin.Stream || a.kind == standin.ResumableStream
	switch a.state {
	case standin.NotRun:
		return atGraceEnd && !a.sent
	case standin.Running:
		return isStream && (atGraceEnd || a.lasted >= standin.Timeout)
	case standin.BrokenOff:
		return isStream
	}
	return false
}
