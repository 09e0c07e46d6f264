// Package attempt decides what comes next for one request of a caller: send it
// to an endpoint, go on with a broken stream elsewhere, refuse it, or end it.
// The decision follows from what has happened so far. It does no I/O and reads
// no clock.
package attempt

// Rules are what a route allows.
type Rules struct {
	// Retryable requests may run more than once.
	Retryable bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// MaxSends is to how many endpoints the request may be sent.
	MaxSends int
}

// Outcome is what became of one send.
type Outcome int

// Outcomes of a send.
const (
	// Unsent: no byte of the request reached the endpoint.
	Unsent Outcome = iota
	// Rejected: the endpoint states that it did not run the request.
	Rejected
	// Failed: the endpoint ran the request and answered with a failure.
	Failed
	// Lost: there is no usable answer, and the request may have run.
	Lost
	// Cut: a stream broke after events of it were passed on.
	Cut
)

// String returns the outcome's name, for logs.
func (o Outcome) String() string {
	return [...]string{"unsent", "rejected", "failed", "lost", "cut"}[o]
}

// Step is what to do next.
type Step int

// Steps of a request.
const (
	// Send the request to another endpoint.
	Send Step = iota
	// Resume the stream at another endpoint, after its last whole event.
	Resume
	// Reject the request: it has not run and will not.
	Reject
	// Fail the request: it may have run.
	Fail
	// PassOn the endpoint's own failure unchanged.
	PassOn
	// Abort the connection: an answer was begun and cannot be completed.
	Abort
)

// String returns the step's name, for logs.
func (s Step) String() string {
	return [...]string{"send", "resume", "refuse", "fail", "pass_on", "abort"}[s]
}

// maxUnsent bounds the connections tried in vain for one request.
const maxUnsentAttempts = 3

// History is what has happened to one request so far.
type History struct {
	Rules Rules
	// Sends counts the endpoints that bytes of the request reached.
	Sends int
	// MayHaveRun is set once an endpoint may have run the request.
	MayHaveRun bool
	unsent     int
}

// Next records the outcome of a send and returns the next step. inTime says
// that enough time is left for another send, and budget that the shared budget
// allows one more arrival; it is asked only where it matters.
func (h *History) Next(o Outcome, inTime bool, budget func() bool) Step {
	if o == Unsent {
		h.unsent++
		if inTime && h.unsent < maxUnsentAttempts && (h.Sends == 0 || budget()) {
			return Send
		}
		return h.rejectOrFail()
	}
	h.Sends++
	if o != Rejected {
		h.MayHaveRun = true
	}
	mayResend := inTime && h.Sends < h.Rules.MaxSends
	switch {
	case o == Cut && mayResend && h.Rules.Resumable && budget():
		return Resume
	case o == Cut:
		return Abort
	case o == Rejected && mayResend && budget():
		return Send
	case o == Failed && mayResend && h.Rules.Retryable && budget():
		return Send
	case o == Failed:
		return PassOn
	case o == Lost && mayResend && h.Rules.Retryable && budget():
		return Send
	}
	return h.rejectOrFail()
}

// giveUp refuses a request that has not run and fails one that may have.
func (h *History) rejectOrFail() Step {
	if h.MayHaveRun {
		return Fail
	}
	return Reject
}
