// Package quarantine decides how requests may run that were in flight when an
// endpoint crashed and may have caused the crash. Entries, which count what is in
// flight at their endpoints, run a suspect alone; gateways, which share their
// endpoints, convict it by several crashes (Pool). The package does no I/O.
package quarantine

import (
	"slices"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// Decision is whether and how a request may run.
type Decision int

// Decisions.
const (
	// Run lets the request run beside others.
	Run Decision = iota
	// RunIsolated lets the request run only at an endpoint with no other request
	// in flight. A gateway, which cannot keep others away, sends it once, and to
	// another endpoint than other suspects if it can.
	RunIsolated
	// Reject does not let the request run any more.
	Reject
)

// MaxCrashes is the number of endpoint crashes after which a request is rejected
// that was in flight during each of them, alone during all but the first.
const MaxCrashes = 2

// Decide decides by the suspect state that all entries share, and by the number
// of crashes that this entry saw with the request in flight, which the shared
// state may not include yet.
func Decide(state wire.SuspectState, crashes int) Decision {
	switch {
	case state == wire.SuspectState_SUSPECT_STATE_CONVICTED || crashes >= MaxCrashes:
		return Reject
	case state == wire.SuspectState_SUSPECT_STATE_SUSPECT || crashes > 0:
		return RunIsolated
	}
	return Run
}

// NewError returns the failure of a quarantined request. It does not invite the client
// to send the request again.
func NewError() *fail.Error {
	return fail.New(fail.Quarantined, "the request is quarantined: endpoints crashed while it was in flight")
}

// Tracker records the requests that an entry has in flight at the endpoints that
// it owns. It is not safe for concurrent use.
type Tracker struct {
	fingerprints map[attemptKey]uint64
	// incarnations maps each endpoint and each attempt in flight at it to the
	// incarnation that the attempt was sent to.
	incarnations map[string]map[uint64]string
}

type attemptKey struct {
	endpoint string
	id       uint64
}

// NewTracker returns a tracker with nothing in flight.
func NewTracker() *Tracker {
	return &Tracker{fingerprints: map[attemptKey]uint64{}, incarnations: map[string]map[uint64]string{}}
}

// Begin records a request that is about to be sent to an incarnation.
func (t *Tracker) Begin(endpoint, incarnation string, id, fingerprint uint64) {
	t.fingerprints[attemptKey{endpoint, id}] = fingerprint
	if t.incarnations[endpoint] == nil {
		t.incarnations[endpoint] = map[uint64]string{}
	}
	t.incarnations[endpoint][id] = incarnation
}

// End records that a request is no longer in flight.
func (t *Tracker) End(endpoint string, id uint64) {
	delete(t.fingerprints, attemptKey{endpoint, id})
	delete(t.incarnations[endpoint], id)
	if len(t.incarnations[endpoint]) == 0 {
		delete(t.incarnations, endpoint)
	}
}

// InFlight returns the distinct fingerprints of the requests in flight at an
// incarnation, in ascending order.
func (t *Tracker) InFlight(endpoint, incarnation string) []uint64 {
	var out []uint64
	for id, inc := range t.incarnations[endpoint] {
		if inc == incarnation {
			out = append(out, t.fingerprints[attemptKey{endpoint, id}])
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
