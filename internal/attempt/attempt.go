// Package attempt decides the next step of a client's request: send it to an
// endpoint, resume an interrupted stream at another endpoint, reject the request, or
// end it. The decision depends on the outcomes of the sends so far. The package does
// no I/O and reads no clock.
package attempt

// Rules are the retry rules of a route.
type Rules struct {
	// Retryable requests may run more than once.
	Retryable bool
	// Resumable streams may be resumed at another endpoint.
	Resumable bool
	// MaxSends is the maximum number of endpoints that the request may be sent to.
	MaxSends int
}

// Outcome is the outcome of one send.
type Outcome int

// Outcomes of a send.
const (
	// Unsent: no byte of the request reached the endpoint.
	Unsent Outcome = iota
	// Rejected: the endpoint responded that it did not run the request.
	Rejected
	// Failed: the endpoint ran the request and responded with an error.
	Failed
	// Lost: no usable response was received, and the request may have run.
	Lost
	// Interrupted: the response was interrupted after the gateway had begun to relay it
	// to the client.
	Interrupted
)

// String returns the outcome's name, for logs.
func (o Outcome) String() string {
	return [...]string{"unsent", "rejected", "failed", "lost", "cut"}[o]
}

// Step is the next step of a request.
type Step int

// Steps of a request.
const (
	// Send the request to another endpoint.
	Send Step = iota
	// Resume the stream at another endpoint, after its last complete event.
	Resume
	// Reject the request: it has not run and will not run.
	Reject
	// Fail the request: it may have run.
	Fail
	// PassOn the endpoint's error response unchanged.
	PassOn
	// Abort the connection: the response has begun and cannot be completed.
	Abort
)

// String returns the step's name, for logs.
func (s Step) String() string {
	return [...]string{"send", "resume", "refuse", "fail", "pass_on", "abort"}[s]
}

// maxUnsentAttempts bounds the sends of one request of which no byte reaches the
// endpoint.
const maxUnsentAttempts = 3

// History is the history of one request.
type History struct {
	Rules Rules
	// Sends counts the sends of which bytes reached an endpoint.
	Sends int
	// MayHaveRun is set once an endpoint may have run the request.
	MayHaveRun bool
	unsent     int
}

// Next records the outcome of a send and returns the next step. inTime reports
// whether enough time is left for another send. budget takes one send from the
// shared retry budget and reports whether that was possible; it is called only if
// the decision depends on it.
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
	case o == Interrupted && mayResend && h.Rules.Resumable && budget():
		return Resume
	case o == Interrupted:
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

// rejectOrFail rejects a request that has not run and fails one that may have run.
func (h *History) rejectOrFail() Step {
	if h.MayHaveRun {
		return Fail
	}
	return Reject
}
