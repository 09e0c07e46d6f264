// Package quarantine decides what becomes of requests that were in flight when
// an endpoint crashed. It does no I/O.
package quarantine

import (
	"slices"

	"parsleyramp/internal/wire"
)

// Decision is how a request may run.
type Decision int

// Treatments.
const (
	// Run requests run beside others.
	Run Decision = iota
	// RunIsolated requests run only where nothing else is in flight.
	RunIsolated
	// Reject requests do not run any more.
	Reject
)

// MaxCrashes is how many endpoints one request may cost.
const MaxCrashes = 2

// Decide decides by the state that all entries share and by the crashes that
// this request met here, which the shared state may not show yet.
func Decide(state wire.SuspectState, crashes int) Decision {
	switch {
	case state == wire.SuspectState_SUSPECT_STATE_CONVICTED || crashes >= MaxCrashes:
		return Reject
	case state == wire.SuspectState_SUSPECT_STATE_SUSPECT || crashes > 0:
		return RunIsolated
	}
	return Run
}

// Tracker knows the requests that an owner has in flight at each endpoint. It
// is not safe for concurrent use.
type Tracker struct {
	fingerprints map[attemptKey]uint64
	// byEndpoint holds the ids in flight at an endpoint.
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

// Begin notes a request that is about to be sent to an incarnation.
func (t *Tracker) Begin(endpoint, incarnation string, id, fingerprint uint64) {
	t.fingerprints[attemptKey{endpoint, id}] = fingerprint
	if t.incarnations[endpoint] == nil {
		t.incarnations[endpoint] = map[uint64]string{}
	}
	t.incarnations[endpoint][id] = incarnation
}

// End notes that a request is no longer in flight.
func (t *Tracker) End(endpoint string, id uint64) {
	delete(t.fingerprints, attemptKey{endpoint, id})
	delete(t.incarnations[endpoint], id)
	if len(t.incarnations[endpoint]) == 0 {
		delete(t.incarnations, endpoint)
	}
}

// InFlight returns the fingerprints in flight at an incarnation, in order and
// each once.
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
