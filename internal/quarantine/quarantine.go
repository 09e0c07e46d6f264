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
func Decide(shared wire.SuspectState, crashes int) Decision {
	switch {
	case shared == wire.SuspectState_SUSPECT_STATE_CONVICTED || crashes >= MaxCrashes:
		return Reject
	case shared == wire.SuspectState_SUSPECT_STATE_SUSPECT || crashes > 0:
		return RunIsolated
	}
	return Run
}

// Tracker knows the requests that an owner has in flight at each endpoint. It
// is not safe for concurrent use.
type Tracker struct {
	flights map[flight]uint64
	// byEndpoint holds the ids in flight at an endpoint.
	byEndpoint map[string]map[uint64]string
}

type flight struct {
	endpoint string
	id       uint64
}

// NewTracker returns a tracker with nothing in flight.
func NewTracker() *Tracker {
	return &Tracker{flights: map[flight]uint64{}, byEndpoint: map[string]map[uint64]string{}}
}

// Begin notes a request that is about to be sent to an incarnation.
func (t *Tracker) Begin(endpoint, incarnation string, id, fingerprint uint64) {
	t.flights[flight{endpoint, id}] = fingerprint
	if t.byEndpoint[endpoint] == nil {
		t.byEndpoint[endpoint] = map[uint64]string{}
	}
	t.byEndpoint[endpoint][id] = incarnation
}

// End notes that a request is no longer in flight.
func (t *Tracker) End(endpoint string, id uint64) {
	delete(t.flights, flight{endpoint, id})
	delete(t.byEndpoint[endpoint], id)
	if len(t.byEndpoint[endpoint]) == 0 {
		delete(t.byEndpoint, endpoint)
	}
}

// InFlight returns the fingerprints in flight at an incarnation, in order and
// each once.
func (t *Tracker) InFlight(endpoint, incarnation string) []uint64 {
	var out []uint64
	for id, at := range t.byEndpoint[endpoint] {
		if at == incarnation {
			out = append(out, t.flights[flight{endpoint, id}])
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
