package main

import (
	"fmt"
	"sync"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// closeRaceWindow bounds the time from the first byte of a request that fails because the
	// gateway closes the idle connection at the same time.
	closeRaceWindow = 200 * time.Millisecond
	// exitReserve is the last part of the grace period, in which a gateway closes
	// the connections that are left.
	exitReserve = 700 * time.Millisecond
	// cutReserve is the last part of the grace period, before which no stream is cut.
	cutReserve = 600 * time.Millisecond
	// noticeTime bounds the time until a client notices that its connection is closed.
	noticeTime = 300 * time.Millisecond
	// lateTime is the time after SIGTERM from which a request that is sent must not be cut, and
	// lastWorkTime the time after it from which an endpoint must be at work on an earlier one
	// that is: 3 s and five sixths of a grace period of 8 s.
	lateTime     = gracePeriod * 3 / 8
	lastWorkTime = gracePeriod * 5 / 6
)

// abort describes an attempt without a complete response.
type abort struct {
	kind standin.Kind
	// sent is set if the client wrote the complete request, sentSinceStop after the SIGTERM.
	sent          bool
	sentSinceStop time.Duration
	state         standin.RunState
	// lasted is the time from its start, silent that from its start until its first byte was
	// written, and sinceStop that since its gateway last received SIGTERM.
	lasted, silent, sinceStop time.Duration
	// workedUntil is the time from that SIGTERM until the endpoint ended its run; zero if it
	// has not.
	workedUntil time.Duration
}

func (a abort) String() string {
	state := a.state.String()
	if !a.sent {
		state = "not sent"
	}
	out := fmt.Sprintf("%s, %s, after %v, of these %v without a byte, %v after SIGTERM",
		a.kind, state, a.lasted.Round(time.Millisecond), a.silent.Round(time.Millisecond), a.sinceStop.Round(time.Millisecond))
	if a.workedUntil != 0 {
		out += fmt.Sprintf(", its endpoint worked until %v after it", a.workedUntil.Round(time.Millisecond))
	}
	return out
}

// reason returns why an attempt ended so while gateways are only stopped as planned, and
// whether it is lost by that. underLoad is set if it may last beyond the grace period.
func (a abort) reason(underLoad bool) (reason string, lost bool) {
	atGraceEnd := a.sinceStop >= gracePeriod-exitReserve && a.sinceStop <= gracePeriod+noticeTime
	// Other responses are buffered, so a gateway can always answer in their place.
	isStream := a.kind == standin.Stream || a.kind == standin.ResumableStream
	switch {
	case a.state == standin.NotRun && a.lasted-a.silent <= closeRaceWindow:
		// The client began to send it while the gateway closed the connection, so it was
		// not received.
		return "crossed the close", false
	case a.state == standin.NotRun && underLoad && atGraceEnd && !a.sent:
		return "not sent whole", false
	case a.state == standin.Completed && (!atGraceEnd || a.workedUntil < gracePeriod-cutReserve):
		return a.state.String(), true
	case a.state == standin.NotRun || !underLoad || !isStream:
		return a.state.String(), true
	case a.state == standin.BrokenOff:
		return "broken off by the endpoint", false
	case a.lasted >= standin.Timeout:
		return "timed out", false
	case !atGraceEnd:
		return "before the end", true
	case !a.sent || a.sentSinceStop > lateTime:
		return "sent late", true
	case a.workedUntil != 0 && a.workedUntil < lastWorkTime:
		return "endpoint done before the end", true
	}
	return "endpoint at work at the end", false
}

// stopCounts counts the attempts at gateways in planned stops. It is safe for concurrent use.
type stopCounts struct {
	mu sync.Mutex
	// attempts were in flight between the SIGTERM of their gateway and its exit, late of them
	// were sent later than lateTime, and lateRun of these reached an endpoint.
	attempts, late, lateRun int
	// cuts counts those without a complete response by kind and reason, and lost those that
	// must not end so.
	cuts map[string]int
	lost int
}

// count counts an attempt in a stop.
func (c *stopCounts) count(a abort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	if a.sent && a.sentSinceStop > lateTime {
		c.late++
		if a.state != standin.NotRun {
			c.lateRun++
		}
	}
}

// countCut counts an attempt without a complete response.
func (c *stopCounts) countCut(a abort, reason string, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cuts == nil {
		c.cuts = map[string]int{}
	}
	c.cuts[a.kind.String()+", "+reason]++
	if lost {
		c.lost++
	}
}

func (c *stopCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	cut := 0
	for _, n := range c.cuts {
		cut += n
	}
	return fmt.Sprintf("%d | %d | %d | %d | %d", c.attempts, c.late, c.lateRun, cut, c.lost)
}
