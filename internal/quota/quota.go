// Package quota bounds what the requests of each workspace take over all gateways. The
// Ledger of the leader holds one token bucket for each workspace; the Wallet of a gateway
// spends what the leader grants and leases, and its part of the rate without a leader. The
// package does no I/O and reads no clock: times are those of a clock that counts suspension.
package quota

import (
	"slices"
	"time"
)

const (
	// Window is the time span over which the quota is bounded.
	Window = 8 * time.Second
	// CallTimeout bounds one call of a gateway: the answer to an older one is not used, so
	// that tokens are spent at most this long after the leader has booked them. 0.3 s of the
	// rate is 3.75 % of a window.
	CallTimeout = 300 * time.Millisecond
	// AloneAfter is how long a gateway has had no answer of a leader when it starts to spend
	// its part of the rate. Connections change in less, a change of the leader takes longer.
	AloneAfter = time.Second
	// LeaseTTL is how long a gateway may spend a reserve, from the sending of the call, and
	// leaseGrace how much longer the leader waits for the statement of what is left of it.
	LeaseTTL   = 1500 * time.Millisecond
	leaseGrace = time.Second
	// learnMargin is the part of what the quota allows in a window that a new leader grants
	// before it knows what was spent. With CallTimeout (0.0375) and reserveMargin (0.02), two
	// changes of leader in a window stay within the tenth by which a quota may be exceeded;
	// three reach 0.1025.
	learnMargin = 0.015
	// reserveMargin bounds the reserves of a workspace, as a part of what the quota allows in a
	// window. Requests may be granted by as much more than the level, so that none is refused
	// because other gateways hold reserves.
	reserveMargin = 0.02
	// learnTime is how long gateways ask a new leader again rather than refuse requests.
	learnTime = time.Second
	// SilentTTL is how long the leader withholds the part of a gateway that it does not hear
	// from, and how long a gateway spends its part alone: a VM that is gone for good must not
	// reduce the quota for ever.
	SilentTTL = 10 * time.Minute
	// leasableLevel is the part of the burst above which reserves are leased.
	leasableLevel = 0.5
	// MaxRetryAfter bounds the time after which a client comes back: not all that were
	// refused do.
	MaxRetryAfter = 30 * time.Second
	// heldGrace is how long the tokens of a large request are kept after its retry is due.
	heldGrace = time.Second
	// slotTime is the resolution of the record of spending, and slots its length, which is a
	// window and the slot that has begun.
	slotTime = 500 * time.Millisecond
	slots    = int(Window/slotTime) + 1
	// tolerance is an amount by which sums of floating-point numbers may differ.
	tolerance = 1e-6
)

// Never is the retry time of a request that the quota can never grant.
const Never = time.Duration(-1)

// Limit is the quota of a workspace: tokens per second, and the size of the bucket.
type Limit struct{ Rate, Burst float64 }

// perWindow returns what the quota allows in a window.
func (l Limit) perWindow() float64 { return l.Rate*Window.Seconds() + l.Burst }

// Call is what a gateway tells and asks.
type Call struct {
	Gateway, Incarnation string
	Leadership           uint64
	// Sequence numbers the calls of the incarnation from 1, and Answered is the last one
	// whose answer was used.
	Sequence, Answered uint64
	// Gateways is the largest number of gateways that it has known of lately, and AnsweredAgo
	// how long ago it had an answer of the leader.
	Gateways    int
	AnsweredAgo time.Duration
	// Covered is the time of which the gateway knows what it has spent.
	Covered time.Duration
	Charges []Charge
}

// Charge is the part of a call for one workspace.
type Charge struct {
	Workspace string
	// Costs are those of the requests that wait.
	Costs []float64
	// Held is what the gateway holds of its reserve after the call, and Unused what it gives
	// back of it.
	Held, Unused float64
	Returned     []Return
	// SpentAlone is what it has spent of its part of the rate since the last answer.
	SpentAlone float64
	// History is what it has spent in each slot of a window, the latest first; it is told
	// once to each leader.
	History []float64
}

// Return is an amount that was booked at the time on the leader's clock, and not used.
type Return struct {
	Amount float64
	Booked time.Duration
}

// Answer is what the leader answers. One with another leadership than the call has no grants.
type Answer struct {
	Leadership uint64
	// Booked is the time on the leader's clock at which it has booked the charges.
	Booked time.Duration
	// Gateways is the number of gateways that may spend, as the leader knows it.
	Gateways int
	Grants   []Grant
}

// Grant answers one charge.
type Grant struct {
	Workspace string
	// RetryAfter is zero for each cost that is granted, and Never for one that cannot be.
	RetryAfter []time.Duration
	// Learning is set if the leader does not know yet what was spent before it began.
	Learning bool
	// Reserve is what the gateway holds after its statement in the call, and ReserveTTL for
	// how long from the sending of the call.
	Reserve    float64
	ReserveTTL time.Duration
	// Level is what the bucket holds.
	Level float64
}

// Refused reports whether one of the costs is not granted.
func (g *Grant) Refused() bool {
	return slices.ContainsFunc(g.RetryAfter, func(after time.Duration) bool { return after != 0 })
}
