package orders

import (
	"time"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/wire"
)

// engine is the state of one engine as observed in this term.
type engine struct {
	incarnation string
	// inFlight is the token of the order that is being sent, or zero.
	inFlight fenceToken
	order    openOrder
	// copiesIdleSince holds, by resolved order, since when this leader is not
	// sending it.
	copiesIdleSince map[fenceToken]time.Duration
	// readySince holds, by state revision, since when this leader has seen the
	// resident as ready.
	readySince map[uint64]time.Duration
	// lastState is the result of the latest state read, or nil if that read
	// failed. lastReadStart is when the latest successful read began, and
	// respondingSince when the first read of the current run of successful
	// reads of one incarnation began.
	lastState       *endpoint.EngineState
	lastReadStart   time.Duration
	respondingSince time.Duration
}

// openOrder is the one order to an engine whose outcome is not yet proved.
type openOrder struct {
	token         fenceToken
	firstSeen     time.Duration
	nextSend      time.Duration
	retryInterval time.Duration
	rejections    int
	// executed is true once the engine has confirmed that it executed the order.
	executed bool
}

// updateIncarnation drops the state of an earlier incarnation.
func (t *Tracker) updateIncarnation(e *engine, vm *wire.Endpoint) {
	if e.incarnation == vm.Incarnation {
		return
	}
	e.incarnation = vm.Incarnation
	e.order = openOrder{}
	clear(e.copiesIdleSince)
	clear(e.readySince)
}

// updateCopies updates since when this leader is not sending each copy.
func (e *engine) updateCopies(now time.Duration, copies []*wire.Order) {
	known := e.copiesIdleSince
	e.copiesIdleSince = map[fenceToken]time.Duration{}
	for _, c := range copies {
		token := tokenOf(c)
		since, ok := known[token]
		if !ok || e.inFlight == token {
			since = now
		}
		e.copiesIdleSince[token] = since
	}
}

// updateReady updates since when this leader has seen each resident as ready.
func (e *engine) updateReady(now time.Duration, residents []*wire.Resident) {
	known := e.readySince
	e.readySince = map[uint64]time.Duration{}
	for _, r := range residents {
		if r.State != wire.ResidentState_RESIDENT_STATE_READY {
			continue
		}
		since, ok := known[r.StateRevision]
		if !ok {
			since = now
		}
		e.readySince[r.StateRevision] = since
	}
}

// hasCurrentState reports whether the latest read succeeded and returned the
// recorded incarnation.
func (e *engine) hasCurrentState(vm *wire.Endpoint) bool {
	return e.lastState != nil && e.lastState.Incarnation == vm.Incarnation
}

// drainMissing drains ready residents that the engine does not list. Their
// memory stays charged until an unload is proved.
func (e *engine) drainMissing(vm *wire.Endpoint, residents []*wire.Resident, out *Effects) {
	if !e.hasCurrentState(vm) {
		return
	}
	for _, r := range residents {
		since, ok := e.readySince[r.StateRevision]
		if !ok || r.State != wire.ResidentState_RESIDENT_STATE_READY || e.lastReadStart <= since {
			continue
		}
		if !listsResident(e.lastState, r.Model, r.Version, r.Adapter) {
			out.DrainMissing = append(out.DrainMissing, &wire.SetResident{
				Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, Adapter: r.Adapter,
				State: wire.ResidentState_RESIDENT_STATE_DRAINING, ExpectedStateRevision: r.StateRevision,
			})
		}
	}
}
